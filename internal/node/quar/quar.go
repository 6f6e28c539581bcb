// Package quar is the quarantine of one node. It records crashes of backend
// servers, exchanges them with other nodes, and refuses the requests that
// package crash identifies as their cause.
//
// # Usage
//
//	q := quar.New(quar.Params{Clock: clk, Broadcast: gossip, Log: log})
//	d := calls.New(calls.Params{Admit: q.Admit, OnServed: q.OnServed, ...})
//	q.Merge(report.Crashes, nil)
//
// While no crash is recorded, checking a request costs one atomic load.
package quar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
)

const (
	// crashReportTimeout is how long to wait for the report of a crash that just
	// happened.
	crashReportTimeout      = clock.Second
	crashReportPollInterval = 10 * time.Millisecond
	// gossipWindow is the age above which a crash is gossiped without the requests
	// that were in no other crash.
	gossipWindow = clock.Minute
)

// Params configures a [Quarantine].
type Params struct {
	Policy    crash.Policy
	Clock     clock.Clock
	Broadcast func() // sends the gossip state to other entries immediately
	Log       zerolog.Logger
}

// Quarantine records crashes and refuses the requests that cause them.
type Quarantine struct {
	params     Params
	hasCrashes atomic.Bool // the tracker is not empty

	mu      sync.Mutex
	tracker *crash.Tracker
}

// New returns a quarantine without crashes.
func New(p Params) *Quarantine {
	return &Quarantine{params: p, tracker: crash.New(p.Policy)}
}

// withTracker calls fn with the tracker after expiring old crashes.
func (q *Quarantine) withTracker(fn func(t *crash.Tracker, now clock.Millis)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.params.Clock.Now()
	q.tracker.Expire(now)
	fn(q.tracker, now)
	q.hasCrashes.Store(!q.tracker.IsEmpty())
}

// Admit is the admission check for [calls.Params]. If attempts of the work ended
// in crashes, it first waits for the reports of these crashes, which name the
// requests that were running, so that the decision considers all of them. A sample of
// a round is never refused.
func (q *Quarantine) Admit(ctx context.Context, w calls.Work, crashes int) (bool, error) {
	if crashes == 0 && !q.hasCrashes.Load() {
		return false, nil
	}
	id := crash.Fingerprint(w.Class.Name(), w.Body)
	known, refused := q.lookup(id)
	for deadline := q.params.Clock.Now() + crashReportTimeout; known < crashes && !refused && q.params.Clock.Now() < deadline; {
		select {
		case <-ctx.Done():
			return false, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the deadline passed after a crash")
		case <-time.After(crashReportPollInterval):
		}
		known, refused = q.lookup(id)
	}
	if refused && w.Sample.Round == "" { // An accepted sample is owed: servers crash by chance while they run it.
		return true, quarantinedError(id)
	}
	return crashes > 0 || known > 0, nil
}

func quarantinedError(id string) error {
	return fault.New(fault.Quarantined, "request "+id+" crashed several backend servers")
}

// Check returns an error if a request is quarantined. It computes the fingerprint
// of the request only if crashes are recorded.
func (q *Quarantine) Check(fingerprint func() string) error {
	if !q.hasCrashes.Load() {
		return nil
	}
	id := fingerprint()
	if _, refused := q.lookup(id); refused {
		return quarantinedError(id)
	}
	return nil
}

// RecordAnswer clears a request of all crashes so far, because it got an answer.
// It computes the fingerprint of the request only if crashes are recorded.
func (q *Quarantine) RecordAnswer(fingerprint func() string) {
	if !q.hasCrashes.Load() {
		return
	}
	id := fingerprint()
	q.withTracker(func(t *crash.Tracker, _ clock.Millis) { t.Clear(id) })
}

// RecordCrash adds a crash that this or another node detected.
func (q *Quarantine) RecordCrash(c crash.Crash) {
	q.withTracker(func(t *crash.Tracker, now clock.Millis) {
		switch isNew := t.Add(now, c); {
		case isNew && len(c.Requests) > 0:
			q.params.Log.Warn().Str("crash", c.ID).Strs("requests", c.Requests).
				Msg("quar: a server broke off requests without an answer")
		case isNew:
			q.params.Log.Info().Str("crash", c.ID).Strs("requests", c.Cleared).
				Msg("quar: requests that a server broke off have been answered")
		}
	})
}

// untold returns the answers that other nodes must be told; see [crash.Tracker.Untold].
func (q *Quarantine) untold() (out []crash.Crash) {
	if q.hasCrashes.Load() {
		q.withTracker(func(t *crash.Tracker, _ clock.Millis) { out = t.Untold() })
	}
	return out
}

// lookup returns the number of crashes during which a request was running, and
// whether it is quarantined.
func (q *Quarantine) lookup(id string) (crashes int, refused bool) {
	q.withTracker(func(t *crash.Tracker, _ clock.Millis) { crashes, refused = t.CrashCount(id), t.IsQuarantined(id) })
	return crashes, refused
}

// OnServed is the callback for [calls.Params] that clears a crash suspect.
func (q *Quarantine) OnServed(w calls.Work) {
	q.RecordAnswer(func() string { return crash.Fingerprint(w.Class.Name(), w.Body) })
}

// Merge adds crashes and lifted requests that an agent or another entry
// reported. It broadcasts the gossip state if any of them is new.
func (q *Quarantine) Merge(crashes []wire.Crash, lifted []string) {
	if len(crashes) == 0 && len(lifted) == 0 {
		return
	}
	isNew := false
	q.withTracker(func(t *crash.Tracker, now clock.Millis) {
		for _, c := range crashes {
			if t.Add(now, crash.Crash{ID: c.ID, Age: clock.Millis(c.Age), Requests: c.Requests}) {
				isNew = true
			}
		}
		t.Expire(now)
		isNew = t.MergeLifted(lifted) || isNew
	})
	if isNew {
		q.params.Log.Warn().Int("crashes", len(crashes)).Msg("quar: new crashes or lifted requests received")
		go q.params.Broadcast()
	}
}

// GossipState returns the recent crashes and the lifted requests, for other
// entries.
func (q *Quarantine) GossipState() (crashes []wire.Crash, lifted []string) {
	if !q.hasCrashes.Load() {
		return nil, nil
	}
	q.withTracker(func(t *crash.Tracker, now clock.Millis) {
		for _, c := range t.Crashes(now, gossipWindow) {
			crashes = append(crashes, wire.Crash{ID: c.ID, Age: int64(c.Age), Requests: c.Requests})
		}
		lifted = t.Lifted()
	})
	return crashes, lifted
}

// List returns the quarantined requests.
func (q *Quarantine) List() []crash.QuarantinedRequest {
	var out []crash.QuarantinedRequest
	q.withTracker(func(t *crash.Tracker, _ clock.Millis) { out = t.Quarantined() })
	return out
}

// Lift removes a request from the quarantine.
func (q *Quarantine) Lift(id string) error {
	found := false
	q.withTracker(func(t *crash.Tracker, _ clock.Millis) { found = t.Lift(id) })
	if !found {
		return fault.New(fault.NotFound, "request "+id+" was in no crash that this entry knows")
	}
	go q.params.Broadcast()
	return nil
}
