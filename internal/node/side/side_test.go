package side

import (
	"context"
	"encoding/gob"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/permit"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// fakeEngine is an engine with a script for its next stream and its reports.
type fakeEngine struct {
	mu         sync.Mutex
	id         string
	status     int
	notRun     bool
	events     []plat.Event
	truncated  bool
	eventDelay time.Duration
	version    int64
	orders     int64
	sent       []plat.LoadOrder
	// loseReplies leaves orders without an answer; they take effect after
	// orderDelay.
	loseReplies            bool
	orderDelay             time.Duration
	unresponsive           bool // state reports fail
	rateLimit              plat.RateLimit
	startedAt              int64
	leaving, reportLeaving plat.Leaving  // stated in answers to runs, and in reports
	answerDelay            time.Duration // of answers to runs
	requests               atomic.Int32  // requests to run an item
}

// set changes the script.
func (e *fakeEngine) set(fn func(e *fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fn(e)
}

func (e *fakeEngine) Send(ctx context.Context, to plat.Target, _ plat.Request) (*plat.Response, error) {
	e.requests.Add(1)
	e.mu.Lock()
	delay := e.answerDelay
	e.mu.Unlock()
	time.Sleep(delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	a := &plat.Response{Status: e.status, NotExecuted: e.notRun, Misdirected: to.ID != e.id, RateLimit: e.rateLimit, Leaving: e.leaving, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
	return a, ctx.Err()
}

// Next implements plat.EventReader.
func (e *fakeEngine) Next() (plat.Event, error) {
	e.mu.Lock()
	delay := e.eventDelay
	e.mu.Unlock()
	time.Sleep(delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.events) == 0 {
		if e.truncated {
			return plat.Event{}, io.ErrUnexpectedEOF
		}
		return plat.Event{}, io.EOF
	}
	ev := e.events[0]
	e.events = e.events[1:]
	return ev, nil
}

func (e *fakeEngine) State(context.Context, plat.Target) (plat.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unresponsive {
		return plat.EngineState{}, errors.New("no report")
	}
	return plat.EngineState{AcceptedOrders: e.orders, Versions: map[string]int64{"m": e.version}, StartedAt: e.startedAt, RateLimit: e.rateLimit, Leaving: e.reportLeaving}, nil
}

func (e *fakeEngine) Load(_ context.Context, to plat.Target, o plat.LoadOrder) (plat.LoadResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if to.ID != e.id {
		return plat.LoadRefused, errors.New("another engine")
	}
	e.sent = append(e.sent, o)
	applyOrder := func() bool {
		if o.ExpectedOrders != e.orders {
			return false
		}
		e.orders, e.version = e.orders+1, o.Version
		return true
	}
	if e.loseReplies {
		time.AfterFunc(e.orderDelay, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			applyOrder()
		})
		return plat.LoadUnknown, errors.New("no answer")
	}
	if !applyOrder() {
		return plat.LoadConflict, nil
	}
	return plat.LoadStarted, nil
}

// testEnv is an agent with a fake engine and its store.
type testEnv struct {
	c       *qt.C
	ctx     context.Context
	store   *topic.Store
	engine  *fakeEngine
	agent   *Agent
	limiter *LoadLimiter
}

func (env *testEnv) register(id string) {
	env.engine.set(func(e *fakeEngine) { e.id = id })
	env.store.Write("servers", id, []byte(id))
	synctest.Wait()
}

func (env *testEnv) announce(version string) {
	env.store.Write("op", "version", []byte(version))
	synctest.Wait()
}

func withTestEnv(t *testing.T, fn func(env *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		env := &testEnv{c: qt.New(t), ctx: ctx, store: topic.New(), engine: &fakeEngine{status: 200, version: 1, eventDelay: time.Millisecond}}
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
		env.store.Write("op", "config", []byte("c"))
		go f.Run(ctx, env.store)
		env.limiter = NewLoadLimiter("n", env.store, logs.NewWriter(ctx, env.store, "n/1", 1<<20, zerolog.Nop()), clock.NewSystem(), zerolog.Nop())
		env.agent = New(Params{
			Node: "n", Incarnation: "boot-n", EndBound: 3 * clock.Second, EngineAddr: "10.0.0.1:1", Conf: f, Sender: env.engine, DecodeEvents: func(*plat.Response) plat.EventReader { return env.engine }, EngineControl: env.engine,
			LoadLimiter: env.limiter,
			Clock:       clock.NewSystem(), Log: zerolog.Nop(),
		})
		env.register("i-1")
		go env.agent.ManageWeights(ctx)
		go env.agent.MonitorSpeed(ctx)
		time.Sleep(time.Second)
		fn(env)
		cancel()
		time.Sleep(2 * time.Minute) // Sleeping calls of the fake engine end.
	})
}

// runItem has the agent run an item. It returns the versions of its events and the
// last frame.
func (env *testEnv) runItem(r runs.Run) (versions []int64, last *runs.Frame) {
	if r.OpenAt == (permit.Stamp{}) {
		r.OpenAt = env.agent.newFrame("").Now
	}
	var body strings.Builder
	env.c.Assert(gob.NewEncoder(&body).Encode(&r), qt.IsNil)
	rec := httptest.NewRecorder()
	env.agent.ServeHTTP(rec, httptest.NewRequestWithContext(env.ctx, http.MethodPost, runs.RunPath, strings.NewReader(body.String())))
	in := runs.NewReader(rec.Body)
	for {
		f, err := in.Read()
		env.c.Assert(err, qt.IsNil)
		for _, ev := range f.Events {
			versions = append(versions, ev.Version)
		}
		if f.Code != runs.InProgress {
			return versions, f
		}
	}
}

// TestJobMayHaveEnded sends runs of a job to an agent. The agent must start an item only
// if the job was open a short time ago by the agent's own clock, however long the run
// was on its way. It must not ask that much while the store is down, since no job can
// end then.
func TestJobMayHaveEnded(t *testing.T) {
	tests := map[string]struct {
		incarnation string
		age         time.Duration
		storeDown   bool
		want        runs.Code
	}{
		"recent":                  {"boot-n", time.Second, false, runs.Done},
		"delayed in a connection": {"boot-n", 2500 * time.Millisecond, false, runs.Unproven},
		"from the time before the agent's restart": {"boot-m", 0, false, runs.Unproven},
		"entry knows nothing of the agent":         {"", 0, false, runs.Unproven},
		"delayed while the store is down":          {"boot-n", time.Minute, true, runs.Done},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(env *testEnv) {
				env.engine.set(func(e *fakeEngine) { e.events = []plat.Event{event(1, 1)} })
				stamp := permit.Stamp{Incarnation: tc.incarnation, At: env.agent.Clock.Now()}
				if tc.storeDown {
					env.store.SetFaultMode(topic.Busy)
				}
				time.Sleep(tc.age)
				_, last := env.runItem(runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1, OpenAt: stamp})
				env.c.Check(last.Code, qt.Equals, tc.want, qt.Commentf("%s", last.Detail))
				env.c.Check(last.Now.Incarnation, qt.Equals, "boot-n")
			})
		})
	}
}

