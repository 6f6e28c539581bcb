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
	Policy crash.Policy
	Clock  clock.Clock
	Tell   func() // tells other entries at once
	Log    zerolog.Logger
}

// Quarantine is the quarantine as one entry knows it.
type Quarantine struct {
	p    Params
	busy atomic.Bool // crashes are known

	mu    sync.Mutex
	table *crash.Table
}

// New returns a quarantine that knows no crash.
func New(p Params) *Quarantine {
	return &Quarantine{p: p, table: crash.New(p.Policy)}
}

// do runs fn with the table of now.
func (q *Quarantine) do(fn func(t *crash.Table, now clock.Millis)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.p.Clock.Now()
	q.table.Expire(now)
	fn(q.table, now)
	q.busy.Store(!q.table.IsEmpty())
}

// Judge implements [calls.Params]. After crashes it waits until reports tell
// what ran beside the work, so that the next try is judged by all of them.
func (q *Quarantine) Judge(ctx context.Context, w calls.Work, crashes int) (bool, error) {
	if crashes == 0 && !q.busy.Load() {
		return false, nil
	}
	id := crash.ID(w.Class.Name(), w.Body)
	known, refused := q.look(id)
	for end := q.p.Clock.Now() + reportFor; known < crashes && !refused && q.p.Clock.Now() < end; {
		select {
		case <-ctx.Done():
			return false, fault.Wrap(fault.Lost, ctx.Err(), "the deadline passed after a crash")
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

// Refuse returns why a request must not run, nil if it may. Its name is asked
// for only while crashes are known.
func (q *Quarantine) Refuse(name func() string) error {
	if !q.busy.Load() {
		return nil
	}
	id := name()
	if _, refused := q.look(id); refused {
		return quarantined(id)
	}
	return nil
}

// Count returns in how many crashes a request was.
func (q *Quarantine) Count(id string) int {
	if !q.busy.Load() {
		return 0
	}
	n, _ := q.look(id)
	return n
}

// Answered clears a request of the crashes so far; see [Quarantine.Refuse].
func (q *Quarantine) Answered(name func() string) {
	if !q.busy.Load() {
		return
	}
	id := name()
	q.do(func(t *crash.Table, _ clock.Millis) { t.Clear(id) })
}

// Heard takes in a crash that any node saw.
func (q *Quarantine) Heard(c crash.Crash) {
	q.do(func(t *crash.Table, now clock.Millis) {
		if t.Crash(now, c) {
			q.p.Log.Warn().Str("crash", c.ID).Strs("requests", c.Requests).Msg("quar: a server broke off requests without an answer")
		}
	})
}

// look returns in how many crashes a request was, and whether it is refused.
func (q *Quarantine) look(id string) (crashes int, refused bool) {
	q.do(func(t *crash.Table, _ clock.Millis) { crashes, refused = t.Count(id), t.IsQuarantined(id) })
	return crashes, refused
}

// Served implements [calls.Params].
func (q *Quarantine) Served(w calls.Work) {
	q.Answered(func() string { return crash.ID(w.Class.Name(), w.Body) })
}

// Learn takes in crashes and lifts from an agent or another entry. What is new
// is told on at once.
func (q *Quarantine) Learn(crashes []wire.Crash, lifted []string) {
	if len(crashes) == 0 && len(lifted) == 0 {
		return
	}
	isNew := false
	q.do(func(t *crash.Table, now clock.Millis) {
		for _, c := range crashes {
			if t.Crash(now, crash.Crash{ID: c.ID, Age: clock.Millis(c.Age), Requests: c.Requests}) {
				isNew = true
			}
		}
		t.Expire(now)
		isNew = t.Learn(lifted) || isNew
	})
	if isNew {
		q.p.Log.Warn().Int("crashes", len(crashes)).Msg("Heard of a crash.")
		go q.p.Tell()
	}
}

// Wire returns what other entries must know.
func (q *Quarantine) Wire() (crashes []wire.Crash, lifted []string) {
	if !q.busy.Load() {
		return nil, nil
	}
	q.do(func(t *crash.Table, now clock.Millis) {
		for _, c := range t.Crashes(now, freshFor) {
			crashes = append(crashes, wire.Crash{ID: c.ID, Age: int64(c.Age), Requests: c.Requests})
		}
		lifted = t.Lifted()
	})
	return crashes, lifted
}

// List returns the quarantined requests.
func (q *Quarantine) List() []crash.Case {
	var out []crash.Case
	q.do(func(t *crash.Table, _ clock.Millis) { out = t.Quarantined() })
	return out
}

// Lift lets a request run again.
func (q *Quarantine) Lift(id string) error {
	found := false
	q.do(func(t *crash.Table, _ clock.Millis) { found = t.Lift(id) })
	if !found {
		return fault.New(fault.NotFound, "request "+id+" was in no crash that this entry knows")
	}
	go q.p.Tell()
	return nil
}
