// Package side implements the agent beside one model engine. The agent runs items for
// entries, and no other process sends load orders to the engine.
//
// # Usage
//
//	a := side.New(side.Params{...})
//	go a.ManageWeights(ctx)
//	go a.MonitorSpeed(ctx)
//	http.Handle(runs.RunPath, a)
package side

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/output"
	"github.com/jujuberamp/jujuberamp/internal/decide/permit"
	"github.com/jujuberamp/jujuberamp/internal/decide/rate"
	"github.com/jujuberamp/jujuberamp/internal/decide/speed"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
)

const (
	// runTimeout is how long an engine may work on an item: longer than a trainer
	// waits for any item.
	runTimeout = 60 * clock.Second
	// maxRunBytes limits the message of a run: an item's body and headers fit a
	// record of the store.
	maxRunBytes = 1 << 20
	// maxRefusalBytes limits how much of a refusal's body is read.
	maxRefusalBytes = 4 << 10
	// unresponsiveTimeout is how long a stream may have no event while the engine
	// does not report its state either, although it is on the same VM. The
	// slowest streams have an event every 400 ms.
	unresponsiveTimeout = 800 * clock.Milli
	// stallTimeout is the same limit for an engine that reports its state and does
	// not load weights.
	stallTimeout = 3 * clock.Second
	// speedCheckInterval is how often the streams are checked for a transient
	// slowdown: half of the usual event interval.
	speedCheckInterval = 20 * clock.Milli
	// intervalTimeConstant is the time constant of the average event interval. It
	// is longer than the transient slowdowns caused by other tenants of the
	// hardware, and shorter than a long item.
	intervalTimeConstant = 1500 * clock.Milli
	// The average event interval is reported once it covers minIntervalCount
	// events, or fewer events whose intervals add up to minIntervalSum ms. Two
	// short runs reach this sum if their items migrate away from a slow engine.
	minIntervalCount = 10.0
	minIntervalSum   = 400.0
	// intervalRetention is how long the average of an engine that runs nothing is
	// reported. It is shorter than the slow periods of engines at both example deployments,
	// so that an engine that has recovered is tried again.
	intervalRetention = 3 * clock.Second
	// defaultSlots is used until the engine is found in the registry.
	defaultSlots = 4
)

// Params are the dependencies and settings of an Agent.
type Params struct {
	Node          string
	Incarnation   string       // of this process
	EngineAddr    string       // IP:port of the engine
	EndBound      clock.Millis // time after the end of a job within which its items may still reach the engine
	Conf          *conf.Follower
	Sender        plat.Sender
	DecodeEvents  func(*plat.Response) plat.EventReader
	EngineControl plat.EngineControl
	LoadLimiter   Limiter
	Clock         clock.Clock
	Log           zerolog.Logger
	Count         func(name, label string) // increments a counter; optional
}

// Limiter decides when the engine may load weights; see [LoadLimiter].
type Limiter interface {
	Enqueue(ctx context.Context) (token int64, err error)
	MayLoad(ctx context.Context, token int64, limit int) (bool, error)
	Release(ctx context.Context) error
}

// Agent runs items on one engine.
type Agent struct {
	Params

	mu               sync.Mutex
	running          int
	acceptingStopped bool
	intervalSum      float64 // sum of recent event intervals in ms, with exponential decay
	intervalCount    float64 // number of these intervals, with the same decay
	decayedAt        clock.Millis
	state            plat.EngineState
	lastReport       clock.Millis // when the engine last reported
	idleSince        clock.Millis // when the last run ended, 0 while something runs
	unreachable      bool         // the last read of the report failed
	loading          bool         // an accepted load order has not finished
	active           map[*run]struct{}
	detector         speed.Detector
	usual            speed.Usual
	speedState       speed.State
	rateLimit        rate.Limit           // of requests to the engine
	starts           rate.Bucket          // grants requests to the engine while it has a limit
	leaving          option.Option[int64] // start of the incarnation that states that it leaves
	malformedLeaving string               // last statement about that which can't be decoded
}

// New returns an agent.
func New(p Params) *Agent {
	if p.Count == nil {
		p.Count = func(string, string) {}
	}
	now := p.Clock.Now()
	return &Agent{Params: p, idleSince: now, starts: rate.NewBucket(now), active: make(map[*run]struct{})}
}

// engine returns the engine's entry in the registry, or nil if there is none.
func (a *Agent) engine() *fleet.Server { return a.Conf.Servers().ByAddr(a.EngineAddr) }

func (a *Agent) slots() int {
	if e := a.engine(); e != nil && e.Slots > 0 {
		return e.Slots
	}
	return defaultSlots
}