func event(id int, version int64) plat.Event {
	return plat.Event{ID: id, Version: version, Data: []byte("x")}
}

func TestRun(t *testing.T) {
	item := runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1}
	tests := map[string]struct {
		run    runs.Run
		engine func(e *fakeEngine)
		code   runs.Code
		want   []int64 // versions of the events
	}{
		"complete":            {item, func(e *fakeEngine) { e.events = []plat.Event{event(1, 1), event(2, 0)} }, runs.Done, []int64{1, 1}},
		"the version changes": {item, func(e *fakeEngine) { e.events = []plat.Event{event(1, 1), event(2, 2), event(3, 0)} }, runs.Done, []int64{1, 2, 2}},
		"one version only": {
			runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1, OneModel: true},
			func(e *fakeEngine) { e.events = []plat.Event{event(1, 1), event(2, 2)} }, runs.MixedVersions,
			[]int64{1},
		},
		"resumed": {
			runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1, After: 2, Version: 1},
			func(e *fakeEngine) { e.events = []plat.Event{event(3, 2)} }, runs.Done,
			[]int64{2},
		},
		"resumed at the wrong event": {
			runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1, After: 2, Version: 1},
			func(e *fakeEngine) { e.events = []plat.Event{event(1, 2)} }, runs.Faulty, nil,
		},
		"an event is missing":  {item, func(e *fakeEngine) { e.events = []plat.Event{event(1, 1), event(3, 0)} }, runs.Faulty, []int64{1}},
		"an event comes twice": {item, func(e *fakeEngine) { e.events = []plat.Event{event(1, 1), event(1, 0)} }, runs.Faulty, []int64{1}},
		"as many events as tokens": {
			runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1, After: 2, Version: 1, MaxTokens: 4},
			func(e *fakeEngine) { e.events = []plat.Event{event(3, 1), event(4, 0)} }, runs.Done,
			[]int64{1, 1},
		},
		"more events than tokens": {
			runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1, After: 2, Version: 1, MaxTokens: 3},
			func(e *fakeEngine) { e.events = []plat.Event{event(3, 1), event(4, 0), event(5, 0)} }, runs.Faulty,
			[]int64{1},
		},
		"as large as a result": {
			runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1, MaxTextBytes: 3},
			func(e *fakeEngine) { e.events = []plat.Event{event(1, 1), event(2, 0)} }, runs.Done,
			[]int64{1, 1},
		},
		"larger than a result": {
			runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1, MaxTextBytes: 2},
			func(e *fakeEngine) { e.events = []plat.Event{event(1, 1), event(2, 0), event(3, 0)} }, runs.Faulty,
			[]int64{1},
		},
		"no version is proven": {item, func(e *fakeEngine) { e.events = []plat.Event{event(1, 0)} }, runs.StaleWeights, nil},
		"truncated":            {item, func(e *fakeEngine) { e.events, e.truncated = []plat.Event{event(1, 1)}, true }, runs.Broken, []int64{1}},
		"no event at all":      {item, func(*fakeEngine) {}, runs.Broken, nil},
		"an older version":     {runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 2}, func(e *fakeEngine) { e.events = []plat.Event{event(1, 1)} }, runs.StaleWeights, nil},
		"a restarted engine":   {runs.Run{Item: "x", Instance: "i-1", StartedAt: 7, Model: "m"}, func(e *fakeEngine) { e.startedAt = 8 }, runs.WrongInstance, nil},
		"the same incarnation": {runs.Run{Item: "x", Instance: "i-1", StartedAt: 8, Model: "m"}, func(e *fakeEngine) { e.startedAt, e.events = 8, []plat.Event{event(1, 1)} }, runs.Done, []int64{1}},
		"another engine":       {runs.Run{Item: "x", Instance: "i-0", Model: "m"}, func(*fakeEngine) {}, runs.WrongInstance, nil},
		"the engine is full":   {item, func(e *fakeEngine) { e.status, e.notRun = 503, true }, runs.Full, nil},
		"the engine fails":     {item, func(e *fakeEngine) { e.status = 500 }, runs.Failed, nil},
		"rejected":             {item, func(e *fakeEngine) { e.status = 422 }, runs.Rejected, nil},
		"ran out of time":      {item, func(e *fakeEngine) { e.status = 504 }, runs.Broken, nil}, // It is not a failed attempt.
		"the engine stops responding": {item, func(e *fakeEngine) {
			e.eventDelay = time.Minute
			time.AfterFunc(600*time.Millisecond, func() { e.set(func(e *fakeEngine) { e.unresponsive = true }) })
		}, runs.Broken, nil},
		"the engine is down": {item, func(e *fakeEngine) { e.unresponsive = true }, runs.Full, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(env *testEnv) {
				env.engine.set(test.engine)
				time.Sleep(500 * time.Millisecond)
				versions, last := env.runItem(test.run)
				env.c.Check(last.Code, qt.Equals, test.code, qt.Commentf("%s", last.Detail))
				env.c.Check(versions, qt.DeepEquals, test.want)
				env.c.Check(env.agent.Running(), qt.Equals, 0)
			})
		})
	}
}

