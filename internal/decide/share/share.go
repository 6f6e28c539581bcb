// Package share assigns one model to each engine of a service.
//
// While an engine loads a version of a model, it can't generate, so the versions
// of a model are loaded only on the engines that the model is assigned to. Nodes
// with the same registry and demand compute the same assignment:
//
//  1. The engines of a service are sorted by a hash of their address, which does
//     not change with a restart. Those that leave by their registry entries get no
//     model. What an engine itself states about its end is known to few nodes.
//  2. Each engine in turn gets the model that rendezvous hashing prefers for it,
//     so that few engines change their model when an engine is added or removed.
//  3. The quota of a model is its share of the demand, and at least one engine if
//     there are enough engines. If the demand is not known, all quotas are
//     equal.
//  4. Each model gets exactly its quota: a model whose quota is used up is not
//     assigned to further engines, so the last engines get what is left.
//
// # Usage
//
//	var c share.Cache
//	m := c.Assign(view.ByService("drafts"), models, demand)
//	model := m["i-7"]
package share

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/hash"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
)

// pairHash returns a hash of two strings that is the same in every process.
func pairHash(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return hash.Mix(h.Sum64())
}

// Assign returns the model of each engine by the engine's ID. Engines that are
// leaving get none. The demand is by model, in any unit; nil if it is not known.
func Assign(engines []*fleet.Server, models []string, demand map[string]int64) map[string]string {
	out := make(map[string]string, len(engines))
	if len(models) == 0 {
		return out
	}
	sorted := sortByHash(engines) // rule 1
	remaining := Quotas(len(sorted), models, demand)
	for _, e := range sorted {
		best, bestHash := "", uint64(0)
		for _, m := range models {
			if remaining[m] == 0 { // rule 4
				continue
			}
			if h := pairHash(e.Addr, m); best == "" || h > bestHash { // rule 2
				best, bestHash = m, h
			}
		}
		out[e.ID] = best
		remaining[best]--
	}
	return out
}

// Cache keeps the last assignment of a service, since a node asks for it many times between
// two changes of the engines or the demand. The zero value is empty.
type Cache struct {
	engines  []*fleet.Server
	models   []string
	demand   map[string]int64
	assigned map[string]string
}

// Assign is the function of that name. Neither the arguments nor the result may be changed
// afterwards; an engine that changes is another one.
func (c *Cache) Assign(engines []*fleet.Server, models []string, demand map[string]int64) map[string]string {
	if c.assigned == nil || !slices.Equal(engines, c.engines) || !slices.Equal(models, c.models) || !maps.Equal(demand, c.demand) {
		*c = Cache{engines, models, demand, Assign(engines, models, demand)}
	}
	return c.assigned
}

// Quotas returns how many of n engines each model gets (rule 3), by the largest
// remainder method: engines are distributed one by one, each to the model that is
// furthest below its exact share.
func Quotas(n int, models []string, demand map[string]int64) map[string]int {
	out := make(map[string]int, len(models))
	sorted := slices.Clone(models)
	slices.Sort(sorted)
	var total int64
	for _, m := range sorted {
		total += max(0, demand[m])
	}
	exactShare := func(m string) float64 {
		if total == 0 {
			return float64(n) / float64(len(sorted))
		}
		return float64(n) * float64(max(0, demand[m])) / float64(total)
	}
	for range n {
		best := ""
		for _, m := range sorted {
			if best == "" || needsMore(out[m], exactShare(m), out[best], exactShare(best)) {
				best = m
			}
		}
		out[best]++
	}
	return out
}

// needsMore reports whether a model, given its number of engines and its exact
// share, needs another engine more than another model does. A model without an
// engine comes first.
func needsMore(count int, share float64, otherCount int, otherShare float64) bool {
	if (count == 0) != (otherCount == 0) {
		return count == 0
	}
	return share-float64(count) > otherShare-float64(otherCount)
}

// sortByHash returns the engines that are not leaving, sorted by the hash of their
// address and then by ID.
func sortByHash(engines []*fleet.Server) []*fleet.Server {
	sorted := make([]*fleet.Server, 0, len(engines))
	hashes := make(map[*fleet.Server]uint64, len(engines))
	for _, e := range engines {
		if !e.Leaving {
			sorted = append(sorted, e)
			hashes[e] = pairHash(e.Addr, "")
		}
	}
	slices.SortFunc(sorted, func(a, b *fleet.Server) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a.ID, b.ID))
	})
	return sorted
}

// Rank returns the rank of an engine among the engines with the same model, and
// the number of these engines. Engines load a new version in the order of their
// ranks.
func Rank(engines []*fleet.Server, assigned map[string]string, id string) (rank, count int) {
	for _, e := range sortByHash(engines) {
		if e.ID == id {
			rank = count
		}
		if assigned[e.ID] == assigned[id] {
			count++
		}
	}
	return rank, count
}
