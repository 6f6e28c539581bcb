// Package swap decides which backend servers of a model load its newest
// version next.
//
// Rules:
//
//  1. The highest announced version is the target; lower ones are skipped.
//  2. In each zone at most a share of the servers loads at the same time, and
//     at least one stays in service if there are two or more.
//  3. A server that failed is tried again after a pause.
//
// # Usage
//
//	for _, n := range swap.Next(now, swap.Standard(), target, servers) { order(n, target) }
package swap

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Policy selects how the swaps are staggered.
type Policy struct {
	Share float64      // of a zone's servers that may load at once
	Retry clock.Millis // pause after a failed order
}

// Standard returns the policy of the product.
func Standard() Policy { return Policy{Share: 0.5, Retry: 2 * clock.Second} }

// Server is one backend server of the model.
type Server struct {
	Node    ident.Node
	Zone    ident.Zone
	Version ident.Version
	Loading bool         // it loads, or was ordered to
	Failed  clock.Millis // instant of the last failed order, 0 for none
}

// Next returns the nodes that get an order now.
func Next(now clock.Millis, p Policy, target ident.Version, servers []Server) []ident.Node {
	zones := make(map[ident.Zone][]Server)
	for _, s := range servers {
		zones[s.Zone] = append(zones[s.Zone], s)
	}
	var out []ident.Node
	for _, z := range zones {
		out = append(out, nextInZone(now, p, target, z)...)
	}
	slices.Sort(out)
	return out
}

func nextInZone(now clock.Millis, p Policy, target ident.Version, zone []Server) []ident.Node {
	limit := max(1, int(p.Share*float64(len(zone)))) // rule 2
	busy := 0
	var want []Server
	for _, s := range zone {
		switch {
		case s.Loading:
			busy++
		case s.Version >= target: // rule 1
		case s.Failed > 0 && now-s.Failed < p.Retry: // rule 3
		default:
			want = append(want, s)
		}
	}
	slices.SortFunc(want, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Node, b.Node))
	})
	var out []ident.Node
	for _, s := range want[:max(0, min(len(want), limit-busy))] {
		out = append(out, s.Node)
	}
	return out
}
