// Package crash decides which requests crash backend servers and must not run
// any more.
//
// Entries exchange crashes and reach the same verdict, whatever the order in
// which they learn of them, since it depends on the set alone:
//
//  1. A crash is one start of one server that ended; it counts once, however
//     often and by whomever it is told.
//  2. All requests that ran at a crash are suspects. A suspect runs without
//     other suspects beside it.
//  3. A suspect that ends with an answer is cleared of all crashes so far.
//  4. A crash points at the request that was in more crashes than every other
//     one that ran there.
//  5. Crashes of a server that crashed as often without the request are no
//     evidence: it crashes by itself.
//  6. A request with Limit crashes as evidence, all but one of which point at
//     it, is quarantined.
//  7. An operator's lift clears it of all crashes so far.
//
// # Usage
//
//	t := crash.New(crash.Standard())
//	t.Crash(now, "agent-3/5f1c", ids)
//	if t.IsQuarantined(id) { refuse() }
//
// Not handled: two requests that crash servers only together.
package crash

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
)

// Policy bounds evidence and memory.
type Policy struct {
	Threshold   int          // crashes until a request is refused
	Window      clock.Millis // a crash is forgotten after it
	MaxCrashes  int          // kept at most
	MaxRequests int          // kept of one crash at most
}

// DefaultPolicy returns the policy of the product.
func DefaultPolicy() Policy {
	return Policy{Threshold: 3, Window: clock.Hour, MaxCrashes: 256, MaxRequests: 512}
}

// SharedPolicy returns the policy for breaks that nodes tell each other through the
// store: a request that comes again does so within seconds, and a server that
// was only unreachable must not count for an hour.
func SharedPolicy() Policy {
	return Policy{Threshold: 3, Window: 2 * clock.Minute, MaxCrashes: 256, MaxRequests: 64}
}

