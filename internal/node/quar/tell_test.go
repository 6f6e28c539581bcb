package quar

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
)

// named returns a request's name for when it is asked for.
func named(id string) func() string { return func() string { return id } }

// cluster is some entries that tell each other of crashes.
type cluster struct {
	mu    sync.Mutex
	gone  map[string]bool
	told  int
	nodes []*CrashDetector
}

func newCluster(ctx context.Context, n int) *cluster {
	cl := &cluster{gone: make(map[string]bool)}
	for range n {
		q := New(Params{Policy: crash.SharedPolicy(), Clock: clock.NewSystem(), Log: zerolog.Nop()})
		t := NewCrashDetector(q, cl.lives, cl.tell)
		cl.nodes = append(cl.nodes, t)
		go t.Run(ctx)
	}
	return cl
}

func (cl *cluster) lives(server string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return !cl.gone[server]
}

func (cl *cluster) tell(_ context.Context, c crash.Crash) error {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.told++
	for _, n := range cl.nodes {
		n.RecordCrash(c)
	}
	return nil
}

// breaks has a request break off at a server, which then crashes or not.
func (cl *cluster) breaks(n int, server, request string, crashes bool) {
	cl.nodes[n].RecordDisconnect(server, request)
	cl.mu.Lock()
	cl.gone[server] = crashes
	cl.mu.Unlock()
	time.Sleep(lookEach.Duration())
	synctest.Wait()
}

// A request that crashed three servers, through different entries, is refused
// by all entries; connections that are only reset count for nothing.
func TestCrashesAreTold(t *testing.T) {
	tests := map[string]struct {
		breaks  int
		crashes bool
		refused bool
	}{
		"three crashes": {3, true, true},
		"two crashes":   {2, true, false},
		"resets":        {9, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				cl := newCluster(ctx, 3)
				for i := range test.breaks {
					cl.breaks(i%3, "s/"+strconv.Itoa(i), "bad", test.crashes)
				}
				for _, n := range cl.nodes {
					err := n.Check(named("bad"))
					c.Check(fault.Is(err, fault.Quarantined), qt.Equals, test.refused, qt.Commentf("%v", err))
					c.Check(n.Check(named("other")), qt.IsNil)
				}
			})
		})
	}
}

// An answer clears a request of crashes that it only happened to be near, and
// old crashes are forgotten.
func TestInnocent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cl := newCluster(ctx, 1)
		n := cl.nodes[0]
		for i := range 3 {
			if i == 2 {
				n.RecordAnswer(named("asked often"))
			}
			n.RecordDisconnect("s/"+strconv.Itoa(i), "asked often")
			cl.breaks(0, "s/"+strconv.Itoa(i), "bad", true)
		}
		c.Check(n.Check(named("asked often")), qt.IsNil)
		c.Check(n.Check(named("bad")), qt.Not(qt.IsNil))
		time.Sleep(crash.SharedPolicy().Window.Duration() + time.Second)
		c.Check(n.Check(named("bad")), qt.IsNil)
	})
}

// All servers break off hundreds of requests at once: the other nodes get one
// message for each server, and nobody waits.
func TestManyBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cl := newCluster(ctx, 1)
		for i := range 2 * mostHeard {
			server := "s/" + strconv.Itoa(i%5)
			cl.mu.Lock()
			cl.gone[server] = true
			cl.mu.Unlock()
			cl.nodes[0].RecordDisconnect(server, strconv.Itoa(i))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		cl.mu.Lock()
		defer cl.mu.Unlock()
		c.Check(cl.told, qt.Equals, 5)
	})
}
