// Package crash decides which requests crash backend servers, and therefore must
// not run any more.
//
// Entries exchange the crashes that they know. The decision depends only on the
// set of crashes, not on their order, so entries with the same set agree:
//
//  1. A crash is the end of one incarnation of a server. It counts once, however
//     many reports of it arrive and whoever sends them.
//  2. All requests that were in progress on the server at a crash are suspects.
//     A server runs at most one suspect at a time.
//  3. A suspect that ends with a whole answer is cleared of all crashes so far. Nodes
//     that share a log tell each other so, but only once the request was in so many
//     crashes that one more could get it refused.
//  4. A crash points at a request if no other request in progress at the crash
//     was in as many crashes.
//  5. Crashes of a server are no evidence against a request if the server crashed
//     at least as often without that request: it crashes for another reason.
//  6. A request is quarantined if at least Policy.Threshold crashes are evidence
//     against it, and at most one of these does not point at it.
//  7. If an operator lifts the quarantine of a request, the request is cleared of
//     all crashes so far.
//
// # Usage
//
//	t := crash.New(crash.DefaultPolicy())
//	t.Add(now, crash.Crash{ID: "agent-3/5f1c", Requests: ids})
//	if t.IsQuarantined(id) { refuse() }
//
// Not handled: two requests that crash servers only in combination.
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

// Policy sets the evidence that a quarantine needs, and bounds the crashes and
// requests that are kept.
type Policy struct {
	Threshold   int          // crashes after which a request is quarantined
	Window      clock.Millis // time after which a crash expires
	MaxCrashes  int          // maximum number of crashes kept
	MaxRequests int          // maximum number of requests kept for one crash
}

// DefaultPolicy returns the built-in policy for crashes.
func DefaultPolicy() Policy {
	return Policy{Threshold: 3, Window: clock.Hour, MaxCrashes: 256, MaxRequests: 512}
}

// SharedPolicy returns the policy for disconnects that nodes report to each other
// through the store. Its window is short: a client that repeats a request does so
// within seconds, and a server that was only unreachable must not count as
// crashed for an hour.
func SharedPolicy() Policy {
	return Policy{Threshold: 3, Window: 2 * clock.Minute, MaxCrashes: 256, MaxRequests: 64}
}

