package vtime

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/limit"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/stand/batch"
)

// Kind is one class of the arriving work.
type Kind struct {
	Class    ident.Class
	Share    float64 // of the arrivals
	Tokens   int     // mean length; each piece has 50% to 150% of it
	Waiting  clock.Millis
	Lateness clock.Millis
	Round    bool
}

// Fault slows or stops some engines for a span.
type Fault struct {
	Start    clock.Millis
	Duration clock.Millis
	Engines  []int
	Speed    float64 // share of full speed; 0 crashes the engine
}

// Scenario is one run.
type Scenario struct {
	Policy      match.Policy
	Seed        uint64
	Entries     int
	Engines     int
	Batch       batch.Params
	Kinds       []Kind
	Load        func(at clock.Millis) float64 // arriving work as a share of full capacity
	Faults      []Fault
	ReportDelay clock.Millis // age of a load report when it arrives
	WarmUp      clock.Millis // arrivals before it are not counted
	Duration    clock.Millis // of the arrivals
}

// ConstantLoad is a load that does not change.
func ConstantLoad(share float64) func(clock.Millis) float64 {
	return func(clock.Millis) float64 { return share }
}

const (
	reportEvery = 500 * clock.Milli
	tickEvery   = 50 * clock.Milli
	showEvery   = 20 * clock.Milli // between the tokens that a stream shows
	maxTries    = 6
	prompt      = 200 // bytes
	service     = "model"
)

// world is the state of one run.
type world struct {
	*Loop
	s       Scenario
	rng     *rand.Rand
	entries []*match.Matcher
	engines []*engine
	works   map[uint64]*work
	nextID  uint64
	out     *Outcome
}

// work is one request.
type work struct {
	id      uint64
	name    string
	entry   int
	kind    int
	tokens  int
	arrived clock.Millis
	tries   int
	item    match.Item
	runs    map[int]*attempt // by engine
}

// attempt is one try of a work at an engine.
type attempt struct {
	w     *work
	hedge bool
	ask   limit.Request
	shown int
}

type engine struct {
	core *batch.Engine
	lim  *limit.Limiter
	jobs []*attempt
	seq  uint64
	wake uint64 // number of the wake-up that counts
	down bool
}

// Run plays a scenario to its end.
func Run(s Scenario) *Outcome {
	w := &world{
		Loop:  NewLoop(),
		s:     s,
		rng:   rand.New(rand.NewPCG(s.Seed, 1)),
		works: make(map[uint64]*work),
		out:   newOutcome(s),
	}
	for i := range max(1, s.Entries) {
		p := s.Policy
		p.Seed = s.Seed*1000 + uint64(i)
		w.entries = append(w.entries, match.New(p))
	}
	for i := range s.Engines {
		e := &engine{core: batch.New(s.Batch), lim: limit.New(s.Batch.Slots)}
		w.engines = append(w.engines, e)
		w.Every(reportEvery, func() { w.report(i) })
	}
	w.Every(tickEvery, func() { w.decideAll() })
	w.Every(showEvery, func() { w.show() })
	for _, f := range s.Faults {
		w.At(f.Start, func() { w.strike(f, f.Speed) })
		w.At(f.Start+f.Duration, func() { w.strike(f, 1) })
	}
	w.After(reportEvery+s.ReportDelay, w.arrivals)
	w.Loop.Run(w.s.Duration)
	w.drain()
	return w.out
}

// drain runs on until all work has ended, within a bound.
func (w *world) drain() {
	for end := w.Now() + 2*clock.Minute; len(w.works) > 0 && w.Now() < end; {
		w.Step()
	}
	w.out.Unfinished = len(w.works)
}

// capacity is the tokens/s of all engines at full speed.
func (s Scenario) capacity() float64 {
	return float64(s.Engines) * s.Batch.Rate * float64(min(s.Batch.Knee, s.Batch.Slots))
}

// cost is the mean length of a request in tokens, with its prompt.
func (s Scenario) cost() float64 {
	mean := prompt / s.Batch.PrefillRate * s.Batch.Rate
	for _, k := range s.Kinds {
		mean += k.Share * float64(k.Tokens)
	}
	return mean
}

