package work

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/node/jobs"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// network carries what nodes ask each other; a node that it does not know does
// not answer.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Worker
}

// set has another process answer at an address, nil for none.
func (n *network) set(addr string, w *Worker) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = w
}

func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	w := n.nodes[r.URL.Host]
	n.mu.Unlock()
	if w == nil {
		return nil, errors.New("connection refused")
	}
	rec := httptest.NewRecorder()
	w.ServeAlive(rec, r)
	return rec.Result(), nil
}

// newBoard returns a board on a store that nothing follows yet.
func newBoard(ctx context.Context, s plat.Store, self joblog.Node) *jobs.Service {
	return jobs.New(jobs.Params{
		Self: self, Addr: self.Name, StoreInfo: plat.StoreInfo{Partitions: 1, MaxRecordBytes: 1 << 16, MaxAppendBytes: 1 << 20}, Retention: clock.Minute,
		Store: s, Writer: logs.NewWriter(ctx, s, self.Name, 1<<20, zerolog.Nop()), Clock: clock.NewSystem(), Log: zerolog.Nop(),
	})
}

// startNode runs the board and the looks of a node.
func startNode(ctx context.Context, s plat.Store, net *network, name string) *Worker {
	self := joblog.Node{Name: name, Boot: "boot-" + name}
	b := newBoard(ctx, s, self)
	go b.Run(ctx)
	w := New(Params{Self: self, Jobs: b, Transport: net, Clock: clock.NewSystem(), Log: zerolog.Nop()})
	go clock.Every(ctx, lookEach, func() { w.look(ctx) })
	net.set(name, w)
	return w
}

// The owner of a job shows nothing any more. Others go on with the job soon if
// it does not answer them either, or if another start of it does; they wait
// longer for one that only the store does not hear.
func TestSilentOwner(t *testing.T) {
	tests := map[string]struct {
		answer      string // incarnation that answers, empty for none
		least, most time.Duration
	}{
		"gone":              {"", jobs.SuspectTimeout.Duration() - jobs.HeartbeatInterval.Duration(), (jobs.SuspectTimeout + 2*lookEach).Duration() + 300*time.Millisecond},
		"started again":     {"boot-new", jobs.SuspectTimeout.Duration() - jobs.HeartbeatInterval.Duration(), (jobs.SuspectTimeout + 2*lookEach).Duration() + 300*time.Millisecond},
		"only not heard of": {"boot-a", jobs.FailureTimeout.Duration() - jobs.HeartbeatInterval.Duration(), jobs.FailureTimeout.Duration() + 500*time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s, net := topic.New(), &network{nodes: make(map[string]*Worker)}
				own, silence := context.WithCancel(ctx)
				a := startNode(own, s, net, "a")
				startNode(ctx, s, net, "b")
				w := startNode(ctx, s, net, "c")
				time.Sleep(time.Second)
				c.Assert(a.Jobs.Submit(ctx, &joblog.Spec{ID: "j", Host: "h", Path: "/p/", Items: []joblog.Item{{ID: "i"}}}), qt.IsNil)
				time.Sleep(time.Second)
				owner := func() (name string) {
					w.Jobs.View(func(ix *joblog.Index, _ bool) { name = ix.Job("j").Owner.Name })
					return name
				}
				c.Assert(owner(), qt.Equals, "a")
				silence()
				net.set("a", nil)
				if test.answer != "" {
					net.set("a", New(Params{Self: joblog.Node{Name: "a", Boot: test.answer}}))
				}
				start := time.Now()
				for owner() == "a" && time.Since(start) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(start)
				c.Check(took >= test.least && took <= test.most, qt.IsTrue, qt.Commentf("taken over after %v", took))
			})
		})
	}
}

// The pattern of a rolling restart while busy: an entry that is told to stop
// hands its jobs over with all events that they have, not only with those that
// were stored on the way.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s, net := topic.New(), &network{nodes: make(map[string]*Worker)}
		a, b := startNode(ctx, s, net, "a"), startNode(ctx, s, net, "b")
		time.Sleep(time.Second)
		c.Assert(a.Jobs.Submit(ctx, &joblog.Spec{ID: "j", Host: "h", Path: "/p/", Items: []joblog.Item{{ID: "i"}, {ID: "k"}, {ID: "l"}}}), qt.IsNil)
		time.Sleep(time.Second)
		a.mu.Lock()
		j := a.jobs["j"]
		j.state[0].phase, j.state[0].cur = running, &attempt{cancel: func() {}, events: texts("e", keepEach-1)}
		j.state[1].held = texts("h", 2) // waits for an engine
		a.mu.Unlock()
		a.StopAssigning()
		a.Checkpoint(ctx)
		c.Assert(a.Jobs.AnnounceLeaving(ctx), qt.IsNil)
		time.Sleep(time.Second)
		b.mu.Lock()
		defer b.mu.Unlock()
		c.Assert(b.jobs["j"], qt.IsNotNil)
		c.Check(joined(b.jobs["j"].state[0].held), qt.Equals, joined(texts("e", keepEach-1)))
		c.Check(joined(b.jobs["j"].state[1].held), qt.Equals, "h0 h1")
		c.Check(b.jobs["j"].state[2].made(), qt.Equals, 0)
	})
}
