package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/agent"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
	"github.com/jujuberamp/jujuberamp/internal/stand/logsvc"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
	"github.com/jujuberamp/jujuberamp/internal/stand/plain"
	"github.com/jujuberamp/jujuberamp/internal/stand/vmlist"
)

// gate stands between one entry and the log, and cuts or holds what a test
// wants.
type gate struct {
	*logsvc.Log
	reads atomic.Int64
	mu    sync.Mutex
	cut   bool          // nothing comes back, appends take effect
	hold  chan struct{} // reads with records wait here after they were made
	stuck chan struct{} // closed when a read waits
}

func (g *gate) set(fn func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn()
}

func (g *gate) Append(ctx context.Context, name string, data [][]byte) (ident.Offset, error) {
	at, err := g.Log.Append(ctx, name, data)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		return 0, logsvc.ErrLost
	}
	return at, err
}

func (g *gate) Read(ctx context.Context, name string, from ident.Offset, limit int, wait clock.Millis) (plat.Batch, error) {
	g.reads.Add(1)
	b, err := g.Log.Read(ctx, name, from, limit, wait)
	g.mu.Lock()
	hold, cut := g.hold, g.cut
	if hold != nil && len(b.Records) > 0 {
		g.hold = nil
		close(g.stuck)
	} else {
		hold = nil
	}
	g.mu.Unlock()
	if hold != nil {
		<-hold
	}
	if cut {
		return plat.Batch{}, logsvc.ErrDown
	}
	return b, err
}

// pauseRead makes the next read that brings records wait; the first channel
// closes when it does, closing the second lets it go on.
func (g *gate) pauseRead() (stuck, release chan struct{}) {
	stuck, release = make(chan struct{}), make(chan struct{})
	g.set(func() { g.stuck, g.hold = stuck, release })
	return stuck, release
}

type testEntry struct {
	*Claims
	gate *gate
	kill context.CancelFunc
}

// rig is a log, a service and some entries and agents.
type rig struct {
	c      *qt.C
	ctx    context.Context
	clock  clock.Clock
	log    *logsvc.Log
	ledger *plain.RunCounter
	svc    *plain.Service
	wall   func() int64

	mu     sync.Mutex
	agents []*agent.Agent
	hosts  map[ident.Service]*agent.Agent
	calls  []*calls.Dispatcher
}

func newRig(t testing.TB, took clock.Millis) *rig {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clk := clock.NewSystem()
	r := &rig{c: qt.New(t), ctx: ctx, clock: clk, log: logsvc.New(clk, logsvc.Params{Seed: 1}), ledger: plain.NewRunCounter(), hosts: make(map[ident.Service]*agent.Agent)}
	r.svc = plain.New(r.ledger, took)
	r.agent()
	go r.report()
	return r
}

var testKey = []byte("0123456789abcdef")

// agent starts another agent of the plain service, which entries use from now
// on.
func (r *rig) agent() *agent.Agent {
	a := r.start(agent.Params{Node: "agent-1", Slots: 256, Service: "pages", Plain: r.svc})
	r.host("pages", a)
	return a
}

func (r *rig) start(p agent.Params) *agent.Agent {
	p.InnerAddr, p.Key, p.Clock, p.Log = "127.0.0.1:0", testKey, r.clock, zerolog.Nop()
	p.ReportInterval, p.AnswerRetention = 100*clock.Milli, clock.Minute
	p.VMs, p.Meter = vmlist.New(r.clock, 0), noop.Meter{}
	a, err := agent.New(p)
	r.c.Assert(err, qt.IsNil)
	go a.Run(r.ctx)
	r.c.Cleanup(a.Close)
	return a
}

// host tells the entries from now on that an agent serves a service.
func (r *rig) host(svc ident.Service, a *agent.Agent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents = append(r.agents, a)
	r.hosts[svc] = a
}

