// Package epoch estimates true time from the clocks of several VMs. A VM's time of day
// may jump by seconds and jump back; its steady clock does not, but has no calendar.
//
// A source's offset is its time of day minus the steady time of the reader, at the same
// moment. The estimator holds one offset and replaces it only for a reason:
//
//  1. While this VM's own offset moves by less than maxSlew between two observations,
//     the held offset follows it: its clock is being adjusted, and is the most exact
//     source, since no message delays it.
//  2. After a larger move, the held offset stays as it is, as long as it agrees with the
//     median of the peers.
//  3. Else it becomes this VM's own offset if that agrees with the median.
//  4. Else it becomes the median itself.
//  5. With fewer than minPeers peers there is no median. Then the first own offset stays
//     in force, however the own clock jumps.
//
// A message about a peer's clock is late by its delay, so of the last observations of a
// peer that of the largest offset counts. The median is right as long as the clocks of
// fewer than half of the peers are wrong in the same direction.
//
// # Usage
//
//	e := epoch.New()
//	e.ObserveOwn(steadyNow, wallNow)       // each second
//	e.ObservePeer(steadyNow, "b", theirs)  // for each message
//	at, ok := e.At(steadyNow)
package epoch

import (
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
)

// Unix is a calendar time in milliseconds since the start of 1970. It is a type of its own
// so that it can't be mixed with a [clock.Millis].
type Unix int64

const (
	// maxSlew is the largest change of the own offset, from one second to the next, that
	// counts as an adjustment. Adjusted clocks gain at most 0.5 ms a second.
	maxSlew = 20 * clock.Milli
	// tolerance is the difference between an offset and the median of the peers that
	// counts as agreement. It covers the delay of messages through a slow store; jumps
	// that matter are of seconds.
	tolerance = 500 * clock.Milli
	// minPeers is the number of peers from which there is a median.
	minPeers = 2
	// peerSpan is how long an observation of a peer counts: some messages of a node that
	// sends one each 5 s.
	peerSpan = 16 * clock.Second
	// maxObservations is how many observations of one peer are kept.
	maxObservations = 8
)

// observation is an offset at a time.
type observation struct {
	at     clock.Millis
	offset int64
}

// Estimator holds the estimate of one node. It is not safe for concurrent use.
type Estimator struct {
	held  option.Option[int64]
	own   int64
	peers map[string][]observation
}

// New returns an estimator without an observation.
func New() *Estimator { return &Estimator{peers: make(map[string][]observation)} }

// ObserveOwn takes this VM's time of day. It reports whether the held offset was replaced
// (rules 3 and 4), and by how much.
func (e *Estimator) ObserveOwn(now clock.Millis, wall Unix) (moved int64, replaced bool) {
	previous := e.own
	e.own = int64(wall) - int64(now)
	held, ok := e.held.Get()
	if !ok {
		held = e.own
	} else if step := e.own - previous; abs(step) < int64(maxSlew) && abs(e.own-held) < int64(tolerance) {
		held += step // rule 1
	}
	before := held
	if median, ok := e.median(now); ok && abs(held-median) > int64(tolerance) {
		if held = median; abs(e.own-median) <= int64(tolerance) {
			held = e.own
		}
	}
	e.held = option.Some(held)
	return held - before, held != before
}

// ObservePeer takes a peer's time of day from a message that arrived now.
func (e *Estimator) ObservePeer(now clock.Millis, peer string, wall Unix) {
	kept := slices.DeleteFunc(e.peers[peer], func(o observation) bool { return now-o.at > peerSpan })
	if len(kept) == maxObservations {
		kept = kept[1:]
	}
	e.peers[peer] = append(kept, observation{now, int64(wall) - int64(now)})
}

// At returns the estimate of true time at a steady time. It returns false before the first
// observation.
func (e *Estimator) At(at clock.Millis) (Unix, bool) {
	held, ok := e.held.Get()
	return Unix(int64(at) + held), ok
}

// median returns the median offset of the peers that sent something lately.
func (e *Estimator) median(now clock.Millis) (int64, bool) {
	var offsets []int64
	for name, observations := range e.peers {
		best, found := int64(0), false
		for _, o := range observations {
			if now-o.at <= peerSpan && (!found || o.offset > best) {
				best, found = o.offset, true
			}
		}
		if !found {
			delete(e.peers, name)
			continue
		}
		offsets = append(offsets, best)
	}
	if len(offsets) < minPeers {
		return 0, false
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2], true
}

func abs(n int64) int64 { return max(n, -n) }
