package claims

import (
	"fmt"
	"sync"
	"testing"
)

// BenchmarkAction measures what a claim costs one action on one entry: calls
// of the log and time, by the number of actions at once.
func BenchmarkAction(b *testing.B) {
	for _, at := range []int{1, 32, 256} {
		b.Run(fmt.Sprintf("%d-at-once", at), func(b *testing.B) {
			r := newRig(b, 0)
			e := r.entry("entry-a")
			before := r.log.Appends()
			var wg sync.WaitGroup
			slots := make(chan struct{}, at)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				slots <- struct{}{}
				key, body := newKey(r.c), fmt.Sprint(i)
				wg.Go(func() {
					defer func() { <-slots }()
					if _, err := r.send(e, key, body); err != nil {
						b.Error(err)
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			b.ReportMetric(float64(r.log.Appends()-before)/float64(b.N), "appends/op")
			b.ReportMetric(float64(e.gate.reads.Load())/float64(b.N), "reads/op")
		})
	}
}
