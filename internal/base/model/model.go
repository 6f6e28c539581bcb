// Package model holds the value types that describe a model engine: its state,
// its load and which weight version produced which tokens.
//
// The packages in internal/decide and in internal/edge share these types, so
// that internal/decide does not depend on internal/edge.
//
// # Usage
//
//	st := model.Status{Model: "notice-model", Version: 7}
//	sp := model.Span{Version: 7, From: 0, To: 24}
package model

import "github.com/jujuberamp/jujuberamp/internal/base/ident"

// Load is an engine's report of its load. It may be out of date.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Status is an engine's report of its current state.
type Status struct {
	Boot    ident.Incarnation // changes with each start of the engine
	Model   ident.Service     // the loaded model, empty for none
	Version ident.Version     // the loaded weight version
	Loading bool              // a load order is in progress
	Fence   ident.Offset      // highest fencing token accepted, 0 if the engine ignores them
	Load    Load
}

// Span is a range of tokens that one version produced in one attempt. It
// includes From and excludes To.
type Span struct {
	Version ident.Version
	Attempt ident.Attempt
	From    int
	To      int
}