func TestAdmission(t *testing.T) {
	withTestEnv(t, func(env *testEnv) {
		env.engine.set(func(e *fakeEngine) {
			e.eventDelay = time.Second
			e.events = []plat.Event{event(1, 1), event(2, 0), event(3, 0), event(4, 0)}
		})
		r := runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1}
		for range 2 {
			go env.runItem(r)
		}
		synctest.Wait()
		_, last := env.runItem(r)
		env.c.Check(last.Code, qt.Equals, runs.Full)
		env.c.Check(last.Running, qt.Equals, 2)
		env.agent.StopAccepting()
		_, last = env.runItem(r)
		env.c.Check(last.Code, qt.Equals, runs.Leaving)
		time.Sleep(time.Minute)
	})
}

// A stream whose events come slowly must run to its end. One that has no event for the
// stall timeout must end, also if its engine reports its state and sends bytes that are
// no event: only events count as progress.
func TestSlowAndStalledStreams(t *testing.T) {
	tests := map[string]struct {
		eventDelay time.Duration
		want       runs.Code
		events     int
	}{
		"slow but sound": {stallTimeout.Duration() - 200*time.Millisecond, runs.Done, 4},
		"stalled":        {stallTimeout.Duration() + 200*time.Millisecond, runs.Broken, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(env *testEnv) {
				env.engine.set(func(e *fakeEngine) {
					e.eventDelay = test.eventDelay
					e.events = []plat.Event{event(1, 1), event(2, 0), event(3, 0), event(4, 0)}
				})
				versions, last := env.runItem(runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1})
				env.c.Check(last.Code, qt.Equals, test.want, qt.Commentf("%s", last.Detail))
				env.c.Check(versions, qt.HasLen, test.events)
			})
		})
	}
}

