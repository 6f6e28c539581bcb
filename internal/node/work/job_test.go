package work

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// ward counts crashes as if each break were one.
type ward struct{ broke int }

func (w *ward) RecordDisconnect(string, string) { w.broke++ }
func (w *ward) RecordAnswer(func() string)      { w.broke = 0 }
func (w *ward) CrashCount(string) int           { return w.broke }

// An item that crashes each engine which begins it reaches few of them; one
// whose runs get somewhere is no such item, however often they break off.
func TestItemThatCrashesEngines(t *testing.T) {
	tests := map[string]struct {
		code   runs.Code
		events int // of each run
		starts int // in the 40 s that a job lives: seven pauses double, the others take 4 s
	}{
		"crashes each engine":    {runs.Broken, 0, mostCrashes},
		"breaks off on its way":  {runs.Broken, 1, 16},
		"the agents are silent":  {lost, 0, 16},
		"the engines are loaded": {runs.Full, 0, 400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := New(Params{Quarantine: &ward{}, Clock: clock.NewSystem(), Log: zerolog.Nop()})
				j := &job{ctx: t.Context(), items: make([]joblog.Item, 1), state: make([]item, 1)}
				s := &fleet.Server{ID: "i"}
				starts := 0
				for range 400 {
					if len(j.wants(w.Clock.Now(), 1)) > 0 {
						starts++
						st := &j.state[0]
						st.phase, st.cur = running, &attempt{server: s, cancel: func() {}, from: st.made(), events: texts("e", test.events)}
						w.ended(j, 0, &router.Route{MaxAttempts: 3}, st.cur, test.code, "")
					}
					time.Sleep(100 * time.Millisecond)
				}
				c.Check(starts <= test.starts, qt.IsTrue, qt.Commentf("%d starts", starts))
				c.Check(starts >= min(mostCrashes, test.starts), qt.IsTrue, qt.Commentf("%d starts", starts))
			})
		})
	}
}

func texts(prefix string, n int) []runs.Event {
	var out []runs.Event
	for i := range n {
		out = append(out, runs.Event{Version: 1, Data: []byte(prefix + string(rune('0'+i)))})
	}
	return out
}

func joined(evs []runs.Event) string {
	var out []string
	for _, e := range evs {
		out = append(out, string(e.Data))
	}
	return strings.Join(out, " ")
}

// A job whose trainer never ends it is over when the time of its route is: what
// is left of it is given up, and nothing of it is held any more.
func TestExpiredJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b := newBoard(ctx, topic.New(), joblog.Node{Name: "a"})
		go b.Run(ctx)
		c.Assert(b.Submit(ctx, &joblog.Spec{ID: "j", Host: "h", Path: "/p/", Items: []joblog.Item{{ID: "i0"}, {ID: "i1"}, {ID: "i2"}}}), qt.IsNil)
		c.Assert(b.RecordResult(ctx, "j", joblog.Done{Item: 1}), qt.IsNil)
		c.Assert(b.Sync(ctx), qt.IsNil)
		w := New(Params{Jobs: b, Clock: clock.NewSystem(), Log: zerolog.Nop()})
		open := func() (open bool, listed int) {
			b.View(func(ix *joblog.Index, _ bool) { open, listed = ix.Job("j").IsOpen(), len(ix.Job("j").Results) })
			return open, listed
		}
		var j *job
		b.View(func(ix *joblog.Index, _ bool) { j = newJob(ctx, ix.Job("j")) })
		j.start(w.Clock.Now(), make([]joblog.Item, 3))
		stopped := false
		j.state[0].phase, j.state[0].cur = running, &attempt{cancel: func() { stopped = true }}
		w.mu.Lock()
		w.expire(j)
		w.expire(j) // The next look comes before the records are read.
		w.mu.Unlock()
		time.Sleep(time.Second)
		isOpen, listed := open()
		c.Check(isOpen, qt.IsFalse)
		c.Check(listed, qt.Equals, 3)
		c.Check(stopped, qt.IsTrue)
	})
}

// A text goes on after the event for which its next run was asked: what the
// slower run has made since then is dropped, so that pieces of two runs are
// never joined elsewhere.
func TestAdopt(t *testing.T) {
	nop := func() {}
	tests := map[string]struct {
		held int // before the current attempt
		cur  int // events of the current attempt when the next one is asked
		more int // events that come until the next one begins
		next int // events of the next attempt
		want string
	}{
		"nothing held":            {0, 0, 0, 2, "n0 n1"},
		"at once":                 {0, 2, 0, 2, "c0 c1 n0 n1"},
		"the slower one went on":  {0, 2, 3, 1, "c0 c1 n0"},
		"after an earlier resume": {2, 1, 2, 2, "h0 h1 c0 n0 n1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			st := &item{held: texts("h", test.held)}
			st.cur = &attempt{cancel: nop, from: st.made()}
			all := texts("c", test.cur+test.more)
			st.cur.events = append(st.cur.events, all[:test.cur]...)
			st.next = &attempt{cancel: nop, from: st.made()}
			st.cur.events = append(st.cur.events, all[test.cur:]...)
			st.adopt()
			st.cur.events = append(st.cur.events, texts("n", test.next)...)
			c.Check(st.made(), qt.Equals, test.held+test.cur+test.next)
			st.settle()
			c.Check(joined(st.held), qt.Equals, test.want)
		})
	}
}

func TestVersionOfTheLastEvent(t *testing.T) {
	c := qt.New(t)
	st := &item{}
	c.Check(st.version(), qt.Equals, int64(0))
	st.held = []runs.Event{{Version: 3}, {Version: 4}}
	c.Check(st.version(), qt.Equals, int64(4))
	st.cur = &attempt{from: 2}
	c.Check(st.version(), qt.Equals, int64(4))
	st.cur.events = []runs.Event{{Version: 5}}
	c.Check(st.version(), qt.Equals, int64(5))
}

// A result that another node has listed ends the item's runs here.
func TestListedElsewhere(t *testing.T) {
	c := qt.New(t)
	ix := joblog.New()
	ix.Apply(1, 0, joblog.Accept{JobID: "j", ItemIDs: []string{"a", "b"}})
	j := newJob(context.Background(), ix.Job("j"))
	j.start(1, make([]joblog.Item, 2))
	stopped := false
	j.state[1] = item{phase: running, cur: &attempt{cancel: func() { stopped = true }}}
	ix.Apply(1, 1, joblog.Done{JobID: "j", Item: 1})
	j.update(ix.Job("j"))
	c.Check(stopped, qt.IsTrue)
	c.Check(j.busy(), qt.Equals, 0)
	c.Check(j.wants(1, 1), qt.HasLen, 1)
}

func TestMovedEngines(t *testing.T) {
	c := qt.New(t)
	c.Check(moved(map[string]int{"a": 6, "b": 3}, map[string]int{"a": 5, "b": 4}), qt.Equals, 1)
	c.Check(moved(map[string]int{"a": 3}, map[string]int{"a": 3}), qt.Equals, 0)
}
