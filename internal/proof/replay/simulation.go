package replay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/ledger"
	"github.com/jujuberamp/jujuberamp/internal/decide/limit"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/proof/vtime"
)

// workItem is one request of a caller or one sample of a round.
type workItem struct {
	item           match.Item
	request        ident.Request // its ID in the list of suspects of a crash
	class          ident.Class
	service        ident.Service
	prefix         string
	tokens         int
	arrivedAt      clock.Millis
	grantedAt      clock.Millis // moment of the first grant, 0 for none
	endedAt        clock.Millis // 0 while the work has not ended
	failure        fault.Kind   // empty if the work did not fail
	crashedServers int          // number of servers that it crashed
	retries        int
	round          *replayedRound // nil for a caller's request
	ordinal        int
	generation     int // generation of the round's state that started the sample
	entry          ident.Node
	attempts       []*attempt
}

// simulation is the state of one replay.
type simulation struct {
	*vtime.Loop
	options         Options
	trace           trace.Trace
	info            traceInfo
	start           clock.Millis // virtual time of the first event
	classes         map[ident.Class]class.Class
	ledger          Ledger
	crashes         Crashes
	claimStreams    map[ident.Service]*claimStream // by the stream's name
	matcher         Matcher
	servers         map[ident.Node]*server
	serverList      []*server // in order of their first report
	pending         map[uint64]*workItem
	nextID          uint64
	rounds          map[ident.Round]*replayedRound
	lastRounds      map[ident.Caller]*replayedRound // by trainer
	targetVersions  map[ident.Service]ident.Version
	acceptedClasses map[ident.Class]record.ActiveClass // classes of accepted changes, by name
	stoppedEntries  map[ident.Node]bool                // entries that stopped before the end of the trace
	result          *Result
}

func newSimulation(t trace.Trace, o Options) *simulation {
	sim := &simulation{
		Loop:            vtime.NewLoop(),
		options:         o,
		trace:           t,
		info:            analyze(t),
		classes:         make(map[ident.Class]class.Class),
		ledger:          o.Decisions.Ledger(),
		crashes:         o.Decisions.Crash(),
		matcher:         o.Decisions.Match(),
		claimStreams:    make(map[ident.Service]*claimStream),
		servers:         make(map[ident.Node]*server),
		pending:         make(map[uint64]*workItem),
		rounds:          make(map[ident.Round]*replayedRound),
		lastRounds:      make(map[ident.Caller]*replayedRound),
		targetVersions:  make(map[ident.Service]ident.Version),
		acceptedClasses: make(map[ident.Class]record.ActiveClass),
		stoppedEntries:  make(map[ident.Node]bool),
		result:          &Result{},
	}
	sim.start = sim.Now()
	sim.result.crashingRequests = sim.info.crashingRequests
	sim.result.traceShift = t.Events[0].At - sim.start
	for _, c := range o.Classes {
		sim.classes[c.Name()] = c
	}
	return sim
}

const (
	tickInterval = 50 * clock.Milli
	drainTimeout = 2 * clock.Minute // for work that is pending at the end of the trace
	maxRetries   = 6
)

// traceNow returns the current moment in trace time.
func (sim *simulation) traceNow() clock.Millis { return sim.result.traceTime(sim.Now()) }

// replay handles all events of the trace, then runs on until all work has
// ended or drainTimeout has passed.
func (sim *simulation) replay() {
	traceStart := sim.trace.Events[0].At
	for _, e := range sim.trace.Events {
		sim.At(sim.start+e.At-traceStart, func() { sim.handleEvent(e) })
	}
	stop := sim.Every(tickInterval, sim.tick)
	end := sim.start + sim.trace.Events[len(sim.trace.Events)-1].At - traceStart
	sim.Loop.Run(end)
	for limit := end + drainTimeout; sim.isBusy() && sim.Now() < limit; {
		sim.refreshLiveServers()
		sim.Loop.Run(sim.Now() + tickInterval)
	}
	stop()
}

// refreshLiveServers keeps the servers alive that were alive at the end of the
// trace.
func (sim *simulation) refreshLiveServers() {
	for _, s := range sim.serverList {
		if sim.Now()-s.lastSeen <= livenessTimeout {
			s.lastSeen = sim.Now()
		}
	}
}

// isBusy reports whether work is pending or a round is incomplete.
func (sim *simulation) isBusy() bool {
	return len(sim.pending) > 0 ||
		slices.ContainsFunc(sim.result.rounds, func(rd *replayedRound) bool { return rd.completedAt == 0 })
}

