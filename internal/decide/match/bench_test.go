package match

import (
	"fmt"
	"testing"
)

// BenchmarkDecision times one routing decision: an item arrives, is granted a
// server, and ends there. A thousand items of other classes wait beside it.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			m := New(DefaultPolicy())
			now := start
			for i := range n {
				m.Report(now, idle(i))
			}
			for i := range 1000 {
				it := plain(uint64(1_000_000_000 + i))
				it.Class, it.MinVersion, it.Round = "round", 2, true // no server has this version
				_ = m.Enqueue(now, it)
			}
			b.ReportAllocs()
			id := uint64(0)
			for b.Loop() {
				id++
				if err := m.Enqueue(now, plain(id)); err != nil {
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

// BenchmarkSweep times what an entry does every 50 ms for all its servers.
func BenchmarkSweep(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			m := New(DefaultPolicy())
			for i := range n {
				m.Report(start, idle(i))
			}
			for b.Loop() {
				m.swept = 0
				m.Dispatch(start)
			}
		})
	}
}
