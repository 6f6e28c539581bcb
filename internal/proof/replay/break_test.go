package replay

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/claim"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/ledger"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

// testTrace builds a small trace with two zones of two engines each, three
// rounds, callers with deadlines, a request that crashes engines, an engine
// that leaves, one that stops sending reports, and a changed class.
func testTrace(c *qt.C) trace.Trace {
	b := &traceBuilder{c: c, at: clock.Hour}
	b.config(1, "live-draft", class.Draft, 500)
	b.config(2, "train", class.Round, 60_000)
	for i := range 4 {
		b.report(i, false)
	}
	b.claim(1, 0)
	b.claim(2, 0) // Another entry claims the same key.
	b.outcome(3, 1, record.Refused)
	b.claim(4, 1)
	b.outcome(5, 4, record.Done)
	b.claim(6, 4)
	b.round(1, 2)
	for n := range 300 {
		b.at += 20
		b.request(uint64(n))
		if n%40 == 30 { // The same request crashes servers and is sent again.
			b.crashingRequest(uint64(1000 + n))
		}
		for i := range 4 {
			if n%10 == 0 && (i != 3 || n < 50) { // Engine 3 stops sending reports.
				b.report(i, i == 2 && n >= 50) // Engine 2 leaves.
			}
		}
		if n == 40 || n == 70 {
			b.add(trace.Event{Kind: trace.RoundEnd, Round: "trainer-1/step-0"})
		}
		if n == 60 {
			b.round(2, 3)
		}
		if n == 80 {
			b.round(3, 4)
		}
		if n == 100 {
			b.config(3, "live-draft", class.Draft, 400)
		}
	}
	return trace.Trace{Header: trace.Header{Role: "entry", Node: "entry-1"}, Events: b.events}
}

// traceBuilder collects the events of a trace.
type traceBuilder struct {
	c      *qt.C
	at     clock.Millis // moment of the next event
	events []trace.Event
}

func (b *traceBuilder) add(e trace.Event) {
	e.At = b.at
	b.events = append(b.events, e)
}

func (b *traceBuilder) config(offset ident.Offset, name ident.Class, k class.Kind, waiting clock.Millis) {
	p := class.Params{Name: name, Kind: k, Service: "notice-model", Lateness: clock.Minute, Waiting: waiting, MaxTokens: 256}
	if k == class.Round {
		p.Staleness = 1
	}
	cl, err := class.New(p)
	b.c.Assert(err, qt.IsNil)
	base := ident.Offset(0)
	if offset == 3 { // The third record changes the class of the first.
		base = 1
	}
	data, err := record.Encode(record.Record{
		Writer: record.Writer{Node: "entry-1", Boot: 1, Seq: uint64(offset)},
		Change: &record.Change{Author: "operator-1", Edits: []record.Edit{{Name: name, Base: base, Class: cl}}},
	})
	b.c.Assert(err, qt.IsNil)
	b.add(trace.Event{Kind: trace.Config, Offset: offset, Data: data})
}

func (b *traceBuilder) report(i int, leaving bool) {
	b.add(trace.Event{
		Kind: trace.Report, Node: ident.Node(fmt.Sprint("agent-", i)), Zone: ident.Zone(fmt.Sprint("zone-", i%2)),
		Service: "notice-model", Version: 1, Slots: 8, Rate: 400, Leaving: leaving,
	})
}

func (b *traceBuilder) request(n uint64) {
	b.add(trace.Event{
		Kind: trace.Arrive, WorkID: n + 1, Request: ident.Request(fmt.Sprint("request-", n)),
		Class: "live-draft", Service: "notice-model", TimeLeft: 2 * clock.Second,
	})
	b.add(trace.Event{Kind: trace.Finish, WorkID: n + 1, Class: "live-draft", Tokens: 40, Took: 100})
}

func (b *traceBuilder) crashingRequest(n uint64) {
	const bad = "bad"
	b.add(trace.Event{Kind: trace.Arrive, WorkID: n, Request: bad, Class: "live-draft", Service: "notice-model"})
	b.add(trace.Event{Kind: trace.Crash, Node: "agent-0", Suspects: []ident.Request{bad, "request-1"}})
	b.add(trace.Event{Kind: trace.Crash, Node: "agent-1", Suspects: []ident.Request{bad}})
	b.add(trace.Event{Kind: trace.Finish, WorkID: n, Class: "live-draft", Fault: fault.BackendCrashed})
}

