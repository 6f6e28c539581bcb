package zones

import (
	"math/rand/v2"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
)

// View is what a policy knows about a zone for a kind of work.
type View struct {
	Zone     string
	Share    float64                     // part of the requests that goes there
	Limit    float64                     // largest part that may go there from other zones
	Single   int                         // requests beyond the share that may go there now
	Slots    int                         // of the servers that take work
	InFlight int                         // requests of this entry
	Expected float64                     // response time in ms
	Age      option.Option[clock.Millis] // of the newest measured response time
}

// Views returns what the policy knows about the zones, by name.
func (p *Policy) Views(now clock.Millis, k Kind) []View {
	s := p.kinds[k]
	if s == nil {
		return nil
	}
	views := make([]View, 0, len(s.zones))
	for _, z := range s.zones {
		v := View{
			Zone: z.name, Share: z.share, Limit: z.limit, Single: int(z.overflow), Slots: z.slots, InFlight: z.inFlight,
			Expected: p.expected(now, s, z),
		}
		if z.took > 0 {
			v.Age = option.Some(now - z.updatedAt)
		}
		views = append(views, v)
	}
	return views
}

// Clone returns a policy that decides as this one does from now on. Neither changes the
// other.
func (p *Policy) Clone() *Policy {
	source := *p.source
	out := &Policy{locality: p.locality, source: &source, rng: rand.New(&source), kinds: make(map[Kind]*kindState, len(p.kinds))}
	for k, s := range p.kinds {
		c := *s
		c.zones = make([]*zone, len(s.zones))
		for i, z := range s.zones {
			cz := *z
			c.zones[i] = &cz
		}
		out.kinds[k] = &c
	}
	return out
}
