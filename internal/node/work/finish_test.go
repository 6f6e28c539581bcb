package work

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// fakeScorer answers each call after a delay with a score, or fails the call.
type fakeScorer struct {
	delay clock.Millis
	fails bool
}

func (s fakeScorer) Do(ctx context.Context, r *front.Request) (*front.Reply, error) {
	clock.Sleep(ctx, s.delay)
	if s.fails {
		return &front.Reply{Status: 500, Failures: 3, MaxAttempts: 3}, nil
	}
	return &front.Reply{Status: 200, Stamp: "score of " + r.ID}, nil
}

// slowStore is a store whose appends are delayed.
type slowStore struct {
	*topic.Store
	delay clock.Millis
}

func (f slowStore) Append(ctx context.Context, a plat.Append) (int64, error) {
	clock.Sleep(ctx, f.delay)
	return f.Store.Append(ctx, a)
}

// A trainer waits for the last item of its step. If the store is in another
// region, storing the output after scoring it would add both delays, so they must
// run at the same time.
func TestResultStoredDuringScoring(t *testing.T) {
	const scoreDelay, storeDelay = 80 * clock.Milli, 60 * clock.Milli
	tests := map[string]struct {
		scorer  *joblog.Scorer
		fails   bool
		maxTime clock.Millis
		result  joblog.Result
	}{
		"scored":        {&joblog.Scorer{ID: "s"}, false, scoreDelay + storeDelay, joblog.Result{Score: "score of s", Versions: []int64{1, 2}, Size: 3}},
		"not scored":    {nil, false, 2 * storeDelay, joblog.Result{Versions: []int64{1, 2}, Size: 3}},
		"scoring fails": {&joblog.Scorer{ID: "s"}, true, scoreDelay + storeDelay, joblog.Result{GivenUp: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				svc := newService(ctx, slowStore{topic.New(), storeDelay}, joblog.Node{Name: "a"})
				c.Assert(svc.Submit(ctx, &joblog.Spec{ID: "j", Host: "h", Path: "/p/", Items: []joblog.Item{{ID: "i"}}}), qt.IsNil)
				c.Assert(svc.Sync(ctx), qt.IsNil)
				w := New(Params{Jobs: svc, Proxy: fakeScorer{scoreDelay, test.fails}, Clock: clock.NewSystem(), Log: zerolog.Nop()})
				var j *job
				svc.View(func(ix *joblog.Index, _ bool) { j = newJob(ctx, ix.Job("j")) })
				j.start(w.Clock.Now(), []joblog.Item{{ID: "i", Scorer: test.scorer}})
				start := w.Clock.Now()
				go w.finish(j, 0, []runs.Event{{Version: 2, Data: []byte("x")}, {Version: 1, Data: []byte("y")}})
				var got []joblog.Result
				for len(got) == 0 && w.Clock.Now()-start < clock.Minute {
					time.Sleep(time.Millisecond)
					c.Assert(svc.Sync(ctx), qt.IsNil)
					svc.View(func(ix *joblog.Index, _ bool) { got = ix.Job("j").Results })
				}
				c.Assert(got, qt.HasLen, 1)
				c.Check(w.Clock.Now()-start <= test.maxTime+2, qt.IsTrue, qt.Commentf("recorded after %d ms", w.Clock.Now()-start))
				got[0].OutputAt = joblog.Location{}
				c.Check(got[0], qt.DeepEquals, test.result)
			})
		})
	}
}

// A checkpoint that the store refused must be stored by a later pass. Until then its
// events don't count as stored.
func TestFailedCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := topic.New()
		svc := newService(ctx, store, joblog.Node{Name: "a"})
		w := New(Params{Jobs: svc, Clock: clock.NewSystem(), Log: zerolog.Nop()})
		j := &job{ctx: ctx, id: "j", items: []joblog.Item{{ID: "i"}}, states: make([]itemState, 1)}
		j.states[0] = itemState{phase: inFlight, current: &attempt{server: &fleet.Server{}, cancel: func() {}, events: testEvents("e", eventsPerCheckpoint+1)}}
		w.jobs["j"] = j
		checkpointed := func() int {
			w.mu.Lock()
			defer w.mu.Unlock()
			return j.states[0].checkpointed
		}
		store.SetFaultMode(topic.Busy)
		w.saveDueCheckpoints(ctx)
		time.Sleep(time.Minute)
		store.SetFaultMode(topic.NoFault)
		c.Assert(checkpointed(), qt.Equals, 0)
		w.saveDueCheckpoints(ctx)
		time.Sleep(time.Second)
		c.Check(checkpointed(), qt.Equals, eventsPerCheckpoint+1)
		c.Check(w.dueCheckpoints(1, inFlight), qt.HasLen, 0)
	})
}

// A node that has fallen behind the index can't know whether a job has ended. It must
// not make scoring calls until it has caught up or the index can't be read at all.
func TestScoringNeedsCurrentIndex(t *testing.T) {
	tests := map[string]struct {
		readable bool
		age      clock.Millis // of the index
		want     bool         // whether the call is made
	}{
		"current":    {true, 500, true},
		"behind":     {true, 5000, false},
		"unreadable": {false, 5000, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				w := New(Params{Proxy: fakeScorer{}, Clock: clock.NewSystem(), Log: zerolog.Nop()})
				w.indexReadable, w.indexCurrentAt = test.readable, w.Clock.Now()-test.age
				j := &job{ctx: ctx, items: []joblog.Item{{ID: "i"}}}
				scored := make(chan bool, 1)
				go func() {
					_, ok := w.score(j, 0, &joblog.Scorer{ID: "s"})
					scored <- ok
				}()
				synctest.Wait()
				c.Check(len(scored) == 1, qt.Equals, test.want)
				w.mu.Lock()
				w.indexCurrentAt = w.Clock.Now()
				w.mu.Unlock()
				time.Sleep(time.Second)
				c.Check(<-scored, qt.IsTrue)
			})
		})
	}
}
