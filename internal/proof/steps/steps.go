// Package steps measures how trainers fare in virtual time: how long they wait
// for the samples of a step, how old these are, and how much is made anew.
//
// It runs the product's own decisions (packages round, match and swap) over
// the stand-in engine's service model. A [Policy] selects them; [Baseline] is
// plain: a fixed partition, all engines swapped at once, first come first
// served, a lost sample begins anew, steps one after the other.
//
// # Usage
//
//	out := steps.Run(steps.Standard(), steps.Shared(seed))
//	fmt.Println(out.IdleShare(), out.StepTime(0.99), out.Ages, out.ExtraShare())
package steps

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
	"github.com/jujuberamp/jujuberamp/internal/proof/vtime"
	"github.com/jujuberamp/jujuberamp/internal/stand/batch"
)

// Policy selects the decisions.
type Policy struct {
	Match   match.Policy
	Swap    swap.Policy
	Resume  bool // a sample goes on from its proven tokens
	Overlap bool // the next step's round is opened when the trainer begins to train
}

// Standard returns the policy of the product.
func Standard() Policy {
	return Policy{Match: match.DefaultPolicy(), Swap: swap.DefaultPolicy(), Resume: true, Overlap: true}
}

// Baseline returns the plain policy.
func Baseline() Policy { return Policy{Match: match.LeastLoaded(), Swap: swap.Unstaggered()} }

// Scenario is what the trainers and engines do.
type Scenario struct {
	Seed              uint64
	Trainers          int
	EnginesPerTrainer int // of each trainer
	Batch             batch.Params
	Groups            int
	SamplesPerGroup   int // a group
	MedianTokens      int // tokens
	Staleness         ident.Version
	TrainTime         clock.Millis // the trainer's own work in a step
	SwapTime          clock.Millis // to load a version
	CrashesPerHour    float64      // an hour, over all engines
	CrashDowntime     clock.Millis // after a crash
	SlowPeriod        clock.Millis // two engines slow to a fifth for so long, then two others; 0 for none
	Duration          clock.Millis
}

// StandardScenario returns the stated scenario: 3 trainers on 9 engines, 1% of the
// samples 30 times as long as the median, new weights every 3 minutes if the
// trainer never waits, 2 engine crashes an hour.
func StandardScenario(seed uint64) Scenario {
	return Scenario{
		Seed:              seed,
		Trainers:          3,
		EnginesPerTrainer: 3,
		Batch:             batch.Params{Slots: 32, Rate: 100, Knee: 8, PrefillRate: 50_000, CachedPrefixes: 64},
		Groups:            128,
		SamplesPerGroup:   8,
		MedianTokens:      200,
		Staleness:         1,
		TrainTime:         3 * clock.Minute,
		SwapTime:          5 * clock.Second,
		CrashesPerHour:    2,
		CrashDowntime:     clock.Minute,
		Duration:          clock.Hour,
	}
}

const (
	tick       = 500 * clock.Milli // of reports, decisions and proofs
	slowAtOnce = 2
	slowSpeed  = 0.2  // share of full speed
	warmSteps  = 1    // of each trainer, not counted in times
	sigma      = 0.35 // of the lengths' logarithm
	longShare  = 0.01
	longTimes  = 30
	pageSize   = 256
	promptLen  = 200 // bytes
)

// Outcome is what a run gave.
type Outcome struct {
	Idle            clock.Millis // trainers waited
	Busy            clock.Millis // trainers trained
	Steps           []clock.Millis
	StalenessCounts map[int]int // samples by versions behind at hand-over
	TooStale        int         // samples older than the bound
	Duplicates      int         // samples handed over twice
	Regenerated     map[round.Reason]int
	DeliveredTokens int // tokens handed over
	GeneratedTokens int // tokens made by engines
}

// IdleShare returns the share of the trainers' time that they waited.
func (o *Outcome) IdleShare() float64 { return float64(o.Idle) / float64(max(1, o.Idle+o.Busy)) }

// StepTime returns a quantile of the time of a step.
func (o *Outcome) StepTime(q float64) clock.Millis {
	slices.Sort(o.Steps)
	return o.Steps[min(len(o.Steps)-1, int(q*float64(len(o.Steps))))]
}

// Samples returns how many samples were handed over.
func (o *Outcome) Samples() int {
	n := 0
	for _, k := range o.StalenessCounts {
		n += k
	}
	return n
}