// The run must end when its entry disconnects.
func TestEntryDisconnects(t *testing.T) {
	withTestEnv(t, func(env *testEnv) {
		env.engine.set(func(e *fakeEngine) {
			e.eventDelay = time.Second
			e.events = []plat.Event{event(1, 1), event(2, 0), event(3, 0)}
		})
		ctx, disconnect := context.WithCancel(env.ctx)
		var body strings.Builder
		env.c.Assert(gob.NewEncoder(&body).Encode(&runs.Run{Item: "x", Instance: "i-1", Model: "m", OpenAt: env.agent.newFrame("").Now}), qt.IsNil)
		go env.agent.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, runs.RunPath, strings.NewReader(body.String())))
		synctest.Wait()
		env.c.Check(env.agent.Running(), qt.Equals, 1)
		disconnect()
		synctest.Wait()
		env.c.Check(env.agent.Running(), qt.Equals, 0)
		time.Sleep(time.Minute)
	})
}

// On some days one engine in five is four times slower than the others, and each
// long item migrates away from it after a few events. The agent must still report a
// transient slowdown for a short time after such a run, and a longer event interval after
// several, so that the next items avoid the engine.
func TestSlowEngineAfterMigrations(t *testing.T) {
	withTestEnv(t, func(env *testEnv) {
		runAndCancel := func(eventDelay time.Duration, timeout time.Duration) {
			stream := &fakeEngine{eventDelay: eventDelay} // The reader of the previous stream may still wait for an event.
			for n := range 100 {
				stream.events = append(stream.events, event(n+1, 1))
			}
			env.agent.DecodeEvents = func(*plat.Response) plat.EventReader { return stream }
			ctx, cancel := context.WithTimeout(env.ctx, timeout)
			defer cancel()
			var body strings.Builder
			env.c.Assert(gob.NewEncoder(&body).Encode(&runs.Run{Item: "x", Instance: "i-1", Model: "m", OpenAt: env.agent.newFrame("").Now}), qt.IsNil)
			env.agent.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, runs.RunPath, strings.NewReader(body.String())))
			synctest.Wait()
		}
		runAndCancel(48*time.Millisecond, 2*time.Second)
		env.c.Check(env.agent.newFrame("m").Hiccup, qt.IsFalse)
		time.Sleep(10 * time.Second)
		runAndCancel(192*time.Millisecond, 450*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		env.c.Check(env.agent.newFrame("m").Hiccup, qt.IsTrue)
		time.Sleep(500 * time.Millisecond)
		env.c.Check(env.agent.newFrame("m").Hiccup, qt.IsFalse)
		for range 3 {
			runAndCancel(192*time.Millisecond, 450*time.Millisecond)
			time.Sleep(700 * time.Millisecond)
		}
		pace := env.agent.newFrame("m").Pace
		env.c.Check(pace > 1.6*48, qt.IsTrue, qt.Commentf("pace %.0f ms", pace))
		time.Sleep(intervalRetention.Duration())
		env.c.Check(env.agent.newFrame("m").Pace, qt.Equals, 0.0) // The engine may have recovered.
		usual := env.agent.newFrame("m").Usual
		env.c.Check(usual >= 48 && usual < 60, qt.IsTrue, qt.Commentf("usually %.0f ms", usual))
		time.Sleep(time.Minute)
	})
}

