package pick

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
)

// View is what a balancer knows about a server.
type View struct {
	Server   *fleet.Server
	Expected float64                     // ms, expected response time with the cost of the way (rule 1)
	InFlight int                         // requests of this node
	Failures int                         // since the last success
	Backoff  clock.Millis                // until its end, 0 if the server is in none
	Took     float64                     // ms, recent response time, 0 if not known
	Age      option.Option[clock.Millis] // of the newest response time
}

// InBackoff reports whether the server is in backoff (rule 3).
func (v View) InBackoff() bool { return v.Backoff > 0 }

// Views returns what the balancer knows about servers, in their order. The cost of the way
// to a zone is in ms.
func (b *Balancer) Views(now clock.Millis, servers []*fleet.Server, wayCost func(zone string) float64) []View {
	fastest := b.fastest(servers)
	views := make([]View, 0, len(servers))
	for _, s := range servers {
		views = append(views, b.view(now, s, fastest, wayCost))
	}
	return views
}

func (b *Balancer) view(now clock.Millis, s *fleet.Server, fastest float64, wayCost func(zone string) float64) View {
	v, st := View{Server: s}, b.stats[s.ID]
	if st != nil {
		v.InFlight, v.Failures, v.Took = st.inFlight, st.failures, st.responseTime
		v.Backoff = max(0, st.backoffUntil-now)
		if st.responseTime > 0 {
			v.Age = option.Some(now - st.updatedAt)
		}
	}
	v.Expected = st.expected(now, fastest)*(1+float64(v.InFlight)/float64(max(1, s.Slots))) + wayCost(s.Zone)
	return v
}

// Clone returns a balancer that chooses as this one does from now on. Neither changes the
// other.
func (b *Balancer) Clone() *Balancer {
	out := New(b.locality)
	for id, st := range b.stats {
		c := *st
		out.stats[id] = &c
	}
	return out
}
