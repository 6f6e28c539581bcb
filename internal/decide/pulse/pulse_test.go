package pulse

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// play runs streams with phases of their own through spans of time in which
// each event takes a given number of ms, and returns when the engine was slow.
func play(streams int, spans []float64, each clock.Millis) (slow map[clock.Millis]bool) {
	var u Usual
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
				s.Event(now, span, last[i] > 0)
				if last[i] > 0 {
					u.Add(span)
				}
				last[i] = float64(now)
			}
		}
		if u.Hiccup(now, all) {
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
	var u Usual
	c.Check(u.Hiccup(1000, []*Stream{{}, {}}), qt.IsFalse)
	c.Check(u.Hiccup(1000, nil), qt.IsFalse)
}