// Load orders must have fencing tokens that never decrease, and a delayed order must
// not bring back an older version.
func TestOrders(t *testing.T) {
	tests := map[string]struct {
		before func(env *testEnv)
		after  func(env *testEnv)
		want   int64 // version loaded in the end
	}{
		"announced":          {want: 2},
		"the answer is lost": {before: func(env *testEnv) { env.engine.set(func(e *fakeEngine) { e.loseReplies = true }) }, after: func(env *testEnv) { env.engine.set(func(e *fakeEngine) { e.loseReplies = false }) }, want: 2},
		"delayed effect": {before: func(env *testEnv) {
			env.engine.set(func(e *fakeEngine) { e.loseReplies, e.orderDelay = true, 5*time.Second })
		}, after: func(env *testEnv) { env.engine.set(func(e *fakeEngine) { e.loseReplies = false }) }, want: 2},
		"delayed until after a newer": {before: func(env *testEnv) {
			env.engine.set(func(e *fakeEngine) { e.loseReplies, e.orderDelay = true, 9*time.Second })
		}, after: func(env *testEnv) { env.engine.set(func(e *fakeEngine) { e.loseReplies = false }); env.announce("3") }, want: 3},
		"engine restarts": {after: func(env *testEnv) {
			env.engine.set(func(e *fakeEngine) { e.orders = 0 })
			env.register("i-2")
			env.announce("3")
		}, want: 3},
		"engine reports nothing": {before: func(env *testEnv) { env.engine.set(func(e *fakeEngine) { e.unresponsive = true }) }, after: func(env *testEnv) { env.engine.set(func(e *fakeEngine) { e.unresponsive = false }) }, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(env *testEnv) {
				if test.before != nil {
					test.before(env)
				}
				env.announce("2")
				time.Sleep(2 * time.Second)
				if test.after != nil {
					test.after(env)
				}
				time.Sleep(20 * time.Second)
				env.engine.mu.Lock()
				defer env.engine.mu.Unlock()
				env.c.Check(env.engine.version, qt.Equals, test.want)
				last := int64(0)
				for _, o := range env.engine.sent {
					env.c.Check(o.Fence >= last, qt.IsTrue, qt.Commentf("token %d after %d", o.Fence, last))
					env.c.Check(o.Owner, qt.Equals, "n")
					last = o.Fence
				}
			})
		})
	}
}