// Fingerprint identifies a request by the parts that may crash a server: its class,
// or its host and path if it has no class, and its body. It does not depend on the
// caller, key or entry, so that a client can't evade a quarantine by repeating the
// request under another key.
func Fingerprint(c ident.Class, body []byte) string {
	h := sha256.New()
	h.Write([]byte(c))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Crash is one crash of a server.
type Crash struct {
	ID       string       // server and its incarnation, separated by a slash
	Age      clock.Millis // since it happened
	Requests []string     // fingerprints of the requests in progress
	Cleared  []string     // fingerprints of those that ended with an answer since
}

// event is a crash with the requests that were cleared of it.
type event struct {
	id       string
	server   string
	at       clock.Millis
	requests sets.Set[string]
	cleared  sets.Set[string] // by an answer
	told     sets.Set[string] // of the cleared ones, those of which other nodes know it
	lifted   sets.Set[string] // by an operator; sent to all entries
}

// countsFor reports whether the crash still counts for a request: the request was
// in progress at the crash and has not been cleared of it.
func (e *event) countsFor(r string) bool {
	return e.requests.Has(r) && !e.cleared.Has(r) && !e.lifted.Has(r)
}

// Tracker tracks the crashes that one entry knows.
type Tracker struct {
	policy Policy
	events []*event // in the order in which they were added
}

// New returns a tracker without crashes.
func New(policy Policy) *Tracker { return &Tracker{policy: policy} }

// IsEmpty reports whether no crash is known.
func (t *Tracker) IsEmpty() bool { return len(t.events) == 0 }

// Add adds a crash, or the requests of a known crash, and reports whether
// anything was new.
func (t *Tracker) Add(now clock.Millis, c Crash) bool {
	if len(c.Requests) == 0 && len(c.Cleared) > 0 && t.find(c.ID) == nil {
		return false // The crash has expired.
	}
	e, isNew := t.findOrAdd(now-c.Age, c.ID)
	for _, r := range c.Requests {
		if !e.requests.Has(r) && len(e.requests) < t.policy.MaxRequests {
			e.requests.Add(r)
			isNew = true
		}
	}
	for _, r := range c.Cleared {
		if len(e.told) < t.policy.MaxRequests {
			isNew = isNew || !e.cleared.Has(r)
			e.cleared.Add(r)
			e.told.Add(r)
		}
	}
	return isNew
}

// findOrAdd returns the crash with an ID and whether it was added (rule 1). If
// there are too many crashes, it removes the one that was added first.
func (t *Tracker) findOrAdd(at clock.Millis, id string) (*event, bool) {
	if e := t.find(id); e != nil {
		return e, false
	}
	server, _, _ := strings.Cut(id, "/")
	e := &event{
		id: id, server: server, at: at,
		requests: sets.Of[string](), cleared: sets.Of[string](), told: sets.Of[string](), lifted: sets.Of[string](),
	}
	t.events = append(t.events, e)
	if len(t.events) > t.policy.MaxCrashes {
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

// Expire removes the crashes that are older than the window of the policy.
func (t *Tracker) Expire(now clock.Millis) {
	t.events = slices.DeleteFunc(t.events, func(e *event) bool { return now-e.at > t.policy.Window })
}

// Clear clears a request that ended with an answer (rule 3).
func (t *Tracker) Clear(r string) {
	for _, e := range t.events {
		if e.requests.Has(r) {
			e.cleared.Add(r)
		}
	}
}

// Untold returns the crashes with the requests that were cleared here and that other
// nodes could still count, for the requests that one more crash could get refused there
// (rule 3).
func (t *Tracker) Untold() []Crash {
	mayCount := make(map[string]int) // crashes that other nodes may count, by request
	for _, e := range t.events {
		for r := range e.requests {
			if !e.told.Has(r) && !e.lifted.Has(r) {
				mayCount[r]++
			}
		}
	}
	var out []Crash
	for _, e := range t.events {
		c := Crash{ID: e.id}
		for _, r := range e.cleared.Sorted() {
			if !e.told.Has(r) && mayCount[r] >= t.policy.Threshold-1 {
				c.Cleared = append(c.Cleared, r)
			}
		}
		if len(c.Cleared) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// Lift clears a request of all crashes so far on behalf of an operator, and
// reports whether there were any (rule 7).
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

// liftSeparator separates the request from the crash ID in a lift that is sent to
// other entries.
const liftSeparator = "@"

// Lifted returns the lifts to send to other entries.
func (t *Tracker) Lifted() []string {
	var out []string
	for _, e := range t.events {
		for _, r := range e.lifted.Sorted() {
			out = append(out, r+liftSeparator+e.id)
		}
	}
	return out
}

// MergeLifted merges another entry's lifts and reports whether any was new.
func (t *Tracker) MergeLifted(lifted []string) bool {
	isNew := false
	for _, l := range lifted {
		r, id, _ := strings.Cut(l, liftSeparator)
		if e := t.find(id); e != nil && !e.lifted.Has(r) {
			e.requests.Add(r)
			e.lifted.Add(r)
			isNew = true
		}
	}
	return isNew
}

// Crashes returns the crashes to send to other entries. Crashes that are older
// than maxAge include only the requests for which several crashes count. Crashes
// without a request to include are left out.
func (t *Tracker) Crashes(now, maxAge clock.Millis) []Crash {
	var out []Crash
	for _, e := range t.events {
		c := Crash{ID: e.id, Age: now - e.at}
		for _, r := range e.requests.Sorted() {
			if now-e.at <= maxAge || t.CrashCount(r) > 1 {
				c.Requests = append(c.Requests, r)
			}
		}
		if len(c.Requests) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// CrashCount returns at how many crashes a request was in progress, without those
// of which it has been cleared.
func (t *Tracker) CrashCount(r string) int {
	n := 0
	for _, e := range t.events {
		if e.countsFor(r) {
			n++
		}
	}
	return n
}

// IsSuspect reports whether a request was in progress at any crash of which it has
// not been cleared (rules 2 and 3).
func (t *Tracker) IsSuspect(r string) bool { return t.CrashCount(r) > 0 }

// IsQuarantined reports whether a request must not run (rule 6).
func (t *Tracker) IsQuarantined(r string) bool {
	n := t.CrashCount(r)
	if n < t.policy.Threshold {
		return false
	}
	evidence, points := 0, 0
	for _, e := range t.events {
		if !e.countsFor(r) || t.crashesAsOftenWithout(e.server, r) {
			continue
		}
		evidence++
		if t.pointsAt(e, r, n) {
			points++
		}
	}
	return evidence >= t.policy.Threshold && points >= evidence-1
}

// pointsAt reports whether a crash points at a request that was in n crashes
// (rule 4).
func (t *Tracker) pointsAt(e *event, r string, n int) bool {
	for other := range e.requests {
		if other != r && e.countsFor(other) && t.CrashCount(other) >= n {
			return false
		}
	}
	return true
}

// crashesAsOftenWithout reports whether a server crashed at least as often without a
// request as with it (rule 5).
func (t *Tracker) crashesAsOftenWithout(server, r string) bool {
	with, without := 0, 0
	for _, e := range t.events {
		switch {
		case e.server != server:
		case e.countsFor(r):
			with++
		default:
			without++
		}
	}
	return without >= with
}

// QuarantinedRequest is a quarantined request and the crashes that count for it.
type QuarantinedRequest struct {
	Request  string // fingerprint
	CrashIDs []string
}

// Quarantined returns the quarantined requests, sorted by fingerprint.
func (t *Tracker) Quarantined() []QuarantinedRequest {
	crashIDs := make(map[string][]string) // by request
	for _, e := range t.events {
		for r := range e.requests {
			if e.countsFor(r) {
				crashIDs[r] = append(crashIDs[r], e.id)
			}
		}
	}
	maps.DeleteFunc(crashIDs, func(r string, _ []string) bool { return !t.IsQuarantined(r) })
	out := make([]QuarantinedRequest, 0, len(crashIDs))
	for r, ids := range crashIDs {
		out = append(out, QuarantinedRequest{Request: r, CrashIDs: ids})
	}
	slices.SortFunc(out, func(a, b QuarantinedRequest) int { return cmp.Compare(a.Request, b.Request) })
	return out
}
