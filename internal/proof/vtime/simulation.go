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

// Kind describes one class of arriving requests.
type Kind struct {
	Class      ident.Class
	Share      float64 // of all requests
	MeanTokens int     // mean answer length; requests have 50% to 150% of it
	Waiting    clock.Millis
	Lateness   clock.Millis
	Round      bool
}

// Fault slows or crashes some engines for its duration.
type Fault struct {
	Start    clock.Millis
	Duration clock.Millis
	Engines  []int
	Speed    float64 // share of full speed; 0 crashes the engine
}

// Scenario describes one run.
type Scenario struct {
	Policy      match.Policy
	Seed        uint64
	Entries     int
	Engines     int
	Batch       batch.Params
	Kinds       []Kind
	Load        func(at clock.Millis) float64 // arriving tokens/s as a share of the engines' full capacity
	Faults      []Fault
	ReportDelay clock.Millis // from sending a load report to its arrival
	WarmUp      clock.Millis // requests that arrive earlier are not counted
	Duration    clock.Millis // time during which requests arrive
}

// ConstantLoad returns a load that does not change over time.
func ConstantLoad(share float64) func(clock.Millis) float64 {
	return func(clock.Millis) float64 { return share }
}

const (
	reportInterval   = 500 * clock.Milli
	dispatchInterval = 50 * clock.Milli
	progressInterval = 20 * clock.Milli // between two progress reports of a stream
	maxAttempts      = 6
	promptBytes      = 200
	serviceName      = "model"
)

// simulation is the state of one run.
type simulation struct {
	*Loop
	scenario Scenario
	rng      *rand.Rand
	entries  []*match.Matcher // the matcher of each entry
	engines  []*engine
	pending  map[uint64]*request
	nextID   uint64
	outcome  *Outcome
}

// request is one request of a caller.
type request struct {
	id            uint64
	jobID         string
	entry         int
	kind          int
	tokens        int
	arrivedAt     clock.Millis
	endedAttempts int
	item          match.Item
	attempts      map[int]*attempt // by index of the engine
}

// attempt is one attempt of a request on an engine.
type attempt struct {
	request        *request
	hedge          bool
	slotRequest    limit.Request
	reportedTokens int
}

// engine is one model engine with its agent.
type engine struct {
	batch     *batch.Engine
	limiter   *limit.Limiter
	attempts  []*attempt
	reportSeq uint64
	finishSeq uint64 // number of the latest scheduleFinish call; earlier schedules are ignored
	down      bool
}

// Run simulates a scenario to its end.
func Run(s Scenario) *Outcome {
	sim := &simulation{
		Loop:     NewLoop(),
		scenario: s,
		rng:      rand.New(rand.NewPCG(s.Seed, 1)),
		pending:  make(map[uint64]*request),
		outcome:  newOutcome(s),
	}
	for i := range max(1, s.Entries) {
		p := s.Policy
		p.Seed = s.Seed*1000 + uint64(i)
		sim.entries = append(sim.entries, match.New(p))
	}
	for i := range s.Engines {
		e := &engine{batch: batch.New(s.Batch), limiter: limit.New(s.Batch.Slots)}
		sim.engines = append(sim.engines, e)
		sim.Every(reportInterval, func() { sim.reportLoad(i) })
	}
	sim.Every(dispatchInterval, func() { sim.dispatchAll() })
	sim.Every(progressInterval, func() { sim.reportProgress() })
	for _, f := range s.Faults {
		sim.At(f.Start, func() { sim.applySpeed(f, f.Speed) })
		sim.At(f.Start+f.Duration, func() { sim.applySpeed(f, 1) })
	}
	sim.After(reportInterval+s.ReportDelay, sim.nextArrival)
	sim.Loop.Run(sim.scenario.Duration)
	sim.drain()
	return sim.outcome
}

// drain runs the loop until all requests have ended, for two minutes at most.
func (sim *simulation) drain() {
	for end := sim.Now() + 2*clock.Minute; len(sim.pending) > 0 && sim.Now() < end; {
		sim.Step()
	}
	sim.outcome.Unfinished = len(sim.pending)
}

// capacity returns the tokens/s of all engines at full speed.
func (s Scenario) capacity() float64 {
	return float64(s.Engines) * s.Batch.Rate * float64(min(s.Batch.Knee, s.Batch.Slots))
}

// meanTokens returns the mean cost of a request in generated tokens. The time to
// process the prompt is included as the tokens that it could have generated.
func (s Scenario) meanTokens() float64 {
	mean := promptBytes / s.Batch.PrefillRate * s.Batch.Rate
	for _, k := range s.Kinds {
		mean += k.Share * float64(k.MeanTokens)
	}
	return mean
}

// nextArrival adds a request and schedules the next one. The times between
// arrivals are exponentially distributed.
func (sim *simulation) nextArrival() {
	if sim.Now() >= sim.scenario.Duration {
		return
	}
	sim.addRequest()
	rate := sim.scenario.Load(sim.Now()) * sim.scenario.capacity() / sim.scenario.meanTokens()
	sim.scheduleArrival(sim.rng.ExpFloat64() / rate)
}

