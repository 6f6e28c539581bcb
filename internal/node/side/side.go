// Package side is the agent beside one model engine: it runs items for entries
// and is the only sender of orders to the engine.
//
// # Usage
//
//	a := side.New(side.Params{...})
//	go a.Control(ctx)
//	http.Handle(runs.Path, a)
package side

import (
	"context"
	"encoding/gob"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/speed"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
)

const (
	// runFor is how long an engine may work on an item: beyond any item that
	// a trainer still waits for.
	runFor = 60 * clock.Second
	// mostRun bounds a run's message: an item's body and headers fit a record
	// of the store.
	mostRun = 1 << 20
	// mostRefusal bounds what is read of a refusal's body, in bytes.
	mostRefusal = 4 << 10
	// silent is how long a stream may show nothing while the engine does not
	// answer on its own VM either; the slowest streams show an event every
	// 400 ms.
	silent = 800 * clock.Milli
	// stuck is the same while the engine answers and loads nothing.
	stuck = 3 * clock.Second
	// watchEach is how often the streams are looked at for a slow moment: half
	// of the usual span between two events.
	watchEach = 20 * clock.Milli
	// paceFor is the memory of the pace: longer than the moments in which
	// unseen neighbours slow an engine, shorter than a long item.
	paceFor = 1500 * clock.Milli
	// paceLeast is the number of events from which the pace is told, paceSpan
	// the time in ms from which it is told with fewer: two visits of items that
	// leave a slow engine.
	paceLeast = 10.0
	paceSpan  = 400.0
	// paceKeep is how long the pace of an engine that runs nothing is told:
	// shorter than the spells in which an engine is slow at both deployments,
	// so that one which has recovered is tried again.
	paceKeep = 3 * clock.Second
	// defaultSlots is used before the engine's entry in the registry is known.
	defaultSlots = 4
)

// Params are what an agent needs.
type Params struct {
	Node          string
	EngineAddr    string // IP:port of the engine
	Conf          *conf.Follower
	Sender        plat.Sender
	DecodeEvents  func(*plat.Response) plat.EventReader
	EngineControl plat.EngineControl
	LoadLimiter   Limiter
	Clock         clock.Clock
	Log           zerolog.Logger
	Count         func(name, label string)
}

// Limiter says when the engine may load; see [Gate].
type Limiter interface {
	Enqueue(ctx context.Context) (token int64, err error)
	MayLoad(ctx context.Context, token int64, together int) (bool, error)
	Release(ctx context.Context) error
}

// Agent runs items at one engine.
type Agent struct {
	Params

	mu      sync.Mutex
	running int
	leaving bool
	spans   float64 // ms between events lately, summed
	events  float64 // their number
	pacedAt clock.Millis
	state   plat.EngineState
	heard   clock.Millis // of the last report
	idle    clock.Millis // since when nothing runs, 0 while something does
	down    bool         // the last report was not answered
	loading bool         // an order was accepted and its end is not seen yet
	active  map[*run]struct{}
	pulse   speed.Detector
	moment  speed.State
}

// New returns an agent.
func New(p Params) *Agent {
	if p.Count == nil {
		p.Count = func(string, string) {}
	}
	return &Agent{Params: p, idle: p.Clock.Now(), active: make(map[*run]struct{})}
}

// engine returns the engine's entry in the registry, nil if there is none.
func (a *Agent) engine() *fleet.Server { return a.Conf.Servers().ByAddr(a.EngineAddr) }

func (a *Agent) slots() int {
	if e := a.engine(); e != nil && e.Slots > 0 {
		return e.Slots
	}
	return defaultSlots
}

// StopAccepting refuses further runs.
func (a *Agent) StopAccepting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

// Running returns the number of runs in progress.
func (a *Agent) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

// admit takes a slot, or returns the reason for a refusal.
func (a *Agent) admit(r *runs.Run) (runs.Code, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.leaving:
		return runs.Leaving, "the agent stops"
	case a.down:
		return runs.Full, "the engine does not report"
	case a.loading:
		return runs.Full, "the engine loads a version"
	case a.running >= a.slots():
		return runs.Full, "all slots are taken"
	case a.heard > 0 && a.state.Versions[r.Model] < r.MinVersion:
		return runs.StaleWeights, "the engine has an older version"
	}
	a.running++
	a.idle = 0
	return runs.InProgress, ""
}

func (a *Agent) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	if a.running == 0 {
		a.idle = a.Clock.Now()
	}
}

// frame returns a frame with the engine's state.
func (a *Agent) frame(model string) *runs.Frame {
	slots := a.slots()
	a.mu.Lock()
	defer a.mu.Unlock()
	f := &runs.Frame{Running: a.running, Slots: slots, Version: a.state.Versions[model], Hiccup: a.moment == speed.Slow || a.loading, Steady: a.moment == speed.Steady && !a.loading, Loading: a.loading || a.down}
	known := a.events >= paceLeast || a.events >= 1 && a.spans >= paceSpan
	if known && (a.running > 0 || a.Clock.Now()-a.pacedAt <= paceKeep) {
		f.Pace = a.spans / a.events
	}
	return f
}

