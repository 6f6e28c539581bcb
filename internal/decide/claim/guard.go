package claim

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Ref names one claim.
type Ref struct {
	Stream string
	Offset ident.Offset
	Key    string
	Boot   ident.Incarnation // of the agent that may run it
}

// Stage is how far a claim has come at its agent.
type Stage string

// The stages of a claim at its agent.
const (
	Unseen  Stage = ""        // nothing has arrived for it
	Running Stage = "running" // it was started
	Done    Stage = "done"    // it ran to its end
	Refused Stage = "refused" // it has not run and never will
	Unknown Stage = "unknown" // this agent can't tell
)

// Status is what an agent knows of a claim.
type Status struct {
	Stage  Stage
	Body   []byte // of the answer
	Detail string // why the outcome is unknown
	at     clock.Millis
	key    string
}

// place names a claim by its position; the log gives each position once.
type place struct {
	stream string
	at     ident.Offset
}

// Guard lets each claim run at most once at one agent.
//
//  1. A claim runs only under the incarnation that it names.
//  2. A claim is started once, and never after it was refused.
//  3. A key whose run is not proven as not run is not started again under
//     another claim.
//  4. Whoever asks for a claim that has not arrived gets "refused" only after
//     the refusal is recorded, so that a later send is refused.
//  5. What was forgotten is neither started nor refused: it is unknown.
//
// A Guard is not safe for concurrent use.
type Guard struct {
	boot    ident.Incarnation
	keep    clock.Millis
	most    int
	entries map[place]*Status
	keys    map[string]place // runs not proven as not run
	floor   map[string]ident.Offset
}

// NewGuard returns a guard of one incarnation that remembers up to most claims
// for a span.
func NewGuard(boot ident.Incarnation, keep clock.Millis, most int) *Guard {
	return &Guard{
		boot:    boot,
		keep:    keep,
		most:    most,
		entries: make(map[place]*Status),
		keys:    make(map[string]place),
		floor:   make(map[string]ident.Offset),
	}
}

// Start lets a claim run, or refuses it as not run by this send.
func (g *Guard) Start(now clock.Millis, r Ref) error {
	p := place{r.Stream, r.Offset}
	if r.Boot != g.boot { // rule 1
		return fault.New(fault.ClaimRefused, "the claim names an agent that has restarted since")
	}
	if e, ok := g.entries[p]; ok { // rule 2
		if e.Stage == Refused {
			return fault.New(fault.ClaimRefused, "the claim was refused before it arrived")
		}
		return fault.New(fault.OutcomeUnknown, "the claim was started before")
	}
	if r.Offset <= g.floor[r.Stream] { // rule 5
		return fault.New(fault.OutcomeUnknown, "the claim is older than what the agent remembers")
	}
	if _, ok := g.keys[r.Key]; ok { // rule 3
		return fault.New(fault.OutcomeUnknown, "the key was started under another claim")
	}
	if len(g.entries) >= g.most {
		g.entries[p] = &Status{Stage: Refused, at: now, key: r.Key}
		return fault.New(fault.Overloaded, "the agent remembers as many claims as it can").WithRetryAfter(clock.Second)
	}
	g.entries[p] = &Status{Stage: Running, at: now, key: r.Key}
	g.keys[r.Key] = p
	return nil
}

// Finish notes what became of a started claim: Done, Refused or Unknown.
func (g *Guard) Finish(now clock.Millis, r Ref, s Stage, body []byte, detail string) {
	e, ok := g.entries[place{r.Stream, r.Offset}]
	if !ok || e.Stage != Running {
		return
	}
	e.Stage, e.Body, e.Detail, e.at = s, body, detail, now
	if s == Refused {
		delete(g.keys, r.Key)
	}
}

// Lookup returns what is known of a claim.
func (g *Guard) Lookup(r Ref) Status {
	if r.Boot != g.boot { // rule 1
		return Status{Stage: Unknown, Detail: "the agent has restarted since the claim"}
	}
	if e, ok := g.entries[place{r.Stream, r.Offset}]; ok {
		return *e
	}
	if r.Offset <= g.floor[r.Stream] { // rule 5
		return Status{Stage: Unknown, Detail: "the agent has forgotten the claim"}
	}
	return Status{Stage: Unseen}
}

// Settle returns what became of a claim; one that has not arrived is refused
// for ever.
func (g *Guard) Settle(now clock.Millis, r Ref) Status {
	e := g.Lookup(r)
	if e.Stage != Unseen {
		return e
	}
	e = Status{Stage: Refused, at: now, key: r.Key}
	g.entries[place{r.Stream, r.Offset}] = &e // rule 4
	return e
}

// Prune drops claims that ended long ago. Older claims of their streams are
// unknown from then on.
func (g *Guard) Prune(now clock.Millis) {
	for p, e := range g.entries {
		if e.Stage == Running || now-e.at <= g.keep {
			continue
		}
		delete(g.entries, p)
		if g.keys[e.key] == p {
			delete(g.keys, e.key)
		}
		g.floor[p.stream] = max(g.floor[p.stream], p.at)
	}
}
