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

// script builds a small trace: two zones with two engines each, two rounds,
// callers with deadlines, one engine that leaves, one that falls silent, and
// two changes of a class.
func script(c *qt.C) trace.Trace {
	s := &builder{c: c, at: clock.Hour}
	s.config(1, "live-draft", class.Draft, 500)
	s.config(2, "train", class.Round, 60_000)
	for i := range 4 {
		s.report(i, false)
	}
	s.claim(1, 0)
	s.claim(2, 0) // Another entry claims the same key.
	s.outcome(3, 1, record.Refused)
	s.claim(4, 1)
	s.outcome(5, 4, record.Done)
	s.claim(6, 4)
	s.round(1, 2)
	for n := range 300 {
		s.at += 20
		s.call(uint64(n))
		if n%40 == 30 { // The same request crashes servers and is sent again.
			s.poison(uint64(1000 + n))
		}
		for i := range 4 {
			if n%10 == 0 && (i != 3 || n < 50) { // Engine 3 falls silent.
				s.report(i, i == 2 && n >= 50) // Engine 2 leaves.
			}
		}
		if n == 40 || n == 70 {
			s.add(trace.Event{Kind: trace.RoundEnd, Round: "trainer-1/step-0"})
		}
		if n == 60 {
			s.round(2, 3)
		}
		if n == 80 {
			s.round(3, 4)
		}
		if n == 100 {
			s.config(3, "live-draft", class.Draft, 400)
		}
	}
	return trace.Trace{Header: trace.Header{Role: "entry", Node: "entry-1"}, Events: s.events}
}

type builder struct {
	c      *qt.C
	at     clock.Millis
	events []trace.Event
}

func (s *builder) add(e trace.Event) {
	e.At = s.at
	s.events = append(s.events, e)
}

func (s *builder) config(at ident.Offset, name ident.Class, k class.Kind, waiting clock.Millis) {
	p := class.Params{Name: name, Kind: k, Service: "notice-model", Lateness: clock.Minute, Waiting: waiting, MaxTokens: 256}
	if k == class.Round {
		p.Staleness = 1
	}
	cl, err := class.New(p)
	s.c.Assert(err, qt.IsNil)
	base := ident.Offset(0)
	if at == 3 {
		base = 1
	}
	data, err := record.Encode(record.Record{
		Writer: record.Writer{Node: "entry-1", Boot: 1, Seq: uint64(at)},
		Change: &record.Change{Author: "operator-1", Edits: []record.Edit{{Name: name, Base: base, Class: cl}}},
	})
	s.c.Assert(err, qt.IsNil)
	s.add(trace.Event{Kind: trace.Config, Offset: at, Data: data})
}

func (s *builder) report(i int, leaving bool) {
	s.add(trace.Event{
		Kind: trace.Report, Node: ident.Node(fmt.Sprint("agent-", i)), Zone: ident.Zone(fmt.Sprint("zone-", i%2)),
		Service: "notice-model", Version: 1, Slots: 8, Rate: 400, Leaving: leaving,
	})
}

func (s *builder) call(n uint64) {
	s.add(trace.Event{Kind: trace.Arrive, WorkID: n + 1, Request: ident.Request(fmt.Sprint("request-", n)), Class: "live-draft", Service: "notice-model", TimeLeft: 2 * clock.Second})
	s.add(trace.Event{Kind: trace.Finish, WorkID: n + 1, Class: "live-draft", Tokens: 40, Took: 100})
}

func (s *builder) poison(n uint64) {
	const bad = "bad"
	s.add(trace.Event{Kind: trace.Arrive, WorkID: n, Request: bad, Class: "live-draft", Service: "notice-model"})
	s.add(trace.Event{Kind: trace.Crash, Node: "agent-0", Suspects: []ident.Request{bad, "request-1"}})
	s.add(trace.Event{Kind: trace.Crash, Node: "agent-1", Suspects: []ident.Request{bad}})
	s.add(trace.Event{Kind: trace.Finish, WorkID: n, Class: "live-draft", Fault: fault.BackendCrashed})
}

func (s *builder) claim(at, after ident.Offset) {
	s.event(at, record.ClaimRecord{Claim: &record.Claim{Key: "key", BodyDigest: "body", Agent: "agent-0", Replaces: after}})
}

func (s *builder) outcome(at, of ident.Offset, st record.State) {
	s.event(at, record.ClaimRecord{Outcome: &record.Outcome{Key: "key", ClaimOffset: of, State: st}})
}