// A version is announced while the longest items run, and a load would stop them for
// about a second, so only the first half of the engines may load immediately.
func TestTurns(t *testing.T) {
	const announcedAt = 10 * clock.Second
	early, late := turn{rank: 1, total: 4}, turn{rank: 2, total: 4}
	tests := map[string]struct {
		turn      turn
		now       clock.Millis
		behind    int64
		idleSince clock.Millis
		want      bool
	}{
		"first half, even while busy":      {early, announcedAt, 1, 0, true},
		"second half, busy":                {late, announcedAt + 9*clock.Second, 1, 0, false},
		"second half, idle long enough":    {late, announcedAt + idleLoadDelay, 1, announcedAt - 5000, true},
		"second half, work may be coming":  {late, announcedAt + 100, 1, announcedAt - 5000, false},
		"second half, two versions behind": {late, announcedAt, 2, 0, true},
		"the only engine of a model":       {turn{rank: 0, total: 1}, announcedAt, 1, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(test.turn.due(test.now, test.behind, test.idleSince, announcedAt), qt.Equals, test.want)
		})
	}
}

// While two other agents load, a third must wait until one of them has finished. If
// they died, it must wait no longer than a load may take.
func TestLoadLimiter(t *testing.T) {
	for name, releases := range map[string]bool{"one releases": true, "both died": false} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(env *testEnv) {
				other := func(name string) *LoadLimiter {
					return NewLoadLimiter(name, env.store, logs.NewWriter(env.ctx, env.store, name+"/1", 1<<20, zerolog.Nop()), clock.NewSystem(), zerolog.Nop())
				}
				x, y := other("x"), other("y")
				for _, g := range []*LoadLimiter{x, y} {
					token, err := g.Enqueue(env.ctx)
					env.c.Assert(err, qt.IsNil)
					may, err := g.MayLoad(env.ctx, token, 2)
					env.c.Assert(err, qt.IsNil)
					env.c.Check(may, qt.IsTrue)
				}
				env.announce("3") // two versions behind: the engine loads as soon as possible
				time.Sleep(time.Second)
				env.engine.set(func(e *fakeEngine) { env.c.Check(e.sent, qt.HasLen, 0) })
				if releases {
					env.c.Assert(x.Release(env.ctx), qt.IsNil)
					time.Sleep(300 * time.Millisecond)
				} else {
					time.Sleep(3 * time.Second)
				}
				env.engine.set(func(e *fakeEngine) {
					env.c.Check(e.sent, qt.HasLen, 1)
					env.c.Check(e.version, qt.Equals, int64(3))
				})
			})
		})
	}
}

// TestOrderEndsWithTheIncarnation guards against an order that is sent again, with its fencing
// token, to an engine that has restarted under its ID since.
func TestOrderEndsWithTheIncarnation(t *testing.T) {
	withTestEnv(t, func(env *testEnv) {
		env.engine.set(func(e *fakeEngine) { e.startedAt, e.loseReplies, e.orderDelay = 7, true, time.Hour })
		time.Sleep(500 * time.Millisecond)
		env.announce("2")
		time.Sleep(time.Second) // The order has been sent, and its effect is not known.
		env.engine.set(func(e *fakeEngine) { e.startedAt, e.loseReplies = 8, false })
		time.Sleep(10 * time.Second)
		env.engine.set(func(e *fakeEngine) {
			env.c.Assert(len(e.sent) >= 2, qt.IsTrue)
			env.c.Check(e.sent[len(e.sent)-1].Fence > e.sent[0].Fence, qt.IsTrue, qt.Commentf("%v", e.sent))
			env.c.Check(e.version, qt.Equals, int64(2))
		})
	})
}
