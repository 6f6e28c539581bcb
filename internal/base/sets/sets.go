// Package sets provides a generic set type.
//
// # Usage
//
//	s := sets.Of("a", "b")
//	s.Add("c")
//	if s.Has("a") { ... }
//
// A set is not safe for concurrent use while it is written.
package sets

import (
	"cmp"
	"slices"
)

// Set is a set of values of type T.
type Set[T cmp.Ordered] map[T]struct{}

// Of returns a set with the given values.
func Of[T cmp.Ordered](vs ...T) Set[T] {
	s := make(Set[T], len(vs))
	for _, v := range vs {
		s.Add(v)
	}
	return s
}

// Add adds a value to the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Del removes a value from the set.
func (s Set[T]) Del(v T) { delete(s, v) }

// Has reports whether the set contains the value.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T {
	vs := make([]T, 0, len(s))
	for v := range s {
		vs = append(vs, v)
	}
	slices.Sort(vs)
	return vs
}
