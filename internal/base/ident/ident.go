// Package ident holds the identities that the parts of the program exchange.
//
// Each identity is a type of its own, so that a model can't be passed where a
// node is wanted. All are plain strings or integers and carry no behaviour
// beyond comparison.
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

// Node names one process of the system, unique in a deployment.
type Node string

// Zone names an availability zone.
type Zone string

// Region names a region; it holds one or more zones.
type Region string

// Service names what a backend server offers: a model or a plain service.
type Service string

// Class names a class of work.
type Class string

// Caller names an authenticated caller, trainer or operator.
type Caller string

// Request identifies one request of one caller on every entry.
type Request string

// Attempt identifies one try at running a request; never reused.
type Attempt string

// Round identifies one round of samples.
type Round string

// Version counts the weights of a model; a higher number is newer, 0 is none.
type Version uint64

// Offset is a position in a stream of the log. It also serves as a fencing
// number: a higher offset was agreed later.
type Offset int64

// Incarnation tells apart the processes that ran under one node name.
type Incarnation uint64

// NewIncarnation draws a random incarnation, never 0.
func NewIncarnation() Incarnation {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error.
		if v := binary.BigEndian.Uint64(b[:]); v != 0 {
			return Incarnation(v)
		}
	}
}

// NewAttempt draws an attempt identity that can't be guessed.
func NewAttempt() Attempt {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return Attempt(hex.EncodeToString(b[:]))
}
