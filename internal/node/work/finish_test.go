package work

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// scorer answers each call after a while with a stamp, or fails it.
type scorer struct {
	after clock.Millis
	fails bool
}

func (s scorer) Do(ctx context.Context, r *front.Request) (*front.Reply, error) {
	clock.Sleep(ctx, s.after)
	if s.fails {
		return &front.Reply{Status: 500, Failures: 3, Attempts: 3}, nil
	}
	return &front.Reply{Status: 200, Stamp: "score of " + r.ID}, nil
}

// far is a store whose appends take a while.
type far struct {
	*topic.Store
	after clock.Millis
}

func (f far) Append(ctx context.Context, a plat.Append) (int64, error) {
	clock.Sleep(ctx, f.after)
	return f.Store.Append(ctx, a)
}

// The pattern of an entry in another region than the store: a trainer waits for
// the last item of its step, so its text is stored while it is scored.
func TestTextIsStoredWhileItIsScored(t *testing.T) {
	const call, way = 80 * clock.Milli, 60 * clock.Milli
	tests := map[string]struct {
		scorer *joblog.Scorer
		fails  bool
		most   clock.Millis
		result joblog.Result
	}{
		"scored":        {&joblog.Scorer{ID: "s"}, false, call + way, joblog.Result{Score: "score of s", Versions: []int64{1, 2}, Size: 3}},
		"not scored":    {nil, false, 2 * way, joblog.Result{Versions: []int64{1, 2}, Size: 3}},
		"scoring fails": {&joblog.Scorer{ID: "s"}, true, call + way, joblog.Result{GivenUp: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				b := newBoard(ctx, far{topic.New(), way}, joblog.Node{Name: "a"})
				c.Assert(b.Submit(ctx, &joblog.Spec{ID: "j", Host: "h", Path: "/p/", Items: []joblog.Item{{ID: "i"}}}), qt.IsNil)
				c.Assert(b.Sync(ctx), qt.IsNil)
				w := New(Params{Jobs: b, Front: scorer{call, test.fails}, Clock: clock.NewSystem(), Log: zerolog.Nop()})
				var j *job
				b.View(func(ix *joblog.Index, _ bool) { j = newJob(ctx, ix.Job("j")) })
				j.start(w.Clock.Now(), []joblog.Item{{ID: "i", Scorer: test.scorer}})
				start := w.Clock.Now()
				go w.finish(j, 0, []runs.Event{{Version: 2, Data: []byte("x")}, {Version: 1, Data: []byte("y")}})
				var got []joblog.Result
				for len(got) == 0 && w.Clock.Now()-start < clock.Minute {
					time.Sleep(time.Millisecond)
					c.Assert(b.Sync(ctx), qt.IsNil)
					b.View(func(ix *joblog.Index, _ bool) { got = ix.Job("j").Results })
				}
				c.Assert(got, qt.HasLen, 1)
				c.Check(w.Clock.Now()-start <= test.most+2, qt.IsTrue, qt.Commentf("listed after %d ms", w.Clock.Now()-start))
				got[0].TextAt = joblog.Location{}
				c.Check(got[0], qt.DeepEquals, test.result)
			})
		})
	}
}
