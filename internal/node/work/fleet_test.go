package work

import (
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/permit"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/decide/sched"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// fakeFleet plays the agents of many engines. Each engine has two slots.
type fakeFleet struct {
	delay   time.Duration // of each state answer
	runTime time.Duration // of each run
	full    bool          // every slot is taken by other nodes
	clock   clock.Clock

	mu          sync.Mutex
	running     map[string]int // by host
	runs        int            // runs that were executed
	fetches     int            // state requests
	inFlight    int            // state requests in progress
	maxInFlight int
}

const fakeSlots = 2

func (f *fakeFleet) frame(host string) *runs.Frame {
	n := f.running[host]
	if f.full {
		n = fakeSlots
	}
	return &runs.Frame{
		Now:     permit.Stamp{Incarnation: "x", At: f.clock.Now()},
		Running: n, Slots: fakeSlots, Version: 1, Steady: true,
	}
}

// RoundTrip implements http.RoundTripper.
func (f *fakeFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	host, _, err := net.SplitHostPort(r.URL.Host)
	if err != nil {
		return nil, err
	}
	rec := httptest.NewRecorder()
	if r.URL.Path == runs.StatePath {
		return f.serveState(r.Context(), rec, host)
	}
	var run runs.Run
	if err := gob.NewDecoder(r.Body).Decode(&run); err != nil {
		return nil, err
	}
	return f.serveRun(r.Context(), rec, host)
}

func (f *fakeFleet) serveState(ctx context.Context, rec *httptest.ResponseRecorder, host string) (*http.Response, error) {
	f.mu.Lock()
	f.fetches++
	f.inFlight++
	f.maxInFlight = max(f.maxInFlight, f.inFlight)
	f.mu.Unlock()
	answered := clock.Sleep(ctx, clock.FromDuration(f.delay))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	if !answered {
		return nil, ctx.Err()
	}
	return frameResponse(rec, f.frame(host))
}

func (f *fakeFleet) serveRun(ctx context.Context, rec *httptest.ResponseRecorder, host string) (*http.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.full || f.running[host] >= fakeSlots {
		frame := f.frame(host)
		frame.Code = runs.Full
		return frameResponse(rec, frame)
	}
	f.running[host]++
	f.runs++
	in, out := io.Pipe()
	context.AfterFunc(ctx, func() { _ = out.CloseWithError(ctx.Err()) }) // It always returns nil.
	go func() {
		time.Sleep(f.runTime)
		f.mu.Lock()
		f.running[host]--
		frame := f.frame(host)
		f.mu.Unlock()
		frame.Code, frame.Events = runs.Done, []runs.Event{{Version: 1, Data: []byte("x")}}
		resp, err := frameResponse(rec, frame)
		if err == nil {
			_, err = io.Copy(out, resp.Body)
		}
		_ = out.CloseWithError(err) // It always returns nil.
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: in}, nil
}

// frameResponse returns a response that consists of one frame.
func frameResponse(rec *httptest.ResponseRecorder, frame *runs.Frame) (*http.Response, error) {
	if err := runs.NewWriter(rec).Write(frame); err != nil {
		return nil, err
	}
	return rec.Result(), nil
}

// startFleetWorker starts a worker of a deployment with n engines.
func startFleetWorker(ctx context.Context, agents *fakeFleet, n int) *Worker {
	store := topic.New()
	return startFleetWorkerOn(ctx, store, store, agents, n)
}

// startFleetWorkerOn is startFleetWorker with a store that the worker uses and the one
// below it.
func startFleetWorkerOn(ctx context.Context, used plat.Store, store *topic.Store, agents *fakeFleet, n int) *Worker {
	agents.running, agents.clock = make(map[string]int), clock.NewSystem()
	for i := range n {
		store.Write("servers", fmt.Sprintf("i-%d", i), fmt.Appendf(nil, "10.0.%d.%d:80", i/250, i%250))
	}
	return startNode(ctx, used, store, agents, "a")
}

// startNode starts a worker on a node. The value of a server's record is its address and,
// optionally, the version of its software and the time of its start.
func startNode(ctx context.Context, used plat.Store, store *topic.Store, agents http.RoundTripper, name string) *Worker {
	return startNodeWith(ctx, used, store, agents, name, func(*router.Route, *router.Service) {})
}

// startNodeWith is startNode with another configuration.
func startNodeWith(ctx context.Context, used plat.Store, store *topic.Store, agents http.RoundTripper, name string, change func(*router.Route, *router.Service)) *Worker {
	self := joblog.Node{Name: name, Boot: "boot-" + name}
	route := &router.Route{Host: "h", Prefix: "/p/", Kind: router.Rollout, Backends: []router.Backend{{Service: "s", Weight: 1}}, DueAfter: 7 * clock.Second, MaxAttempts: 3}
	service := &router.Service{Name: "s", Slots: fakeSlots, Models: []string{"m"}}
	change(route, service)
	cfg := router.New(1, router.Limits{}, []*router.Route{route}, []*router.Service{service})
	follower := conf.New(conf.Decoder{
		OperatorTopic: "op", ServersTopic: "servers", PlansTopic: "plans", DecodeKeyed: topic.DecodeKeyed,
		DecodeChange: func(string, []byte) (conf.Change, error) { return conf.Change{Config: cfg}, nil },
		DecodeServer: func(id string, value []byte) (*fleet.Server, error) {
			s := &fleet.Server{ID: id, Service: "s", Slots: fakeSlots, LoadedVersions: map[string]int64{"m": 1}}
			if _, err := fmt.Sscan(string(value), &s.Addr, &s.Software, &s.StartedAt); err != nil && s.Addr == "" {
				return nil, err
			}
			return s, nil
		},
	}, clock.NewSystem(), zerolog.Nop())
	store.Write("op", "config", []byte("c"))
	svc := newService(ctx, used, self)
	go follower.Run(ctx, store)
	go svc.Run(ctx)
	w := New(Params{
		Self: self, Jobs: svc, Conf: follower, Transport: agents, AgentPort: 81, Clock: clock.NewSystem(), Log: zerolog.Nop(),
	})
	go w.Run(ctx)
	time.Sleep(time.Second)
	return w
}

// submit hands a job of n items to the worker.
func submit(ctx context.Context, w *Worker, id string, n int) error {
	spec := &joblog.Spec{ID: id, Host: "h", Path: "/p/", Model: "m", MinVersion: 1}
	for i := range n {
		spec.Items = append(spec.Items, joblog.Item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/p/x", LengthHint: 1})
	}
	w.CacheItems(spec)
	return w.Jobs.Submit(ctx, spec)
}

// TestStateRequestsDoNotGrowWithTheFleet submits a job to a node of a fleet whose
// agents answer slowly or have no free slot. The requests of the node for the states
// of engines must not depend on the number of engines, and a node must never ask
// faster than it is answered.
func TestStateRequestsDoNotGrowWithTheFleet(t *testing.T) {
	const items = 16
	tests := map[string]struct {
		engines    int
		delay      time.Duration
		full       bool
		maxFetches int // in the first 10 s
		runs       int
	}{
		"10 engines, idle":               {10, time.Millisecond, false, 40, items},
		"100 engines, idle":              {100, time.Millisecond, false, 40, items},
		"1000 engines, idle":             {1000, time.Millisecond, false, 40, items},
		"1000 engines, answer in 300 ms": {1000, 300 * time.Millisecond, false, 40, items},
		// Eight requests at a time, each without an answer for half a second.
		"1000 engines, answer in 1 s": {1000, time.Second, false, 8 * 20, -1},
		// Each engine that may have a slot is asked about four times a second.
		"10 engines, full": {10, time.Millisecond, true, 10 * 40, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(2 * time.Second) // Requests in progress end.
				defer cancel()
				agents := &fakeFleet{delay: tc.delay, runTime: time.Second, full: tc.full}
				w := startFleetWorker(ctx, agents, tc.engines)
				c.Assert(submit(ctx, w, "j", items), qt.IsNil)
				time.Sleep(10 * time.Second)
				agents.mu.Lock()
				defer agents.mu.Unlock()
				c.Check(agents.maxInFlight <= maxStateFetches, qt.IsTrue, qt.Commentf("%d requests at once", agents.maxInFlight))
				c.Check(agents.fetches <= tc.maxFetches, qt.IsTrue, qt.Commentf("%d requests", agents.fetches))
				if tc.runs >= 0 {
					c.Check(agents.runs, qt.Equals, tc.runs)
				}
			})
		})
	}
}

