// Package sema lets a few engines load at a time, by the order of a log.
//
// Loads beside each other slow each other down: all together take as long as
// one after the other, but none is ready before all are.
//
//  1. An agent that wants to load enters; the offset of its record is its
//     place and its fencing token.
//  2. It may load when fewer than the allowed number are in before it.
//  3. A later record of the same agent ends what it was in for: it left, enters
//     again, or has started anew.
//  4. An agent that died inside counts no longer than a load may take, from
//     when its record was read.
//
// # Usage
//
//	g := sema.New()
//	g.Apply(now, offset, "side-1", false)
//	if g.Before(now, offset) < 2 { load() }
package sema

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

// longest is how long an agent may be in: a load takes 0.9 s, one beside many
// others some seconds.
const longest = 3 * clock.Second

type hold struct {
	offset int64
	seen   clock.Millis
}

// Semaphore is what the records lead to.
type Semaphore struct {
	in   map[string]hold // by agent
	next int64
}

// New returns an empty gate.
func New() *Semaphore { return &Semaphore{in: make(map[string]hold)} }

// Next returns the offset of the record that is due next.
func (g *Semaphore) Next() int64 { return g.next }

// Skip goes on from a later offset.
func (g *Semaphore) Skip(to int64) { g.next = max(g.next, to) }

// Apply takes in the record at an offset: an agent enters or leaves.
func (g *Semaphore) Apply(now clock.Millis, offset int64, agent string, leaves bool) {
	if offset < g.next {
		return
	}
	g.next = offset + 1
	if leaves {
		delete(g.in, agent)
		return
	}
	g.in[agent] = hold{offset, now}
}

// Ahead returns how many agents are in that entered before an offset.
func (g *Semaphore) Ahead(now clock.Millis, offset int64) int {
	n := 0
	for agent, h := range g.in {
		switch {
		case now-h.seen > longest: // rule 4
			delete(g.in, agent)
		case h.offset < offset:
			n++
		}
	}
	return n
}
