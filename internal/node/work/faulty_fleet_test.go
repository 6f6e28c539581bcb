package work

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// faultyAnswer is what an engine in trouble answers to an item.
type faultyAnswer struct {
	events   int // 0 for events without end
	bytes    int // of each event
	interval time.Duration
	code     runs.Code // how the run ends
}

// faultyFleet is an unevenFleet of which some engines give faulty answers. Their text
// consists of the letter f.
type faultyFleet struct {
	*unevenFleet
	answer faultyAnswer
	item   string         // the only one that gets such answers, empty for all
	left   map[string]int // by host: number of faulty answers to come
	starts map[string]int // by item: number of runs
}

// RoundTrip implements http.RoundTripper.
func (f *faultyFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	host, _, err := net.SplitHostPort(r.URL.Host)
	if err != nil {
		return nil, err
	}
	if r.URL.Path != runs.RunPath {
		return f.unevenFleet.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var run runs.Run
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&run); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[host]
	if e.running < fakeSlots {
		f.starts[run.Item]++
	}
	if e.running >= fakeSlots || f.left[host] == 0 || f.item != "" && f.item != run.Item {
		f.mu.Unlock()
		defer f.mu.Lock()
		return f.unevenFleet.RoundTrip(r)
	}
	f.left[host]--
	e.running++
	in, out := io.Pipe()
	go func() {
		err := f.streamFaulty(r.Context(), out, e)
		f.mu.Lock()
		defer f.mu.Unlock()
		e.running--
		_ = out.CloseWithError(err) // It always returns nil.
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: in}, nil
}

// streamFaulty sends frames as an agent does: one for the first event, then one every
// frame interval.
func (f *faultyFleet) streamFaulty(ctx context.Context, out io.Writer, e *unevenEngine) error {
	w := runs.NewWriter(pipeResponse{out})
	data := bytes.Repeat([]byte("f"), f.answer.bytes)
	for sent, perFrame := 0, 1; f.answer.events == 0 || sent < f.answer.events; {
		if f.answer.events > 0 {
			perFrame = min(perFrame, f.answer.events-sent)
		}
		if !clock.Sleep(ctx, clock.FromDuration(time.Duration(perFrame)*f.answer.interval)) {
			return ctx.Err()
		}
		f.mu.Lock()
		frame := f.frame(e)
		f.mu.Unlock()
		for range perFrame {
			frame.Events = append(frame.Events, runs.Event{Version: 1, Data: data})
		}
		if sent += perFrame; sent == f.answer.events {
			frame.Code, frame.Detail = f.answer.code, "scripted"
		}
		if err := w.Write(frame); err != nil {
			return err
		}
		perFrame = f.answer.events
		if f.answer.interval > 0 {
			perFrame = max(1, int(runs.FrameInterval.Duration()/f.answer.interval))
		}
	}
	return nil
}

const (
	soundEvents = 20 // of each item of a faultyFleet
	faultyItems = 5
)

// startFaultyFleet starts a node, and engines of which some give faulty answers. It
// submits a job whose items have a number of tokens at most.
func startFaultyFleet(ctx context.Context, c *qt.C, f *faultyFleet, engines, tokens int, change func(*router.Route, *router.Service)) *Worker {
	store := topic.New()
	f.unevenFleet = &unevenFleet{clock: clock.NewSystem(), engines: make(map[string]*unevenEngine), store: store, ctx: ctx, lengths: make(map[string]int)}
	f.starts = make(map[string]int)
	for i := range engines {
		f.add(fmt.Sprintf("i-%d", i), fmt.Sprintf("10.0.0.%d", i), &unevenEngine{interval: 40 * time.Millisecond})
	}
	w := startNodeWith(ctx, store, store, f, "a", change)
	spec := &joblog.Spec{ID: "j", Host: "h", Path: "/p/", Model: "m", MinVersion: 1}
	for i := range faultyItems {
		id := fmt.Sprintf("item-%d", i)
		f.lengths[id] = soundEvents
		spec.Items = append(spec.Items, joblog.Item{ID: id, Path: "/p/x", LengthHint: tokens, OutputBudget: tokens})
	}
	w.CacheItems(spec)
	c.Assert(w.Jobs.Submit(ctx, spec), qt.IsNil)
	return w
}

// soundText is the whole output of an item of a faultyFleet.
var soundText = strings.TrimSuffix(strings.Repeat("x\n", soundEvents), "\n")
