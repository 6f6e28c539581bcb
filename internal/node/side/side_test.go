package side

import (
	"context"
	"encoding/gob"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// engine is a model engine with one script for its next stream.
type engine struct {
	mu      sync.Mutex
	id      string
	status  int
	notRun  bool
	events  []plat.Event
	cut     bool
	gap     time.Duration
	version int64
	orders  int64
	sent    []plat.SwapOrder
	// lose makes orders unanswered; late ones take effect after the span.
	lose bool
	late time.Duration
	mute bool // reports are not answered
}

// set changes the script.
func (e *engine) set(fn func(e *engine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fn(e)
}

func (e *engine) Send(ctx context.Context, to plat.Target, _ plat.Request) (*plat.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := &plat.Response{Status: e.status, NotRun: e.notRun, Misdirected: to.ID != e.id, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
	return a, ctx.Err()
}

// Next implements plat.Events.
func (e *engine) Next() (plat.Event, error) {
	e.mu.Lock()
	gap := e.gap
	e.mu.Unlock()
	time.Sleep(gap)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.events) == 0 {
		if e.cut {
			return plat.Event{}, io.ErrUnexpectedEOF
		}
		return plat.Event{}, io.EOF
	}
	ev := e.events[0]
	e.events = e.events[1:]
	return ev, nil
}

func (e *engine) State(context.Context, plat.Target) (plat.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mute {
		return plat.EngineState{}, errors.New("no report")
	}
	return plat.EngineState{AcceptedOrders: e.orders, Versions: map[string]int64{"m": e.version}}, nil
}

func (e *engine) Swap(_ context.Context, to plat.Target, o plat.SwapOrder) (plat.SwapResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if to.ID != e.id {
		return plat.SwapRefused, errors.New("another engine")
	}
	e.sent = append(e.sent, o)
	carryOut := func() bool {
		if o.ExpectedOrders != e.orders {
			return false
		}
		e.orders, e.version = e.orders+1, o.Version
		return true
	}
	if e.lose {
		time.AfterFunc(e.late, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			carryOut()
		})
		return plat.SwapUnknown, errors.New("no answer")
	}
	if !carryOut() {
		return plat.SwapConflict, nil
	}
	return plat.SwapStarted, nil
}

type world struct {
	c     *qt.C
	ctx   context.Context
	store *topic.Store
	e     *engine
	a     *Agent
	gate  *LoadLimiter
}

func (w *world) list(id string) {
	w.e.set(func(e *engine) { e.id = id })
	w.store.Write("servers", id, []byte(id))
	synctest.Wait()
}

func (w *world) name(version string) {
	w.store.Write("op", "version", []byte(version))
	synctest.Wait()
}

func play(t *testing.T, fn func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := &world{c: qt.New(t), ctx: ctx, store: topic.New(), e: &engine{status: 200, version: 1, gap: time.Millisecond}}
		cfg := router.New(1, router.Limits{}, nil, []*router.Service{{Name: "s", Slots: 2, Models: []string{"m"}}})
		f := conf.New(conf.Decoder{
			OperatorTopic: "op", ServersTopic: "servers", PlansTopic: "plans", DecodeKeyed: topic.DecodeKeyed,
			DecodeChange: func(key string, v []byte) (conf.Change, error) {
				if key == "version" {
					return conf.Change{Model: "m", Version: int64(v[0] - '0')}, nil
				}
				return conf.Change{Config: cfg}, nil
			},
			DecodeServer: func(id string, _ []byte) (*fleet.Server, error) {
				return &fleet.Server{ID: id, Service: "s", Addr: "10.0.0.1:1", Slots: 2}, nil
			},
		}, clock.NewSystem(), zerolog.Nop())
		w.store.Write("op", "config", []byte("c"))
		go f.Run(ctx, w.store)
		w.gate = NewLoadLimiter("n", w.store, logs.NewWriter(ctx, w.store, "n/1", 1<<20, zerolog.Nop()), clock.NewSystem(), zerolog.Nop())
		w.a = New(Params{
			Node: "n", EngineAddr: "10.0.0.1:1", Conf: f, Sender: w.e, DecodeEvents: func(*plat.Response) plat.EventReader { return w.e }, EngineControl: w.e,
			LoadLimiter: w.gate,
			Clock:       clock.NewSystem(), Log: zerolog.Nop(),
		})
		w.list("i-1")
		go w.a.ManageWeights(ctx)
		go w.a.MonitorPace(ctx)
		time.Sleep(time.Second)
		fn(w)
		cancel()
		time.Sleep(2 * time.Minute) // What the stand-in sleeps through ends.
	})
}