// StopAccepting makes the agent refuse further runs.
func (a *Agent) StopAccepting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acceptingStopped = true
}

// Running returns the number of runs in progress.
func (a *Agent) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

// admit reserves a slot for a run, or returns the reason for a refusal.
func (a *Agent) admit(r *runs.Run) (runs.Code, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.acceptingStopped:
		return runs.Leaving, "the agent stops"
	case !permit.IsValid(a.Clock.Now(), a.Incarnation, r.OpenAt, permit.MaxAge(a.EndBound)) && !a.Conf.IsStoreDown():
		return runs.Unproven, "the job may have ended"
	case a.isLeaving():
		return runs.Leaving, engineLeaves
	case a.unreachable:
		return runs.Full, "the engine does not report"
	case a.loading:
		return runs.Full, "the engine loads a version"
	case a.running >= a.slots():
		return runs.Full, "all slots are taken"
	case a.lastReport == 0: // The engine may have a rate limit.
		return runs.Full, "the engine has not reported yet"
	case r.StartedAt != 0 && a.state.StartedAt != 0 && r.StartedAt != a.state.StartedAt:
		// An engine that restarts under its ID may have other software.
		return runs.WrongInstance, "the engine has restarted"
	case a.state.Versions[r.Model] < r.MinVersion:
		return runs.StaleWeights, "the engine has an older version"
	}
	if _, ok := a.takeStart(0, 0); !ok {
		a.Count("rate-limit", "refused")
		return runs.Full, "the engine limits the rate of requests"
	}
	a.running++
	a.idleSince = 0
	return runs.InProgress, ""
}

func (a *Agent) releaseSlot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	if a.running == 0 {
		a.idleSince = a.Clock.Now()
	}
}

// newFrame returns a frame with the engine's state.
func (a *Agent) newFrame(model string) *runs.Frame {
	slots := a.slots()
	a.mu.Lock()
	defer a.mu.Unlock()
	f := &runs.Frame{
		Now:     permit.Stamp{Incarnation: a.Incarnation, At: a.Clock.Now()},
		Running: a.running, Slots: slots, Version: a.state.Versions[model], Usual: a.usual.Interval(),
		Hiccup:  a.speedState == speed.Slow || a.loading,
		Steady:  a.speedState == speed.Steady && !a.loading,
		Loading: a.loading || a.unreachable,
	}
	if a.isLeaving() {
		f.EngineLeaving, f.EngineStartedAt = true, a.state.StartedAt
	}
	if limit := a.rateLimit.PerSecond(); limit > 0 {
		f.StartInterval, f.StartIn = rate.Interval(limit), a.starts.Wait(a.Clock.Now(), limit)
	}
	known := a.intervalCount >= minIntervalCount || a.intervalCount >= 1 && a.intervalSum >= minIntervalSum
	if known && (a.running > 0 || a.Clock.Now()-a.decayedAt <= intervalRetention) {
		f.Pace = a.intervalSum / a.intervalCount
	}
	return f
}

// ServeState serves the engine's state as one frame.
func (a *Agent) ServeState(w http.ResponseWriter, r *http.Request) {
	if err := runs.WriteState(w, a.newFrame(r.URL.Query().Get("model"))); err != nil {
		a.Log.Info().Str("from", r.RemoteAddr).Err(err).Msg("side: state not sent")
	}
}

// ServeHTTP runs one item.
func (a *Agent) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r, err := runs.DecodeRun(req.Body, maxRunBytes)
	if err != nil {
		a.Log.Warn().Err(err).Str("from", req.RemoteAddr).Msg("side: decoding a run failed")
		http.Error(w, "not a run: "+err.Error(), http.StatusBadRequest)
		return
	}
	out := runs.NewWriter(w)
	code, detail := a.admit(r)
	if code != runs.InProgress {
		f := a.newFrame(r.Model)
		f.Code, f.Detail = code, detail
		a.Count("runs", string(code))
		if err := out.Write(f); err != nil {
			a.Log.Info().Str("item", r.Item).Err(err).Msg("side: refusal not sent")
		}
		return
	}
	defer a.releaseSlot()
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	x := &run{
		agent: a, Run: r, events: make(chan plat.Event, 16), done: make(chan outcome, 1), frameDue: make(chan struct{}, 1),
		version: r.Version, lastEvent: r.After, limits: output.NewLimits(r.MaxTokens, 1, r.MaxTextBytes),
	}
	a.addRun(x)
	defer a.removeRun(x)
	go x.execute(ctx)
	x.sendFrames(ctx, out)
}