// ServeState serves the engine's state as one frame.
func (a *Agent) ServeState(w http.ResponseWriter, r *http.Request) {
	if err := runs.NewWriter(w).Write(a.frame(r.URL.Query().Get("model"))); err != nil {
		a.Log.Info().Str("from", r.RemoteAddr).Err(err).Msg("side: state not sent")
	}
}

// ServeHTTP runs one item.
func (a *Agent) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var r runs.Run
	if err := gob.NewDecoder(io.LimitReader(req.Body, mostRun)).Decode(&r); err != nil {
		a.Log.Warn().Err(err).Str("from", req.RemoteAddr).Msg("side: run not read")
		http.Error(w, "not a run: "+err.Error(), http.StatusBadRequest)
		return
	}
	out := runs.NewWriter(w)
	code, detail := a.admit(&r)
	if code != runs.InProgress {
		f := a.frame(r.Model)
		f.Code, f.Detail = code, detail
		a.Count("runs", string(code))
		if err := out.Write(f); err != nil {
			a.Log.Info().Str("item", r.Item).Err(err).Msg("side: refusal not sent")
		}
		return
	}
	defer a.release()
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	x := &run{
		agent: a, Run: &r, events: make(chan plat.Event, 16), end: make(chan ending, 1), kick: make(chan struct{}, 1),
		version: r.Version, seen: r.After,
	}
	a.enter(x)
	defer a.exit(x)
	go x.read(ctx)
	x.pump(ctx, out)
}

// run is one item at the engine.
type run struct {
	agent *Agent
	*runs.Run
	events  chan plat.Event
	end     chan ending
	kick    chan struct{} // a frame is due now
	stream  speed.Stream  // guarded by the agent's lock
	seen    int           // last event
	version int64         // of that event
}

type ending struct {
	code   runs.Code
	detail string
}

// read sends the item to the engine and passes its events on.
func (x *run) read(ctx context.Context) {
	code, detail := x.engine(ctx)
	x.end <- ending{code, detail}
}

func (x *run) engine(ctx context.Context) (runs.Code, string) {
	a := x.agent
	ans, err := a.Sender.Send(ctx, plat.Target{ID: x.Instance, Addr: a.EngineAddr}, plat.Request{
		ID: x.Item, Method: http.MethodPost, URI: x.Path, Host: x.Host, Header: x.Header, Body: x.Body, Timeout: runFor, LastEventID: x.After,
	})
	if err != nil {
		return runs.Broken, err.Error()
	}
	defer ans.Body.Close()
	switch {
	case ans.Misdirected:
		return runs.WrongInstance, "another engine has the address"
	case ans.NotRun:
		// Read to its end, so that the connection is used again.
		_, err := io.Copy(io.Discard, io.LimitReader(ans.Body, mostRefusal))
		return runs.Full, errText("the engine refused", err)
	case ans.Status == http.StatusUnprocessableEntity:
		return runs.Rejected, "status 422"
	case ans.Status != http.StatusOK:
		return runs.Failed, http.StatusText(ans.Status)
	}
	events := a.DecodeEvents(ans)
	for {
		ev, err := events.Next()
		if err == io.EOF {
			return runs.Done, ""
		}
		if err != nil {
			return runs.Broken, err.Error()
		}
		select {
		case x.events <- ev:
		case <-ctx.Done():
			return runs.Broken, "the entry ended the run"
		}
	}
}