// run asks the agent for an item and returns its events and how it ended.
func (w *world) run(r runs.Run) (versions []int64, last *runs.Frame) {
	var body strings.Builder
	w.c.Assert(gob.NewEncoder(&body).Encode(&r), qt.IsNil)
	rec := httptest.NewRecorder()
	w.a.ServeHTTP(rec, httptest.NewRequestWithContext(w.ctx, http.MethodPost, runs.RunPath, strings.NewReader(body.String())))
	in := runs.NewReader(rec.Body)
	for {
		f, err := in.Read()
		w.c.Assert(err, qt.IsNil)
		for _, ev := range f.Events {
			versions = append(versions, ev.Version)
		}
		if f.Code != runs.InProgress {
			return versions, f
		}
	}
}

func ev(id int, version int64) plat.Event {
	return plat.Event{ID: id, Version: version, Data: []byte("x")}
}

func TestRun(t *testing.T) {
	item := runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1}
	tests := map[string]struct {
		run    runs.Run
		engine func(e *engine)
		code   runs.Code
		made   []int64 // versions of the events
	}{
		"whole":               {item, func(e *engine) { e.events = []plat.Event{ev(1, 1), ev(2, 0)} }, runs.Done, []int64{1, 1}},
		"the version changes": {item, func(e *engine) { e.events = []plat.Event{ev(1, 1), ev(2, 2), ev(3, 0)} }, runs.Done, []int64{1, 2, 2}},
		"one version only": {
			runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1, OneModel: true},
			func(e *engine) { e.events = []plat.Event{ev(1, 1), ev(2, 2)} }, runs.MixedVersions,
			[]int64{1},
		},
		"resumed": {
			runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1, After: 2, Version: 1},
			func(e *engine) { e.events = []plat.Event{ev(3, 2)} }, runs.Done,
			[]int64{2},
		},
		"resumed at the wrong event": {
			runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1, After: 2, Version: 1},
			func(e *engine) { e.events = []plat.Event{ev(1, 2)} }, runs.Broken, nil,
		},
		"an event is missing":  {item, func(e *engine) { e.events = []plat.Event{ev(1, 1), ev(3, 0)} }, runs.Broken, []int64{1}},
		"an event comes twice": {item, func(e *engine) { e.events = []plat.Event{ev(1, 1), ev(1, 0)} }, runs.Broken, []int64{1}},
		"no version is proven": {item, func(e *engine) { e.events = []plat.Event{ev(1, 0)} }, runs.StaleWeights, nil},
		"cut":                  {item, func(e *engine) { e.events, e.cut = []plat.Event{ev(1, 1)}, true }, runs.Broken, []int64{1}},
		"no event at all":      {item, func(*engine) {}, runs.Broken, nil},
		"an older version":     {runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 2}, func(e *engine) { e.events = []plat.Event{ev(1, 1)} }, runs.StaleWeights, nil},
		"another engine":       {runs.Run{Item: "x", Instance: "i-0", Model: "m"}, func(*engine) {}, runs.WrongInstance, nil},
		"the engine is full":   {item, func(e *engine) { e.status, e.notRun = 503, true }, runs.Full, nil},
		"the engine fails":     {item, func(e *engine) { e.status = 500 }, runs.Failed, nil},
		"never to be done":     {item, func(e *engine) { e.status = 422 }, runs.Rejected, nil},
		"the engine falls silent": {item, func(e *engine) {
			e.gap = time.Minute
			time.AfterFunc(600*time.Millisecond, func() { e.set(func(e *engine) { e.mute = true }) })
		}, runs.Broken, nil},
		"the engine is down": {item, func(e *engine) { e.mute = true }, runs.Full, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world) {
				w.e.set(test.engine)
				time.Sleep(500 * time.Millisecond)
				versions, last := w.run(test.run)
				w.c.Check(last.Code, qt.Equals, test.code, qt.Commentf("%s", last.Detail))
				w.c.Check(versions, qt.DeepEquals, test.made)
				w.c.Check(w.a.Running(), qt.Equals, 0)
			})
		})
	}
}

