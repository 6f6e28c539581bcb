package roles

import (
	"bufio"
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog/diode"

	"github.com/jujuberamp/jujuberamp/internal/prod/telem"
)

// logLine is a line of a recorded log.
type logLine struct {
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

// recordedLines returns the lines of the recorded log.
func recordedLines(c *qt.C) []logLine {
	f, err := os.Open("testdata/failures.ndjson")
	c.Assert(err, qt.IsNil)
	defer f.Close()
	var out []logLine
	for s := bufio.NewScanner(f); s.Scan(); {
		var l logLine
		c.Assert(json.Unmarshal(s.Bytes(), &l), qt.IsNil)
		out = append(out, l)
	}
	return out
}

// linesWith returns the lines with a given message whose request, item or job has the
// given ID.
func linesWith(lines []logLine, id, message string) []logLine {
	var out []logLine
	for _, l := range lines {
		if (l.Request == id || l.Item == id || l.Job == id) && l.Message == message {
			out = append(out, l)
		}
	}
	return out
}

// The steps of docs/OPERATIONS.md lead from the ID of a recorded request or item to the
// cause of its failure, and the page names the messages and fields that they use.
func TestFromIDToCause(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	qt.New(t).Assert(err, qt.IsNil)
	checkNamed := func(c *qt.C, words ...string) {
		for _, w := range words {
			c.Check(strings.Contains(string(page), "`"+w+"`"), qt.IsTrue, qt.Commentf("docs/OPERATIONS.md does not name %q", w))
		}
	}
	tests := map[string]func(c *qt.C, lines []logLine) (cause string){
		"a plain request was refused": func(c *qt.C, lines []logLine) string {
			const id = "8b5ac13e11fc36da"
			ended := linesWith(lines, id, "front: request ended")
			c.Assert(ended, qt.HasLen, 1)
			c.Assert(linesWith(lines, id, "platform: request refused"), qt.HasLen, 1)
			c.Check(ended[0].Attempts, qt.Equals, 0)
			checkNamed(c, ended[0].Outcome)
			return ended[0].Outcome
		},
		"a plain request was answered late": func(c *qt.C, lines []logLine) string {
			const id = "65f373a15f4653fc"
			ended := linesWith(lines, id, "front: request ended")
			c.Assert(ended, qt.HasLen, 1)
			c.Check(ended[0].Attempts > 1, qt.IsTrue)
			checkNamed(c, "attempts", "front: attempt failed")
			if len(linesWith(lines, id, "front: attempt failed")) == 0 {
				return "slow server"
			}
			return "failed server"
		},
		"an item was given up": func(c *qt.C, lines []logLine) string {
			const id = "d67d1ccff397a004"
			runs := linesWith(lines, id, "work: run ended")
			c.Assert(runs, qt.Not(qt.HasLen), 0)
			c.Check(runs[len(runs)-1].Code, qt.Equals, "done")
			c.Assert(linesWith(lines, runs[0].Job, "jobs: job stored"), qt.HasLen, 1)
			scoringFailures := linesWith(lines, id, "work: scoring failed")
			c.Assert(scoringFailures, qt.Not(qt.HasLen), 0)
			c.Check(scoringFailures[len(scoringFailures)-1].Failures >= 4, qt.IsTrue)
			checkNamed(c, "work: scoring failed", "work: item given up")
			return linesWith(lines, id, "work: item given up")[0].Why
		},
		"an item's result was late": func(c *qt.C, lines []logLine) string {
			const id = "d386654f02b847aa"
			moved := linesWith(lines, id, "work: item moved")
			c.Assert(moved, qt.HasLen, 1)
			c.Check(linesWith(lines, id, "side: the entry ended the run"), qt.HasLen, 1)
			runs := linesWith(lines, id, "work: run ended")
			c.Check(runs[len(runs)-1].Code, qt.Equals, "done")
			checkNamed(c, "side: the engine's pace changed", "side: order sent")
			return "moved to " + moved[0].To
		},
	}
	causes := map[string]string{
		"a plain request was refused":       "no-server",
		"a plain request was answered late": "slow server",
		"an item was given up":              "each scoring call failed",
		"an item's result was late":         "moved to i-1a7b0f2c0f",
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(steps(c, recordedLines(c)), qt.Equals, causes[name])
		})
	}
}

// A reader of the log that stops reading must not block the process that writes it.
func TestStoppedLogReader(t *testing.T) {
	c := qt.New(t)
	r, w, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	var dropped atomic.Int64
	log := telem.NewLogger(diode.NewWriter(w, logBufferLines, logPollInterval, func(n int) { dropped.Add(int64(n)) }), "info", "test")
	for range 20 * logBufferLines { // far more than fits into the pipe and the buffer
		log.Info().Str("request", strings.Repeat("x", 200)).Msg("line")
	}
	r.Close() // Ends the write that still waits for the reader.
}

// The log lines that docs/OPERATIONS.md quotes are written by the program.
func TestQuotedMessages(t *testing.T) {
	c := qt.New(t)
	root := "../../.."
	page, err := os.ReadFile(filepath.Join(root, "docs/OPERATIONS.md"))
	c.Assert(err, qt.IsNil)
	var source strings.Builder
	for _, dir := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			b, err := os.ReadFile(path)
			source.Write(b)
			return err
		})
		c.Assert(err, qt.IsNil)
	}
	quoted := regexp.MustCompile(`"message":"([^"]+)"`).FindAllStringSubmatch(string(page), -1)
	c.Assert(len(quoted) > 0, qt.IsTrue)
	for _, q := range quoted {
		c.Check(strings.Contains(source.String(), strconv.Quote(q[1])), qt.IsTrue, qt.Commentf("no code writes %q", q[1]))
	}
}
