package claim

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Ref names one claim.
type Ref struct {
	Stream      string
	Offset      ident.Offset
	Key         string
	Incarnation ident.Incarnation // of the agent that may execute the claim
}

// Stage is the progress of a claim at its agent.
type Stage string

// The stages of a claim at its agent.
const (
	Unseen  Stage = ""        // the agent has not received the claim
	Running Stage = "running" // execution was started
	Done    Stage = "done"    // execution has ended with an answer
	Refused Stage = "refused" // was not executed and never will be
	Unknown Stage = "unknown" // the agent can't decide between done and refused
)

// Status is what an agent knows about a claim.
type Status struct {
	Stage     Stage
	Body      []byte // the answer
	Detail    string // why the outcome is unknown
	changedAt clock.Millis
	key       string
}

// location identifies a claim by its stream and offset, which are unique on
// the log.
type location struct {
	stream string
	offset ident.Offset
}

// Guard ensures that one agent executes each claim at most once.
//
//  1. A claim is executed only by the incarnation that it names.
//  2. A claim is started once, and never after it was refused.
//  3. A key that was started is not started again under another claim, unless
//     the first claim was proven as not executed.
//  4. A query for a claim that has not arrived is answered with "refused",
//     after the refusal was recorded: should the claim arrive later, it is
//     refused.
//  5. A claim that may have been pruned is neither started nor refused: its
//     outcome is unknown.
//
// A Guard is not safe for concurrent use.
type Guard struct {
	incarnation ident.Incarnation
	retention   clock.Millis
	maxClaims   int
	statuses    map[location]*Status
	startedKeys map[string]location     // claim of each started key, unless proven as not executed
	prunedTo    map[string]ident.Offset // highest pruned offset of each stream
}

// NewGuard returns the guard of one incarnation of an agent. It starts no claim
// while it holds maxClaims claims or more, and keeps those that have ended for
// the retention.
func NewGuard(incarnation ident.Incarnation, retention clock.Millis, maxClaims int) *Guard {
	return &Guard{
		incarnation: incarnation,
		retention:   retention,
		maxClaims:   maxClaims,
		statuses:    make(map[location]*Status),
		startedKeys: make(map[string]location),
		prunedTo:    make(map[string]ident.Offset),
	}
}

// Start marks a claim as running, or returns a fault if the agent must not
// execute it. The outcome of the fault says whether the claim is known not to
// have been executed.
func (g *Guard) Start(now clock.Millis, r Ref) error {
	loc := location{r.Stream, r.Offset}
	if r.Incarnation != g.incarnation { // rule 1
		return fault.New(fault.ClaimRefused, "the claim names an agent that has restarted since")
	}
	if status, ok := g.statuses[loc]; ok { // rule 2
		if status.Stage == Refused {
			return fault.New(fault.ClaimRefused, "the claim was refused before it arrived")
		}
		return fault.New(fault.OutcomeUnknown, "the claim was started before")
	}
	if r.Offset <= g.prunedTo[r.Stream] { // rule 5
		return fault.New(fault.OutcomeUnknown, "the claim is older than what the agent remembers")
	}
	if _, ok := g.startedKeys[r.Key]; ok { // rule 3
		return fault.New(fault.OutcomeUnknown, "the key was started under another claim")
	}
	if len(g.statuses) >= g.maxClaims {
		g.statuses[loc] = &Status{Stage: Refused, changedAt: now, key: r.Key}
		return fault.New(fault.Overloaded, "the agent remembers as many claims as it can").WithRetryAfter(clock.Second)
	}
	g.statuses[loc] = &Status{Stage: Running, changedAt: now, key: r.Key}
	g.startedKeys[r.Key] = loc
	return nil
}

// Finish records the outcome of a started claim: Done, Refused or Unknown.
func (g *Guard) Finish(now clock.Millis, r Ref, s Stage, body []byte, detail string) {
	status, ok := g.statuses[location{r.Stream, r.Offset}]
	if !ok || status.Stage != Running {
		return
	}
	status.Stage, status.Body, status.Detail, status.changedAt = s, body, detail, now
	if s == Refused {
		delete(g.startedKeys, r.Key)
	}
}

// Lookup returns the status of a claim.
func (g *Guard) Lookup(r Ref) Status {
	if r.Incarnation != g.incarnation { // rule 1
		return Status{Stage: Unknown, Detail: "the agent has restarted since the claim"}
	}
	if status, ok := g.statuses[location{r.Stream, r.Offset}]; ok {
		return *status
	}
	if r.Offset <= g.prunedTo[r.Stream] { // rule 5
		return Status{Stage: Unknown, Detail: "the agent has forgotten the claim"}
	}
	return Status{Stage: Unseen}
}

// Settle returns the status of a claim. A claim that has not arrived is
// refused from now on.
func (g *Guard) Settle(now clock.Millis, r Ref) Status {
	status := g.Lookup(r)
	if status.Stage != Unseen {
		return status
	}
	status = Status{Stage: Refused, changedAt: now, key: r.Key}
	g.statuses[location{r.Stream, r.Offset}] = &status // rule 4
	return status
}

// Prune removes claims that ended longer ago than the retention. Claims of the
// same stream up to a pruned offset are reported as unknown afterwards.
func (g *Guard) Prune(now clock.Millis) {
	for loc, status := range g.statuses {
		if status.Stage == Running || now-status.changedAt <= g.retention {
			continue
		}
		delete(g.statuses, loc)
		if g.startedKeys[status.key] == loc {
			delete(g.startedKeys, status.key)
		}
		g.prunedTo[loc.stream] = max(g.prunedTo[loc.stream], loc.offset)
	}
}
