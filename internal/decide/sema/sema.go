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
//     concurrent loads.
//  3. A later record of the same agent replaces its earlier one: the agent
//     released the semaphore, enqueued again, or restarted.
//  4. An enqueue record counts only for the hold timeout after it was applied,
//     since its agent may have died.
//
// # Usage
//
//	s := sema.New()
//	s.Apply(now, offset, "side-1", false)
//	if s.Ahead(now, offset) < 2 { load() }
package sema

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

// holdTimeout is the time after which an enqueue record no longer counts. A load
// takes 0.9 s, or some seconds while many others run.
const holdTimeout = 3 * clock.Second

// request is the enqueue record of an agent that holds the semaphore or waits for
// it.
type request struct {
	offset    int64
	appliedAt clock.Millis
}

// Semaphore is the state after all records that were applied.
type Semaphore struct {
	queue      map[string]request // by agent; includes agents that hold the semaphore
	nextOffset int64
}

// New returns a semaphore with an empty queue.
func New() *Semaphore { return &Semaphore{queue: make(map[string]request)} }

// NextOffset returns the offset of the next record to apply.
func (s *Semaphore) NextOffset() int64 { return s.nextOffset }

// Skip advances to a later offset, past records that the store no longer has.
func (s *Semaphore) Skip(to int64) { s.nextOffset = max(s.nextOffset, to) }

// Apply applies the record at an offset: an agent enqueues, or releases the
// semaphore. Records that were applied before are ignored.
func (s *Semaphore) Apply(now clock.Millis, offset int64, agent string, release bool) {
	if offset < s.nextOffset {
		return
	}
	s.nextOffset = offset + 1
	if release {
		delete(s.queue, agent)
		return
	}
	s.queue[agent] = request{offset, now}
}

// Ahead returns the number of agents that enqueued before an offset and have
// neither released the semaphore nor timed out.
func (s *Semaphore) Ahead(now clock.Millis, offset int64) int {
	n := 0
	for agent, r := range s.queue {
		switch {
		case now-r.appliedAt > holdTimeout: // rule 4
			delete(s.queue, agent)
		case r.offset < offset:
			n++
		}
	}
	return n
}
