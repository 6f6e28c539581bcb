// Package queue holds waiting values in the order of an instant, such as the
// latest start that still meets a target. Slack is that instant less the
// present one, so the order by instant is the order by slack at every moment
// and needs no sorting again.
//
// Push, Pop and Remove take time in the logarithm of the length. Values with
// one instant leave in the order in which they came.
//
// # Usage
//
//	q := queue.New[Item]()
//	q.Push(it.ID, it.StartBy, it)
//	id, due, ok := q.Peek()
//	it, ok := q.Remove(id)
package queue

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

type entry[T any] struct {
	id    uint64
	due   clock.Millis
	order uint64
	value T
}

// Queue holds values of type T under distinct identities.
type Queue[T any] struct {
	heap  []entry[T]
	at    map[uint64]int // position in the heap
	added uint64
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{at: make(map[uint64]int)} }

// Len returns the number of values.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Push adds a value that is due at an instant. A value with the same identity
// is replaced.
func (q *Queue[T]) Push(id uint64, due clock.Millis, v T) {
	q.Remove(id)
	q.added++
	q.heap = append(q.heap, entry[T]{id: id, due: due, order: q.added, value: v})
	q.at[id] = len(q.heap) - 1
	q.up(len(q.heap) - 1)
}

// Peek returns the identity and the instant of the value that is due first.
func (q *Queue[T]) Peek() (id uint64, due clock.Millis, ok bool) {
	if len(q.heap) == 0 {
		return 0, 0, false
	}
	return q.heap[0].id, q.heap[0].due, true
}

// Pop takes out the value that is due first.
func (q *Queue[T]) Pop() (v T, ok bool) {
	if len(q.heap) == 0 {
		return v, false
	}
	return q.Remove(q.heap[0].id)
}

// PopDue takes out the first value if it is due by now.
func (q *Queue[T]) PopDue(now clock.Millis) (v T, ok bool) {
	if _, due, some := q.Peek(); !some || due > now {
		return v, false
	}
	return q.Pop()
}

// Remove takes out the value with an identity.
func (q *Queue[T]) Remove(id uint64) (v T, ok bool) {
	i, ok := q.at[id]
	if !ok {
		return v, false
	}
	v = q.heap[i].value
	last := len(q.heap) - 1
	q.swap(i, last)
	q.heap[last] = entry[T]{}
	q.heap = q.heap[:last]
	delete(q.at, id)
	if i < last {
		q.down(i)
		q.up(i)
	}
	return v, true
}

func (q *Queue[T]) less(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	if a.due != b.due {
		return a.due < b.due
	}
	return a.order < b.order
}

func (q *Queue[T]) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.at[q.heap[i].id] = i
	q.at[q.heap[j].id] = j
}

func (q *Queue[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *Queue[T]) down(i int) {
	for {
		least := i
		for _, child := range [...]int{2*i + 1, 2*i + 2} {
			if child < len(q.heap) && q.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.swap(i, least)
		i = least
	}
}
