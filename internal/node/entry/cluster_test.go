package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/node/agent"
	"github.com/jujuberamp/jujuberamp/internal/stand/logsvc"
	"github.com/jujuberamp/jujuberamp/internal/stand/plain"
	"github.com/jujuberamp/jujuberamp/internal/stand/vmlist"
)

// testCluster is a deployment on loopback. Tests control its log and VM list.
type testCluster struct {
	*qt.C
	t     *testing.T
	clock clock.Clock
	log   *logsvc.Log
	vms   *vmlist.List
}

func newTestCluster(t *testing.T) *testCluster {
	clk := clock.NewSystem()
	return &testCluster{C: qt.New(t), t: t, clock: clk, log: logsvc.New(clk, logsvc.Params{}), vms: vmlist.New(clk, 0)}
}

const (
	testKey          = "a-key-of-the-tests"
	testPollInterval = 20 * clock.Milli
	anyPort          = "127.0.0.1:0"
)

func (tc *testCluster) startEntry(n ident.Node, maxConfigAge clock.Millis) (*Entry, func()) {
	e, err := New(Params{
		Node: n, HTTPAddr: anyPort, InnerAddr: anyPort, Key: []byte(testKey),
		PollInterval: testPollInterval, MaxConfigAge: maxConfigAge,
		Roster: roster.Policy{LivenessTimeout: 200 * clock.Milli, Fanout: 8}, Policy: match.DefaultPolicy(),
		Clock: tc.clock, Log: zerolog.Nop(), Meter: noop.Meter{}, Metrics: http.NotFoundHandler(),
		Source: tc.log, VMs: tc.vms,
	})
	tc.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	go e.Run(ctx)
	end := func() { stop(); e.Close() }
	tc.t.Cleanup(end)
	tc.vms.Put(plat.VM{Node: n, Role: plat.RoleEntry, Addr: e.Addr()})
	return e, end
}

func (tc *testCluster) startAgent(n ident.Node) *agent.Agent { return tc.startAgentWithFanout(n, 0) }

// startAgentWithFanout starts an agent that reports to the given number of
// entries, or to the default number if it is 0.
func (tc *testCluster) startAgentWithFanout(n ident.Node, entries int) *agent.Agent {
	a, err := agent.New(agent.Params{
		Node: n, InnerAddr: anyPort, Key: []byte(testKey), Slots: 4, Service: "s", ReportFanout: entries,
		ReportInterval: testPollInterval, PollInterval: testPollInterval, AnswerRetention: clock.Minute,
		Clock: tc.clock, Log: zerolog.Nop(), Meter: noop.Meter{}, VMs: tc.vms, Plain: plain.New(plain.NewRunCounter(), 0),
	})
	tc.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	go a.Run(ctx)
	tc.t.Cleanup(func() { stop(); a.Close() })
	tc.vms.Put(plat.VM{Node: n, Role: plat.RoleAgent, Addr: a.Addr()})
	return a
}

// waitFor waits until a condition is true. Its timeout is generous: it does not
// check speed.
func (tc *testCluster) waitFor(condition string, ok func() bool) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	tc.t.Fatalf("condition not met in time: %s", condition)
}

func classChange(base ident.Offset, lateness clock.Millis) record.Change {
	c := class.NewUnchecked(class.Params{Name: "a", Kind: class.Lookup, Service: "s", Lateness: lateness, Waiting: 1})
	return record.Change{Edits: []record.Edit{{Name: "a", Base: base, Class: c}}}
}

func (tc *testCluster) declare(e *Entry, base ident.Offset, lateness clock.Millis) ident.Offset {
	rev, err := e.config.Change(tc.t.Context(), classChange(base, lateness))
	tc.Assert(err, qt.IsNil)
	return rev
}