func (s *builder) event(at ident.Offset, ev record.ClaimRecord) {
	ev.Writer = record.Writer{Node: "entry-1", Boot: 1, Seq: uint64(at)}
	data, err := record.EncodeClaimRecord(ev)
	s.c.Assert(err, qt.IsNil)
	s.add(trace.Event{Kind: trace.Claim, Service: "claims-1", Offset: at, Data: data})
}

func (s *builder) round(n int, v ident.Version) {
	s.add(trace.Event{Kind: trace.Announce, Service: "notice-model", Version: v})
	s.add(trace.Event{Kind: trace.RoundOpen, Round: ident.Round(fmt.Sprint("trainer-1/step-", n)), Class: "train", Service: "notice-model", Version: v, Groups: 4, Samples: 4})
}

// outcomes states one outcome of each kind; all hold with the product's
// decisions.
const outcomes = `
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

// broken wraps a matcher; each field breaks it in one way.
type broken struct {
	Matcher
	hold     clock.Millis // grants are kept back so long
	refuse   bool         // every tenth item is refused
	stay     bool         // leaving is not believed
	immortal bool         // silent servers are reported again
	roomy    bool         // servers seem to have many slots
	timeless bool         // deadlines are dropped
	seen     map[ident.Node]match.Server
	kept     []match.Grant
	until    clock.Millis
	n        int
}

func (b *broken) Report(now clock.Millis, s match.Server) {
	s.Leaving = s.Leaving && !b.stay
	if b.roomy {
		s.Slots, s.Running, s.OwnRunning = 1000, 0, 0
	}
	if b.immortal {
		b.seen[s.Node] = s
	}
	b.Matcher.Report(now, s)
}

func (b *broken) Enqueue(now clock.Millis, it match.Item) error {
	b.n++
	if b.refuse && b.n%10 == 0 && !it.Round {
		return fault.New(fault.Overloaded, "broken on purpose")
	}
	if b.timeless {
		it.Deadline, it.FinishBy = 0, 0
	}
	return b.Matcher.Enqueue(now, it)
}

func (b *broken) Dispatch(now clock.Millis) ([]match.Grant, []match.Refusal) {
	for _, s := range b.seen {
		s.Seq = 0
		b.Matcher.Report(now, s)
	}
	gs, rs := b.Matcher.Dispatch(now)
	if b.hold == 0 {
		return gs, rs
	}
	b.kept = append(b.kept, gs...)
	if now < b.until {
		return nil, rs
	}
	b.until = now + b.hold
	gs, b.kept = b.kept, nil
	return gs, rs
}

// brokenRound wraps a round.
type brokenRound struct {
	Round
	repeat bool // hands samples over again
	stale  bool // forgets the bound
}

func (b brokenRound) Start(now clock.Millis, limit int) []round.StartRequest {
	out := b.Round.Start(now, limit)
	for i := range out {
		if b.stale {
			out[i].MinVersion = 0
		}
	}
	return out
}

func (b brokenRound) Read(cur round.Cursor, asked ident.Version, limit int) round.Page {
	pg := b.Round.Read(cur, asked, limit)
	if b.repeat && len(pg.Samples) > 0 {
		pg.Samples = append(pg.Samples, pg.Samples[0])
	}
	return pg
}

// brokenLedger wraps a ledger.
type brokenLedger struct {
	Ledger
	forget bool // does not show the last change
	fall   bool // goes back
	n      *int
}

func (b brokenLedger) Find(n ident.Class) (record.ActiveClass, bool) {
	e, ok := b.Ledger.Find(n)
	return e, ok && !(b.forget && e.Revision >= 3)
}

func (b brokenLedger) Apply(at ident.Offset, r record.Record) ledger.Result {
	*b.n++
	return b.Ledger.Apply(at, r)
}

func (b brokenLedger) Offset() ident.Offset {
	if b.fall && *b.n == 3 {
		return 1
	}
	return b.Ledger.Offset()
}

func withMatch(b broken) func(*Decisions) {
	return func(d *Decisions) {
		d.Match = func() Matcher {
			b.Matcher = match.New(match.DefaultPolicy())
			b.seen = make(map[ident.Node]match.Server)
			return &b
		}
	}
}

func withRound(b brokenRound) func(*Decisions) {
	return func(d *Decisions) {
		d.Round = func(now clock.Millis, s round.Spec, held round.Cursor) Round {
			if b.stale {
				s.Staleness = 1000
			}
			b.Round = round.New(now, s, held)
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

// never orders no load.
func never([]swap.Server, ident.Version) []ident.Node { return nil }

// atOnce orders every load at the same time.
func atOnce(servers []swap.Server, target ident.Version) []ident.Node {
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
			b.Ledger, b.n = ledger.New(), new(int)
			return b
		}
	}
}

// brokenCrashes wraps the decision about crashes.
type brokenCrashes struct {
	Crashes
	blind bool // quarantines nothing, else every suspect
}

func (b brokenCrashes) IsQuarantined(r string) bool { return !b.blind && b.IsSuspect(r) }

func withCrash(b brokenCrashes) func(*Decisions) {
	return func(d *Decisions) {
		d.Crash = func() Crashes {
			b.Crashes = crash.New(crash.DefaultPolicy())
			return b
		}
	}
}

// anyClaim lets every claim run.
type anyClaim struct{ Claims }

func (anyClaim) Claim(ident.Offset, record.Writer, record.Claim) bool { return true }

// both applies several changes.
func both(fs ...func(*Decisions)) func(*Decisions) {
	return func(d *Decisions) {
		for _, f := range fs {
			f(d)
		}
	}
}

// breaks names, for each kind of outcome, a decision that breaks it.
var breaks = map[string]func(*Decisions){
	"sample-once":     withRound(brokenRound{repeat: true}),
	"fresh-sample":    both(withRound(brokenRound{stale: true}), withSwap(never)),
	"round-whole":     withMatch(broken{hold: 5 * clock.Second}),
	"trainer-idle":    withSwap(never),
	"staleness":       both(withRound(brokenRound{stale: true}), withSwap(never)),
	"lateness":        withMatch(broken{hold: 5 * clock.Second}),
	"waiting":         withMatch(broken{hold: 5 * clock.Second}),
	"refused":         withMatch(broken{refuse: true}),
	"deadline":        withMatch(broken{hold: 5 * clock.Second, timeless: true}),
	"leaving-idle":    withMatch(broken{stay: true}),
	"lease":           withMatch(broken{immortal: true}),
	"admitted":        withMatch(broken{roomy: true}),
	"swap-done":       withSwap(never),
	"zone-serves":     withSwap(atOnce),
	"claim-once":      func(d *Decisions) { d.Claim = func() Claims { return anyClaim{claim.New()} } },
	"quarantine":      withCrash(brokenCrashes{blind: true}),
	"innocent":        withCrash(brokenCrashes{}),
	"config-stands":   withLedger(brokenLedger{forget: true}),
	"config-advances": withLedger(brokenLedger{fall: true}),
}

func judge(c *qt.C, d Decisions) []Verdict {
	want, err := ParseOutcomes("outcomes.toml", outcomes)
	c.Assert(err, qt.IsNil)
	c.Assert(want, qt.HasLen, len(rules))
	res, err := Run(script(c), Options{Decisions: d})
	c.Assert(err, qt.IsNil)
	return res.Evaluate(want)
}

func TestProductKeepsAll(t *testing.T) {
	c := qt.New(t)
	for _, v := range judge(c, ProductDecisions()) {
		c.Check(v.Passed, qt.IsTrue, qt.Commentf("%s", v))
	}
}

func TestBrokenDecisionShows(t *testing.T) {
	for name := range rules {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := ProductDecisions()
			c.Assert(breaks[name], qt.IsNotNil)
			breaks[name](&d)
			for _, v := range judge(c, d) {
				if v.Outcome.Name == name {
					c.Assert(v.Passed, qt.IsFalse)
					c.Assert(strings.HasPrefix(v.Violation, "at 36"), qt.IsTrue, qt.Commentf("no event: %s", v))
				}
			}
		})
	}
}

func TestOtherTargets(t *testing.T) {
	c := qt.New(t)
	p := class.Params{Name: "train", Kind: class.Round, Service: "notice-model", Lateness: clock.Minute, Waiting: clock.Minute, MaxTokens: 256}
	oldest := func(cs []class.Class) int {
		res, err := Run(script(c), Options{Decisions: ProductDecisions(), Classes: cs})
		c.Assert(err, qt.IsNil)
		c.Assert(res.given, qt.HasLen, 48)
		return slices.Max(res.ages())
	}
	fresh, err := class.New(p)
	c.Assert(err, qt.IsNil)
	c.Assert(oldest(nil), qt.Equals, 1)
	c.Assert(oldest([]class.Class{fresh}), qt.Equals, 0)
}

func TestReplayIsTheSameEachTime(t *testing.T) {
	c := qt.New(t)
	a, b := judge(c, ProductDecisions()), judge(c, ProductDecisions())
	c.Assert(a, qt.DeepEquals, b)
}