// scheduleArrival schedules the next arrival. The loop's clock has whole
// milliseconds, so the delay is rounded up with a probability equal to its
// fraction, which keeps the mean.
func (sim *simulation) scheduleArrival(seconds float64) {
	ms := seconds * float64(clock.Second)
	delay := clock.Millis(ms)
	if sim.rng.Float64() < ms-float64(delay) {
		delay++
	}
	sim.After(delay, sim.nextArrival)
}

// addRequest enqueues a new request of a random kind and length.
func (sim *simulation) addRequest() {
	kindIndex := sim.drawKind()
	kind := sim.scenario.Kinds[kindIndex]
	sim.nextID++
	id := sim.nextID
	req := &request{
		id:        id,
		jobID:     strconv.FormatUint(id, 10),
		entry:     int(id) % len(sim.entries),
		kind:      kindIndex,
		tokens:    kind.MeanTokens/2 + sim.rng.IntN(kind.MeanTokens+1),
		arrivedAt: sim.Now(),
		attempts:  make(map[int]*attempt),
	}
	req.item = match.Item{
		ID:       id,
		Class:    kind.Class,
		Service:  serviceName,
		StartBy:  sim.Now() + kind.Waiting,
		FinishBy: sim.Now() + kind.Lateness,
		Round:    kind.Round,
		Bytes:    promptBytes,
		Avoid:    sets.Of[ident.Node](),
	}
	sim.outcome.recordArrival(req)
	sim.pending[id] = req
	sim.enqueue(req)
}

// drawKind returns the index of a random kind according to the kinds' shares.
func (sim *simulation) drawKind() int {
	x := sim.rng.Float64()
	for i, k := range sim.scenario.Kinds {
		if x < k.Share {
			return i
		}
		x -= k.Share
	}
	return 0
}

// enqueue puts a request into its entry's queue.
func (sim *simulation) enqueue(req *request) {
	if err := sim.entries[req.entry].Enqueue(sim.Now(), req.item); err != nil {
		sim.refuse(req, err)
		return
	}
	sim.dispatch(req.entry)
}

// refuse ends a request without an answer.
func (sim *simulation) refuse(req *request, err error) {
	f, _ := fault.As(err)
	sim.outcome.recordRefusal(req, f)
	delete(sim.pending, req.id)
}

func (sim *simulation) dispatchAll() {
	for i := range sim.entries {
		sim.dispatch(i)
	}
}

// dispatch carries out the grants and refusals of one entry's matcher.
func (sim *simulation) dispatch(entry int) {
	grants, refused := sim.entries[entry].Dispatch(sim.Now())
	for _, r := range refused {
		sim.refuse(sim.pending[r.Item], r.Err)
	}
	for _, g := range grants {
		sim.startAttempt(sim.pending[g.Item], g)
	}
}

func nodeName(i int) ident.Node { return ident.Node(fmt.Sprintf("agent-%03d", i)) }

func engineIndex(n ident.Node) int {
	i, _ := strconv.Atoi(string(n)[len("agent-"):])
	return i
}

// startAttempt starts a granted attempt, unless the engine is down or its agent
// refuses the attempt.
func (sim *simulation) startAttempt(req *request, g match.Grant) {
	i := engineIndex(g.Node)
	e := sim.engines[i]
	if e.down {
		sim.After(1, func() { sim.endUnanswered(req, i, match.Result{Outcome: match.Failed}) })
		return
	}
	a := &attempt{request: req, hedge: g.Hedge, slotRequest: limit.Request{Short: g.Short}}
	if !sim.scenario.Policy.BindOnArrival {
		if err := e.limiter.Admit(sim.Now(), g.Node, a.slotRequest, reportInterval); err != nil {
			f, _ := fault.As(err)
			sim.outcome.Rejected++
			sim.After(1, func() { sim.endUnanswered(req, i, match.Result{Outcome: match.Refused, RetryAfter: f.RetryAfter()}) })
			return
		}
	}
	sim.outcome.recordStart(a)
	req.attempts[i] = a
	sim.advanceEngine(i)
	e.attempts = append(e.attempts, a)
	e.batch.Add(sim.Now(), batch.Job{ID: a.jobID(), Prompt: promptBytes, Tokens: req.tokens, Priority: g.Priority})
	sim.outcome.recordConcurrency(e.batch.Running() + e.batch.Waiting())
	sim.scheduleFinish(i)
}

func (a *attempt) jobID() string { return a.request.jobID }

// endUnanswered ends an attempt without an answer. The request is enqueued again,
// unless another of its attempts is running. If the last of maxAttempts attempts
// failed, the request is refused instead.
func (sim *simulation) endUnanswered(req *request, i int, res match.Result) {
	delete(req.attempts, i)
	sim.entries[req.entry].Finish(sim.Now(), req.id, nodeName(i), res)
	if sim.pending[req.id] == nil || len(req.attempts) > 0 {
		return
	}
	req.endedAttempts++
	if req.endedAttempts >= maxAttempts && res.Outcome == match.Failed {
		sim.refuse(req, fault.New(fault.BackendCrashed, "every attempt failed"))
		return
	}
	req.item.Requeued = res.Outcome == match.Refused
	req.item.Retry = !req.item.Requeued
	req.item.Avoid = sets.Of(nodeName(i))
	sim.enqueue(req)
}