func (b *traceBuilder) claim(offset, replaces ident.Offset) {
	b.claimRecord(offset, record.ClaimRecord{Claim: &record.Claim{Key: "key", BodyDigest: "body", Agent: "agent-0", Replaces: replaces}})
}

func (b *traceBuilder) outcome(offset, claimOffset ident.Offset, st record.State) {
	b.claimRecord(offset, record.ClaimRecord{Outcome: &record.Outcome{Key: "key", ClaimOffset: claimOffset, State: st}})
}

func (b *traceBuilder) claimRecord(offset ident.Offset, rec record.ClaimRecord) {
	rec.Writer = record.Writer{Node: "entry-1", Boot: 1, Seq: uint64(offset)}
	data, err := record.EncodeClaimRecord(rec)
	b.c.Assert(err, qt.IsNil)
	b.add(trace.Event{Kind: trace.Claim, Service: "claims-1", Offset: offset, Data: data})
}

func (b *traceBuilder) round(n int, v ident.Version) {
	b.add(trace.Event{Kind: trace.Announce, Service: "notice-model", Version: v})
	b.add(trace.Event{
		Kind: trace.RoundOpen, Round: ident.Round(fmt.Sprint("trainer-1/step-", n)),
		Class: "train", Service: "notice-model", Version: v, Groups: 4, Samples: 4,
	})
}

// allOutcomes contains one outcome of each kind. The product's decisions pass
// all of them.
const allOutcomes = `
[[outcome]]
name = "sample-once"
[[outcome]]
name = "fresh-sample"
[[outcome]]
name = "round-whole"
at-most = "3s"
[[outcome]]
name = "trainer-idle"
at-most-share = 0.8
[[outcome]]
name = "staleness"
quantile = 0.99
at-most-versions = 1
[[outcome]]
name = "lateness"
class = "live-draft"
quantile = 0.9
at-most = "1s"
[[outcome]]
name = "waiting"
class = "live-draft"
quantile = 0.9
at-most = "500ms"
[[outcome]]
name = "refused"
class = "live-draft"
at-most-share = 0.03
[[outcome]]
name = "deadline"
[[outcome]]
name = "leaving-idle"
at-most = "300ms"
[[outcome]]
name = "lease"
at-most = "3100ms"
[[outcome]]
name = "admitted"
at-most-share = 0.05
[[outcome]]
name = "swap-done"
at-most = "3s"
[[outcome]]
name = "zone-serves"
[[outcome]]
name = "config-stands"
[[outcome]]
name = "quarantine"
at-most-crashes = 3
[[outcome]]
name = "innocent"
[[outcome]]
name = "claim-once"
[[outcome]]
name = "config-advances"
`

// brokenMatcher wraps a matcher. Each of the first six fields turns on one
// fault.
type brokenMatcher struct {
	Matcher
	grantDelay       clock.Millis // minimum time between two dispatches that return grants
	refuseEveryTenth bool         // refuses every tenth item
	ignoreLeaving    bool         // does not pass on that servers are leaving
	repeatReports    bool         // repeats the last report of every server at each dispatch
	inflateSlots     bool         // reports 1000 free slots for every server
	dropDeadlines    bool         // drops the deadlines of items
	lastReports      map[ident.Node]match.Server
	delayedGrants    []match.Grant
	delayUntil       clock.Millis // grants are held back until then
	enqueued         int
}

func (b *brokenMatcher) Report(now clock.Millis, s match.Server) {
	s.Leaving = s.Leaving && !b.ignoreLeaving
	if b.inflateSlots {
		s.Slots, s.Running, s.OwnRunning = 1000, 0, 0
	}
	if b.repeatReports {
		b.lastReports[s.Node] = s
	}
	b.Matcher.Report(now, s)
}

func (b *brokenMatcher) Enqueue(now clock.Millis, it match.Item) error {
	b.enqueued++
	if b.refuseEveryTenth && b.enqueued%10 == 0 && !it.Round {
		return fault.New(fault.Overloaded, "broken on purpose")
	}
	if b.dropDeadlines {
		it.Deadline, it.FinishBy = 0, 0
	}
	return b.Matcher.Enqueue(now, it)
}