// handleEvent replays one event of the trace.
func (sim *simulation) handleEvent(e trace.Event) {
	switch e.Kind {
	case trace.Report:
		sim.handleReport(e)
	case trace.Crash:
		sim.handleCrash(e)
	case trace.Arrive:
		if e.Round == "" {
			sim.handleArrival(e)
		}
	case trace.RoundOpen:
		sim.handleRoundOpen(e)
	case trace.Announce:
		if !sim.info.announcedByRound[serviceVersion{e.Service, e.Version}] {
			sim.announce(e.Service, e.Version)
		}
	case trace.Config:
		sim.handleConfig(e)
	case trace.Claim:
		sim.handleClaim(e)
	case trace.Stop:
		sim.handleStop(e.Node)
	}
	sim.dispatch()
}

// tick runs every tickInterval. It sends reports, orders loads, starts samples
// and dispatches work.
func (sim *simulation) tick() {
	sim.reportAllServers()
	sim.reportAllProgress()
	for _, m := range sortedKeys(sim.targetVersions) {
		for _, n := range sim.options.Decisions.Swap(sim.Now(), sim.targetVersions[m], sim.swapServers(m)) {
			sim.loadWeights(sim.servers[n], sim.targetVersions[m])
		}
	}
	for _, rd := range sim.result.rounds {
		sim.startSamples(rd)
	}
	sim.dispatch()
}

// handleConfig applies a configuration record and checks that all accepted
// changes are in force.
func (sim *simulation) handleConfig(e trace.Event) {
	r, err := record.Decode(e.Data)
	offsetBefore := sim.ledger.Offset()
	if err != nil || e.Offset <= offsetBefore { // Each entry writes the record to its trace; apply it once.
		return
	}
	res := sim.ledger.Apply(e.Offset, r)
	check := configCheck{at: sim.traceNow(), offset: sim.ledger.Offset(), decreased: sim.ledger.Offset() < offsetBefore}
	if res.Verdict == ledger.Accepted && r.Change != nil {
		for _, edit := range r.Change.Edits {
			check.class = edit.Name
			delete(sim.acceptedClasses, edit.Name)
			if !edit.Removed {
				sim.acceptedClasses[edit.Name] = record.ActiveClass{Class: edit.Class, Revision: e.Offset, Author: r.Change.Author}
			}
		}
	}
	for n, want := range sim.acceptedClasses {
		got, ok := sim.ledger.Find(n)
		if !ok || got.Class != want.Class {
			check.missing, check.class = true, n
		}
		if sim.options.Classes == nil {
			sim.classes[n] = want.Class
		}
	}
	sim.result.configChecks = append(sim.result.configChecks, check)
}

// handleArrival adds a caller's request.
func (sim *simulation) handleArrival(e trace.Event) {
	tokens, ok := sim.info.workTokens[e.WorkID]
	if !ok {
		tokens = sim.info.tokensOfClass(e.Class)
	}
	work := &workItem{request: e.Request, class: e.Class, service: e.Service, prefix: e.Prefix, tokens: tokens, entry: e.Node}
	if e.TimeLeft > 0 {
		work.item.Deadline = sim.Now() + e.TimeLeft
	}
	sim.result.requests = append(sim.result.requests, work)
	sim.submit(work)
}

// submit enqueues new work.
func (sim *simulation) submit(work *workItem) {
	sim.nextID++
	work.arrivedAt = sim.Now()
	work.item.ID = sim.nextID
	work.item.StartBy = sim.Now() + clock.Minute
	applyClass(work, sim.classes[work.class])
	sim.pending[work.item.ID] = work
	sim.enqueue(work)
}

// enqueue passes work to the matcher unless its request is quarantined.
func (sim *simulation) enqueue(work *workItem) {
	if sim.checkQuarantine(work) {
		return
	}
	if err := sim.matcher.Enqueue(sim.Now(), work.item); err != nil {
		sim.fail(work, err)
	}
}

// fail ends work without an answer.
func (sim *simulation) fail(work *workItem, err error) {
	work.failure = fault.KindOf(err)
	work.endedAt = sim.Now()
	delete(sim.pending, work.item.ID)
	if work.round != nil {
		sim.failSample(work)
	}
}

