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
//  3. No model gets more than its equal share, rounded up.
//  4. No model gets less than its equal share, rounded down: the last engines
//     take what is missing.
//
// # Usage
//
//	m := share.Out(view.Of("drafts"), models)
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

// Out returns the model of each engine by the engine's identity. Leaving
// engines get none.
func Out(engines []*fleet.Server, models []string) map[string]string {
	out := make(map[string]string, len(engines))
	if len(models) == 0 {
		return out
	}
	all := order(engines) // rule 1
	least, most := len(all)/len(models), (len(all)+len(models)-1)/len(models)
	count := make(map[string]int, len(models))
	missing := least * len(models)
	for i, e := range all {
		forced := missing >= len(all)-i // rule 4
		best := ""
		for _, m := range models {
			if count[m] >= most || forced && count[m] >= least { // rule 3
				continue
			}
			if best == "" || weight(e.Addr, m) > weight(e.Addr, best) { // rule 2
				best = m
			}
		}
		out[e.ID] = best
		if count[best] < least {
			missing--
		}
		count[best]++
	}
	return out
}

func order(engines []*fleet.Server) []*fleet.Server {
	all := make([]*fleet.Server, 0, len(engines))
	for _, e := range engines {
		if !e.Leaving {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *fleet.Server) int {
		return cmp.Or(cmp.Compare(weight(a.Addr, ""), weight(b.Addr, "")), cmp.Compare(a.ID, b.ID))
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