// advanceEngine advances an engine to now and completes the attempts that
// finished.
func (sim *simulation) advanceEngine(i int) {
	e := sim.engines[i]
	done := sets.Of(e.batch.Advance(sim.Now())...)
	for _, a := range append([]*attempt(nil), e.attempts...) {
		if done.Has(a.jobID()) {
			sim.completeAttempt(i, a)
		}
	}
}

// completeAttempt ends a request with its first complete answer and cancels its
// other attempts.
func (sim *simulation) completeAttempt(i int, a *attempt) {
	req := a.request
	e := sim.engines[i]
	sim.removeAttempt(e, a)
	sim.entries[req.entry].Progress(sim.Now(), req.id, nodeName(i), req.tokens-a.reportedTokens)
	sim.entries[req.entry].Finish(sim.Now(), req.id, nodeName(i), match.Result{Outcome: match.Served})
	sim.outcome.recordTokens(a, req.tokens, true)
	sim.outcome.recordCompletion(req, sim.Now())
	delete(sim.pending, req.id)
	for j := range sim.engines {
		if other, ok := req.attempts[j]; ok && other != a {
			sim.cancelAttempt(j, other)
		}
	}
	sim.After(0, func() { sim.dispatch(req.entry) })
}

// cancelAttempt cancels an attempt on engine i. Its tokens count as extra work.
func (sim *simulation) cancelAttempt(i int, a *attempt) {
	e := sim.engines[i]
	sim.outcome.recordTokens(a, e.batch.TokensGenerated(a.jobID()), false)
	e.batch.Cancel(a.jobID())
	sim.removeAttempt(e, a)
	sim.entries[a.request.entry].Finish(sim.Now(), a.request.id, nodeName(i), match.Result{Outcome: match.Canceled})
	sim.scheduleFinish(i)
}

// removeAttempt removes an attempt from its engine and releases its slot.
func (sim *simulation) removeAttempt(e *engine, a *attempt) {
	for i, other := range e.attempts {
		if other == a {
			e.attempts = append(e.attempts[:i:i], e.attempts[i+1:]...)
			break
		}
	}
	if !sim.scenario.Policy.BindOnArrival {
		e.limiter.Release(sim.Now(), a.slotRequest)
	}
}

// scheduleFinish schedules the completion of the engine's next job. Each call
// replaces the schedule of the call before it.
func (sim *simulation) scheduleFinish(i int) {
	e := sim.engines[i]
	e.finishSeq++
	seq := e.finishSeq
	at := e.batch.NextFinish()
	if at == clock.Never {
		return
	}
	sim.At(at, func() {
		if e.finishSeq == seq {
			sim.advanceEngine(i)
			sim.scheduleFinish(i)
		}
	})
}

// reportProgress reports the attempts' new tokens to the entries.
func (sim *simulation) reportProgress() {
	for i, e := range sim.engines {
		sim.advanceEngine(i)
		sim.scheduleFinish(i)
		for _, a := range e.attempts {
			tokens := e.batch.TokensGenerated(a.jobID())
			sim.entries[a.request.entry].Progress(sim.Now(), a.request.id, nodeName(i), tokens-a.reportedTokens)
			a.reportedTokens = max(a.reportedTokens, tokens)
		}
	}
}

// reportLoad sends an engine's load to all entries. The report arrives after
// the scenario's ReportDelay.
func (sim *simulation) reportLoad(i int) {
	e := sim.engines[i]
	if e.down {
		return
	}
	e.reportSeq++
	ownRunning := make([]int, len(sim.entries))
	for _, a := range e.attempts {
		ownRunning[a.request.entry]++
	}
	for entry, m := range sim.entries {
		sv := match.Server{
			Node:       nodeName(i),
			Boot:       1,
			Seq:        e.reportSeq,
			Service:    serviceName,
			Version:    1,
			Slots:      sim.scenario.Batch.Slots,
			Running:    len(e.attempts),
			OwnRunning: ownRunning[entry],
		}
		sim.After(sim.scenario.ReportDelay, func() { m.Report(sim.Now(), sv) })
	}
}

// applySpeed sets the speed of a fault's engines, or crashes them at speed 0.
func (sim *simulation) applySpeed(f Fault, speed float64) {
	for _, i := range f.Engines {
		e := sim.engines[i]
		sim.advanceEngine(i)
		e.down = speed == 0
		if !e.down {
			e.batch.SetSpeed(speed)
		}
		for e.down && len(e.attempts) > 0 {
			a := e.attempts[0]
			sim.outcome.recordTokens(a, e.batch.TokensGenerated(a.jobID()), false)
			e.batch.Cancel(a.jobID())
			sim.removeAttempt(e, a)
			sim.endUnanswered(a.request, i, match.Result{Outcome: match.Failed})
		}
		sim.scheduleFinish(i)
	}
}
