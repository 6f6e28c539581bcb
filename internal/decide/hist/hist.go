// Package hist estimates quantiles of spans of time, with more weight on the
// recent ones.
//
// # Usage
//
//	var h hist.Hist
//	h.Add(120 * clock.Milli)
//	p95, ok := h.Quantile(0.95)
package hist

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	perDouble = 4  // buckets for each doubling, so a bucket is 19% wide
	buckets   = 90 // up to an hour and a half
	keep      = 1024
	enough    = 8 // values before a quantile is told
)

// Histogram is a histogram with buckets of equal ratio. The zero value is empty.
type Histogram struct {
	counts [buckets]float64
	total  float64
}

// Add takes in a span.
func (h *Histogram) Add(v clock.Millis) {
	i := 0
	if v > 1 {
		i = min(buckets-1, int(math.Log2(float64(v))*perDouble))
	}
	h.counts[i]++
	h.total++
	if h.total >= keep {
		h.halve()
	}
}

// halve lets older values count less.
func (h *Histogram) halve() {
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

// Quantile returns the upper edge of the bucket that holds the quantile q;
// false before there are enough values.
func (h *Histogram) Quantile(q float64) (clock.Millis, bool) {
	if h.total < enough {
		return 0, false
	}
	seen := 0.0
	for i, n := range h.counts {
		seen += n
		if seen >= q*h.total {
			return edge(i), true
		}
	}
	return edge(buckets - 1), true
}

func edge(i int) clock.Millis {
	return clock.Millis(math.Ceil(math.Exp2(float64(i+1) / perDouble)))
}