// arrivals lets one request arrive and plans the next, with exponential
// spans between them.
func (w *world) arrivals() {
	if w.Now() >= w.s.Duration {
		return
	}
	w.arrive()
	rate := w.s.Load(w.Now()) * w.s.capacity() / w.s.cost()
	w.gap(w.rng.ExpFloat64() / rate)
}

// gap plans the next arrival; the loop counts whole milliseconds, so the
// remainder is drawn.
func (w *world) gap(seconds float64) {
	ms := seconds * float64(clock.Second)
	whole := clock.Millis(ms)
	if w.rng.Float64() < ms-float64(whole) {
		whole++
	}
	w.After(whole, w.arrivals)
}

func (w *world) arrive() {
	k := w.drawKind()
	kind := w.s.Kinds[k]
	w.nextID++
	id := w.nextID
	wk := &work{
		id:      id,
		name:    strconv.FormatUint(id, 10),
		entry:   int(id) % len(w.entries),
		kind:    k,
		tokens:  kind.Tokens/2 + w.rng.IntN(kind.Tokens+1),
		arrived: w.Now(),
		runs:    make(map[int]*attempt),
	}
	wk.item = match.Item{
		ID:       id,
		Class:    kind.Class,
		Service:  service,
		StartBy:  w.Now() + kind.Waiting,
		FinishBy: w.Now() + kind.Lateness,
		Round:    kind.Round,
		Bytes:    prompt,
		Avoid:    sets.Of[ident.Node](),
	}
	w.out.arrived(wk)
	w.works[id] = wk
	w.offer(wk)
}

func (w *world) drawKind() int {
	x := w.rng.Float64()
	for i, k := range w.s.Kinds {
		if x < k.Share {
			return i
		}
		x -= k.Share
	}
	return 0
}

// offer puts a request into its entry's queue.
func (w *world) offer(wk *work) {
	if err := w.entries[wk.entry].Enqueue(w.Now(), wk.item); err != nil {
		w.refuse(wk, err)
		return
	}
	w.decide(wk.entry)
}

func (w *world) refuse(wk *work, err error) {
	f, _ := fault.As(err)
	w.out.refused(wk, f)
	delete(w.works, wk.id)
}

func (w *world) decideAll() {
	for i := range w.entries {
		w.decide(i)
	}
}

// decide carries out what one entry decides.
func (w *world) decide(entry int) {
	grants, refused := w.entries[entry].Dispatch(w.Now())
	for _, r := range refused {
		w.refuse(w.works[r.Item], r.Err)
	}
	for _, g := range grants {
		w.submit(w.works[g.Item], g)
	}
}

func nodeName(i int) ident.Node { return ident.Node(fmt.Sprintf("agent-%03d", i)) }

func engineOf(n ident.Node) int {
	i, _ := strconv.Atoi(string(n)[len("agent-"):])
	return i
}

// submit starts a granted attempt at its agent.
func (w *world) submit(wk *work, g match.Grant) {
	i := engineOf(g.Node)
	e := w.engines[i]
	if e.down {
		w.After(1, func() { w.lost(wk, i, match.Result{Outcome: match.Failed}) })
		return
	}
	a := &attempt{w: wk, hedge: g.Hedge, ask: limit.Request{Short: g.Short}}
	if !w.s.Policy.BindOnArrival {
		if err := e.lim.Admit(w.Now(), g.Node, a.ask, reportEvery); err != nil {
			f, _ := fault.As(err)
			w.out.Rejected++
			w.After(1, func() { w.lost(wk, i, match.Result{Outcome: match.Refused, RetryAfter: f.RetryAfter()}) })
			return
		}
	}
	w.out.started(a)
	wk.runs[i] = a
	w.settle(i)
	e.jobs = append(e.jobs, a)
	e.core.Add(w.Now(), batch.Job{ID: a.id(), Prompt: prompt, Tokens: wk.tokens, Priority: g.Priority})
	w.out.mostAt(e.core.Running() + e.core.Waiting())
	w.plan(i)
}

func (a *attempt) id() string { return a.w.name }