// TestColdStart replaces all entries while the log is down. The new entries must
// get the configuration from an agent, and accept no work before that.
func TestColdStart(t *testing.T) {
	tc := newTestCluster(t)
	one, end := tc.startEntry("one", 0)
	tc.startAgent("x")
	rev := tc.declare(one, 0, 7)
	tc.waitFor("the agent has the configuration", func() bool {
		st, _ := one.Status(t.Context())
		return len(st.Nodes) > 0 && st.Nodes[0].Offset == int64(rev)
	})
	tc.log.SetDown(true)
	end()
	tc.vms.Remove("one")
	two, end := tc.startEntry("two", 0)
	tc.Assert(two.Ready(), qt.Not(qt.IsNil))
	tc.waitFor("the new entry is ready", func() bool { return two.Ready() == nil })
	tc.Assert(two.config.State().Revision("a"), qt.Equals, rev)
	end()
	tc.vms.Remove("two")
	three, _ := tc.startEntry("three", 0)
	tc.waitFor("the next one is ready", func() bool { return three.Ready() == nil })
	tc.log.SetDown(false)
	tc.declare(three, rev, 8)
}

// TestPossiblyStale checks that an entry stays ready while the log is down for
// all nodes, but not while the entry is isolated.
func TestPossiblyStale(t *testing.T) {
	tc := newTestCluster(t)
	one, _ := tc.startEntry("one", 100*clock.Milli)
	two, end := tc.startEntry("two", 100*clock.Milli)
	tc.declare(one, 0, 7)
	tc.waitFor("both know each other", func() bool {
		return len(one.peers.View().Entries()) == 2 && len(two.peers.View().Entries()) == 2
	})
	tc.log.SetDown(true)
	tc.waitFor("the entry is possibly stale, and ready since it reaches another entry", func() bool {
		return one.isPossiblyStale() && one.Ready() == nil
	})
	end()
	tc.waitFor("the entry is isolated", func() bool { return one.Ready() != nil })
	tc.waitFor("the dead entry owns nothing", func() bool {
		_, mine := one.peers.Owner("x")
		return mine && len(one.peers.View().Entries()) == 1
	})
	tc.log.SetDown(false)
	tc.waitFor("the entry reads the log again", func() bool { return one.Ready() == nil })
}

// TestListedLeaving marks an agent as leaving only in the VM list. The entry must
// stop using the agent, and the agent must refuse work.
func TestListedLeaving(t *testing.T) {
	tc := newTestCluster(t)
	one, _ := tc.startEntry("one", 0)
	a := tc.startAgent("x")
	tc.declare(one, 0, 7)
	tc.waitFor("the agent is in use", func() bool { hs := one.serversOf("s"); return len(hs) == 1 && !hs[0].Leaving })
	tc.vms.Put(plat.VM{Node: "x", Role: plat.RoleAgent, Addr: a.Addr(), Leaving: true})
	tc.waitFor("the entry marks the agent as leaving", func() bool { hs := one.serversOf("s"); return len(hs) == 1 && hs[0].Leaving })
	tc.waitFor("the agent refuses work itself", func() bool { return a.Ready() != nil })
}

// TestForwardRequest sends a request through each of three entries. The agent
// reports to one of them only.
func TestForwardRequest(t *testing.T) {
	tc := newTestCluster(t)
	one, _ := tc.startEntry("one", 0)
	two, _ := tc.startEntry("two", 0)
	three, _ := tc.startEntry("three", 0)
	tc.declare(one, 0, 5*clock.Second)
	tc.startAgentWithFanout("x", 1)
	all := []*Entry{one, two, three}
	tc.waitFor("one entry has the agent and the others know this", func() bool {
		hosting, informed := 0, 0
		for _, e := range all {
			hosting += len(e.hostedServices())
			if _, ok := e.findPeerFor("s", "r"); ok && e.Ready() == nil {
				informed++
			}
		}
		return hosting == 1 && informed == 2
	})
	for _, e := range all {
		var got codec.Chunk
		err := e.Request(t.Context(), "ann", codec.Request{Class: "a", Body: "hello"}, func(c codec.Chunk) error { got = c; return nil })
		tc.Assert(err, qt.IsNil)
		tc.Assert(got.Done, qt.IsTrue)
		tc.Assert(len(got.Body) > 0, qt.IsTrue)
	}
}
