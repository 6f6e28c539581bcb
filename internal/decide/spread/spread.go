// Package spread assigns keys to nodes by rendezvous hashing: each pair of a
// key and a node has a weight, and the nodes with the highest weights are
// chosen for the key. When a node joins or leaves, only the keys that it gains
// or loses are assigned anew.
//
// # Usage
//
//	owner, ok := spread.Owner("round/"+id, entries)
//	three := spread.Top("agent-7", entries, 3)
package spread

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/hash"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// weight returns the hash of a key and a node.
func weight(key string, n ident.Node) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(n))
	return hash.Mix(h.Sum64())
}

// rankedNode is a node with its weight for a key.
type rankedNode struct {
	node   ident.Node
	weight uint64
}

// compare orders by descending weight, then by name.
func (a rankedNode) compare(b rankedNode) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(a.node, b.node)
}

// Top returns up to n nodes for a key, highest weight first.
func Top(key string, nodes []ident.Node, n int) []ident.Node {
	best := top(key, len(nodes), n, func(i int) ident.Node { return nodes[i] })
	out := make([]ident.Node, 0, len(best))
	for _, r := range best {
		out = append(out, r.node)
	}
	return out
}

// topNode is one of the nodes with the highest weights, and its index.
type topNode struct {
	rankedNode
	index int
}

func (a topNode) compare(b topNode) int { return a.rankedNode.compare(b.rankedNode) }

// top returns up to n of a number of nodes, highest weight first.
func top(key string, count, n int, node func(int) ident.Node) []topNode {
	ranked := func(i int) topNode {
		m := node(i)
		return topNode{rankedNode{m, weight(key, m)}, i}
	}
	n = max(0, min(n, count))
	if n > count/4 {
		all := make([]topNode, count)
		for i := range all {
			all[i] = ranked(i)
		}
		slices.SortFunc(all, topNode.compare)
		return all[:n]
	}
	best := make([]topNode, 0, n+1)
	for i := range count {
		r := ranked(i)
		if n == 0 || len(best) == n && r.compare(best[n-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, r, topNode.compare)
		best = slices.Insert(best, at, r)
		best = best[:min(n, len(best))]
	}
	return best
}

// IsTop reports whether a node is among the n nodes with the highest weights for a key,
// itself included. It is much cheaper than [Top] where few of many nodes are.
func IsTop(key string, node ident.Node, nodes []ident.Node, n int) bool {
	own := rankedNode{node, weight(key, node)}
	higher := 0
	for _, m := range nodes {
		if m == node {
			continue
		}
		if (rankedNode{m, weight(key, m)}).compare(own) < 0 {
			higher++
		}
		if higher >= n {
			return false
		}
	}
	return n > 0
}

// Peer is a node with its inner address.
type Peer struct {
	Name ident.Node
	Addr string
}

// TopPeers is [Top] for peers.
func TopPeers(key string, peers []Peer, n int) []Peer {
	best := top(key, len(peers), n, func(i int) ident.Node { return peers[i].Name })
	out := make([]Peer, 0, len(best))
	for _, r := range best {
		out = append(out, peers[r.index])
	}
	return out
}

// Owner returns the node with the highest weight for a key.
func Owner(key string, nodes []ident.Node) (ident.Node, bool) {
	var best rankedNode
	for i, m := range nodes {
		r := rankedNode{m, weight(key, m)}
		if i == 0 || r.compare(best) < 0 {
			best = r
		}
	}
	return best.node, len(nodes) > 0
}

// Rank returns how many nodes have a higher weight for a key than a node.
func Rank(key string, nodes []ident.Node, self ident.Node) int {
	own := rankedNode{self, weight(key, self)}
	n := 0
	for _, m := range nodes {
		if m != self && (rankedNode{m, weight(key, m)}).compare(own) < 0 {
			n++
		}
	}
	return n
}

// Successors returns up to n nodes that follow a node on a ring, where the nodes
// are ordered by their hashes. Each node is thus a successor of n others. The
// nodes must not include the node itself.
func Successors(self ident.Node, nodes []ident.Node, n int) []ident.Node {
	distance := func(o ident.Node) uint64 { return weight("ring", o) - weight("ring", self) }
	out := slices.Clone(nodes)
	slices.SortFunc(out, func(a, b ident.Node) int { return cmp.Compare(distance(a), distance(b)) })
	return out[:min(n, len(out))]
}
