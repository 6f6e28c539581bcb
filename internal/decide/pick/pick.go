// Package pick chooses the server for a request to a plain service, which has no
// models, by the expected response time.
//
//  1. The expected response time is the server's recent response time,
//     increased in proportion to this node's requests in flight per slot, plus
//     the cost of the way to its zone; see package zones.
//  2. The recorded response time of a server decays toward that of the fastest
//     candidate, so that a server that was slow is tried again.
//  3. A server that failed is in backoff for a time that doubles with each
//     further failure; a success ends the backoff. A refusal causes the minimum
//     backoff. If all servers are in backoff, the backoff is ignored.
//  4. A server that leaves gets no attempt. One whose registry entry does not say so is a
//     last resort for some time after it stated it, since it still answers.
//
// # Usage
//
//	b := pick.New(locality)
//	s := b.Choose(now, servers, tried, wayCost)
//	b.Start(s.ID)
//	b.End(now, s.ID, took, pick.Served)
package pick

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/zones"
)

const (
	ewmaWeight          = 0.2              // of a new response time
	decayTimeConstant   = 2 * clock.Second // of a recorded response time (rule 2)
	defaultResponseTime = 20.0             // ms, while no response time is known
	minBackoff          = 150 * clock.Milli
	maxBackoff          = 3 * clock.Second
	// downFailures is the number of failures in a row after which a server in backoff has no
	// capacity. A server that only resets some connections seldom fails as often.
	downFailures = 3
)

// Outcome is how an attempt at a server ended.
type Outcome uint8

// The outcomes.
const (
	Served   Outcome = iota
	Failed           // no answer, a truncated answer, or a failure
	Canceled         // canceled by this node; no evidence of a failure
	Refused          // the server had no free slot
)

// stat is what a [Balancer] records about a server.
type stat struct {
	inFlight     int
	responseTime float64 // moving average in ms, 0 if not known
	updatedAt    clock.Millis
	failures     int // since the last success
	backoffUntil clock.Millis
}

// Locality is the zone of this node and the cost of leaving it.
type Locality = zones.Locality

// Balancer chooses servers by their recent outcomes and response times.
type Balancer struct {
	locality Locality
	stats    map[string]*stat // by server ID
}

// New returns a balancer that has recorded nothing yet.
func New(locality Locality) *Balancer {
	return &Balancer{locality: locality, stats: make(map[string]*stat)}
}

func (b *Balancer) stat(id string) *stat {
	s := b.stats[id]
	if s == nil {
		s = &stat{}
		b.stats[id] = s
	}
	return s
}

// Prune removes the records of servers that are not listed and have no request
// in flight.
func (b *Balancer) Prune(v *fleet.View) {
	for id, s := range b.stats {
		if s.inFlight == 0 && v.ByID(id) == nil {
			delete(b.stats, id)
		}
	}
}

// Choose returns the server for the next attempt, nil if none is left. It skips
// servers that are leaving or were tried before. The cost of the way to a zone is in ms;
// nil stands for the declared round trip.
func (b *Balancer) Choose(
	now clock.Millis, servers []*fleet.Server, tried map[string]bool, wayCost func(zone string) float64,
) *fleet.Server {
	if wayCost == nil {
		wayCost = b.roundTrip
	}
	return b.choose(now, servers, wayCost, func(s *fleet.Server) bool { return !s.IsLeaving() && !tried[s.ID] })
}

func (b *Balancer) roundTrip(zone string) float64 { return float64(b.locality.RoundTrip(zone)) }

// Capacities returns the servers with the number of requests that each can serve in a ms.
func (b *Balancer) Capacities(now clock.Millis, servers []*fleet.Server) []zones.Server {
	fastest := b.fastest(servers)
	all := make([]zones.Server, 0, len(servers))
	for _, s := range servers {
		slots, st := max(1, s.Slots), b.stats[s.ID]
		capacity := float64(slots) / st.expected(now, fastest)
		if s.IsLeaving() || st != nil && st.failures >= downFailures && now < st.backoffUntil {
			capacity = 0
		}
		all = append(all, zones.Server{Zone: s.Zone, Slots: slots, Capacity: capacity})
	}
	return all
}

// fastest returns the response time of the fastest server.
func (b *Balancer) fastest(servers []*fleet.Server) float64 {
	fastest := math.Inf(1)
	for _, s := range servers {
		if st := b.stats[s.ID]; st != nil && st.responseTime > 0 {
			fastest = min(fastest, st.responseTime)
		}
	}
	if math.IsInf(fastest, 1) {
		return defaultResponseTime
	}
	return fastest
}

// expected returns the response time of a server without load, given that of the fastest
// (rule 2).
func (s *stat) expected(now clock.Millis, fastest float64) float64 {
	if s == nil || s.responseTime == 0 {
		return fastest
	}
	return fastest + (s.responseTime-fastest)*math.Exp(-float64(now-s.updatedAt)/float64(decayTimeConstant))
}

// ChooseLeaving returns the last resort for the next attempt, nil if there is none: a
// server that stated within the given period that it leaves (rule 4).
func (b *Balancer) ChooseLeaving(now, period clock.Millis, servers []*fleet.Server, tried map[string]bool) *fleet.Server {
	return b.choose(now, servers, b.roundTrip, func(s *fleet.Server) bool {
		return s.LeavingSince > 0 && !s.Leaving && now-s.LeavingSince < period && !tried[s.ID]
	})
}

// choose returns the best of the eligible servers.
func (b *Balancer) choose(
	now clock.Millis, servers []*fleet.Server, wayCost func(zone string) float64, eligible func(*fleet.Server) bool,
) *fleet.Server {
	fastest := b.fastest(servers)
	var best View
	for _, s := range servers {
		if !eligible(s) {
			continue
		}
		v := b.view(now, s, fastest, wayCost)
		if best.Server == nil || best.InBackoff() && !v.InBackoff() || best.InBackoff() == v.InBackoff() && v.Expected < best.Expected {
			best = v
		}
	}
	return best.Server
}

// Start records that an attempt at a server started.
func (b *Balancer) Start(id string) { b.stat(id).inFlight++ }

// End records the outcome and duration of an attempt at a server.
func (b *Balancer) End(now clock.Millis, id string, took clock.Millis, o Outcome) {
	s := b.stat(id)
	s.inFlight--
	switch o {
	case Served:
		s.failures, s.backoffUntil = 0, 0
		s.observe(now, float64(took))
	case Failed:
		s.backoffUntil = now + min(maxBackoff, minBackoff<<min(s.failures, 8)) // rule 3
		s.failures++
	case Refused:
		s.backoffUntil = now + minBackoff
	case Canceled: // The answer would have taken at least this long.
		s.observe(now, max(s.responseTime, float64(took)))
	}
}

// observe adds a response time in ms to the moving average.
func (s *stat) observe(now clock.Millis, took float64) {
	if s.responseTime == 0 {
		s.responseTime = took
	}
	s.responseTime += ewmaWeight * (took - s.responseTime)
	s.updatedAt = now
}