// dispatch carries out the matcher's grants and refusals.
func (sim *simulation) dispatch() {
	grants, refused := sim.matcher.Dispatch(sim.Now())
	for _, r := range refused {
		if work, ok := sim.pending[r.Item]; ok {
			sim.fail(work, r.Err)
		}
	}
	for _, g := range grants {
		if work, ok := sim.pending[g.Item]; ok {
			sim.startAttempt(work, g)
		}
	}
}

// startAttempt records a grant and starts its attempt. If the server refuses
// the attempt, the attempt ends 1 ms later.
func (sim *simulation) startAttempt(work *workItem, g match.Grant) {
	s := sim.servers[g.Node]
	a := &attempt{work: work, server: s, grant: g, slotRequest: limit.Request{Short: g.Short, CrashSuspect: work.item.CrashSuspect}}
	rec := grantRecord{at: sim.Now(), node: g.Node, leavingSince: s.leavingSince, lastReport: s.lastReport}
	if work.round == nil {
		rec.work = work
	}
	if work.grantedAt == 0 {
		work.grantedAt = sim.Now()
	}
	work.attempts = append(work.attempts, a)
	rec.rejected = !sim.admit(a)
	sim.result.grants = append(sim.result.grants, rec)
	if rec.rejected {
		sim.After(1, func() { sim.finishAttempt(a, match.Result{Outcome: match.Refused, RetryAfter: reportInterval}) })
	}
}

// finishAttempt handles the end of an attempt. A complete answer ends the work
// and its other attempts. Otherwise the work is retried when no other attempt is
// running. After maxRetries retries, a failed attempt fails the work.
func (sim *simulation) finishAttempt(a *attempt, res match.Result) {
	work := a.work
	if a.server.attempts[a.id()] == a {
		delete(a.server.attempts, a.id())
		a.server.limiter.Release(sim.Now(), a.slotRequest)
	}
	work.attempts = slices.DeleteFunc(work.attempts, func(other *attempt) bool { return other == a })
	sim.matcher.Finish(sim.Now(), work.item.ID, a.server.node, res)
	if sim.pending[work.item.ID] != work {
		return
	}
	switch {
	case res.Outcome == match.Served:
		sim.completeWork(work, a)
	case len(work.attempts) > 0:
	case res.Outcome == match.Failed && work.retries >= maxRetries:
		sim.fail(work, fault.New(fault.BackendCrashed, "every attempt failed"))
	default:
		work.retries++
		prepareRetry(work, a, res)
		sim.enqueue(work)
	}
	sim.At(sim.Now(), sim.dispatch)
}

// completeWork ends work with an answer and cancels its other attempts.
func (sim *simulation) completeWork(work *workItem, a *attempt) {
	work.endedAt = sim.Now()
	sim.crashes.Clear(string(work.request))
	delete(sim.pending, work.item.ID)
	for _, other := range slices.Clone(work.attempts) {
		sim.cancelAttempt(other)
	}
	if work.round != nil {
		sim.completeSample(work, a)
	}
}

// cancelAttempt cancels an attempt on its server.
func (sim *simulation) cancelAttempt(a *attempt) {
	a.server.engine.Cancel(a.id())
	sim.finishAttempt(a, match.Result{Outcome: match.Canceled})
}

// handleStop stops an entry: its work ends with an unknown outcome. A stop that
// only ends the recording is ignored.
func (sim *simulation) handleStop(n ident.Node) {
	if sim.isEndOfRecording(n) {
		return
	}
	sim.stoppedEntries[n] = true
	for _, id := range sortedKeys(sim.pending) {
		work := sim.pending[id]
		if work.entry != n {
			continue
		}
		delete(sim.pending, id)
		work.endedAt, work.failure = sim.Now(), fault.OutcomeUnknown
		for _, a := range slices.Clone(work.attempts) {
			sim.cancelAttempt(a)
		}
	}
}

// isEndOfRecording reports whether the stop of a node only ends the recording,
// since no request arrives after this moment.
func (sim *simulation) isEndOfRecording(n ident.Node) bool {
	for _, e := range sim.trace.Events {
		if e.Kind == trace.Arrive && e.At > sim.traceNow() {
			return false
		}
	}
	return n != ""
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// sortedAttempts returns the attempts on a server ordered by the IDs of their
// work, since replays must not depend on the order of a map.
func sortedAttempts(s *server) []*attempt {
	out := slices.Collect(maps.Values(s.attempts))
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.work.item.ID, b.work.item.ID) })
	return out
}
