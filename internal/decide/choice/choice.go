// Package choice chooses one of many candidates.
//
// A [List] adds and removes candidates in constant time and chooses one by load.
// From a short list it takes the least loaded candidate. From a long list it
// takes the least loaded of a few random candidates, which balances the load
// nearly as well at a cost that does not grow with the number of candidates. A
// [Ring] finds the preferred candidate of a key, such as the prefix of a prompt,
// by consistent hashing.
//
// # Usage
//
//	var l choice.List[*server]
//	l.Add(s)
//	best, ok := l.LeastLoaded(rng, func(s *server) (load float64, ok bool) { ... })
package choice

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// Position is the position of a value in a [List]: its index plus one, or zero if
// the value is not in the list.
type Position struct{ index int }

// Member is a value that can be in at most one [List].
type Member interface {
	comparable
	Position() *Position
}

// List holds candidates in no particular order.
type List[T Member] struct{ all []T }

const (
	maxScanned = 16 // longest list of which all candidates are compared
	sampleSize = 4  // candidates compared of a longer list
)

// Len returns the number of candidates.
func (l *List[T]) Len() int { return len(l.all) }

// Add adds a candidate that is not in the list yet.
func (l *List[T]) Add(v T) {
	p := v.Position()
	if p.index > 0 {
		return
	}
	l.all = append(l.all, v)
	p.index = len(l.all)
}

// Remove removes a candidate, if it is in the list.
func (l *List[T]) Remove(v T) {
	p := v.Position()
	if p.index == 0 {
		return
	}
	last := l.all[len(l.all)-1]
	l.all[p.index-1] = last
	last.Position().index = p.index
	p.index = 0
	clear(l.all[len(l.all)-1:])
	l.all = l.all[:len(l.all)-1]
}

// LeastLoaded returns a candidate with a low load. Candidates for which load
// returns false are skipped. If that leaves none of the random candidates, all
// candidates are compared.
func (l *List[T]) LeastLoaded(rng *rand.Rand, load func(T) (float64, bool)) (best T, found bool) {
	if len(l.all) > maxScanned {
		least := 0.0
		for range sampleSize {
			v := l.all[rng.IntN(len(l.all))]
			if n, ok := load(v); ok && (!found || n < least) {
				best, least, found = v, n, true
			}
		}
		if found {
			return best, true
		}
	}
	return l.scan(load)
}

// scan returns the least loaded of all candidates for which load returns true.
func (l *List[T]) scan(load func(T) (float64, bool)) (best T, found bool) {
	least := 0.0
	for _, v := range l.all {
		if n, ok := load(v); ok && (!found || n < least) {
			best, least, found = v, n, true
		}
	}
	return best, found
}

// Ring is a consistent hash ring of candidates, sorted by the hash of their names.
type Ring[T any] struct{ points []point[T] }

type point[T any] struct {
	hash  uint64
	value T
}

// Add adds a candidate under its name.
func (r *Ring[T]) Add(name string, v T) {
	r.points = append(r.points, point[T]{Hash(name), v})
	slices.SortFunc(r.points, func(a, b point[T]) int {
		if a.hash < b.hash {
			return -1
		}
		if a.hash > b.hash {
			return 1
		}
		return 0
	})
}

// Remove removes the candidate with a name.
func (r *Ring[T]) Remove(name string) {
	h := Hash(name)
	r.points = slices.DeleteFunc(r.points, func(p point[T]) bool { return p.hash == h })
}

// Walk calls fn with the n candidates that follow the hash of a key on the ring,
// until fn returns true.
func (r *Ring[T]) Walk(key string, n int, fn func(T) bool) {
	if len(r.points) == 0 {
		return
	}
	h := Hash(key)
	i, _ := slices.BinarySearchFunc(r.points, h, func(p point[T], h uint64) int {
		if p.hash < h {
			return -1
		}
		return 1
	})
	for k := range min(n, len(r.points)) {
		if fn(r.points[(i+k)%len(r.points)].value) {
			return
		}
	}
}

// Hash returns a hash of a string that is the same in every process.
func Hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // A hash never returns an error.
	v := h.Sum64()
	// With FNV alone, names that differ only in their last byte have similar hashes.
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	return v
}