// RegeneratedShare returns the samples made anew as a share of those handed over.
func (o *Outcome) RegeneratedShare() float64 {
	n := 0
	for _, k := range o.Regenerated {
		n += k
	}
	return float64(n) / float64(max(1, o.Samples()))
}

// world is the state of one run.
type world struct {
	*vtime.Loop
	p        Policy
	s        Scenario
	rng      *rand.Rand
	match    *match.Matcher
	engines  []*engine
	trainers []*learner
	runs     map[uint64]*run
	nextID   uint64
	out      *Outcome
}

// run is one attempt at a sample, waiting or at an engine.
type run struct {
	id      uint64
	name    string
	t       *learner
	r       *open
	ordinal int
	item    match.Item
	at      *engine // nil while it waits
	floor   int     // tokens that it began with
	part    round.Partial
	late    bool
}

// open is an open round.
type open struct {
	state   *round.State
	cursor  round.Cursor
	lengths []int
	began   clock.Millis
	runs    map[int]*run
}

// learner is one trainer.
type learner struct {
	index   int
	model   ident.Service
	version ident.Version
	step    int
	round   *open
	until   clock.Millis // it trains until then
	since   clock.Millis // it waits since then
	began   clock.Millis // of the step
	waiting bool
}

// Run plays a scenario to its end.
func Run(p Policy, s Scenario) *Outcome {
	w := &world{
		Loop:  vtime.NewLoop(),
		p:     p,
		s:     s,
		rng:   rand.New(rand.NewPCG(s.Seed, 7)),
		match: match.New(p.Match),
		runs:  make(map[uint64]*run),
		out:   &Outcome{StalenessCounts: make(map[int]int), Regenerated: make(map[round.Reason]int)},
	}
	for i := range s.Trainers {
		t := &learner{index: i, model: ident.Service(fmt.Sprint("model-", i)), version: 1}
		w.trainers = append(w.trainers, t)
		for range s.EnginesPerTrainer {
			w.engines = append(w.engines, newEngine(len(w.engines), t, s))
		}
		w.At(w.Now()+s.TrainTime*clock.Millis(i)/clock.Millis(s.Trainers), func() { w.begin(t) })
	}
	w.planCrash()
	w.planSlow(0)
	w.Every(tick, w.tick)
	w.Loop.Run(s.Duration)
	return w.out
}

// planCrash lets an engine crash after an exponential span.
func (w *world) planCrash() {
	if w.s.CrashesPerHour == 0 {
		return
	}
	span := clock.Millis(w.rng.ExpFloat64() / w.s.CrashesPerHour * float64(clock.Hour))
	w.After(span, func() {
		w.crash(w.engines[w.rng.IntN(len(w.engines))])
		w.planCrash()
	})
}

// planSlow slows two engines at a time, in turn.
func (w *world) planSlow(i int) {
	if w.s.SlowPeriod == 0 {
		return
	}
	for k := range slowAtOnce {
		e := w.engines[(slowAtOnce*i+k)%len(w.engines)]
		e.core.SetSpeed(slowSpeed)
		w.After(w.s.SlowPeriod, func() { e.core.SetSpeed(1) })
	}
	w.After(w.s.SlowPeriod, func() { w.planSlow(i + 1) })
}

// begin starts a step of a trainer that has trained.
func (w *world) begin(t *learner) {
	t.step++
	t.since, t.began, t.waiting = w.Now(), w.Now(), true
	if t.round == nil {
		t.round = w.open(t, t.version)
	}
}

// open opens the round of a trainer's next step, for the version that the
// trainer will have when it reads.
func (w *world) open(t *learner, v ident.Version) *open {
	spec := round.Spec{
		ID:              ident.Round(fmt.Sprintf("%s/%d", t.model, w.nextID)),
		Model:           t.model,
		Version:         v,
		Staleness:       w.s.Staleness,
		SamplesPerGroup: w.s.SamplesPerGroup,
		Prompts:         make([][]byte, w.s.Groups),
	}
	cur := round.NewCursor(spec.Total())
	o := &open{state: round.New(w.Now(), spec, cur), cursor: cur, began: w.Now(), runs: make(map[int]*run)}
	for range spec.Total() {
		o.lengths = append(o.lengths, w.draw())
	}
	return o
}

