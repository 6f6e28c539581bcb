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

// site is a deployment on loopback whose log and VM list are in reach of the
// test.
type site struct {
	*qt.C
	t     *testing.T
	clock clock.Clock
	log   *logsvc.Log
	vms   *vmlist.List
}

func newSite(t *testing.T) *site {
	clk := clock.NewSystem()
	return &site{C: qt.New(t), t: t, clock: clk, log: logsvc.New(clk, logsvc.Params{}), vms: vmlist.New(clk, 0)}
}

const (
	siteKey  = "a-key-of-the-tests"
	sitePoll = 20 * clock.Milli
	anyPort  = "127.0.0.1:0"
)

func (s *site) entry(n ident.Node, bound clock.Millis) (*Entry, func()) {
	e, err := New(Params{
		Node: n, HTTPAddr: anyPort, InnerAddr: anyPort, Key: []byte(siteKey), PollInterval: sitePoll, MaxConfigAge: bound,
		Roster: roster.Policy{LivenessTimeout: 200 * clock.Milli, Fanout: 8},
		Policy: match.DefaultPolicy(), Clock: s.clock, Log: zerolog.Nop(), Meter: noop.Meter{}, Metrics: http.NotFoundHandler(), Source: s.log, VMs: s.vms,
	})
	s.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	go e.Run(ctx)
	end := func() { stop(); e.Close() }
	s.t.Cleanup(end)
	s.vms.Put(plat.VM{Node: n, Role: plat.RoleEntry, Addr: e.Addr()})
	return e, end
}

func (s *site) agent(n ident.Node) *agent.Agent { return s.agentOf(n, 0) }

// agentOf starts an agent that reports to a number of entries, 0 for the
// standard.
func (s *site) agentOf(n ident.Node, entries int) *agent.Agent {
	a, err := agent.New(agent.Params{
		Node: n, InnerAddr: anyPort, Key: []byte(siteKey), Slots: 4, Service: "s", ReportFanout: entries, ReportInterval: sitePoll, PollInterval: sitePoll, AnswerRetention: clock.Minute,
		Clock: s.clock, Log: zerolog.Nop(), Meter: noop.Meter{}, VMs: s.vms, Plain: plain.New(plain.NewRunCounter(), 0),
	})
	s.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	go a.Run(ctx)
	s.t.Cleanup(func() { stop(); a.Close() })
	s.vms.Put(plat.VM{Node: n, Role: plat.RoleAgent, Addr: a.Addr()})
	return a
}

// until waits for a state that must come; it is no bound on speed.
func (s *site) until(what string, ok func() bool) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("never came: %s", what)
}

func declared(base ident.Offset, lateness clock.Millis) record.Change {
	c := class.NewUnchecked(class.Params{Name: "a", Kind: class.Lookup, Service: "s", Lateness: lateness, Waiting: 1})
	return record.Change{Edits: []record.Edit{{Name: "a", Base: base, Class: c}}}
}

func (s *site) declare(e *Entry, base ident.Offset, lateness clock.Millis) ident.Offset {
	rev, err := e.config.Change(s.t.Context(), declared(base, lateness))
	s.Assert(err, qt.IsNil)
	return rev
}

// TestColdStart replaces all entries while the log is down: the new ones get
// the configuration from an agent, and take no work before.
func TestColdStart(t *testing.T) {
	s := newSite(t)
	one, end := s.entry("one", 0)
	s.agent("x")
	rev := s.declare(one, 0, 7)
	s.until("the agent has the configuration", func() bool {
		st, _ := one.Status(t.Context())
		return len(st.Nodes) > 0 && st.Nodes[0].Offset == int64(rev)
	})
	s.log.SetDown(true)
	end()
	s.vms.Remove("one")
	two, end := s.entry("two", 0)
	s.Assert(two.Ready(), qt.Not(qt.IsNil))
	s.until("the new entry is ready", func() bool { return two.Ready() == nil })
	s.Assert(two.config.State().Revision("a"), qt.Equals, rev)
	end()
	s.vms.Remove("two")
	three, _ := s.entry("three", 0)
	s.until("the next one is ready", func() bool { return three.Ready() == nil })
	s.log.SetDown(false)
	s.declare(three, rev, 8)
}

// TestUnsure shows what an entry says when the log is down for everybody, and
// when it is cut off alone.
func TestUnsure(t *testing.T) {
	s := newSite(t)
	one, _ := s.entry("one", 100*clock.Milli)
	two, end := s.entry("two", 100*clock.Milli)
	s.declare(one, 0, 7)
	s.until("both know each other", func() bool {
		return len(one.peers.View().Entries()) == 2 && len(two.peers.View().Entries()) == 2
	})
	s.log.SetDown(true)
	s.until("the entry is unsure, and ready since it hears another entry", func() bool {
		return one.isUnsure() && one.Ready() == nil
	})
	end()
	s.until("the entry is alone", func() bool { return one.Ready() != nil })
	s.until("the dead entry owns nothing", func() bool { _, mine := one.peers.Owner("x"); return mine && len(one.peers.View().Entries()) == 1 })
	s.log.SetDown(false)
	s.until("the entry reads the log again", func() bool { return one.Ready() == nil })
}

// TestListedLeaving marks an agent as leaving in the VM list alone.
func TestListedLeaving(t *testing.T) {
	s := newSite(t)
	one, _ := s.entry("one", 0)
	a := s.agent("x")
	s.declare(one, 0, 7)
	s.until("the agent is in use", func() bool { hs := one.serversOf("s"); return len(hs) == 1 && !hs[0].Leaving })
	s.vms.Put(plat.VM{Node: "x", Role: plat.RoleAgent, Addr: a.Addr(), Leaving: true})
	s.until("the entry sees that it leaves", func() bool { hs := one.serversOf("s"); return len(hs) == 1 && hs[0].Leaving })
	s.until("the agent refuses by itself", func() bool { return a.Ready() != nil })
}

// TestPass sends requests through entries of which only one hears the agent.
func TestPass(t *testing.T) {
	s := newSite(t)
	one, _ := s.entry("one", 0)
	two, _ := s.entry("two", 0)
	three, _ := s.entry("three", 0)
	s.declare(one, 0, 5*clock.Second)
	s.agentOf("x", 1)
	all := []*Entry{one, two, three}
	s.until("one entry hears the agent and the others know", func() bool {
		hear, know := 0, 0
		for _, e := range all {
			hear += len(e.services())
			if _, ok := e.helperFor("s", "r"); ok && e.Ready() == nil {
				know++
			}
		}
		return hear == 1 && know == 2
	})
	for _, e := range all {
		var got codec.Chunk
		err := e.Request(t.Context(), "ann", codec.Request{Class: "a", Body: "hello"}, func(c codec.Chunk) error { got = c; return nil })
		s.Assert(err, qt.IsNil)
		s.Assert(got.Done, qt.IsTrue)
		s.Assert(len(got.Body) > 0, qt.IsTrue)
	}
}
