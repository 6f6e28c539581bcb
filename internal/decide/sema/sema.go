// Package sema is a counting semaphore whose holders and waiters are derived
// from the records of a log. It limits how many engines load weights at a time.
//
// Concurrent loads slow each other down: all of them take as long together as
// one after the other, but none is complete before the end.
//
//  1. An agent that wants to load appends an enqueue record. The offset of the
//     record is its position in the queue and its fencing token.
//  2. It may load when fewer agents are ahead of it than loads are allowed.
//  3. A later record of the same agent replaces its earlier one: the agent
//     released the semaphore, enqueued again, or restarted.
//  4. An agent counts for no longer than the hold timeout, from the time when its
//     record was applied, since it may have died.
//
// # Usage
//
//	s := sema.New()
//	s.Apply(now, offset, "side-1", false)
//	if s.Ahead(now, offset) < 2 { load() }
package sema

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

// holdTimeout is the longest time that an agent holds the semaphore. A load takes
// 0.9 s, or some seconds beside many others.
const holdTimeout = 3 * clock.Second

// holder is an agent that holds the semaphore or waits for it.
type holder struct {
	offset    int64
	appliedAt clock.Millis
}

// Semaphore is the state after all records that were applied.
type Semaphore struct {
	holders    map[string]holder // by agent; includes agents that wait
	nextOffset int64
}

// New returns a semaphore without holders.
func New() *Semaphore { return &Semaphore{holders: make(map[string]holder)} }

// Next returns the offset of the next record to apply.
func (s *Semaphore) Next() int64 { return s.nextOffset }

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
		delete(s.holders, agent)
		return
	}
	s.holders[agent] = holder{offset, now}
}

// Ahead returns the number of agents that enqueued before an offset and have
// neither released the semaphore nor timed out.
func (s *Semaphore) Ahead(now clock.Millis, offset int64) int {
	n := 0
	for agent, h := range s.holders {
		switch {
		case now-h.appliedAt > holdTimeout: // rule 4
			delete(s.holders, agent)
		case h.offset < offset:
			n++
		}
	}
	return n
}
