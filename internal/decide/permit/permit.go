// Package permit decides whether an agent may start an item of a job that may have
// ended in the meantime. The owner of the job, the agent and the connections between
// them may be paused or delayed for any time.
//
//  1. An agent puts the time of its clock, a stamp, into each frame.
//  2. An entry that receives a stamp, then requests the end of the index, and finds a
//     job open in the answer knows that the job was open at the stamp or later.
//  3. A run has the newest stamp of its agent for which the entry knows this. The agent
//     starts the run only if the stamp is from its own incarnation and at most the
//     maximum age old.
//  4. While the store does not answer the agent, it starts runs without a stamp: the
//     end of a job is acknowledged by the store, so no job ends.
//
// The rules order messages and never compare the clocks of two VMs. A pause anywhere
// only makes a stamp older.
//
// # Usage
//
//	var e permit.Evidence           // of an entry, about one agent
//	e.Observe(now, frame.Now)       // rule 1
//	e.Confirm(index.CurrentAt())    // rule 2
//	run.OpenAt = e.Stamp()          // rule 3
//
//	ok := permit.IsValid(now, incarnation, run.OpenAt, maxAge) // at the agent
package permit

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

const (
	// connectTime is the time that an agent may need to open a connection to its
	// engine after it has started a run.
	connectTime = clock.Second
	// minAge is the least maximum age: a read of the index waits for up to 500 ms.
	minAge = clock.Second
)

// MaxAge returns the maximum age of a stamp if no item of a job may reach an engine
// later than endBound after the acknowledged end of the job.
func MaxAge(endBound clock.Millis) clock.Millis { return max(minAge, endBound-connectTime) }

// Stamp is a time by the clock of one incarnation of an agent. Only that incarnation
// can compare it with the present. The zero value is no time.
type Stamp struct {
	Incarnation string
	At          clock.Millis
}

// IsValid reports whether an agent may start a run with a stamp (rule 3).
func IsValid(now clock.Millis, incarnation string, s Stamp, maxAge clock.Millis) bool {
	return s.Incarnation == incarnation && now-s.At <= maxAge
}

// observation is a stamp and when it was received.
type observation struct {
	stamp      Stamp
	receivedAt clock.Millis
}

// Evidence is what an entry knows about the clock of one agent. The zero value is
// ready for use.
type Evidence struct {
	confirmed observation // rule 2 holds for it
	candidate observation // is not replaced before it is confirmed, however often stamps arrive
	newest    observation
}

// Observe records a stamp that was just received (rule 1).
func (e *Evidence) Observe(now clock.Millis, s Stamp) {
	if s.Incarnation != e.newest.stamp.Incarnation {
		*e = Evidence{}
	}
	if s.At < e.newest.stamp.At {
		return // It was overtaken by a later one.
	}
	e.newest = observation{s, now}
	if e.candidate.receivedAt == 0 {
		e.candidate = e.newest
	}
}

// Confirm records that the index was requested at a time, and that the answer had no
// records that were not applied (rule 2). A stamp that was received in the same
// millisecond may be newer than the request: the clock stands still while the entry is
// paused.
func (e *Evidence) Confirm(requestedAt clock.Millis) {
	switch {
	case e.newest.receivedAt < requestedAt:
		e.confirmed, e.candidate = e.newest, observation{}
	case e.candidate.receivedAt < requestedAt:
		e.confirmed, e.candidate = e.candidate, e.newest
	}
}

// Stamp returns the newest confirmed stamp (rule 3), or the zero value.
func (e *Evidence) Stamp() Stamp { return e.confirmed.stamp }

// Age returns the time since the confirmed stamp was received, or [clock.Never]. The
// stamp itself is older by the time that its frame took.
func (e *Evidence) Age(now clock.Millis) clock.Millis {
	if e.confirmed.receivedAt == 0 {
		return clock.Never
	}
	return now - e.confirmed.receivedAt
}