func (b *brokenMatcher) Dispatch(now clock.Millis) ([]match.Grant, []match.Refusal) {
	for _, s := range b.lastReports {
		s.Seq = 0
		b.Matcher.Report(now, s)
	}
	gs, rs := b.Matcher.Dispatch(now)
	if b.grantDelay == 0 {
		return gs, rs
	}
	b.delayedGrants = append(b.delayedGrants, gs...)
	if now < b.delayUntil {
		return nil, rs
	}
	b.delayUntil = now + b.grantDelay
	gs, b.delayedGrants = b.delayedGrants, nil
	return gs, rs
}

// brokenRound wraps a round. Each bool field turns on one fault.
type brokenRound struct {
	Round
	deliverTwice bool // delivers the first sample of a page twice
	ignoreBound  bool // ignores the staleness bound
}

func (b brokenRound) Start(now clock.Millis, limit int) []round.StartRequest {
	out := b.Round.Start(now, limit)
	for i := range out {
		if b.ignoreBound {
			out[i].MinVersion = 0
		}
	}
	return out
}

func (b brokenRound) Read(cur round.Cursor, requestedVersion ident.Version, limit int) round.Page {
	pg := b.Round.Read(cur, requestedVersion, limit)
	if b.deliverTwice && len(pg.Samples) > 0 {
		pg.Samples = append(pg.Samples, pg.Samples[0])
	}
	return pg
}

// brokenLedger wraps a ledger. Each bool field turns on one fault.
type brokenLedger struct {
	Ledger
	hideLastChange bool // does not return the last change
	decreaseOffset bool // returns a lower offset after the third record
	applied        *int
}

func (b brokenLedger) Find(n ident.Class) (record.ActiveClass, bool) {
	e, ok := b.Ledger.Find(n)
	return e, ok && !(b.hideLastChange && e.Revision >= 3)
}

func (b brokenLedger) Apply(at ident.Offset, r record.Record) ledger.Result {
	*b.applied++
	return b.Ledger.Apply(at, r)
}

func (b brokenLedger) Offset() ident.Offset {
	if b.decreaseOffset && *b.applied == 3 {
		return 1
	}
	return b.Ledger.Offset()
}

func withMatcher(b brokenMatcher) func(*Decisions) {
	return func(d *Decisions) {
		d.Match = func() Matcher {
			b.Matcher = match.New(match.DefaultPolicy())
			b.lastReports = make(map[ident.Node]match.Server)
			return &b
		}
	}
}

func withRound(b brokenRound) func(*Decisions) {
	return func(d *Decisions) {
		d.Round = func(now clock.Millis, s round.Spec, cursor round.Cursor) Round {
			if b.ignoreBound {
				s.Staleness = 1000
			}
			b.Round = round.New(now, s, cursor)
			return b
		}
	}
}

func withSwap(f func(servers []swap.Server, target ident.Version) []ident.Node) func(*Decisions) {
	return func(d *Decisions) {
		d.Swap = func(_ clock.Millis, target ident.Version, servers []swap.Server) []ident.Node {
			return f(servers, target)
		}
	}
}

// loadNone orders no loads.
func loadNone([]swap.Server, ident.Version) []ident.Node { return nil }

// loadAllAtOnce orders the loads of all servers at the same time.
func loadAllAtOnce(servers []swap.Server, target ident.Version) []ident.Node {
	var out []ident.Node
	for _, s := range servers {
		if !s.Loading && s.Version < target {
			out = append(out, s.Node)
		}
	}
	return out
}

func withLedger(b brokenLedger) func(*Decisions) {
	return func(d *Decisions) {
		d.Ledger = func() Ledger {
			b.Ledger, b.applied = ledger.New(), new(int)
			return b
		}
	}
}

// brokenCrashes wraps the crash decision. It quarantines every suspect, or no
// request at all if neverQuarantine is set.
type brokenCrashes struct {
	Crashes
	neverQuarantine bool
}

func (b brokenCrashes) IsQuarantined(r string) bool { return !b.neverQuarantine && b.IsSuspect(r) }

func withCrashes(b brokenCrashes) func(*Decisions) {
	return func(d *Decisions) {
		d.Crash = func() Crashes {
			b.Crashes = crash.New(crash.DefaultPolicy())
			return b
		}
	}
}

// acceptAllClaims accepts every claim.
type acceptAllClaims struct{ Claims }

func (acceptAllClaims) Claim(ident.Offset, record.Writer, record.Claim) bool { return true }

