// Package quar keeps what one entry knows of crashes, and refuses the
// requests that package crash points at.
//
// # Usage
//
//	q := quar.New(quar.Params{Clock: clk, Tell: gossip, Log: log})
//	c := calls.New(calls.Params{Judge: q.Judge, Served: q.Served, ...})
//	q.Learn(report.Crashes, nil)
//
// As long as no crash is known a request costs one atomic read.
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
	reportFor = clock.Second // for the report of a crash that was just seen
	reportAsk = 10 * time.Millisecond
	freshFor  = clock.Minute // crashes are told in full so long
)

// Params are what the quarantine of an entry needs.
type Params struct {
	Policy    crash.Policy
	Clock     clock.Clock
	Broadcast func() // tells other entries at once
	Log       zerolog.Logger
}

// Quarantine is the quarantine as one entry knows it.
type Quarantine struct {
	p    Params
	busy atomic.Bool // crashes are known

	mu    sync.Mutex
	table *crash.Tracker
}

// New returns a quarantine that knows no crash.
func New(p Params) *Quarantine {
	return &Quarantine{p: p, table: crash.New(p.Policy)}
}

// do runs fn with the table of now.
func (q *Quarantine) do(fn func(t *crash.Tracker, now clock.Millis)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.p.Clock.Now()
	q.table.Expire(now)
	fn(q.table, now)
	q.busy.Store(!q.table.IsEmpty())
}

// Admit implements [calls.Params]. After crashes it waits until reports tell
// what ran beside the work, so that the next try is judged by all of them.
func (q *Quarantine) Admit(ctx context.Context, w calls.Work, crashes int) (bool, error) {
	if crashes == 0 && !q.busy.Load() {
		return false, nil
	}
	id := crash.Fingerprint(w.Class.Name(), w.Body)
	known, refused := q.look(id)
	for end := q.p.Clock.Now() + reportFor; known < crashes && !refused && q.p.Clock.Now() < end; {
		select {
		case <-ctx.Done():
			return false, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the deadline passed after a crash")
		case <-time.After(reportAsk):
		}
		known, refused = q.look(id)
	}
	if refused {
		return true, quarantined(id)
	}
	return crashes > 0 || known > 0, nil
}

func quarantined(id string) error {
	return fault.New(fault.Quarantined, "request "+id+" crashed several backend servers")
}

// Check returns why a request must not run, nil if it may. Its name is asked
// for only while crashes are known.
func (q *Quarantine) Check(name func() string) error {
	if !q.busy.Load() {
		return nil
	}
	id := name()
	if _, refused := q.look(id); refused {
		return quarantined(id)
	}
	return nil
}

// CrashCount returns in how many crashes a request was.
func (q *Quarantine) CrashCount(id string) int {
	if !q.busy.Load() {
		return 0
	}
	n, _ := q.look(id)
	return n
}

// RecordAnswer clears a request of the crashes so far; see [Quarantine.Refuse].
func (q *Quarantine) RecordAnswer(name func() string) {
	if !q.busy.Load() {
		return
	}
	id := name()
	q.do(func(t *crash.Tracker, _ clock.Millis) { t.Clear(id) })
}

// RecordCrash takes in a crash that any node saw.
func (q *Quarantine) RecordCrash(c crash.Crash) {
	q.do(func(t *crash.Tracker, now clock.Millis) {
		if t.Add(now, c) {
			q.p.Log.Warn().Str("crash", c.ID).Strs("requests", c.Requests).Msg("quar: a server broke off requests without an answer")
		}
	})
}

// look returns in how many crashes a request was, and whether it is refused.
func (q *Quarantine) look(id string) (crashes int, refused bool) {
	q.do(func(t *crash.Tracker, _ clock.Millis) { crashes, refused = t.Count(id), t.IsQuarantined(id) })
	return crashes, refused
}

// OnServed implements [calls.Params].
func (q *Quarantine) OnServed(w calls.Work) {
	q.RecordAnswer(func() string { return crash.Fingerprint(w.Class.Name(), w.Body) })
}

// Merge takes in crashes and lifts from an agent or another entry. What is new
// is told on at once.
func (q *Quarantine) Merge(crashes []wire.Crash, lifted []string) {
	if len(crashes) == 0 && len(lifted) == 0 {
		return
	}
	isNew := false
	q.do(func(t *crash.Tracker, now clock.Millis) {
		for _, c := range crashes {
			if t.Add(now, crash.Crash{ID: c.ID, Age: clock.Millis(c.Age), Requests: c.Requests}) {
				isNew = true
			}
		}
		t.Expire(now)
		isNew = t.MergeLifted(lifted) || isNew
	})
	if isNew {
		q.p.Log.Warn().Int("crashes", len(crashes)).Msg("Heard of a crash.")
		go q.p.Broadcast()
	}
}

// GossipState returns what other entries must know.
func (q *Quarantine) GossipState() (crashes []wire.Crash, lifted []string) {
	if !q.busy.Load() {
		return nil, nil
	}
	q.do(func(t *crash.Tracker, now clock.Millis) {
		for _, c := range t.Crashes(now, freshFor) {
			crashes = append(crashes, wire.Crash{ID: c.ID, Age: int64(c.Age), Requests: c.Requests})
		}
		lifted = t.Lifted()
	})
	return crashes, lifted
}

// List returns the quarantined requests.
func (q *Quarantine) List() []crash.QuarantinedRequest {
	var out []crash.QuarantinedRequest
	q.do(func(t *crash.Tracker, _ clock.Millis) { out = t.Quarantined() })
	return out
}

// Lift lets a request run again.
func (q *Quarantine) Lift(id string) error {
	found := false
	q.do(func(t *crash.Tracker, _ clock.Millis) { found = t.Lift(id) })
	if !found {
		return fault.New(fault.NotFound, "request "+id+" was in no crash that this entry knows")
	}
	go q.p.Broadcast()
	return nil
}
