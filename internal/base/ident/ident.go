// Package ident defines the types of identifiers, such as node names and
// weight versions.
//
// Each identifier has its own type, so that the compiler rejects a service name
// in place of a node name. All are plain strings or integers without methods.
//
// # Usage
//
//	n := ident.Node("agent-3")
//	inc := ident.NewIncarnation()
package ident

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
)

// Node is the name of one process of the system, unique in a deployment.
type Node string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region, which has one or more zones.
type Region string

// Service is the name of what a backend server offers: a model or a plain
// service.
type Service string

// Class is the name of a class of work.
type Class string

// Caller is the name of an authenticated caller, trainer or operator.
type Caller string

// Workspace is the name of a customer's workspace, to which callers' keys belong.
type Workspace string

// Request identifies one request of one caller. Every entry uses the same
// identifier for the request.
type Request string

// Attempt identifies one attempt to run a request. It is never reused.
type Attempt string

// Round identifies one round of samples.
type Round string

// Version is the number of a model's weights. Higher numbers are newer, 0 means
// none.
type Version uint64

// Offset is the offset of a record in a stream of the log. It also serves as a
// fencing token, because records with a higher offset were appended later.
type Offset int64

// Incarnation identifies one start of the process of a node.
type Incarnation uint64

// NewIncarnation returns a random incarnation other than 0.
func NewIncarnation() Incarnation {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error.
		if v := binary.BigEndian.Uint64(b[:]); v != 0 {
			return Incarnation(v)
		}
	}
}

// NewAttempt returns a random attempt identifier that can't be guessed.
func NewAttempt() Attempt {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return Attempt(hex.EncodeToString(b[:]))
}
