// Package swap schedules the rollout of a model's weights: it decides which
// backend servers are ordered to load the announced version next.
//
// Rules:
//
//  1. The highest announced version is the target; lower ones are skipped.
//  2. In each zone at most a share of the servers loads at the same time, and
//     at least one stays in service if there are two or more. Zones with one
//     server are treated as one zone, so that they load in turn.
//  3. Large zones are divided into groups with one owner each, so that several
//     entries can send load orders in parallel without coordination. The share
//     applies to each group.
//  4. After a failed order a server waits before the next one. The wait doubles
//     up to a bound and has a jitter per server; it is never shorter than the
//     retry-after of the failure, which the weight store or the agent sets.
//  5. Servers with the lowest versions are ordered first.
//
// # Usage
//
//	for _, g := range swap.Groups(p, servers) {
//		if owns(g) {
//			for _, n := range swap.Next(now, p, target, g) { order(n, target) }
//		}
//	}
package swap

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Policy holds the parameters of the rollout.
type Policy struct {
	MaxLoadingShare float64      // share of a group's servers that may load at the same time
	GroupSize       int          // intended number of servers per group
	RetryDelay      clock.Millis // wait after the first failed order
	MaxRetryDelay   clock.Millis // bound of the wait, which doubles with each failure
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{MaxLoadingShare: 0.5, GroupSize: 64, RetryDelay: 500 * clock.Milli, MaxRetryDelay: 15 * clock.Second}
}

// UnstaggeredPolicy returns a policy under which all servers load at the same time,
// without regard to rule 2. Simulations use it as a baseline.
func UnstaggeredPolicy() Policy {
	return Policy{MaxLoadingShare: 1, GroupSize: 64, RetryDelay: 2 * clock.Second, MaxRetryDelay: 2 * clock.Second}
}

// Server is one backend server of the model.
type Server struct {
	Node      ident.Node
	Zone      ident.Zone
	Region    ident.Region
	Version   ident.Version
	Loading   bool         // is loading, or was ordered to load
	Leaving   bool         // accepts no work
	NotBefore clock.Millis // earliest time of the next order
}

// Group is a set of a model's servers whose load orders one entry sends.
type Group struct {
	key     string
	servers []Server
}

// Key returns the name of the group, which is the same on every entry.
func (g Group) Key() string { return g.key }

// First returns the first server by zone and name. The group is owned by an
// entry to which this server's agent reports.
func (g Group) First() Server {
	return slices.MinFunc(g.servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Node, b.Node))
	})
}

// singleServerZones is the key of the group of all zones with one server.
const singleServerZones = "singles"

// Groups divides the servers of a model into groups (rules 2 and 3), sorted by
// key.
func Groups(p Policy, servers []Server) []Group {
	sizes := make(map[ident.Zone]int)
	for _, s := range servers {
		sizes[s.Zone]++
	}
	byKey := make(map[string]*Group)
	for _, s := range servers {
		k := groupKey(p, s, sizes[s.Zone])
		g := byKey[k]
		if g == nil {
			g = &Group{key: k}
			byKey[k] = g
		}
		g.servers = append(g.servers, s)
	}
	out := make([]Group, 0, len(byKey))
	for _, g := range byKey {
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b Group) int { return cmp.Compare(a.key, b.key) })
	return out
}

func groupKey(p Policy, s Server, size int) string {
	if size == 1 {
		return singleServerZones
	}
	groups := uint64((size + p.GroupSize - 1) / p.GroupSize)
	return "zone/" + string(s.Zone) + "/" + strconv.FormatUint(hash(s.Node)%groups, 10)
}

func hash(n ident.Node) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(n))
	return h.Sum64()
}

// Next returns the nodes of a group to which a load order is sent now.
func Next(now clock.Millis, p Policy, target ident.Version, g Group) []ident.Node {
	active, loading := 0, 0
	var candidates []Server
	for _, s := range g.servers {
		if s.Leaving {
			continue
		}
		active++
		switch {
		case s.Loading:
			loading++
		case s.Version >= target: // rule 1
		case now < s.NotBefore: // rule 4
		default:
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(a, b Server) int { // rule 5
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Node, b.Node))
	})
	limit := max(1, int(p.MaxLoadingShare*float64(active))) // rule 2
	var out []ident.Node
	for _, s := range candidates[:max(0, min(len(candidates), limit-loading))] {
		out = append(out, s.Node)
	}
	return out
}

// maxDoublings bounds how often the wait is doubled.
const maxDoublings = 16

// RetryDelay returns the wait of a server after a number of failed orders (rule
// 4). requested is the retry-after of the last failure, 0 for none.
func RetryDelay(p Policy, n ident.Node, failures int, requested clock.Millis) clock.Millis {
	w := min(p.MaxRetryDelay, p.RetryDelay<<min(max(0, failures-1), maxDoublings))
	const shares = 64
	w = w/2 + w/2*clock.Millis(hash(n)%shares)/shares
	return max(requested, w)
}
