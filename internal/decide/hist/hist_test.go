package hist

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

func TestQuantile(t *testing.T) {
	tests := map[string]struct {
		values func(h *Histogram)
		q      float64
		want   clock.Millis // within the width of a bucket; 0 for no quantile
	}{
		"too few":             {add(7, 100), 0.5, 0},
		"one value":           {add(100, 100), 0.5, 100},
		"median of two modes": {both(add(60, 100), add(40, 3000)), 0.5, 100},
		"95th of two modes":   {both(add(90, 100), add(10, 3000)), 0.95, 3000},
		"recent values count": {both(add(1000, 100), add(3000, 500)), 0.5, 500},
		"zero":                {add(20, 0), 0.5, 1},
		"beyond the last":     {add(20, 100*clock.Hour), 0.5, 5_931_642},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var h Histogram
			tc.values(&h)
			got, ok := h.Quantile(tc.q)
			c.Assert(ok, qt.Equals, tc.want > 0)
			c.Assert(float64(got) >= float64(tc.want), qt.IsTrue, qt.Commentf("%v", got))
			c.Assert(float64(got) <= 1.2*float64(tc.want)+1, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

func add(n int, v clock.Millis) func(*Histogram) {
	return func(h *Histogram) {
		for range n {
			h.Add(v)
		}
	}
}

func both(a, b func(*Histogram)) func(*Histogram) {
	return func(h *Histogram) {
		a(h)
		b(h)
	}
}
