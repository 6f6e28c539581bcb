// Package share gives each engine of a service mainly one model.
//
// Loading a version stops an engine and costs, so that a model's versions are
// loaded only where the model is served. Every node computes the same shares
// from the registry alone:
//
//  1. The engines of a service are taken in the order of a hash of their
//     address, which outlives a restart.
//  2. Each takes the model that it prefers by rendezvous hashing, so that few
//     engines change their model when one comes or goes.
//  3. A model's quota is its part of the demand, at least one engine while
//     there are enough. Without a known demand all are equal.
//  4. No model gets more or less than its quota: the last engines take what is
//     missing.
//
// # Usage
//
//	m := share.Out(view.Of("drafts"), models, demand)
//	model := m["i-7"]
package share

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/hash"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
)

func weight(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return hash.Mix(h.Sum64())
}

// Assign returns the model of each engine by the engine's identity. Leaving
// engines get none. The demand is in any unit, nil if it is not known.
func Assign(engines []*fleet.Server, models []string, demand map[string]int64) map[string]string {
	out := make(map[string]string, len(engines))
	if len(models) == 0 {
		return out
	}
	all := order(engines) // rule 1
	left := Quotas(len(all), models, demand)
	for _, e := range all {
		best, most := "", uint64(0)
		for _, m := range models {
			if left[m] == 0 { // rule 4
				continue
			}
			if w := weight(e.Addr, m); best == "" || w > most { // rule 2
				best, most = m, w
			}
		}
		out[e.ID] = best
		left[best]--
	}
	return out
}

// Quotas returns how many of n engines each model gets (rule 3), by the largest
// remainder.
func Quotas(n int, models []string, demand map[string]int64) map[string]int {
	out := make(map[string]int, len(models))
	ms := slices.Clone(models)
	slices.Sort(ms)
	var total int64
	for _, m := range ms {
		total += max(0, demand[m])
	}
	part := func(m string) float64 {
		if total == 0 {
			return float64(n) / float64(len(ms))
		}
		return float64(n) * float64(max(0, demand[m])) / float64(total)
	}
	for range n {
		best := ""
		for _, m := range ms {
			if best == "" || lacks(out[m], part(m), out[best], part(best)) {
				best = m
			}
		}
		out[best]++
	}
	return out
}

// lacks reports whether a model with some engines and a wanted part lacks one
// more than another does. One without an engine comes first.
func lacks(has int, part float64, otherHas int, otherPart float64) bool {
	if (has == 0) != (otherHas == 0) {
		return has == 0
	}
	return part-float64(has) > otherPart-float64(otherHas)
}

func order(engines []*fleet.Server) []*fleet.Server {
	all := make([]*fleet.Server, 0, len(engines))
	place := make(map[*fleet.Server]uint64, len(engines))
	for _, e := range engines {
		if !e.Leaving {
			all = append(all, e)
			place[e] = weight(e.Addr, "")
		}
	}
	slices.SortFunc(all, func(a, b *fleet.Server) int {
		return cmp.Or(cmp.Compare(place[a], place[b]), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// Rank returns the place of an engine among those with its model, and their
// number; loads take turns by it.
func Rank(engines []*fleet.Server, shares map[string]string, id string) (rank, of int) {
	for _, e := range order(engines) {
		if e.ID == id {
			rank = of
		}
		if shares[e.ID] == shares[id] {
			of++
		}
	}
	return rank, of
}