// draw returns the length of a sample.
func (w *world) draw() int {
	n := float64(w.s.MedianTokens) * math.Exp(sigma*w.rng.NormFloat64())
	if w.rng.Float64() < longShare {
		n *= longTimes
	}
	return max(1, int(n))
}

func (w *world) tick() {
	for _, e := range w.engines {
		w.settle(e)
	}
	for _, t := range w.trainers {
		w.swaps(t)
		if t.round != nil {
			w.start(t, t.round)
		}
	}
	grants, _ := w.match.Dispatch(w.Now())
	for _, g := range grants {
		w.submit(w.runs[g.Item], g)
	}
	for _, t := range w.trainers {
		w.read(t)
	}
}

// start queues the samples that may be started.
func (w *world) start(t *learner, o *open) {
	w.giveUp(o)
	window := 2 * w.s.EnginesPerTrainer * w.s.Batch.Slots
	for _, b := range o.state.Start(w.Now(), window) {
		w.nextID++
		r := &run{id: w.nextID, name: strconv.FormatUint(w.nextID, 10), t: t, r: o, ordinal: b.Ordinal, part: b.Part, floor: len(b.Part.Tokens), late: b.Late}
		r.item = match.Item{
			ID:         r.id,
			Class:      ident.Class(t.model),
			Service:    t.model,
			StartBy:    o.began + clock.Minute,
			MinVersion: b.MinVersion,
			Bytes:      promptLen,
			Round:      true,
			Requeued:   true,
		}
		o.runs[b.Ordinal] = r
		w.runs[r.id] = r
		if err := w.match.Enqueue(w.Now(), r.item); err != nil {
			w.ended(r, round.Partial{})
		}
	}
}

// giveUp ends the samples that will be too old.
func (w *world) giveUp(o *open) {
	for _, i := range o.state.CancelStale() {
		w.remove(o.runs[i], match.Result{Outcome: match.Canceled})
	}
}

// ended takes in an attempt that ended without a whole sample.
func (w *world) ended(r *run, part round.Partial) {
	w.remove(r, match.Result{Outcome: match.Canceled})
	if !w.p.Resume {
		part = round.Partial{}
	}
	r.r.state.Interrupt(w.Now(), r.ordinal, part, round.Failed)
}

// remove takes an attempt out, wherever it is.
func (w *world) remove(r *run, res match.Result) {
	delete(w.runs, r.id)
	delete(r.r.runs, r.ordinal)
	if r.at == nil {
		w.match.Dequeue(r.id)
		return
	}
	r.at.core.Cancel(r.name)
	r.at.runs = slices.DeleteFunc(r.at.runs, func(o *run) bool { return o == r })
	w.match.Finish(w.Now(), r.id, r.at.node, res)
}

// read lets a trainer that waits take what is there.
func (w *world) read(t *learner) {
	if !t.waiting || t.round == nil {
		return
	}
	o := t.round
	for {
		o.state.ApplyCursor(w.Now(), o.cursor)
		pg := o.state.Read(o.cursor, t.version, pageSize)
		for _, s := range pg.Samples {
			w.take(t, o, s)
		}
		o.cursor = pg.Cursor
		if len(pg.Samples) == 0 {
			break
		}
	}
	if o.cursor.Count() == o.state.Spec().Total() {
		w.whole(t, o)
	}
}

func (w *world) take(t *learner, o *open, s round.Sample) {
	if o.cursor.Has(s.Ordinal) {
		w.out.Duplicates++
	}
	age := t.version - s.OldestVersion()
	w.out.StalenessCounts[int(age)]++
	if age > w.s.Staleness {
		w.out.TooStale++
	}
	w.out.DeliveredTokens += len(s.Tokens)
}

// whole ends a trainer's wait; it trains, and announces its next version.
func (w *world) whole(t *learner, o *open) {
	now := w.Now()
	t.waiting = false
	if t.step > warmSteps {
		w.out.Idle += now - t.since
	}
	for r, n := range o.state.Remade() {
		w.out.Regenerated[r] += n
	}
	t.round = nil
	if w.p.Overlap {
		t.round = w.open(t, t.version+1)
	}
	w.After(w.s.TrainTime, func() {
		t.version++
		if t.step > warmSteps {
			w.out.Busy += w.s.TrainTime
			w.out.Steps = append(w.out.Steps, w.Now()-t.began)
		}
		w.begin(t)
	})
}
