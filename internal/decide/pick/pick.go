// Package pick chooses the plain server for a request by the time that an
// answer is likely to take.
//
//  1. The likely time is the server's recent time for an answer, times its
//     load from here over its slots, plus the distance.
//  2. What is remembered of a server fades toward the best of its peers, so
//     that one which was slow is tried again.
//  3. A server that failed is passed over for a span that doubles with each
//     further failure; a success ends it. If all are passed over, none is.
//
// # Usage
//
//	b := pick.New(places)
//	s := b.Choose(now, servers, tried)
//	b.Start(s.ID)
//	b.End(now, s.ID, took, pick.Served)
package pick

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
)

const (
	share     = 0.2              // weight of a new time
	fade      = 2 * clock.Second // after which most of what was remembered is gone
	first     = 20.0             // ms for an answer of a server of which nothing is known
	coolLeast = 150 * clock.Milli
	coolMost  = 3 * clock.Second
	// Ways to a server in the same region and in another one and back: some 1.5
	// and 12 ms one way at both deployments.
	sameRegion  = 3 * clock.Milli
	otherRegion = 25 * clock.Milli
)

// Outcome is how a request at a server ended.
type Outcome uint8

// The outcomes.
const (
	Served   Outcome = iota
	Failed           // no answer, a broken one, or a failure
	Canceled         // given up from here; says nothing of the server
	Refused          // full
)

type stat struct {
	open  int
	time  float64 // ms for an answer
	at    clock.Millis
	fails int
	cool  clock.Millis
}

// Locality is where the node stands.
type Locality struct {
	Zone    string
	Regions map[string]string // by zone
}

// RoundTrip returns how long the way to a zone and back takes.
func (p Locality) RoundTrip(zone string) clock.Millis {
	switch {
	case zone == p.Zone:
		return 0
	case p.Regions[zone] == p.Regions[p.Zone]:
		return sameRegion
	}
	return otherRegion
}

// Balancer remembers the servers' recent behaviour.
type Balancer struct {
	place Locality
	stats map[string]*stat
}

// New returns an empty book.
func New(p Locality) *Balancer { return &Balancer{place: p, stats: make(map[string]*stat)} }

func (b *Balancer) stat(id string) *stat {
	s := b.stats[id]
	if s == nil {
		s = &stat{}
		b.stats[id] = s
	}
	return s
}

// Forget drops what is remembered of servers that are not listed.
func (b *Balancer) Forget(v *fleet.View) {
	for id, s := range b.stats {
		if s.open == 0 && v.ByID(id) == nil {
			delete(b.stats, id)
		}
	}
}

// Choose returns the server to ask, nil if there is none beside those tried.
func (b *Balancer) Choose(now clock.Millis, servers []*fleet.Server, tried map[string]bool) *fleet.Server {
	least := math.Inf(1)
	for _, s := range servers {
		if st := b.stats[s.ID]; st != nil && st.time > 0 {
			least = min(least, st.time)
		}
	}
	if math.IsInf(least, 1) {
		least = first
	}
	var best *fleet.Server
	bestTime, bestCool := 0.0, false
	for _, s := range servers {
		if s.Leaving || tried[s.ID] {
			continue
		}
		t, cool := least, false
		open := 0
		if st := b.stats[s.ID]; st != nil {
			if st.time > 0 { // rule 2
				t += (st.time - least) * math.Exp(-float64(now-st.at)/float64(fade))
			}
			cool = now < st.cool // rule 3
			open = st.open
		}
		t = t*(1+float64(open)/float64(max(1, s.Slots))) + float64(b.place.RoundTrip(s.Zone)) // rule 1
		if best == nil || bestCool && !cool || bestCool == cool && t < bestTime {
			best, bestTime, bestCool = s, t, cool
		}
	}
	return best
}

// Start notes that a request was sent.
func (b *Balancer) Start(id string) { b.stat(id).open++ }

// End notes how a request ended after a span.
func (b *Balancer) End(now clock.Millis, id string, took clock.Millis, o Outcome) {
	s := b.stat(id)
	s.open--
	switch o {
	case Served:
		s.fails, s.cool = 0, 0
		s.learn(now, float64(took))
	case Failed:
		s.cool = now + min(coolMost, coolLeast<<min(s.fails, 8)) // rule 3
		s.fails++
	case Refused:
		s.cool = now + coolLeast
	case Canceled:
		s.learn(now, max(s.time, float64(took)))
	}
}

func (s *stat) learn(now clock.Millis, took float64) {
	if s.time == 0 {
		s.time = took
	}
	s.time += share * (took - s.time)
	s.at = now
}