func TestAdmission(t *testing.T) {
	play(t, func(w *world) {
		w.e.set(func(e *engine) {
			e.gap = time.Second
			e.events = []plat.Event{ev(1, 1), ev(2, 0), ev(3, 0), ev(4, 0)}
		})
		r := runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1}
		for range 2 {
			go w.run(r)
		}
		synctest.Wait()
		_, last := w.run(r)
		w.c.Check(last.Code, qt.Equals, runs.Full)
		w.c.Check(last.Running, qt.Equals, 2)
		w.a.StopAccepting()
		_, last = w.run(r)
		w.c.Check(last.Code, qt.Equals, runs.Leaving)
		time.Sleep(time.Minute)
	})
}

// The entry that leaves ends the engine's work.
func TestEntryLeaves(t *testing.T) {
	play(t, func(w *world) {
		w.e.set(func(e *engine) {
			e.gap = time.Second
			e.events = []plat.Event{ev(1, 1), ev(2, 0), ev(3, 0)}
		})
		ctx, leave := context.WithCancel(w.ctx)
		own := *w
		own.ctx = ctx
		var body strings.Builder
		w.c.Assert(gob.NewEncoder(&body).Encode(&runs.Run{Item: "x", Instance: "i-1", Model: "m"}), qt.IsNil)
		go w.a.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, runs.RunPath, strings.NewReader(body.String())))
		synctest.Wait()
		w.c.Check(w.a.Running(), qt.Equals, 1)
		leave()
		synctest.Wait()
		w.c.Check(w.a.Running(), qt.Equals, 0)
		time.Sleep(time.Minute)
	})
}

// The pattern of a day on which one engine in five is four times slower: each
// long item that comes leaves after a few events. What it saw stays: the engine
// counts as in a slow moment for a while, and after some such visits as slow, so
// that the next items don't try it again.
func TestSlowEngineThatItemsLeave(t *testing.T) {
	play(t, func(w *world) {
		visit := func(gap time.Duration, leave time.Duration) {
			stream := &engine{gap: gap} // A reader of the one before may still wait for an event.
			for n := range 100 {
				stream.events = append(stream.events, ev(n+1, 1))
			}
			w.a.DecodeEvents = func(*plat.Response) plat.EventReader { return stream }
			ctx, cancel := context.WithTimeout(w.ctx, leave)
			defer cancel()
			var body strings.Builder
			w.c.Assert(gob.NewEncoder(&body).Encode(&runs.Run{Item: "x", Instance: "i-1", Model: "m"}), qt.IsNil)
			w.a.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, runs.RunPath, strings.NewReader(body.String())))
			synctest.Wait()
		}
		visit(48*time.Millisecond, 2*time.Second)
		w.c.Check(w.a.frame("m").Hiccup, qt.IsFalse)
		time.Sleep(10 * time.Second)
		visit(192*time.Millisecond, 450*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		w.c.Check(w.a.frame("m").Hiccup, qt.IsTrue)
		time.Sleep(500 * time.Millisecond)
		w.c.Check(w.a.frame("m").Hiccup, qt.IsFalse)
		for range 3 {
			visit(192*time.Millisecond, 450*time.Millisecond)
			time.Sleep(700 * time.Millisecond)
		}
		pace := w.a.frame("m").Pace
		w.c.Check(pace > 1.6*48, qt.IsTrue, qt.Commentf("pace %.0f ms", pace))
		time.Sleep(paceKeep.Duration())
		w.c.Check(w.a.frame("m").Pace, qt.Equals, 0.0) // It may have recovered.
		time.Sleep(time.Minute)
	})
}

