// Package swap decides which backend servers of a model load its newest
// version next.
//
// Rules:
//
//  1. The highest announced version is the target; lower ones are skipped.
//  2. In each zone at most a share of the servers loads at the same time, and
//     at least one stays in service if there are two or more. Zones with one
//     server count together as one zone, so that they take turns.
//  3. Large zones are dealt into groups with one owner each, so that many
//     entries order at once without asking each other; the share holds in each
//     group.
//  4. A server whose order failed is tried again after a wait that doubles up
//     to a bound, or that the weight store asked for, with a part that differs
//     from server to server.
//  5. The servers with the lowest versions go first.
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

// Policy selects how the swaps are staggered.
type Policy struct {
	MaxLoadingShare float64      // of a group's servers that may load at once
	GroupSize       int          // servers of a zone that make one group
	RetryDelay      clock.Millis // wait after the first failed order
	MaxRetryDelay   clock.Millis // longest wait
}

// DefaultPolicy returns the policy of the product.
func DefaultPolicy() Policy {
	return Policy{MaxLoadingShare: 0.5, GroupSize: 64, RetryDelay: 500 * clock.Milli, MaxRetryDelay: 15 * clock.Second}
}

// Unstaggered returns the plain baseline: every server loads at the same time.
func Unstaggered() Policy {
	return Policy{MaxLoadingShare: 1, GroupSize: 64, RetryDelay: 2 * clock.Second, MaxRetryDelay: 2 * clock.Second}
}

// Server is one backend server of the model.
type Server struct {
	Node      ident.Node
	Zone      ident.Zone
	Region    ident.Region
	Version   ident.Version
	Loading   bool         // it loads, or was ordered to
	Leaving   bool         // it takes no work
	NotBefore clock.Millis // no order before this instant
}

// Group is a part of a model's servers whose swaps one entry orders.
type Group struct {
	key     string
	servers []Server
}

// Key names the group on every entry.
func (g Group) Key() string { return g.key }

// First returns the first server by zone and name. The entry that orders the
// group is one to which this server's agent reports.
func (g Group) First() Server {
	return slices.MinFunc(g.servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Node, b.Node))
	})
}

// singles is the group of the zones with one server.
const singles = "singles"

// Groups deals the servers of a model into groups (rules 2 and 3).
func Groups(p Policy, servers []Server) []Group {
	sizes := make(map[ident.Zone]int)
	for _, s := range servers {
		sizes[s.Zone]++
	}
	byKey := make(map[string]*Group)
	for _, s := range servers {
		k := groupOf(p, s, sizes[s.Zone])
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

func groupOf(p Policy, s Server, size int) string {
	if size == 1 {
		return singles
	}
	parts := uint64((size + p.GroupSize - 1) / p.GroupSize)
	return "zone/" + string(s.Zone) + "/" + strconv.FormatUint(hash(s.Node)%parts, 10)
}

func hash(n ident.Node) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(n))
	return h.Sum64()
}

// Next returns the nodes of a group that get an order now.
func Next(now clock.Millis, p Policy, target ident.Version, g Group) []ident.Node {
	serving, busy := 0, 0
	var want []Server
	for _, s := range g.servers {
		if s.Leaving {
			continue
		}
		serving++
		switch {
		case s.Loading:
			busy++
		case s.Version >= target: // rule 1
		case now < s.NotBefore: // rule 4
		default:
			want = append(want, s)
		}
	}
	slices.SortFunc(want, func(a, b Server) int { // rule 5
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Node, b.Node))
	})
	limit := max(1, int(p.MaxLoadingShare*float64(serving))) // rule 2
	var out []ident.Node
	for _, s := range want[:max(0, min(len(want), limit-busy))] {
		out = append(out, s.Node)
	}
	return out
}

// maxShift bounds the doubling of the wait.
const maxShift = 16

// RetryDelay returns how long a server waits after a number of failed orders, the
// last of which asked for a wait of its own (rule 4).
func RetryDelay(p Policy, n ident.Node, failures int, asked clock.Millis) clock.Millis {
	w := min(p.MaxRetryDelay, p.RetryDelay<<min(max(0, failures-1), maxShift))
	const shares = 64
	w = w/2 + w/2*clock.Millis(hash(n)%shares)/shares
	return max(asked, w)
}
