// Package hist estimates quantiles of durations, with more weight on recent
// values.
//
// # Usage
//
//	var h hist.Histogram
//	h.Add(120 * clock.Milli)
//	p95, ok := h.Quantile(0.95)
package hist

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	bucketsPerDoubling = 4    // so each bucket is 19% wide
	bucketCount        = 90   // up to 2^22.5 ms, about 1.6 hours
	halvingTotal       = 1024 // at this total the counts are halved
	minTotal           = 8    // smaller totals give no quantile
)

// Histogram counts values in buckets with exponentially growing bounds. The
// zero value is empty.
type Histogram struct {
	counts [bucketCount]float64
	total  float64
}

// Add adds a value.
func (h *Histogram) Add(v clock.Millis) {
	i := 0
	if v > 1 {
		i = min(bucketCount-1, int(math.Log2(float64(v))*bucketsPerDoubling))
	}
	h.counts[i]++
	h.total++
	if h.total >= halvingTotal {
		h.halve()
	}
}

// halve halves all counts, which lowers the weight of older values.
func (h *Histogram) halve() {
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

// Quantile returns the upper bound of the bucket that holds the quantile q, or
// false while there are too few values.
func (h *Histogram) Quantile(q float64) (clock.Millis, bool) {
	if h.total < minTotal {
		return 0, false
	}
	seen := 0.0
	for i, n := range h.counts {
		seen += n
		if seen >= q*h.total {
			return upperBound(i), true
		}
	}
	return upperBound(bucketCount - 1), true
}

// upperBound returns the upper bound of bucket i.
func upperBound(i int) clock.Millis {
	return clock.Millis(math.Ceil(math.Exp2(float64(i+1) / bucketsPerDoubling)))
}
