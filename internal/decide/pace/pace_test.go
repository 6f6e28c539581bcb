package pace

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// phase is a time in which each server produces tokens at a constant rate.
type phase struct {
	length clock.Millis
	rates  []float64 // tokens/s of one stream, by server
}

// TestDetectSlow runs one stream on each server through a sequence of phases.
func TestDetectSlow(t *testing.T) {
	tests := map[string]struct {
		phases []phase
		want   []bool
	}{
		"equal rates":                         {[]phase{{2000, []float64{400, 400, 400, 400}}}, []bool{false, false, false, false}},
		"one at a fifth":                      {[]phase{{2000, []float64{400, 400, 400, 400}}, {1000, []float64{80, 400, 400, 400}}}, []bool{true, false, false, false}},
		"half as fast is not slow":            {[]phase{{2000, []float64{200, 400, 400, 400}}}, []bool{false, false, false, false}},
		"one stopped":                         {[]phase{{2000, []float64{400, 400, 400, 400}}, {2000, []float64{0, 400, 400, 400}}}, []bool{true, false, false, false}},
		"recovers":                            {[]phase{{1000, []float64{80, 400, 400, 400}}, {2000, []float64{400, 400, 400, 400}}}, []bool{false, false, false, false}},
		"hysteresis below the recovery bound": {[]phase{{1000, []float64{80, 400, 400, 400}}, {2000, []float64{240, 400, 400, 400}}}, []bool{true, false, false, false}},
		"all at a fifth":                      {[]phase{{2000, []float64{400, 400, 400, 400}}, {2000, []float64{80, 80, 80, 80}}}, []bool{false, false, false, false}},
		"most at a fifth":                     {[]phase{{2000, []float64{400, 400, 400, 400}}, {2000, []float64{80, 80, 80, 400}}}, []bool{false, false, false, false}},
		"half at a fifth":                     {[]phase{{2000, []float64{400, 400, 400, 400}}, {2000, []float64{80, 80, 400, 400}}}, []bool{true, true, false, false}},
		"all stopped":                         {[]phase{{2000, []float64{400, 400, 400, 400}}, {2000, []float64{0, 0, 0, 0}}}, []bool{false, false, false, false}},
		"too few to compare":                  {[]phase{{2000, []float64{80, 400}}}, []bool{false, false}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			trackers := make([]*Tracker, len(tc.want))
			streams := make([]Stream, len(tc.want))
			now := clock.Hour
			for i := range trackers {
				trackers[i] = &Tracker{}
				trackers[i].Begin(now, &streams[i])
			}
			for _, ph := range tc.phases {
				for end := now + ph.length; now < end; {
					now += 50
					for i, r := range ph.rates {
						trackers[i].ObserveTokens(now, &streams[i], int(r/20))
					}
					DetectSlow(now, trackers)
				}
			}
			var got []bool
			for _, p := range trackers {
				got = append(got, p.Slow())
			}
			c.Assert(got, qt.DeepEquals, tc.want)
		})
	}
}

// TestFirstToken detects slow servers by their TTFT.
func TestFirstToken(t *testing.T) {
	tests := map[string]struct {
		ttfts []clock.Millis
		want  []bool
	}{
		"equal":                         {[]clock.Millis{100, 120, 90}, []bool{false, false, false}},
		"five times the median":         {[]clock.Millis{500, 100, 90}, []bool{true, false, false}},
		"late, but below the minimum":   {[]clock.Millis{200, 20, 20}, []bool{false, false, false}},
		"all late":                      {[]clock.Millis{900, 900, 900}, []bool{false, false, false}},
		"all but one late":              {[]clock.Millis{900, 900, 20}, []bool{false, false, false}},
		"two servers can't be compared": {[]clock.Millis{900, 20}, []bool{false, false}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var trackers []*Tracker
			for _, ttft := range tc.ttfts {
				p, s := &Tracker{}, &Stream{}
				p.Begin(clock.Hour, s)
				p.ObserveTokens(clock.Hour+ttft, s, 1)
				trackers = append(trackers, p)
			}
			DetectSlow(clock.Hour+clock.Second, trackers)
			for i, p := range trackers {
				c.Assert(p.Slow(), qt.Equals, tc.want[i])
			}
		})
	}
}

// TestReported checks that the rates measured by the agents count until the
// entry has measured a rate itself.
func TestReported(t *testing.T) {
	tests := map[string]struct {
		rates []float64
		own   int // tokens per 50 ms, measured on the first server; 0 for none
		want  bool
	}{
		"slow by its agent":         {[]float64{80, 400, 400}, 0, true},
		"all slow by their agents":  {[]float64{80, 80, 80}, 0, false},
		"own measurement counts":    {[]float64{80, 400, 400}, 20, false},
		"slow by own measurement":   {[]float64{400, 400, 400}, 4, true},
		"no agent reports a rate":   {[]float64{0, 0, 0}, 0, false},
		"one agent reports no rate": {[]float64{0, 400, 400}, 0, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var trackers []*Tracker
			for _, r := range tc.rates {
				p := &Tracker{}
				p.SetReported(r, 0)
				trackers = append(trackers, p)
			}
			now, s := clock.Hour, &Stream{}
			trackers[0].Begin(now, s)
			for range 20 {
				now += 50
				trackers[0].ObserveTokens(now, s, tc.own)
			}
			DetectSlow(now, trackers)
			c.Assert(trackers[0].Slow(), qt.Equals, tc.want)
		})
	}
}
