// Package choice chooses one of many candidates.
//
// A [List] adds, removes and draws in constant time, so that the cost of a
// decision does not grow with the number of servers. From a short list the
// least loaded candidate is taken; from a long one the least loaded of a few
// random ones, which is nearly as even. A [Ring] finds the candidate that a
// key, such as a prompt's prefix, prefers.
//
// # Usage
//
//	var l route.List[*server]
//	l.Add(s)
//	best, ok := l.Least(rng, func(s *server) (load float64, ok bool) { ... })
package choice

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// Position is the place of a value in a [List]; the zero value is outside.
type Position struct{ at int }

// Member is a value that can stand in one [List].
type Member interface {
	comparable
	Position() *Position
}

// List holds candidates in no particular order.
type List[T Member] struct{ all []T }

const (
	scanned = 16 // candidates up to which all are compared
	drawn   = 4  // random candidates of a longer list
)

// Len returns the number of candidates.
func (l *List[T]) Len() int { return len(l.all) }

// Add puts a candidate in; a second time has no effect.
func (l *List[T]) Add(v T) {
	s := v.Position()
	if s.at > 0 {
		return
	}
	l.all = append(l.all, v)
	s.at = len(l.all)
}

// Del takes a candidate out, if it is there.
func (l *List[T]) Del(v T) {
	s := v.Position()
	if s.at == 0 {
		return
	}
	last := l.all[len(l.all)-1]
	l.all[s.at-1] = last
	last.Position().at = s.at
	s.at = 0
	clear(l.all[len(l.all)-1:])
	l.all = l.all[:len(l.all)-1]
}

// LeastLoaded returns a candidate with a low load. Candidates that load refuses are
// passed over.
func (l *List[T]) LeastLoaded(rng *rand.Rand, load func(T) (float64, bool)) (best T, found bool) {
	if len(l.all) > scanned {
		least := 0.0
		for range drawn {
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

func (l *List[T]) scan(load func(T) (float64, bool)) (best T, found bool) {
	least := 0.0
	for _, v := range l.all {
		if n, ok := load(v); ok && (!found || n < least) {
			best, least, found = v, n, true
		}
	}
	return best, found
}

// Ring places candidates on a circle by the hash of their names.
type Ring[T any] struct{ points []point[T] }

type point[T any] struct {
	hash  uint64
	value T
}

// Add places a candidate under its name.
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

// Del takes a candidate out.
func (r *Ring[T]) Del(name string) {
	h := Hash(name)
	r.points = slices.DeleteFunc(r.points, func(p point[T]) bool { return p.hash == h })
}

// Walk calls fn with the first n candidates after a key's place, until fn
// returns true.
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

// Hash spreads a name evenly; it is the same in every process.
func Hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // A hash never returns an error.
	v := h.Sum64()
	// Names that differ in their last byte only would stand close together.
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	return v
}
