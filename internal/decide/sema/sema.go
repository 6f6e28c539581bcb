// Package sema is a counting semaphore whose holders and waiters are derived
// from the records of a log. It limits how many engines load weights at a time.
//
// Concurrent loads slow each other down: together they take as long as one after
// the other, but all of them are complete only at the end.
//
//  1. An agent that wants to load appends an enqueue record. The offset of the
//     record determines the agent's place in the queue; callers derive the fencing
//     token from it.
//  2. It may load when the number of agents ahead of it is below the limit on
//     concurrent loads. It then holds the semaphore.
//  3. A later record of the same agent replaces its earlier one: the agent
//     released the semaphore, enqueued again, or restarted.
//  4. An agent counts only for the hold timeout after it became a holder, since it
//     may have died. The time for which it waited before does not count: in a long
//     queue it is longer than the hold timeout.
//
// # Usage
//
//	s := sema.New()
//	s.Apply(offset, "side-1", false)
//	if s.MayLoad(now, offset, 2) { load() }
package sema

import (
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// holdTimeout is the time after which a holder no longer counts. A load takes 0.9 s,
// or some seconds while many others run.
const holdTimeout = 3 * clock.Second

// request is the enqueue record of an agent that holds the semaphore or waits for
// it.
type request struct {
	agent     string
	offset    int64
	heldSince clock.Millis // when it was first seen as a holder, 0 while it waits
}

// Semaphore is the state after all records that were applied.
type Semaphore struct {
	queue      []request // by offset; includes agents that hold the semaphore
	nextOffset int64
}

// New returns a semaphore with an empty queue.
func New() *Semaphore { return &Semaphore{} }

// NextOffset returns the offset of the next record to apply.
func (s *Semaphore) NextOffset() int64 { return s.nextOffset }

// Skip advances to a later offset, past records that the store no longer has.
func (s *Semaphore) Skip(to int64) { s.nextOffset = max(s.nextOffset, to) }

// Apply applies the record at an offset: an agent enqueues, or releases the
// semaphore. Records that were applied before are ignored.
func (s *Semaphore) Apply(offset int64, agent string, release bool) {
	if offset < s.nextOffset {
		return
	}
	s.nextOffset = offset + 1
	s.queue = slices.DeleteFunc(s.queue, func(r request) bool { return r.agent == agent }) // rule 3
	if !release {
		s.queue = append(s.queue, request{agent: agent, offset: offset})
	}
}

// MayLoad reports whether the agent that enqueued at an offset may load now, given the
// limit on concurrent loads.
func (s *Semaphore) MayLoad(now clock.Millis, offset int64, limit int) bool {
	s.queue = slices.DeleteFunc(s.queue, func(r request) bool { // rule 4
		return r.heldSince > 0 && now-r.heldSince > holdTimeout && r.offset != offset
	})
	ahead := 0
	for i := range s.queue {
		r := &s.queue[i]
		if i < limit && r.heldSince == 0 {
			r.heldSince = now
		}
		if r.offset < offset {
			ahead++
		}
	}
	return ahead < limit // rule 2
}
