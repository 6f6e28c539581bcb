package speed

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// play runs streams with phases of their own through spans of time in which
// each event takes a given number of ms, and returns when the engine was slow.
func play(streams int, spans []float64, each clock.Millis) (slow map[clock.Millis]bool) {
	var u Baseline
	all := make([]*Stream, streams)
	due := make([]float64, streams)
	last := make([]float64, streams)
	for i := range all {
		all[i] = &Stream{}
		due[i] = spans[0] * float64(i+1) / float64(streams)
	}
	slow = make(map[clock.Millis]bool)
	for now := clock.Millis(0); now < each*clock.Millis(len(spans)); now++ {
		pace := spans[now/each]
		for i, s := range all {
			if due[i] -= spans[0] / pace; due[i] <= 0 { // work done in this ms
				due[i] += spans[0]
				span := float64(now) - last[i]
				s.Observe(now, span, last[i] > 0)
				if last[i] > 0 {
					u.Add(span)
				}
				last[i] = float64(now)
			}
		}
		if u.IsSlow(now, all) {
			slow[now] = true
		}
	}
	return slow
}

// The pattern of both deployments: moments of 600 ms in which an engine is 2.5
// times slower.
func TestSlowMoment(t *testing.T) {
	for name, streams := range map[string]int{"eight streams": 8, "three streams": 3, "one stream": 1} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			slow := play(streams, []float64{38, 38, 95, 38, 38}, 600)
			for at := range slow {
				c.Check(at > 1200 && at < 1900, qt.IsTrue, qt.Commentf("slow at %d", at))
			}
			seen := clock.Millis(0)
			for at := clock.Millis(1200); at < 1800 && seen == 0; at++ {
				if slow[at] {
					seen = at
				}
			}
			c.Check(seen > 0 && seen < 1310, qt.IsTrue, qt.Commentf("seen at %d", seen))
		})
	}
}

func TestSteadyEngineHasNoSlowMoment(t *testing.T) {
	c := qt.New(t)
	c.Check(play(8, []float64{38, 38, 38}, 600), qt.HasLen, 0)
	c.Check(play(8, []float64{38, 41, 45, 49}, 600), qt.HasLen, 0) // it fills up
}

func TestNothingKnown(t *testing.T) {
	c := qt.New(t)
	var u Baseline
	c.Check(u.IsSlow(1000, []*Stream{{}, {}}), qt.IsFalse)
	c.Check(u.IsSlow(1000, nil), qt.IsFalse)
}

// engine returns an engine whose streams have had their usual pace of 48 ms for
// a while, and one of them.
func engine() (*Detector, *Stream) {
	e, s := &Detector{}, &Stream{}
	for at := clock.Millis(48); at <= 48*fewest; at += 48 {
		s.Observe(at, 48, true)
		e.Add(48)
	}
	return e, s
}

func TestLook(t *testing.T) {
	const begin = 48 * fewest
	tests := map[string]struct {
		slow clock.Millis // the stream shows nothing for so long
		left bool         // then it leaves
		at   clock.Millis // after that
		want State
	}{
		"steady":                             {0, false, 10, Steady},
		"slow":                               {100, false, 0, Slow},
		"slow until the next event is due":   {100, true, 20, Slow},
		"left as slow":                       {100, true, 500, Slow},
		"left as slow, the moment is over":   {100, true, 700, Unknown},
		"left in its usual pace":             {0, true, 20, Unknown},
		"long left in its usual pace":        {0, true, 5000, Unknown},
		"slow, and the stream is still late": {100, false, 300, Slow},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e, s := engine()
			streams := []*Stream{s}
			now := clock.Millis(begin)
			for end := now + test.slow; now <= end; now += 20 {
				e.Check(now, streams)
			}
			if test.left {
				streams = nil
			}
			c.Check(e.Check(now+test.at, streams), qt.Equals, test.want)
		})
	}
}

// A stream that shows its usual pace again ends a slow moment at once.
func TestLookAfterASlowMoment(t *testing.T) {
	c := qt.New(t)
	e, s := engine()
	now := clock.Millis(48 * fewest)
	c.Check(e.Check(now+100, []*Stream{s}), qt.Equals, Slow)
	s.Observe(now+120, 120, true)
	s.Observe(now+168, 48, true)
	c.Check(e.Check(now+220, []*Stream{s}), qt.Equals, Steady)
}