// combine applies several changes to the decisions.
func combine(fs ...func(*Decisions)) func(*Decisions) {
	return func(d *Decisions) {
		for _, f := range fs {
			f(d)
		}
	}
}

// brokenDecisions maps each outcome to a change of the decisions that violates
// it.
var brokenDecisions = map[string]func(*Decisions){
	"sample-once":     withRound(brokenRound{deliverTwice: true}),
	"fresh-sample":    combine(withRound(brokenRound{ignoreBound: true}), withSwap(loadNone)),
	"round-whole":     withMatcher(brokenMatcher{grantDelay: 5 * clock.Second}),
	"trainer-idle":    withSwap(loadNone),
	"staleness":       combine(withRound(brokenRound{ignoreBound: true}), withSwap(loadNone)),
	"lateness":        withMatcher(brokenMatcher{grantDelay: 5 * clock.Second}),
	"waiting":         withMatcher(brokenMatcher{grantDelay: 5 * clock.Second}),
	"refused":         withMatcher(brokenMatcher{refuseEveryTenth: true}),
	"deadline":        withMatcher(brokenMatcher{grantDelay: 5 * clock.Second, dropDeadlines: true}),
	"leaving-idle":    withMatcher(brokenMatcher{ignoreLeaving: true}),
	"lease":           withMatcher(brokenMatcher{repeatReports: true}),
	"admitted":        withMatcher(brokenMatcher{inflateSlots: true}),
	"swap-done":       withSwap(loadNone),
	"zone-serves":     withSwap(loadAllAtOnce),
	"claim-once":      func(d *Decisions) { d.Claim = func() Claims { return acceptAllClaims{claim.New()} } },
	"quarantine":      withCrashes(brokenCrashes{neverQuarantine: true}),
	"innocent":        withCrashes(brokenCrashes{}),
	"config-stands":   withLedger(brokenLedger{hideLastChange: true}),
	"config-advances": withLedger(brokenLedger{decreaseOffset: true}),
}

// evaluateWith replays the test trace with some decisions and evaluates all
// outcomes.
func evaluateWith(c *qt.C, d Decisions) []Verdict {
	want, err := ParseOutcomes("outcomes.toml", allOutcomes)
	c.Assert(err, qt.IsNil)
	c.Assert(want, qt.HasLen, len(outcomeRules))
	res, err := Run(testTrace(c), Options{Decisions: d})
	c.Assert(err, qt.IsNil)
	return res.Evaluate(want)
}

func TestProductDecisionsPass(t *testing.T) {
	c := qt.New(t)
	for _, v := range evaluateWith(c, ProductDecisions()) {
		c.Check(v.Passed, qt.IsTrue, qt.Commentf("%s", v))
	}
}

func TestBrokenDecisionShows(t *testing.T) {
	for name := range outcomeRules {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := ProductDecisions()
			c.Assert(brokenDecisions[name], qt.IsNotNil)
			brokenDecisions[name](&d)
			for _, v := range evaluateWith(c, d) {
				if v.Outcome.Name == name {
					c.Assert(v.Passed, qt.IsFalse)
					c.Assert(strings.HasPrefix(v.Violation, "at 36"), qt.IsTrue, qt.Commentf("no event: %s", v))
				}
			}
		})
	}
}

// TestOtherTargets replaces the classes of the trace. With a staleness bound of
// 0 no sample is older than its round's version.
func TestOtherTargets(t *testing.T) {
	c := qt.New(t)
	p := class.Params{Name: "train", Kind: class.Round, Service: "notice-model", Lateness: clock.Minute, Waiting: clock.Minute, MaxTokens: 256}
	maxStaleness := func(cs []class.Class) int {
		res, err := Run(testTrace(c), Options{Decisions: ProductDecisions(), Classes: cs})
		c.Assert(err, qt.IsNil)
		c.Assert(res.deliveries, qt.HasLen, 48)
		return slices.Max(res.sampleStaleness())
	}
	strict, err := class.New(p) // The staleness bound is 0.
	c.Assert(err, qt.IsNil)
	c.Assert(maxStaleness(nil), qt.Equals, 1)
	c.Assert(maxStaleness([]class.Class{strict}), qt.Equals, 0)
}

func TestReplayIsTheSameEachTime(t *testing.T) {
	c := qt.New(t)
	a, b := evaluateWith(c, ProductDecisions()), evaluateWith(c, ProductDecisions())
	c.Assert(a, qt.DeepEquals, b)
}