func (r *rig) report() {
	for seq := uint64(1); r.ctx.Err() == nil; seq++ {
		r.mu.Lock()
		for svc, a := range r.hosts {
			for _, c := range r.calls {
				c.Report(match.Server{Node: ident.Node("at-" + a.Addr()), Seq: seq, Boot: a.Boot(), Addr: a.Addr(), Service: svc, Version: 1, Slots: 256})
			}
		}
		r.mu.Unlock()
		clock.Sleep(r.ctx, 20)
	}
}

func (r *rig) entry(name ident.Node) *testEntry {
	ctx, kill := context.WithCancel(r.ctx)
	pool := wire.NewPool(testKey)
	boot := ident.NewIncarnation()
	cs := calls.New(calls.Params{Node: name, Boot: boot, Policy: match.DefaultPolicy(), Pool: pool, Clock: r.clock, Log: zerolog.Nop()})
	go cs.Run(ctx)
	g := &gate{Log: r.log}
	cl := New(ctx, Params{Node: name, Boot: boot, Source: g, Calls: cs, Pool: pool, ClaimTimeout: clock.Second, Clock: r.clock, Wall: r.wall, Log: zerolog.Nop()})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, cs)
	return &testEntry{Claims: cl, gate: g, kill: func() { kill(); pool.Close() }}
}

func newKey(c *qt.C) string {
	u, err := uuid.NewV7()
	c.Assert(err, qt.IsNil)
	return u.String()
}

func (r *rig) ask(key, body string) Request {
	cl, err := class.New(class.Params{Name: "notice", Kind: class.Action, Service: "pages", Lateness: clock.Minute, Waiting: clock.Second})
	r.c.Assert(err, qt.IsNil)
	return Request{Caller: "app", Key: key, BodyDigest: body, Work: calls.Work{Request: ident.Request(key), Class: cl, Body: []byte(body)}}
}

func (r *rig) send(e *testEntry, key, body string) ([]byte, error) {
	ans, err := e.Do(r.ctx, r.ask(key, body))
	return ans.Body, err
}

// later sends in the background.
func (r *rig) later(e *testEntry, key, body string) chan error {
	ch := make(chan error, 1)
	go func() {
		b, err := r.send(e, key, body)
		if err == nil && string(b) != string(oracle.Reply([]byte(body))) {
			err = fmt.Errorf("got another answer: %q", b)
		}
		ch <- err
	}()
	return ch
}