// laggingStore is a store whose index grows by a heartbeat with each read, so that
// no read ever reaches its end, or whose index can't be read.
type laggingStore struct {
	*topic.Store
	lags  atomic.Bool
	fails atomic.Bool
}

func (s *laggingStore) Read(ctx context.Context, name string, part int, from int64, maxKB int, wait clock.Millis) (plat.Page, error) {
	if name == index.Topic && s.fails.Load() {
		return plat.Page{}, errors.New("the store is unreachable")
	}
	p, err := s.Store.Read(ctx, name, part, from, maxKB, wait)
	if name == index.Topic && s.lags.Load() {
		p.End++
	}
	return p, err
}

// TestStartNeedsCurrentIndex submits a job to a node that then falls behind the index,
// so that it can't know whether the job has ended. It must start no further item until
// it has caught up. A node that can't read the index at all leaves the decision to the
// agents, since the store may be down for all.
func TestStartNeedsCurrentIndex(t *testing.T) {
	tests := map[string]struct {
		lags, fails bool
		want        bool // whether runs are sent
	}{
		"current":    {false, false, true},
		"behind":     {true, false, false},
		"unreadable": {false, true, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(2 * time.Second)
				defer cancel()
				agents := &fakeFleet{delay: time.Millisecond, runTime: 100 * time.Millisecond}
				store := &laggingStore{Store: topic.New()}
				w := startFleetWorkerOn(ctx, store, store.Store, agents, 2)
				c.Assert(submit(ctx, w, "j", 1000), qt.IsNil)
				time.Sleep(time.Second)
				store.lags.Store(tc.lags)
				store.fails.Store(tc.fails)
				time.Sleep(maxEvidenceAge.Duration() + time.Second)
				before := agents.runCount()
				c.Assert(before > 0, qt.IsTrue)
				time.Sleep(3 * time.Second)
				c.Check(agents.runCount() > before, qt.Equals, tc.want, qt.Commentf("%d runs, then %d", before, agents.runCount()))
				store.lags.Store(false)
				store.fails.Store(false)
				before = agents.runCount()
				time.Sleep(time.Second)
				c.Check(agents.runCount() > before, qt.IsTrue)
			})
		})
	}
}

