package entry

import (
	"sync/atomic"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

// connectivity records whether this entry receives messages from other nodes.
type connectivity struct {
	lastMessageAt atomic.Int64 // time of the last message from another node, in ms
	gossipRounds  atomic.Int64 // number of finished gossip rounds
}

func (c *connectivity) recordMessage(now clock.Millis) { c.lastMessageAt.Store(int64(now)) }

// Ready returns nil if the entry accepts work, and the reason otherwise. An entry
// that is shutting down is not ready. Otherwise readiness depends on the
// configuration, where "the bound" is Params.MaxConfigAge:
//
//   - A new entry needs a configuration: from the log, or, if the log can't be
//     read, the newest one of its peers.
//   - An entry that knows of a newer configuration, but could not get it within
//     the bound, is not ready.
//   - An entry that reached neither the log nor another node within the bound is
//     not ready, since it may be isolated.
//   - An entry that reaches other nodes, none of which has read the log within
//     the bound, stays ready with the last accepted configuration: the log may
//     be down for all nodes. Its status says "unsure".
func (e *Entry) Ready() error {
	if e.leaving.Load() {
		return fault.New(fault.Leaving, "entry "+string(e.p.Node)+" is shutting down")
	}
	s := e.config.Freshness()
	switch {
	case s.Age == clock.Never && (s.Offset == 0 || e.connectivity.gossipRounds.Load() == 0):
		return e.notReady("has no configuration yet")
	case s.Behind > e.p.MaxConfigAge && s.UnsupportedOffset > 0:
		return e.notReady("is older than the configuration: update this node")
	case s.Behind > e.p.MaxConfigAge:
		return e.notReady("could not get the newest configuration for " + s.Behind.String())
	case s.Age > e.p.MaxConfigAge && e.isIsolated():
		return e.notReady("hears neither the log nor another node")
	}
	return nil
}

func (e *Entry) notReady(reason string) error {
	return fault.New(fault.NotReady, "entry "+string(e.p.Node)+" "+reason).WithRetryAfter(clock.Second)
}

// isIsolated reports whether other nodes exist, but none of them sent a message
// within MaxConfigAge.
func (e *Entry) isIsolated() bool {
	lastMessageAt := clock.Millis(e.connectivity.lastMessageAt.Load())
	return len(e.peers.ProbeTargets()) > 0 && e.p.Clock.Now()-lastMessageAt > e.p.MaxConfigAge
}

// isPossiblyStale reports whether the configuration may be out of date.
func (e *Entry) isPossiblyStale() bool { return e.config.Freshness().Age > e.p.MaxConfigAge }