func (r *rig) started(body string) {
	for r.ledger.Runs(body) == 0 {
		r.c.Assert(r.ctx.Err(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
}

func (r *rig) isDone(e *testEntry, key, body string) {
	r.c.Helper()
	b, err := r.send(e, key, body)
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(string(b), qt.Equals, string(oracle.Reply([]byte(body))))
}

func kindOf(err error) fault.Kind {
	if f, ok := fault.As(err); ok {
		return f.Kind()
	}
	return ""
}

// scenarios are the failures between a send of a key and its answer. Each
// returns how often the service may have run the body.
var scenarios = map[string]func(r *rig, a, b *testEntry, key string) int{
	"sent again through any entry": func(r *rig, a, b *testEntry, key string) int {
		r.isDone(a, key, "x")
		r.isDone(b, key, "x")
		r.isDone(a, key, "x")
		r.isDone(r.entry("new"), key, "x")
		return 1
	},
	"same key for another request": func(r *rig, a, b *testEntry, key string) int {
		r.isDone(a, key, "x")
		for _, e := range []*testEntry{a, b} {
			_, err := r.send(e, key, "y")
			r.c.Assert(kindOf(err), qt.Equals, fault.KeyReused)
		}
		r.c.Assert(r.ledger.Runs("y"), qt.Equals, 0)
		return 1
	},
	"two entries at once": func(r *rig, a, b *testEntry, key string) int {
		one, two := r.later(a, key, "x"), r.later(b, key, "x")
		r.c.Assert(<-one, qt.IsNil)
		r.c.Assert(<-two, qt.IsNil)
		return 1
	},
	"log down": func(r *rig, a, b *testEntry, key string) int {
		r.log.SetDown(true)
		ask := r.ask(key, "x")
		ask.FirstSend = true
		_, err := a.Do(r.ctx, ask)
		r.c.Assert(kindOf(err), qt.Equals, fault.LogUnavailable)
		_, err = r.send(b, key, "x")
		r.c.Assert(kindOf(err), qt.Equals, fault.ClaimUnsettled)
		r.c.Assert(r.ledger.Runs("x"), qt.Equals, 0)
		r.log.SetDown(false)
		r.isDone(b, key, "x")
		r.isDone(a, key, "x")
		return 1
	},
	"each answer to an append lost": func(r *rig, a, b *testEntry, key string) int {
		r.log.SetReplyLossRate(1)
		r.isDone(a, key, "x")
		r.isDone(b, key, "x")
		return 1
	},
	"claim written in an outage, then sent again elsewhere": func(r *rig, a, b *testEntry, key string) int {
		a.gate.set(func() { a.gate.cut = true })
		_, err := r.send(a, key, "x")
		r.c.Assert(kindOf(err), qt.Equals, fault.ClaimUnsettled)
		r.isDone(b, key, "x")
		a.gate.set(func() { a.gate.cut = false })
		r.isDone(a, key, "x")
		return 1
	},
	"claim written in an outage, then sent again here": func(r *rig, a, _ *testEntry, key string) int {
		a.gate.set(func() { a.gate.cut = true })
		_, err := r.send(a, key, "x")
		r.c.Assert(kindOf(err), qt.Equals, fault.ClaimUnsettled)
		a.gate.set(func() { a.gate.cut = false })
		r.isDone(a, key, "x")
		return 1
	},
	"entry dies between claim and send": func(r *rig, a, b *testEntry, key string) int {
		stuck, _ := a.gate.pauseRead()
		r.later(a, key, "x")
		<-stuck
		a.kill()
		r.isDone(b, key, "x")
		return 1
	},
	"entry pauses between claim and send": func(r *rig, a, b *testEntry, key string) int {
		stuck, release := a.gate.pauseRead()
		one := r.later(a, key, "x")
		<-stuck
		r.isDone(b, key, "x")
		close(release)
		r.c.Assert(<-one, qt.IsNil)
		return 1
	},
	"entry dies between run and answer": func(r *rig, a, b *testEntry, key string) int {
		r.later(a, key, "x")
		r.started("x")
		a.kill()
		r.isDone(b, key, "x")
		return 1
	},
	"service crashes in mid-run": func(r *rig, a, b *testEntry, key string) int {
		one := r.later(a, key, "x")
		r.started("x")
		r.svc.Crash()
		r.c.Assert(kindOf(<-one), qt.Equals, fault.OutcomeUnknown)
		r.svc.Restart()
		for _, e := range []*testEntry{b, a} {
			_, err := r.send(e, key, "x")
			r.c.Assert(kindOf(err), qt.Equals, fault.OutcomeUnknown)
		}
		return 1
	},
	"agent restarts in mid-run": func(r *rig, a, b *testEntry, key string) int {
		one := r.later(a, key, "x")
		r.started("x")
		r.agents[0].Close()
		r.agent()
		r.c.Assert(kindOf(<-one), qt.Equals, fault.OutcomeUnknown)
		_, err := r.send(b, key, "x")
		r.c.Assert(kindOf(err), qt.Equals, fault.OutcomeUnknown)
		return 1
	},
	"agent restarts between claim and send": func(r *rig, a, b *testEntry, key string) int {
		stuck, release := a.gate.pauseRead()
		one := r.later(a, key, "x")
		<-stuck
		r.agents[0].Close()
		r.agent()
		_, err := r.send(b, key, "x")
		r.c.Assert(kindOf(err), qt.Equals, fault.OutcomeUnknown)
		close(release)
		if err := <-one; err != nil { // The pause may have outlasted the time to claim.
			r.isDone(a, key, "x")
		}
		return 1
	},
	"an entry that read an older claim only": func(r *rig, a, b *testEntry, key string) int {
		stuck, _ := a.gate.pauseRead()
		r.later(a, key, "x")
		<-stuck
		late := r.entry("late")
		r.c.Assert(late.streams[index(KeyDigest("app", key))].sync(r.ctx), qt.IsNil)
		a.kill()
		r.isDone(b, key, "x")
		for b.IsBusy() { // The outcome is on its way to the log.
			clock.Sleep(r.ctx, clock.Milli)
		}
		clock.Sleep(r.ctx, noteWait)
		r.agents[0].Close()
		r.agent()
		r.isDone(late, key, "x")
		return 1
	},
	"records expired unread": func(r *rig, a, b *testEntry, key string) int {
		name := StreamOf("app", key)
		other, third := sameStream(r.c, name), sameStream(r.c, name)
		r.isDone(a, key, "x")
		r.isDone(b, other, "y")
		r.log.Expire(name, 1000)
		_, err := r.send(a, other, "y")
		r.c.Assert(kindOf(err), qt.Equals, fault.KeyExpired)
		_, err = r.send(a, third, "z")
		r.c.Assert(kindOf(err), qt.Equals, fault.KeyExpired)
		r.c.Assert(r.ledger.Runs("y"), qt.Equals, 1)
		r.c.Assert(r.ledger.Runs("z"), qt.Equals, 0)
		return 1
	},
}

// sameStream returns a key that belongs to a stream.
func sameStream(c *qt.C, name string) string {
	for {
		if k := newKey(c); StreamOf("app", k) == name {
			return k
		}
	}
}

func TestAtMostOnce(t *testing.T) {
	for name, run := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 100*clock.Milli)
			a, b := r.entry("entry-a"), r.entry("entry-b")
			want := run(r, a, b, newKey(r.c))
			r.c.Assert(r.ledger.Runs("x"), qt.Equals, want)
		})
	}
}

