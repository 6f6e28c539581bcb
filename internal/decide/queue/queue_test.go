package queue

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/proof/prop"
)

func init() { prop.Cases(20000) }

type expected struct {
	id  uint64
	due clock.Millis
}

// TestAgainstPlainList compares the queue with a list that is searched for the
// value that is due first.
func TestAgainstPlainList(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		q := New[uint64]()
		var list []expected // in the order in which values were added
		first := func() int {
			best := 0
			for i, w := range list {
				if cmp.Less(w.due, list[best].due) {
					best = i
				}
			}
			return best
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id := rapid.Uint64Range(1, 20).Draw(t, "id")
				due := clock.Millis(rapid.IntRange(0, 5).Draw(t, "due"))
				list = slices.DeleteFunc(list, func(w expected) bool { return w.id == id })
				list = append(list, expected{id, due})
				q.Push(id, due, id)
			},
			"pop": func(t *rapid.T) {
				v, ok := q.Pop()
				if ok != (len(list) > 0) {
					t.Fatalf("Pop returned ok=%v with %d values", ok, len(list))
				}
				if !ok {
					return
				}
				if i := first(); list[i].id == v {
					list = slices.Delete(list, i, i+1)
					return
				}
				t.Fatalf("Pop returned %d from %v", v, list)
			},
			"pop due": func(t *rapid.T) {
				now := clock.Millis(rapid.IntRange(0, 5).Draw(t, "now"))
				isDue := len(list) > 0 && list[first()].due <= now
				v, ok := q.PopDue(now)
				if ok != isDue {
					t.Fatalf("PopDue returned ok=%v at %v from %v", ok, now, list)
				}
				list = slices.DeleteFunc(list, func(w expected) bool { return ok && w.id == v })
			},
			"remove": func(t *rapid.T) {
				id := rapid.Uint64Range(1, 20).Draw(t, "id")
				had := slices.ContainsFunc(list, func(w expected) bool { return w.id == id })
				if _, ok := q.Remove(id); ok != had {
					t.Fatalf("Remove(%d) returned ok=%v from %v", id, ok, list)
				}
				list = slices.DeleteFunc(list, func(w expected) bool { return w.id == id })
			},
			"": func(t *rapid.T) {
				if q.Len() != len(list) {
					t.Fatalf("%d values, want %d", q.Len(), len(list))
				}
			},
		})
	})
}
