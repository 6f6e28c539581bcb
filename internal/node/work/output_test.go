package work

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// boundedStore is a store that refuses records above maxTestRecord.
type boundedStore struct{ *topic.Store }

const maxTestRecord = 1 << 16 // as in the StoreInfo of newService

func (s boundedStore) Append(ctx context.Context, a plat.Append) (int64, error) {
	for _, r := range a.Records {
		if len(r) > maxTestRecord {
			return 0, plat.ErrNotApplied
		}
	}
	return s.Store.Append(ctx, a)
}

// TestOutputAboveARecord guards against an output that the store takes in no record, which
// looks like a faulty answer: its item must not be listed as dead before its job's time is
// over, must end then with a reason that its trainer can read, and must not run without a
// pause. No other item may wait for it.
func TestOutputAboveARecord(t *testing.T) {
	const (
		others    = 4
		retention = 20 * time.Second
		// Until the delay is maxBackoff it has doubled seven times for each of three engines.
		maxRuns = 3*7 + int(retention/(4*time.Second))
	)
	tests := map[string]struct {
		events, bytes int // of the large item
		hasReason     bool
	}{
		"as large as a record":          {2, (maxTestRecord - 1) / 2, false}, // and a line feed
		"too large with its last event": {2, maxTestRecord / 2, true},
		"too large, and goes on":        {1 << 20, maxTestRecord / 8, true},
		"one event above a record":      {1, maxTestRecord + 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(time.Minute)
				defer cancel()
				store := topic.New()
				f := &unevenFleet{
					clock: clock.NewSystem(), engines: make(map[string]*unevenEngine), store: store, ctx: ctx,
					lengths: map[string]int{"large": test.events}, bytes: map[string]int{"large": test.bytes}, watched: "large",
				}
				for i := range 3 {
					f.add(fmt.Sprintf("i-%d", i), fmt.Sprintf("10.0.0.%d", i), &unevenEngine{interval: 40 * time.Millisecond})
				}
				w := startNodeWith(ctx, boundedStore{store}, store, f, "a", func(r *router.Route, _ *router.Service) { r.ItemTimeout = clock.FromDuration(retention) })
				spec := &joblog.Spec{ID: "j", Host: "h", Path: "/p/", Model: "m", MinVersion: 1, Items: []joblog.Item{{ID: "large", Path: "/p/x", LengthHint: 10}}}
				for i := range others {
					id := fmt.Sprintf("other-%d", i)
					f.lengths[id] = 20
					spec.Items = append(spec.Items, joblog.Item{ID: id, Path: "/p/x", LengthHint: 20})
				}
				w.CacheItems(spec)
				c.Assert(w.Jobs.Submit(ctx, spec), qt.IsNil)
				time.Sleep(5 * time.Second)
				page, err := w.Jobs.Results(ctx, "j", 0, 0)
				c.Assert(err, qt.IsNil)
				done := others + 1
				if test.hasReason {
					done = others
				}
				c.Assert(page.Results, qt.HasLen, done)
				for _, r := range page.Results {
					c.Check(r.GivenUp, qt.IsFalse, qt.Commentf("%s: %s", r.ItemID, r.Reason))
				}
				time.Sleep(retention - 6*time.Second)
				page, err = w.Jobs.Results(ctx, "j", 0, 0)
				c.Assert(err, qt.IsNil)
				c.Assert(page.Results, qt.HasLen, done)
				time.Sleep(2 * time.Second)
				page, err = w.Jobs.Results(ctx, "j", 0, 0)
				c.Assert(err, qt.IsNil)
				c.Assert(page.Results, qt.HasLen, others+1)
				for _, r := range page.Results {
					givenUp := test.hasReason && r.ItemID == "large"
					c.Check(r.GivenUp, qt.Equals, givenUp, qt.Commentf(r.ItemID))
					c.Check(r.Reason != "", qt.Equals, givenUp, qt.Commentf("%s: %s", r.ItemID, r.Reason))
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				for host, e := range f.engines {
					c.Check(e.running, qt.Equals, 0, qt.Commentf("runs at %s", host))
				}
				c.Check(len(f.begun) <= maxRuns, qt.IsTrue, qt.Commentf("%d runs", len(f.begun)))
			})
		})
	}
}
