package roles

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog/diode"

	"github.com/jujuberamp/jujuberamp/internal/prod/telem"
)

// line is a log line of a recorded day.
type line struct {
	Message  string  `json:"message"`
	Request  string  `json:"request"`
	Job      string  `json:"job"`
	Item     string  `json:"item"`
	Outcome  string  `json:"outcome"`
	Kind     string  `json:"kind"`
	Code     string  `json:"code"`
	Why      string  `json:"why"`
	To       string  `json:"to"`
	Attempts int     `json:"attempts"`
	Failures int     `json:"failures"`
	Took     float64 `json:"took-ms"`
}

func recorded(c *qt.C) []line {
	f, err := os.Open("testdata/failures.ndjson")
	c.Assert(err, qt.IsNil)
	defer f.Close()
	var out []line
	for s := bufio.NewScanner(f); s.Scan(); {
		var l line
		c.Assert(json.Unmarshal(s.Bytes(), &l), qt.IsNil)
		out = append(out, l)
	}
	return out
}

// with returns the lines with an id and a message.
func with(ls []line, id, message string) []line {
	var out []line
	for _, l := range ls {
		if (l.Request == id || l.Item == id || l.Job == id) && l.Message == message {
			out = append(out, l)
		}
	}
	return out
}

// The steps of docs/OPERATIONS.md lead from the id of a recorded failure to its
// cause, and the page names what the lines hold.
func TestFromIDToCause(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	qt.New(t).Assert(err, qt.IsNil)
	named := func(c *qt.C, words ...string) {
		for _, w := range words {
			c.Check(strings.Contains(string(page), "`"+w+"`"), qt.IsTrue, qt.Commentf("the page does not name %q", w))
		}
	}
	tests := map[string]func(c *qt.C, ls []line) (cause string){
		"a plain request was refused": func(c *qt.C, ls []line) string {
			const id = "8b5ac13e11fc36da"
			ended := with(ls, id, "front: request ended")
			c.Assert(ended, qt.HasLen, 1)
			c.Assert(with(ls, id, "platform: request refused"), qt.HasLen, 1)
			c.Check(ended[0].Attempts, qt.Equals, 0)
			named(c, ended[0].Outcome)
			return ended[0].Outcome
		},
		"a plain request was answered late": func(c *qt.C, ls []line) string {
			const id = "65f373a15f4653fc"
			ended := with(ls, id, "front: request ended")
			c.Assert(ended, qt.HasLen, 1)
			c.Check(ended[0].Attempts > 1, qt.IsTrue)
			named(c, "attempts", "front: attempt failed")
			if len(with(ls, id, "front: attempt failed")) == 0 {
				return "silent server"
			}
			return "failed server"
		},
		"an item is dead": func(c *qt.C, ls []line) string {
			const id = "d67d1ccff397a004"
			runs := with(ls, id, "work: run ended")
			c.Assert(runs, qt.Not(qt.HasLen), 0)
			c.Check(runs[len(runs)-1].Code, qt.Equals, "done")
			c.Assert(with(ls, runs[0].Job, "jobs: job stored"), qt.HasLen, 1)
			scored := with(ls, id, "work: scoring failed")
			c.Assert(scored, qt.Not(qt.HasLen), 0)
			c.Check(scored[len(scored)-1].Failures >= 4, qt.IsTrue)
			named(c, "work: scoring failed", "work: item given up")
			return with(ls, id, "work: item given up")[0].Why
		},
		"an item was listed late": func(c *qt.C, ls []line) string {
			const id = "d386654f02b847aa"
			moved := with(ls, id, "work: item moved")
			c.Assert(moved, qt.HasLen, 1)
			c.Check(with(ls, id, "side: the entry ended the run"), qt.HasLen, 1)
			runs := with(ls, id, "work: run ended")
			c.Check(runs[len(runs)-1].Code, qt.Equals, "done")
			named(c, "side: the engine's pace changed", "side: order sent")
			return "moved to " + moved[0].To
		},
	}
	causes := map[string]string{
		"a plain request was refused":       "no-server",
		"a plain request was answered late": "silent server",
		"an item is dead":                   "each scoring call failed",
		"an item was listed late":           "moved to i-1a7b0f2c0f",
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(steps(c, recorded(c)), qt.Equals, causes[name])
		})
	}
}

// A reader of the log that stops does not stop what is logged.
func TestStoppedLogReader(t *testing.T) {
	c := qt.New(t)
	r, w, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	var dropped atomic.Int64
	log := telem.NewLogger(diode.NewWriter(w, logLines, logPoll, func(n int) { dropped.Add(int64(n)) }), "info", "test")
	for range 20 * logLines { // far more than the pipe and the ring hold
		log.Info().Str("request", strings.Repeat("x", 200)).Msg("line")
	}
	r.Close() // The reader goes; what waits for it ends.
}