// run is one execution of an item on the engine.
type run struct {
	agent *Agent
	*runs.Run
	events    chan plat.Event
	done      chan outcome
	frameDue  chan struct{} // requests a frame before the next tick
	stream    speed.Stream  // guarded by the mutex of the agent
	lastEvent int           // number of the last event
	version   int64         // weight version of that event
	limits    output.Limits // of the item's output
	bytes     int           // of the events, as in [output.Part]
}

// outcome is how a run ended.
type outcome struct {
	code   runs.Code
	detail string
}

// execute runs the item on the engine and passes its events and outcome on.
func (x *run) execute(ctx context.Context) {
	code, detail := x.readEvents(ctx)
	x.done <- outcome{code, detail}
}

func (x *run) readEvents(ctx context.Context) (runs.Code, string) {
	a := x.agent
	sentAt := a.Clock.Now()
	a.mu.Lock()
	startedAt, leaving := a.state.StartedAt, a.isLeaving()
	a.mu.Unlock()
	if leaving { // It stated it after the run was admitted.
		return runs.Leaving, engineLeaves
	}
	resp, err := a.Sender.Send(ctx, plat.Target{ID: x.Instance, Addr: a.EngineAddr}, plat.Request{
		ID: x.Item, Method: http.MethodPost, URI: x.Path, Host: x.Host, Header: x.Header, Body: x.Body, Workspace: x.Workspace, Timeout: runTimeout, LastEventID: x.After,
	})
	if err != nil {
		return runs.Broken, err.Error()
	}
	defer resp.Body.Close()
	if !resp.Misdirected {
		a.mu.Lock()
		a.observeRateLimit(sentAt, resp.RateLimit)
		a.observeLeaving(startedAt, resp.Leaving)
		a.mu.Unlock()
	}
	switch {
	case resp.Misdirected:
		return runs.WrongInstance, "another engine has the address"
	case resp.NotExecuted:
		// Read the body to its end, so that the connection can be reused.
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBytes))
		return runs.Full, withError("the engine refused", err)
	case resp.Status == http.StatusUnprocessableEntity:
		return runs.Rejected, "status 422"
	case resp.Status == http.StatusInternalServerError:
		return runs.Failed, http.StatusText(resp.Status)
	case resp.Status != http.StatusOK:
		return runs.Broken, "status " + strconv.Itoa(resp.Status)
	}
	events := a.DecodeEvents(resp)
	for {
		ev, err := events.Next()
		if err == io.EOF {
			return runs.Done, ""
		}
		if errors.Is(err, plat.ErrMalformedEvent) {
			return runs.Faulty, err.Error()
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

// sendFrames sends frames to the entry until the run ends.
func (x *run) sendFrames(ctx context.Context, out *runs.Writer) {
	a := x.agent
	tick := time.NewTicker(runs.FrameInterval.Duration())
	defer tick.Stop()
	startedAt := a.Clock.Now()
	// Until the first event, lastEventAt is the start of the run.
	lastEventAt, firstEventDelay := startedAt, clock.Millis(0)
	var pending []runs.Event
	send := func(code runs.Code, detail string) bool {
		f := a.newFrame(x.Model)
		f.Events, f.Code, f.Detail, f.Since = pending, code, detail, a.Clock.Now()-lastEventAt
		pending = nil
		if code != runs.InProgress {
			a.Count("runs", string(code))
			a.Log.Info().Str("item", x.Item).Str("job", x.Job).Str("engine", x.Instance).Str("code", string(code)).Str("why", detail).
				Int("after", x.After).Int("events", x.lastEvent).Int64("version", x.version).Int64("first-ms", int64(firstEventDelay)).
				Int64("took-ms", int64(a.Clock.Now()-startedAt)).Float64("pace-ms", f.Pace).Msg("side: run ended")
		}
		if err := out.Write(f); err != nil {
			a.Log.Info().Str("item", x.Item).Err(err).Msg("side: sending a frame to the entry failed")
			return false
		}
		return code == runs.InProgress
	}
	accept := func(ev plat.Event) (runs.Code, string) {
		now := a.Clock.Now()
		code, detail := x.acceptEvent(ev)
		if code == runs.InProgress {
			a.recordInterval(x, now, float64(now-lastEventAt), x.lastEvent > x.After+1)
			if firstEventDelay == 0 {
				firstEventDelay = now - startedAt
			}
			lastEventAt = now
			pending = append(pending, runs.Event{Version: x.version, Data: ev.Data})
			if x.lastEvent == x.After+1 { // The entry waits for the first event.
				select {
				case x.frameDue <- struct{}{}:
				default:
				}
			}
		}
		return code, detail
	}
	for {
		select {
		case ev := <-x.events:
			if code, detail := accept(ev); code != runs.InProgress {
				send(code, detail)
				return
			}
		case end := <-x.done:
			for len(x.events) > 0 {
				if code, detail := accept(<-x.events); code != runs.InProgress {
					send(code, detail)
					return
				}
			}
			if end.code == runs.Done && x.lastEvent == 0 {
				end = outcome{runs.Broken, "a text without an event"}
			}
			send(end.code, end.detail)
			return
		case <-tick.C:
			if why := a.stallReason(a.Clock.Now() - lastEventAt); why != "" {
				send(runs.Broken, why)
				return
			}
			if !send(runs.InProgress, "") {
				return
			}
		case <-x.frameDue:
			if !send(runs.InProgress, "") {
				return
			}
		case <-ctx.Done():
			a.Log.Info().Str("item", x.Item).Str("job", x.Job).Int("after", x.After).Int("events", x.lastEvent).Int64("first-ms", int64(firstEventDelay)).
				Int64("took-ms", int64(a.Clock.Now()-startedAt)).Msg("side: the entry ended the run")
			return
		}
	}
}

// acceptEvent checks an event's number, size and version against the run and records them.
func (x *run) acceptEvent(ev plat.Event) (runs.Code, string) {
	if ev.ID != x.lastEvent+1 {
		return runs.Faulty, errors.Errorf("event %d after %d", ev.ID, x.lastEvent).Error()
	}
	x.bytes += len(ev.Data) + 1
	answer := output.Part{Engine: x.Instance, Events: ev.ID, Bytes: x.bytes}
	if d, ok := x.limits.Judge([]output.Part{answer}, output.MaxOverruns); ok { // The entry knows the tokens in an event.
		return runs.Faulty, d.Reason
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
	x.lastEvent = ev.ID
	return runs.InProgress, ""
}

func (a *Agent) addRun(x *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active[x] = struct{}{}
}

// removeRun records the end of a run. The time since its last event is added to the
// average event interval if it is longer than usual. Otherwise the average would
// miss the longest intervals of a slow engine, because they end with a migration.
func (a *Agent) removeRun(x *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.active, x)
	now := a.Clock.Now()
	if late := float64(x.stream.SinceLast(now)); !a.loading && late > a.detector.Interval() {
		a.decay(now)
		a.intervalSum += late
	}
}

// recordInterval records an event of a stream and the time in ms before it. The
// average includes only intervals between two events of a run while no load is in
// progress, because only these show the engine's speed.
func (a *Agent) recordInterval(x *run, now clock.Millis, interval float64, betweenEvents bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x.stream.Observe(now, interval, betweenEvents && !a.loading)
	if !betweenEvents || a.loading {
		return
	}
	a.detector.Add(interval)
	if a.detector.Known() {
		a.usual.Observe(now, a.detector.Interval())
	}
	a.decay(now)
	a.intervalSum, a.intervalCount = a.intervalSum+interval, a.intervalCount+1
}

// decay reduces the weight of earlier intervals. The caller holds the lock.
func (a *Agent) decay(now clock.Millis) {
	factor := math.Exp(-float64(now-a.decayedAt) / float64(intervalTimeConstant))
	a.intervalSum, a.intervalCount, a.decayedAt = a.intervalSum*factor, a.intervalCount*factor, now
}

// MonitorSpeed detects transient slowdowns of the engine and reports them to the
// entries of all runs immediately, until the context ends.
func (a *Agent) MonitorSpeed(ctx context.Context) {
	clock.Every(ctx, speedCheckInterval, a.checkSpeed)
}

func (a *Agent) checkSpeed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	streams := make([]*speed.Stream, 0, len(a.active))
	for x := range a.active {
		streams = append(streams, &x.stream)
	}
	previous := a.speedState
	a.speedState = a.detector.Check(a.Clock.Now(), streams)
	if slow := a.speedState == speed.Slow; slow != (previous == speed.Slow) {
		a.Log.Info().Bool("slow", slow).Int("running", a.running).Float64("usual-ms", a.detector.Interval()).Bool("loading", a.loading).Msg("side: the engine's pace changed")
		a.requestFrames()
	}
}

// requestFrames makes every run send a frame immediately. The caller holds the lock.
func (a *Agent) requestFrames() {
	for x := range a.active {
		select {
		case x.frameDue <- struct{}{}:
		default:
		}
	}
}

// stallReason returns why a stream that had no event for the given time counts as
// broken, or "" if it does not.
func (a *Agent) stallReason(elapsed clock.Millis) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	switch {
	case elapsed >= unresponsiveTimeout && now-a.lastReport >= unresponsiveTimeout:
		return "the engine does not answer"
	case elapsed >= stallTimeout && !a.loading:
		return "the engine shows no event"
	}
	return ""
}

func withError(text string, err error) string {
	if err == nil {
		return text
	}
	return text + ": " + err.Error()
}