// lost ends an attempt that did not give an answer; the request tries again.
func (w *world) lost(wk *work, i int, res match.Result) {
	delete(wk.runs, i)
	w.entries[wk.entry].Finish(w.Now(), wk.id, nodeName(i), res)
	if w.works[wk.id] == nil || len(wk.runs) > 0 {
		return
	}
	wk.tries++
	if wk.tries >= maxTries && res.Outcome == match.Failed {
		w.refuse(wk, fault.New(fault.BackendCrashed, "every attempt failed"))
		return
	}
	wk.item.Requeued = res.Outcome == match.Refused
	wk.item.Retry = !wk.item.Requeued
	wk.item.Avoid = sets.Of(nodeName(i))
	w.offer(wk)
}

// settle brings an engine's state up to now and ends what has finished.
func (w *world) settle(i int) {
	e := w.engines[i]
	done := sets.Of(e.core.Advance(w.Now())...)
	for _, a := range append([]*attempt(nil), e.jobs...) {
		if done.Has(a.id()) {
			w.finish(i, a)
		}
	}
}

// finish ends a request with the first whole answer and cancels the other.
func (w *world) finish(i int, a *attempt) {
	wk := a.w
	e := w.engines[i]
	w.leave(e, a)
	w.entries[wk.entry].Progress(w.Now(), wk.id, nodeName(i), wk.tokens-a.shown)
	w.entries[wk.entry].Finish(w.Now(), wk.id, nodeName(i), match.Result{Outcome: match.Served})
	w.out.made(a, wk.tokens, true)
	w.out.finished(wk, w.Now())
	delete(w.works, wk.id)
	for j := range w.engines {
		if o, ok := wk.runs[j]; ok && o != a {
			w.cancel(j, o)
		}
	}
	w.After(0, func() { w.decide(wk.entry) })
}

func (w *world) cancel(j int, a *attempt) {
	e := w.engines[j]
	w.out.made(a, e.core.TokensGenerated(a.id()), false)
	e.core.Cancel(a.id())
	w.leave(e, a)
	w.entries[a.w.entry].Finish(w.Now(), a.w.id, nodeName(j), match.Result{Outcome: match.Canceled})
	w.plan(j)
}

func (w *world) leave(e *engine, a *attempt) {
	for k, o := range e.jobs {
		if o == a {
			e.jobs = append(e.jobs[:k:k], e.jobs[k+1:]...)
			break
		}
	}
	if !w.s.Policy.BindOnArrival {
		e.lim.Release(w.Now(), a.ask)
	}
}

// plan wakes up when the engine's next job finishes.
func (w *world) plan(i int) {
	e := w.engines[i]
	e.wake++
	mine := e.wake
	at := e.core.NextFinish()
	if at == clock.Never {
		return
	}
	w.At(at, func() {
		if e.wake == mine {
			w.settle(i)
			w.plan(i)
		}
	})
}

// show passes the tokens made so far to the entries.
func (w *world) show() {
	for i, e := range w.engines {
		w.settle(i)
		w.plan(i)
		for _, a := range e.jobs {
			made := e.core.TokensGenerated(a.id())
			w.entries[a.w.entry].Progress(w.Now(), a.w.id, nodeName(i), made-a.shown)
			a.shown = max(a.shown, made)
		}
	}
}

// report sends an engine's load to all entries; it arrives late.
func (w *world) report(i int) {
	e := w.engines[i]
	if e.down {
		return
	}
	e.seq++
	yours := make([]int, len(w.entries))
	for _, a := range e.jobs {
		yours[a.w.entry]++
	}
	for n, m := range w.entries {
		sv := match.Server{
			Node:       nodeName(i),
			Boot:       1,
			Seq:        e.seq,
			Service:    service,
			Version:    1,
			Slots:      w.s.Batch.Slots,
			Running:    len(e.jobs),
			OwnRunning: yours[n],
		}
		w.After(w.s.ReportDelay, func() { m.Report(w.Now(), sv) })
	}
}

// strike changes the speed of some engines, or crashes them.
func (w *world) strike(f Fault, speed float64) {
	for _, i := range f.Engines {
		e := w.engines[i]
		w.settle(i)
		e.down = speed == 0
		if !e.down {
			e.core.SetSpeed(speed)
		}
		for e.down && len(e.jobs) > 0 {
			a := e.jobs[0]
			w.out.made(a, e.core.TokensGenerated(a.id()), false)
			e.core.Cancel(a.id())
			w.leave(e, a)
			w.lost(a.w, i, match.Result{Outcome: match.Failed})
		}
		w.plan(i)
	}
}
