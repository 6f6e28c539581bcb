package match

import (
	"fmt"
	"testing"
)

// BenchmarkDecision measures one routing decision: an item is enqueued, gets a
// server and finishes there, while a thousand items of other classes wait.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			m := New(DefaultPolicy())
			now := start
			for i := range n {
				m.Report(now, idleServer(i))
			}
			for i := range 1000 {
				it := testItem(uint64(1_000_000_000 + i))
				it.Class, it.MinVersion, it.Round = "round", 2, true // no server has this version
				_ = m.Enqueue(now, it)
			}
			b.ReportAllocs()
			id := uint64(0)
			for b.Loop() {
				id++
				if err := m.Enqueue(now, testItem(id)); err != nil {
					b.Fatal(err)
				}
				grants, _ := m.Dispatch(now)
				if len(grants) != 1 {
					b.Fatalf("%d grants", len(grants))
				}
				m.Finish(now, id, grants[0].Node, Result{Outcome: Served})
			}
		})
	}
}

// BenchmarkSweep measures the sweep, which an entry runs every 50 ms over all
// its servers.
func BenchmarkSweep(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			m := New(DefaultPolicy())
			for i := range n {
				m.Report(start, idleServer(i))
			}
			for b.Loop() {
				m.lastSweep = 0
				m.Dispatch(start)
			}
		})
	}
}
