// Package queue implements a priority queue of values ordered by a due time,
// such as the latest start that still meets a target. Slack is the due time
// minus the current time, so the order by due time is also the order by slack
// and does not change as time passes.
//
// Push, Pop and Remove run in logarithmic time. Values with the same due time
// are returned in the order in which they were added.
//
// # Usage
//
//	q := queue.New[Item]()
//	q.Push(it.ID, it.StartBy, it)
//	key, due, ok := q.Peek()
//	it, ok := q.Remove(it.ID)
package queue

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

// entry is a value in the heap. Entries with the same due time are ordered by
// seq.
type entry[T any] struct {
	key   uint64
	due   clock.Millis
	seq   uint64
	value T
}

// Queue holds values of type T, each with a distinct key.
type Queue[T any] struct {
	heap    []entry[T]
	index   map[uint64]int // heap index by key
	lastSeq uint64
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{index: make(map[uint64]int)} }

// Len returns the number of values.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Push adds a value with a key and a due time. It replaces a value with the
// same key.
func (q *Queue[T]) Push(key uint64, due clock.Millis, v T) {
	q.Remove(key)
	q.lastSeq++
	q.heap = append(q.heap, entry[T]{key: key, due: due, seq: q.lastSeq, value: v})
	q.index[key] = len(q.heap) - 1
	q.up(len(q.heap) - 1)
}

// Peek returns the key and the due time of the value that is due first.
func (q *Queue[T]) Peek() (key uint64, due clock.Millis, ok bool) {
	if len(q.heap) == 0 {
		return 0, 0, false
	}
	return q.heap[0].key, q.heap[0].due, true
}

// Pop removes and returns the value that is due first.
func (q *Queue[T]) Pop() (v T, ok bool) {
	if len(q.heap) == 0 {
		return v, false
	}
	return q.Remove(q.heap[0].key)
}

// PopDue removes and returns the first value if its due time is not after now.
func (q *Queue[T]) PopDue(now clock.Millis) (v T, ok bool) {
	if _, due, found := q.Peek(); !found || due > now {
		return v, false
	}
	return q.Pop()
}

// Remove removes and returns the value with a key.
func (q *Queue[T]) Remove(key uint64) (v T, ok bool) {
	i, ok := q.index[key]
	if !ok {
		return v, false
	}
	v = q.heap[i].value
	last := len(q.heap) - 1
	q.swap(i, last)
	q.heap[last] = entry[T]{}
	q.heap = q.heap[:last]
	delete(q.index, key)
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
	return a.seq < b.seq
}

func (q *Queue[T]) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.index[q.heap[i].key] = i
	q.index[q.heap[j].key] = j
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
