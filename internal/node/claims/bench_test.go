package claims

import (
	"fmt"
	"sync"
	"testing"
)

// BenchmarkAction measures the cost of the claim of an action on one entry, as
// time and calls of the log, for several numbers of concurrent actions.
func BenchmarkAction(b *testing.B) {
	for _, concurrency := range []int{1, 32, 256} {
		b.Run(fmt.Sprintf("%d-at-once", concurrency), func(b *testing.B) {
			r := newTestCluster(b, 0)
			e := r.newEntry("entry-a")
			before := r.log.Appends()
			var wg sync.WaitGroup
			slots := make(chan struct{}, concurrency)
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
			b.ReportMetric(float64(e.faultyLog.reads.Load())/float64(b.N), "reads/op")
		})
	}
}