// Fingerprint names a request by what may crash a server. It is the same for every
// caller, key and entry, so that sending again under another key is no way
// round a quarantine.
func Fingerprint(c ident.Class, body []byte) string {
	h := sha256.New()
	h.Write([]byte(c))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Crash is one crash of a server.
type Crash struct {
	ID       string       // node, slash, incarnation of the server
	Age      clock.Millis // since it happened
	Requests []string
}

type event struct {
	id       string
	node     string
	at       clock.Millis
	requests sets.Set[string]
	cleared  sets.Set[string] // by an answer; known to this entry only
	lifted   sets.Set[string] // by an operator; told to all
}

// holds reports whether the crash still counts for a request.
func (e *event) holds(r string) bool {
	return e.requests.Has(r) && !e.cleared.Has(r) && !e.lifted.Has(r)
}

// Tracker holds the crashes that one entry knows.
type Tracker struct {
	p      Policy
	events []*event // oldest first
}

// New returns an empty table.
func New(p Policy) *Tracker { return &Tracker{p: p} }

// IsEmpty reports whether no crash is known.
func (t *Tracker) IsEmpty() bool { return len(t.events) == 0 }

// Add takes in a crash and reports whether it told anything new.
func (t *Tracker) Add(now clock.Millis, c Crash) bool {
	e, isNew := t.event(now-c.Age, c.ID)
	for _, r := range c.Requests {
		if !e.requests.Has(r) && len(e.requests) < t.p.MaxRequests {
			e.requests.Add(r)
			isNew = true
		}
	}
	return isNew
}

// event returns the crash of an identity (rule 1).
func (t *Tracker) event(at clock.Millis, id string) (*event, bool) {
	if e := t.find(id); e != nil {
		return e, false
	}
	node, _, _ := strings.Cut(id, "/")
	e := &event{id: id, node: node, at: at, requests: sets.Of[string](), cleared: sets.Of[string](), lifted: sets.Of[string]()}
	t.events = append(t.events, e)
	if len(t.events) > t.p.MaxCrashes {
		t.events = t.events[1:]
	}
	return e, true
}

func (t *Tracker) find(id string) *event {
	for _, e := range t.events {
		if e.id == id {
			return e
		}
	}
	return nil
}

// Expire forgets old crashes.
func (t *Tracker) Expire(now clock.Millis) {
	t.events = slices.DeleteFunc(t.events, func(e *event) bool { return now-e.at > t.p.Window })
}

// Clear notes that a request ended with an answer (rule 3).
func (t *Tracker) Clear(r string) {
	for _, e := range t.events {
		if e.requests.Has(r) {
			e.cleared.Add(r)
		}
	}
}

// Lift clears a request of all crashes so far and reports whether there was
// any (rule 7).
func (t *Tracker) Lift(r string) bool {
	found := false
	for _, e := range t.events {
		if e.requests.Has(r) {
			e.lifted.Add(r)
			found = true
		}
	}
	return found
}

// mark separates the parts of a lift as other entries are told of it.
const mark = "@"

// Lifted returns the lifts for other entries.
func (t *Tracker) Lifted() []string {
	var out []string
	for _, e := range t.events {
		for _, r := range e.lifted.Sorted() {
			out = append(out, r+mark+e.id)
		}
	}
	return out
}

// MergeLifted takes in another entry's lifts and reports whether any was new.
func (t *Tracker) MergeLifted(lifted []string) bool {
	isNew := false
	for _, l := range lifted {
		r, id, _ := strings.Cut(l, mark)
		if e := t.find(id); e != nil && !e.lifted.Has(r) {
			e.requests.Add(r)
			e.lifted.Add(r)
			isNew = true
		}
	}
	return isNew
}

// Crashes returns the crashes for other entries. Of those older than a span
// only the requests that were in several are told.
func (t *Tracker) Crashes(now, fresh clock.Millis) []Crash {
	var out []Crash
	for _, e := range t.events {
		c := Crash{ID: e.id, Age: now - e.at}
		for _, r := range e.requests.Sorted() {
			if now-e.at <= fresh || t.Count(r) > 1 {
				c.Requests = append(c.Requests, r)
			}
		}
		if len(c.Requests) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// Count returns in how many crashes a request was and was not cleared of.
func (t *Tracker) Count(r string) int {
	n := 0
	for _, e := range t.events {
		if e.holds(r) {
			n++
		}
	}
	return n
}

// IsSuspect reports whether a request ran at a crash (rule 2).
func (t *Tracker) IsSuspect(r string) bool { return t.Count(r) > 0 }

// IsQuarantined reports whether a request must not run (rule 6).
func (t *Tracker) IsQuarantined(r string) bool {
	n := t.Count(r)
	if n < t.p.Threshold {
		return false
	}
	evidence, points := 0, 0
	for _, e := range t.events {
		if !e.holds(r) || t.crashesAlone(e.node, r) {
			continue
		}
		evidence++
		if t.pointsAt(e, r, n) {
			points++
		}
	}
	return evidence >= t.p.Threshold && points >= evidence-1
}

// pointsAt applies rule 4.
func (t *Tracker) pointsAt(e *event, r string, n int) bool {
	for o := range e.requests {
		if o != r && e.holds(o) && t.Count(o) >= n {
			return false
		}
	}
	return true
}

// crashesAlone applies rule 5.
func (t *Tracker) crashesAlone(node, r string) bool {
	with, without := 0, 0
	for _, e := range t.events {
		switch {
		case e.node != node:
		case e.holds(r):
			with++
		default:
			without++
		}
	}
	return without >= with
}

// QuarantinedRequest is one quarantined request.
type QuarantinedRequest struct {
	Request  string
	CrashIDs []string
}

// Quarantined lists the quarantined requests.
func (t *Tracker) Quarantined() []QuarantinedRequest {
	by := make(map[string][]string)
	for _, e := range t.events {
		for r := range e.requests {
			if e.holds(r) {
				by[r] = append(by[r], e.id)
			}
		}
	}
	maps.DeleteFunc(by, func(r string, _ []string) bool { return !t.IsQuarantined(r) })
	out := make([]QuarantinedRequest, 0, len(by))
	for r, ids := range by {
		out = append(out, QuarantinedRequest{Request: r, CrashIDs: ids})
	}
	slices.SortFunc(out, func(a, b QuarantinedRequest) int { return cmp.Compare(a.Request, b.Request) })
	return out
}
