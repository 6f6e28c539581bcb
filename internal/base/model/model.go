// Package model holds the value types that describe what a model engine runs:
// its state, its load and which version made which tokens.
//
// Decisions and the platform's interfaces share them, so that no decision
// imports an edge.
//
// # Usage
//
//	st := model.Status{Model: "notice-model", Version: 7}
//	sp := model.Span{Version: 7, From: 0, To: 24}
package model

import "github.com/jujuberamp/jujuberamp/internal/base/ident"

// Load is an engine's lagging report of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Status is what an engine says of itself at this moment.
type Status struct {
	Boot    ident.Incarnation // changes with each start of the engine
	Model   ident.Service     // the model loaded, empty for none
	Version ident.Version     // the version loaded
	Loading bool              // an order is running
	Fence   ident.Offset      // highest fencing number obeyed, 0 if the engine ignores them
	Load    Load              // lagging
}

// Span is a run of tokens made by one version in one attempt, [From, To).
type Span struct {
	Version ident.Version
	Attempt ident.Attempt
	From    int
	To      int
}
