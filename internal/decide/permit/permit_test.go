package permit

import (
	"flag"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "20000")
	_ = flag.Set("rapid.steps", "150")
}

func TestIsValid(t *testing.T) {
	tests := map[string]struct {
		stamp Stamp
		want  bool
	}{
		"recent":              {Stamp{Incarnation: "x", At: 9000}, true},
		"as old as allowed":   {Stamp{Incarnation: "x", At: 8000}, true},
		"too old":             {Stamp{Incarnation: "x", At: 7999}, false},
		"earlier incarnation": {Stamp{Incarnation: "w", At: 9000}, false},
		"none":                {Stamp{}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, IsValid(10000, "x", tc.stamp, 2000), qt.Equals, tc.want)
		})
	}
}

// A stamp must become usable while further stamps arrive faster than reads of the
// index are answered.
func TestConfirmUnderFrames(t *testing.T) {
	c := qt.New(t)
	var e Evidence
	const readEvery = 100
	for now := clock.Millis(1); now <= 1000; now++ {
		e.Observe(now, Stamp{Incarnation: "x", At: now + 5000})
		if now%readEvery == 0 {
			e.Confirm(now - readEvery/2) // requested half an interval ago
		}
		if now > 2*readEvery {
			c.Assert(e.Age(now) <= 3*readEvery, qt.IsTrue, qt.Commentf("age %v", e.Age(now)))
		}
	}
}

// TestReadBeforeAPause guards against a run that starts after the end of its job: an entry
// requests the index, is paused, and receives a stamp in the same millisecond of its clock,
// which stood still. The answer shows nothing about the time of the stamp.
func TestReadBeforeAPause(t *testing.T) {
	c := qt.New(t)
	var e Evidence
	const requestedAt = 5000
	e.Observe(requestedAt, Stamp{Incarnation: "x", At: 90000}) // seconds after the request
	e.Confirm(requestedAt)
	c.Check(e.Stamp(), qt.Equals, Stamp{})
	e.Confirm(requestedAt + 1)
	c.Check(e.Stamp(), qt.Equals, Stamp{Incarnation: "x", At: 90000})
}

// message is something on its way between two parties.
type message struct {
	stamp       Stamp
	requestedAt clock.Millis // of a read of the index, by the clock of the entry
	open        bool         // whether the job was open when the store answered
}

// world is an entry, an agent and the store, with messages that arrive at any time.
// The clock of the entry stands still while the entry is paused.
type world struct {
	now, entryClock, agentClock clock.Millis
	incarnation                 string
	paused                      bool
	endedAt                     clock.Millis // when the end of the job was acknowledged, 0 if it was not
	evidence                    Evidence
	dropped                     bool // the entry knows the end
	frames, reads, answers      []message
	runs                        []message
}

// TestNoStartAfterTheEnd checks that under any delays, pauses and restarts no run
// starts later than the maximum age after the end of its job.
func TestNoStartAfterTheEnd(t *testing.T) {
	const maxAge = 2 * clock.Second
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: 1, entryClock: 5000, agentClock: 90000, incarnation: "x"}
		take := func(ms *[]message) (message, bool) {
			if len(*ms) == 0 {
				return message{}, false
			}
			i := rapid.IntRange(0, len(*ms)-1).Draw(t, "message")
			m := (*ms)[i]
			*ms = append((*ms)[:i:i], (*ms)[i+1:]...)
			return m, true
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				d := clock.Millis(rapid.IntRange(1, 700).Draw(t, "ms"))
				w.now += d
				w.agentClock += d
				if !w.paused {
					w.entryClock += d
				}
			},
			"pause or resume": func(*rapid.T) { w.paused = !w.paused },
			"agent restarts": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					w.incarnation += "x"
					w.agentClock = clock.Millis(rapid.IntRange(1, 100000).Draw(t, "clock"))
				}
			},
			"frame": func(*rapid.T) {
				w.frames = append(w.frames, message{stamp: Stamp{Incarnation: w.incarnation, At: w.agentClock}})
			},
			"frame arrives": func(*rapid.T) {
				if w.paused {
					return
				}
				if m, ok := take(&w.frames); ok {
					w.evidence.Observe(w.entryClock, m.stamp)
				}
			},
			"read": func(*rapid.T) {
				if !w.paused {
					w.reads = append(w.reads, message{requestedAt: w.entryClock})
				}
			},
			"store answers": func(*rapid.T) {
				if m, ok := take(&w.reads); ok {
					m.open = w.endedAt == 0
					w.answers = append(w.answers, m)
				}
			},
			"answer arrives": func(*rapid.T) {
				if w.paused {
					return
				}
				if m, ok := take(&w.answers); ok {
					w.dropped = w.dropped || !m.open
					w.evidence.Confirm(m.requestedAt)
				}
			},
			"undelayed exchange": func(*rapid.T) {
				if w.paused {
					return
				}
				w.evidence.Observe(w.entryClock, Stamp{Incarnation: w.incarnation, At: w.agentClock})
				w.dropped = w.dropped || w.endedAt > 0
				w.now, w.agentClock, w.entryClock = w.now+1, w.agentClock+1, w.entryClock+1
				w.evidence.Confirm(w.entryClock)
			},
			"end": func(t *rapid.T) {
				if w.endedAt == 0 && rapid.IntRange(0, 7).Draw(t, "rare") == 0 {
					w.endedAt = w.now
				}
			},
			"run": func(*rapid.T) {
				if !w.paused && !w.dropped {
					w.runs = append(w.runs, message{stamp: w.evidence.Stamp()})
				}
			},
			"run arrives": func(t *rapid.T) {
				m, ok := take(&w.runs)
				if !ok || !IsValid(w.agentClock, w.incarnation, m.stamp, maxAge) {
					return
				}
				starts++
				if w.endedAt > 0 && w.now > w.endedAt+maxAge {
					t.Fatalf("a run started %d ms after the end of its job", w.now-w.endedAt)
				}
			},
		})
	})
	qt.Assert(t, starts > 100, qt.IsTrue, qt.Commentf("%d runs started", starts))
}