func (f *fakeFleet) runCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs
}

// A trainer ends a job while some of its items run. The node cancels these runs and then
// has nothing to do. It must not take the canceled runs for unreachable agents.
func TestEndOfAJobIsNoIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Minute)
		defer cancel()
		agents := &fakeFleet{delay: time.Millisecond, runTime: 30 * time.Second}
		w := startFleetWorker(ctx, agents, 10)
		c.Assert(submit(ctx, w, "j", 2*minLostRuns), qt.IsNil)
		time.Sleep(time.Second)
		c.Assert(agents.runCount(), qt.Equals, 2*minLostRuns)
		c.Assert(w.Jobs.End(ctx, "j"), qt.IsNil)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			w.mu.Lock()
			isolated := w.isolatedUntil > 0
			w.mu.Unlock()
			c.Assert(isolated, qt.IsFalse)
		}
	})
}

// silentAgents wraps agents that do not answer runs for a time.
type silentAgents struct {
	*fakeFleet
	until time.Time
}

func (a silentAgents) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == runs.RunPath && time.Now().Before(a.until) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return a.fakeFleet.RoundTrip(r)
}

// TestItemIsPlacedSoonAfterCalm guards against an item that is at no engine for longer than
// users accept although all is calm and engines have room: its last attempt of the trouble
// may still be waiting for an answer, and the delay after it comes on top.
func TestItemIsPlacedSoonAfterCalm(t *testing.T) {
	const maxUnplaced = 5 * time.Second // the users' bound
	for trouble := 5 * time.Second; trouble < 25*time.Second; trouble += time.Second {
		t.Run(trouble.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(time.Minute)
				defer cancel()
				agents := &fakeFleet{delay: time.Millisecond, runTime: time.Second}
				agents.running, agents.clock = make(map[string]int), clock.NewSystem()
				calm := time.Now().Add(trouble)
				store := topic.New()
				for i := range 3 {
					store.Write("servers", fmt.Sprintf("i-%d", i), fmt.Appendf(nil, "10.0.0.%d:80", i))
				}
				w := startNode(ctx, store, store, silentAgents{agents, calm}, "a")
				c.Assert(submit(ctx, w, "j", 1), qt.IsNil)
				time.Sleep(time.Until(calm) + maxUnplaced)
				c.Check(agents.runCount(), qt.Equals, 1)
			})
		})
	}
}

// TestLimitedEnginesAreNoFreeSlots guards against items that wait for engines that limit
// the rate of requests while idle engines are not asked for their state, because the free
// slots of the limited ones seem to be enough.
func TestLimitedEnginesAreNoFreeSlots(t *testing.T) {
	tests := map[string]struct {
		known sched.Engine // state of the two engines that reported just now
		asked bool         // the third engine is asked for its state
	}{
		"free":                            {sched.Engine{Slots: 8}, false},
		"full":                            {sched.Engine{Slots: 8, Running: 8}, true},
		"limited, one start each":         {sched.Engine{Slots: 8, Limited: true}, true},
		"limited, no start for some time": {sched.Engine{Slots: 8, Limited: true, InBackoff: true}, true},
		"refused a run a short time ago":  {sched.Engine{Slots: 8, InBackoff: true}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				agents := &fakeFleet{delay: time.Millisecond, running: make(map[string]int), clock: clock.NewSystem()}
				w := New(Params{Transport: agents, AgentPort: 81, Clock: agents.clock, Log: zerolog.Nop()})
				now := w.Clock.Now()
				byID := make(map[string]*fleet.Server)
				var engines []*sched.Engine
				for i := range 3 {
					e := test.known
					e.ID = fmt.Sprintf("i-%d", i)
					byID[e.ID] = &fleet.Server{ID: e.ID, Addr: fmt.Sprintf("10.0.0.%d:80", i)}
					if i < 2 {
						w.engine(byID[e.ID]).lastSeen = now
					} else {
						e = sched.Engine{ID: e.ID, Slots: 8, Outdated: true}
					}
					engines = append(engines, &e)
				}
				w.mu.Lock()
				w.requestStates(&job{model: "m"}, sched.New(engines), byID, make([]sched.Item, 4), now)
				w.mu.Unlock()
				time.Sleep(time.Second)
				agents.mu.Lock()
				defer agents.mu.Unlock()
				qt.New(t).Check(agents.fetches > 0, qt.Equals, test.asked)
			})
		})
	}
}