func TestCheckKey(t *testing.T) {
	c := qt.New(t)
	key := newKey(c)
	made, err := New(context.Background(), Params{Clock: clock.NewManual(1)}).CheckKey(key)
	c.Assert(err, qt.IsNil)
	tests := map[string]struct {
		key  string
		wall int64
		want fault.Kind
	}{
		"fresh":      {key, made, ""},
		"old":        {key, made + int64(Window) + 1, fault.KeyExpired},
		"far future": {key, made - int64(skew) - 1, fault.BadRequest},
		"near":       {key, made - int64(skew), ""},
		"empty":      {"", made, fault.BadRequest},
		"version 4":  {"6f1d3a52-0b1c-4d3e-9f00-112233445566", made, fault.BadRequest},
		"braces":     {"{" + key + "}", made, fault.BadRequest},
		"no UUID":    {"my-key", made, fault.BadRequest},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(context.Background(), Params{Clock: clock.NewManual(1), Wall: func() int64 { return tc.wall }})
			_, err := s.CheckKey(tc.key)
			qt.Assert(t, kindOf(err), qt.Equals, tc.want)
		})
	}
}

// TestCallersApart shows that a key is the caller's own.
func TestCallersApart(t *testing.T) {
	c := qt.New(t)
	c.Assert(KeyDigest("a", "bc"), qt.Not(qt.Equals), KeyDigest("ab", "c"))
	r := newRig(t, 1)
	e, key := r.entry("entry-a"), newKey(c)
	r.isDone(e, key, "x")
	other := r.ask(key, "y")
	other.Caller = "other"
	ans, err := e.Do(r.ctx, other)
	c.Assert(err, qt.IsNil)
	c.Assert(string(ans.Body), qt.Equals, string(oracle.Reply([]byte("y"))))
}
