package entry

import (
	"sync/atomic"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

// contact remembers how far this entry hears other nodes.
type contact struct {
	heard  atomic.Int64 // instant of the last message of another node, ms
	rounds atomic.Int64 // rounds of messages to all peers that have ended
}

func (c *contact) note(now clock.Millis) { c.heard.Store(int64(now)) }

// Ready reports whether the entry takes work. As to the configuration:
//
//   - A new entry needs one: from the log, or, if that can't be read, the
//     highest of its peers.
//   - An entry that knows of a newer one, and could not get it for the bound,
//     is not ready.
//   - An entry that has heard neither the log nor any other node for the bound
//     is not ready: it may be cut off alone.
//   - One that hears other nodes, none of which has read the log within the
//     bound, stays ready with the last accepted configuration: the log may be
//     down for everybody. Its status says "unsure".
func (e *Entry) Ready() error {
	if e.leaving.Load() {
		return fault.New(fault.Leaving, "entry "+string(e.p.Node)+" is shutting down")
	}
	s := e.config.Freshness()
	switch {
	case s.Age == clock.Never && (s.Offset == 0 || e.contact.rounds.Load() == 0):
		return e.notReady("has no configuration yet")
	case s.Behind > e.p.MaxConfigAge && s.UnsupportedOffset > 0:
		return e.notReady("is older than the configuration: update this node")
	case s.Behind > e.p.MaxConfigAge:
		return e.notReady("could not get the newest configuration for " + s.Behind.String())
	case s.Age > e.p.MaxConfigAge && e.isAlone():
		return e.notReady("hears neither the log nor another node")
	}
	return nil
}

func (e *Entry) notReady(what string) error {
	return fault.New(fault.NotReady, "entry "+string(e.p.Node)+" "+what).WithRetryAfter(clock.Second)
}

// isAlone reports whether other nodes exist and none was heard for the bound.
func (e *Entry) isAlone() bool {
	heard := clock.Millis(e.contact.heard.Load())
	return len(e.peers.ProbeTargets()) > 0 && e.p.Clock.Now()-heard > e.p.MaxConfigAge
}

// isUnsure reports whether the configuration may be out of date.
func (e *Entry) isUnsure() bool { return e.config.Freshness().Age > e.p.MaxConfigAge }
