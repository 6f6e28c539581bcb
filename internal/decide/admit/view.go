package admit

import (
	"maps"
	"math/rand/v2"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
)

// View is what a gate knows about its service.
type View struct {
	Scarce   bool           // only requests with a place may start
	Places   int            // that the entry has, if they are scarce
	Free     map[string]int // by server: places in which no request is in flight
	InFlight int
	Waiting  int
	Age      option.Option[clock.Millis] // of the lease that is in force
}

// View returns what the gate knows.
func (g *Gate) View(now clock.Millis) View {
	v := View{Scarce: g.Scarce(now), InFlight: g.running, Waiting: len(g.waiting)}
	switch {
	case g.hasLease(now):
		v.Age = option.Some(now - g.leasedAt)
		if v.Scarce {
			v.Places, v.Free = g.lease.Total(), make(map[string]int)
			for id, n := range g.lease.Places {
				v.Free[id] = max(0, n-g.inFlight[id])
			}
		}
	case v.Scarce:
		v.Places = int(max(1, g.share))
	}
	return v
}

// ExpectedWait returns the time until a waiting request's turn, at the present rate.
func (g *Gate) ExpectedWait(now clock.Millis, t *Ticket) clock.Millis { return g.expectedWait(now, t) }

// Clone returns a gate that decides on further requests as this one does. Neither changes
// the other. In the clone, the requests that wait start at no server of a lease: if there
// were one for them, they would not wait.
func (g *Gate) Clone() *Gate {
	out, source := *g, *g.source
	out.source, out.rng = &source, rand.New(&source)
	out.groups = make(map[Group]*group, len(g.groups))
	for k, s := range g.groups {
		c := *s
		out.groups[k] = &c
	}
	out.took, out.inFlight, out.shown = maps.Clone(g.took), maps.Clone(g.inFlight), maps.Clone(g.shown)
	out.waiting = make([]*Ticket, len(g.waiting))
	for i, t := range g.waiting {
		c := *t
		c.Choose = func(func(string) bool) string { return "" }
		out.waiting[i] = &c
	}
	return &out
}