// pump sends frames until the run ends.
func (x *run) pump(ctx context.Context, out *runs.Writer) {
	a := x.agent
	tick := time.NewTicker(runs.FrameInterval.Duration())
	defer tick.Stop()
	began := a.Clock.Now()
	last, first := began, clock.Millis(0)
	var held []runs.Event
	send := func(code runs.Code, detail string) bool {
		f := a.frame(x.Model)
		f.Events, f.Code, f.Detail, f.Since = held, code, detail, a.Clock.Now()-last
		held = nil
		if code != runs.InProgress {
			a.Count("runs", string(code))
			a.Log.Info().Str("item", x.Item).Str("job", x.Job).Str("engine", x.Instance).Str("code", string(code)).Str("why", detail).
				Int("after", x.After).Int("events", x.seen).Int64("version", x.version).Int64("first-ms", int64(first)).
				Int64("took-ms", int64(a.Clock.Now()-began)).Float64("pace-ms", f.Pace).Msg("side: run ended")
		}
		if err := out.Write(f); err != nil {
			a.Log.Info().Str("item", x.Item).Err(err).Msg("side: the entry left")
			return false
		}
		return code == runs.InProgress
	}
	take := func(ev plat.Event) (runs.Code, string) {
		now := a.Clock.Now()
		code, detail := x.check(ev)
		if code == runs.InProgress {
			a.paced(x, now, float64(now-last), x.seen > x.After+1)
			if first == 0 {
				first = now - began
			}
			last = now
			held = append(held, runs.Event{Version: x.version, Data: ev.Data})
			if x.seen == x.After+1 { // The entry waits for a sign that the run has begun.
				select {
				case x.kick <- struct{}{}:
				default:
				}
			}
		}
		return code, detail
	}
	for {
		select {
		case ev := <-x.events:
			if code, detail := take(ev); code != runs.InProgress {
				send(code, detail)
				return
			}
		case e := <-x.end:
			for len(x.events) > 0 {
				if code, detail := take(<-x.events); code != runs.InProgress {
					send(code, detail)
					return
				}
			}
			if e.code == runs.Done && x.seen == 0 {
				e = ending{runs.Broken, "a text without an event"}
			}
			send(e.code, e.detail)
			return
		case <-tick.C:
			if why := a.stalled(a.Clock.Now() - last); why != "" {
				send(runs.Broken, why)
				return
			}
			if !send(runs.InProgress, "") {
				return
			}
		case <-x.kick:
			if !send(runs.InProgress, "") {
				return
			}
		case <-ctx.Done():
			a.Log.Info().Str("item", x.Item).Str("job", x.Job).Int("after", x.After).Int("events", x.seen).Int64("first-ms", int64(first)).
				Int64("took-ms", int64(a.Clock.Now()-began)).Msg("side: the entry ended the run")
			return
		}
	}
}

// check takes in the number and the version of an event.
func (x *run) check(ev plat.Event) (runs.Code, string) {
	if ev.ID != x.seen+1 {
		return runs.Broken, errors.Errorf("event %d after %d", ev.ID, x.seen).Error()
	}
	if ev.Version > 0 {
		if x.OneModel && x.version > 0 && ev.Version != x.version {
			return runs.MixedVersions, "the version changed"
		}
		x.version = ev.Version
	}
	if x.version < x.MinVersion || x.version == 0 {
		return runs.StaleWeights, "an event of an older version"
	}
	x.seen = ev.ID
	return runs.InProgress, ""
}

func (a *Agent) enter(x *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active[x] = struct{}{}
}

// exit notes the end of a run. The time since its last event counts for the
// engine's pace if it is longer than usual: the runs that leave a slow engine
// are those that tell of it.
func (a *Agent) exit(x *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.active, x)
	now := a.Clock.Now()
	if late := float64(x.stream.SinceLast(now)); !a.loading && late > a.pulse.Interval() {
		a.fade(now)
		a.spans += late
	}
}

// paced takes in the span between two events of a stream. What passes while a
// version is loaded says nothing of the engine's pace.
func (a *Agent) paced(x *run, now clock.Millis, span float64, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x.stream.Observe(now, span, known && !a.loading)
	if !known || a.loading {
		return
	}
	a.pulse.Add(span)
	a.fade(now)
	a.spans, a.events = a.spans+span, a.events+1
}

// fade lets what was seen before count for less; the caller holds the lock.
func (a *Agent) fade(now clock.Millis) {
	f := math.Exp(-float64(now-a.pacedAt) / float64(paceFor))
	a.spans, a.events, a.pacedAt = a.spans*f, a.events*f, now
}

// MonitorPace looks for moments in which the engine is slower than usual and tells
// the entries of all runs at once, until the context ends.
func (a *Agent) MonitorPace(ctx context.Context) {
	clock.Every(ctx, watchEach, a.watch)
}

func (a *Agent) watch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	streams := make([]*speed.Stream, 0, len(a.active))
	for x := range a.active {
		streams = append(streams, &x.stream)
	}
	was := a.moment
	a.moment = a.pulse.Check(a.Clock.Now(), streams)
	if slow := a.moment == speed.Slow; slow != (was == speed.Slow) {
		a.Log.Info().Bool("slow", slow).Int("running", a.running).Float64("usual-ms", a.pulse.Interval()).Bool("loading", a.loading).Msg("side: the engine's pace changed")
		a.tell()
	}
}

// tell has a frame sent on each run; the caller holds the lock.
func (a *Agent) tell() {
	for x := range a.active {
		select {
		case x.kick <- struct{}{}:
		default:
		}
	}
}

// stalled tells why a stream that showed nothing for a span counts as broken.
func (a *Agent) stalled(span clock.Millis) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	switch {
	case span >= silent && now-a.heard >= silent:
		return "the engine does not answer"
	case span >= stuck && !a.loading:
		return "the engine shows no event"
	}
	return ""
}

func errText(text string, err error) string {
	if err == nil {
		return text
	}
	return text + ": " + err.Error()
}