// Orders come from one holder, with tokens that never fall, and one that takes
// effect late brings back no older version.
func TestOrders(t *testing.T) {
	tests := map[string]struct {
		before func(w *world)
		after  func(w *world)
		want   int64 // loaded in the end
	}{
		"named":                  {want: 2},
		"the answer is lost":     {before: func(w *world) { w.e.set(func(e *engine) { e.lose = true }) }, after: func(w *world) { w.e.set(func(e *engine) { e.lose = false }) }, want: 2},
		"it takes effect late":   {before: func(w *world) { w.e.set(func(e *engine) { e.lose, e.late = true, 5*time.Second }) }, after: func(w *world) { w.e.set(func(e *engine) { e.lose = false }) }, want: 2},
		"late, after a newer":    {before: func(w *world) { w.e.set(func(e *engine) { e.lose, e.late = true, 9*time.Second }) }, after: func(w *world) { w.e.set(func(e *engine) { e.lose = false }); w.name("3") }, want: 3},
		"engine starts again":    {after: func(w *world) { w.e.set(func(e *engine) { e.orders = 0 }); w.list("i-2"); w.name("3") }, want: 3},
		"engine reports nothing": {before: func(w *world) { w.e.set(func(e *engine) { e.mute = true }) }, after: func(w *world) { w.e.set(func(e *engine) { e.mute = false }) }, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world) {
				if test.before != nil {
					test.before(w)
				}
				w.name("2")
				time.Sleep(2 * time.Second)
				if test.after != nil {
					test.after(w)
				}
				time.Sleep(20 * time.Second)
				w.e.mu.Lock()
				defer w.e.mu.Unlock()
				w.c.Check(w.e.version, qt.Equals, test.want)
				last := int64(0)
				for _, o := range w.e.sent {
					w.c.Check(o.Fence >= last, qt.IsTrue, qt.Commentf("token %d after %d", o.Fence, last))
					w.c.Check(o.Owner, qt.Equals, "n")
					last = o.Fence
				}
			})
		})
	}
}

// The pattern of both deployments: a version is named while the longest items
// run, and a load stops them for about a second.
func TestTurns(t *testing.T) {
	const named = 10 * clock.Second
	early, late := turn{rank: 1, of: 4}, turn{rank: 2, of: 4}
	tests := map[string]struct {
		turn   turn
		now    clock.Millis
		behind int64
		idle   clock.Millis
		want   bool
	}{
		"first half, at once, also while busy": {early, named, 1, 0, true},
		"second half, busy":                    {late, named + 9*clock.Second, 1, 0, false},
		"second half, idle for a while":        {late, named + settle, 1, named - 5000, true},
		"second half, work may just come":      {late, named + 100, 1, named - 5000, false},
		"second half, two versions behind":     {late, named, 2, 0, true},
		"the only engine of a model":           {turn{rank: 0, of: 1}, named, 1, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(test.turn.due(test.now, test.behind, test.idle, named), qt.Equals, test.want)
		})
	}
}

// Two others load; a third waits for one of them, and no longer than a load may
// take for one that died.
func TestGate(t *testing.T) {
	for name, leaves := range map[string]bool{"one leaves": true, "both died": false} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world) {
				other := func(name string) *LoadLimiter {
					return NewLoadLimiter(name, w.store, logs.NewWriter(w.ctx, w.store, name+"/1", 1<<20, zerolog.Nop()), clock.NewSystem(), zerolog.Nop())
				}
				x, y := other("x"), other("y")
				for _, g := range []*LoadLimiter{x, y} {
					token, err := g.Enqueue(w.ctx)
					w.c.Assert(err, qt.IsNil)
					may, err := g.MayLoad(w.ctx, token, 2)
					w.c.Assert(err, qt.IsNil)
					w.c.Check(may, qt.IsTrue)
				}
				w.name("3") // two versions behind: the engine loads as soon as it may
				time.Sleep(time.Second)
				w.e.set(func(e *engine) { w.c.Check(e.sent, qt.HasLen, 0) })
				if leaves {
					w.c.Assert(x.Release(w.ctx), qt.IsNil)
					time.Sleep(300 * time.Millisecond)
				} else {
					time.Sleep(3 * time.Second)
				}
				w.e.set(func(e *engine) {
					w.c.Check(e.sent, qt.HasLen, 1)
					w.c.Check(e.version, qt.Equals, int64(3))
				})
			})
		})
	}
}
