package agent

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
	"github.com/jujuberamp/jujuberamp/internal/node/rounds"
	"github.com/jujuberamp/jujuberamp/internal/node/swaps"
	"github.com/jujuberamp/jujuberamp/internal/stand/batch"
	"github.com/jujuberamp/jujuberamp/internal/stand/engine"
	"github.com/jujuberamp/jujuberamp/internal/stand/score"
	"github.com/jujuberamp/jujuberamp/internal/stand/vmlist"
	"github.com/jujuberamp/jujuberamp/internal/stand/weight"
)

// testCluster is a small deployment in virtual time. It connects agents, fake
// engines, and the rounds, calls and swaps of several entries in memory.
type testCluster struct {
	ctx    context.Context
	clock  clock.Clock
	store  *weight.Store
	scorer *score.Scorer
	class  class.Class

	mu             sync.Mutex
	engines        []*engine.Engine
	agents         []*runningAgent
	entries        []*testEntry
	splitOwnership bool // every entry considers itself the owner of all rounds
	answersToLose  int  // number of answers to drop after their calls took effect
	version        ident.Version
}

// runningAgent is an agent and the function that stops its reports.
type runningAgent struct {
	*Agent
	stop context.CancelFunc
}

// testEntry consists of the components of an entry that serve rounds.
type testEntry struct {
	name   ident.Node
	calls  *calls.Dispatcher
	rounds *rounds.Rounds
	swaps  *swaps.Coordinator
	stop   context.CancelFunc
	dead   bool
}

const (
	testModel    = "notice-model"
	testEngines  = 3
	testRoundKey = "grid-key"
)

func newTestCluster(ctx context.Context, t *testing.T, scored bool) *testCluster {
	c := clock.NewSystem()
	p := class.Params{
		Name:      "train",
		Kind:      class.Round,
		Service:   testModel,
		Lateness:  clock.Hour,
		Waiting:   clock.Minute,
		Staleness: 1,
		MaxTokens: 200,
	}
	if scored {
		p.Scorer = "tone-check"
	}
	cl, err := class.New(p)
	if err != nil {
		t.Fatal(err)
	}
	g := &testCluster{
		ctx:     ctx,
		clock:   c,
		class:   cl,
		version: 1,
		store:   weight.New(c, 6),
		scorer:  score.New(5 * clock.Milli),
	}
	for i := range testEngines {
		e := engine.New(engine.Params{
			Batch:    batch.Params{Slots: 4, Rate: 20, Knee: 4, PrefillRate: 5000, CachedPrefixes: 8},
			Model:    testModel,
			Version:  1,
			LoadTime: 300 * clock.Milli,
			Fenced:   i == 0, // the other engines ignore fencing tokens
		}, c)
		go e.Run(ctx)
		g.engines = append(g.engines, e)
		g.agents = append(g.agents, nil)
		g.startAgent(t, i)
	}
	g.startEntry()
	g.startEntry()
	go g.gossip()
	return g
}

// startAgent starts an agent for an engine and stops the previous agent of
// that engine.
func (g *testCluster) startAgent(t *testing.T, i int) {
	zone := ident.Zone(fmt.Sprintf("zone-%d", i%2))
	a, err := New(Params{
		Node:            ident.Node(fmt.Sprintf("agent-%d", i)),
		Zone:            zone,
		InnerAddr:       "127.0.0.1:0",
		Slots:           4,
		ReportInterval:  250 * clock.Milli,
		AnswerRetention: 2 * clock.Minute,
		Clock:           g.clock,
		Log:             zerolog.Nop(),
		Meter:           noop.NewMeterProvider().Meter(""),
		Engine:          g.engines[i],
		VMs:             vmlist.New(g.clock, 0),
		Weights:         g.store,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(g.ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.agents[i]; old != nil {
		old.stop()
		old.Close()
	}
	g.agents[i] = &runningAgent{Agent: a, stop: stop}
	go a.awaitStableEngine(startupStabilityChecks)
	go g.report(ctx, a)
}

// report does the periodic work of [Agent.Run], but delivers the reports in
// memory.
func (g *testCluster) report(ctx context.Context, a *Agent) {
	for ctx.Err() == nil {
		a.refreshStatus(ctx)
		args := a.newReport()
		for _, e := range g.alive() {
			e.calls.Report(match.Server{
				Node:    a.p.Node,
				Boot:    a.boot,
				Seq:     args.Seq,
				Addr:    string(a.p.Node),
				Zone:    a.p.Zone,
				Service: ident.Service(args.Hosted.Service),
				Version: ident.Version(args.Hosted.Version),
				Loading: args.Hosted.Loading,
				Slots:   args.Slots,
				Running: args.Running,
			})
			a.announced.merge(e.swaps.Wire())
		}
		a.prune(g.clock.Now())
		clock.Sleep(ctx, a.p.ReportInterval)
	}
}

func (g *testCluster) startEntry() {
	ctx, stop := context.WithCancel(g.ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &testEntry{name: ident.Node(fmt.Sprintf("entry-%d", len(g.entries))), stop: stop}
	boot := ident.NewIncarnation()
	e.calls = calls.New(calls.Params{
		Node: e.name, Boot: boot, Policy: match.DefaultPolicy(), Pool: g, Clock: g.clock, Log: zerolog.Nop(),
	})
	servers := func(m ident.Service) (out []match.Server) {
		e.calls.WithMatcher(func(mt *match.Matcher) { out = mt.LiveServers(g.clock.Now(), m) })
		return out
	}
	e.swaps = swaps.New(swaps.Params{
		Node: e.name, Boot: boot, Policy: swap.DefaultPolicy(), Pool: g, Clock: g.clock, Log: zerolog.Nop(),
		Servers: servers,
		Owns:    func(ident.Service, swap.Group) bool { return g.owns(e) },
	})
	e.rounds = rounds.New(ctx, rounds.Params{
		Node: e.name, Boot: boot, Key: []byte(testRoundKey), Calls: e.calls, Pool: g, Clock: g.clock, Log: zerolog.Nop(),
		Servers: servers,
		Agents:  func() []match.Server { return servers(testModel) },
		Owns:    func(ident.Round) bool { return g.owns(e) },
		Newest:  e.swaps.Newest,
		Scorer:  func(ident.Service) (plat.Scorer, error) { return g.scorer, nil },
	})
	go e.calls.Run(ctx)
	go e.swaps.Run(ctx)
	go e.rounds.Run(ctx)
	g.entries = append(g.entries, e)
}

func (g *testCluster) alive() []*testEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*testEntry
	for _, e := range g.entries {
		if !e.dead {
			out = append(out, e)
		}
	}
	return out
}

func (g *testCluster) owns(e *testEntry) bool {
	entries := g.alive()
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(entries) > 0 && (entries[0] == e || g.splitOwnership)
}

// killOwner stops the owner of the rounds and starts a new entry.
func (g *testCluster) killOwner() {
	e := g.alive()[0]
	g.mu.Lock()
	e.dead = true
	g.mu.Unlock()
	e.stop()
	g.startEntry()
}

func (g *testCluster) gossip() {
	for g.ctx.Err() == nil {
		entries := g.alive()
		for _, e := range entries {
			for _, peer := range entries {
				peer.swaps.Merge(e.swaps.Wire())
			}
		}
		clock.Sleep(g.ctx, 500*clock.Milli)
	}
}

// announce announces the next weight version to all entries.
func (g *testCluster) announce() {
	g.mu.Lock()
	g.version++
	v := g.version
	g.mu.Unlock()
	for _, e := range g.alive() {
		e.swaps.Announce(testModel, v)
	}
}

func (g *testCluster) newest() ident.Version {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

const networkDelay = 2 * clock.Milli

// Call implements [calls.RPCClient] in memory. It drops the next answersToLose
// answers.
func (g *testCluster) Call(ctx context.Context, addr, method string, args, reply any) error {
	if !clock.Sleep(ctx, networkDelay) {
		return fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "no answer")
	}
	a := g.agentAt(addr)
	if a == nil || a.ctx.Err() != nil {
		return fault.New(fault.NoBackend, "dial "+addr)
	}
	name := strings.TrimPrefix(method, "Agent.")
	out := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan error, 1)
	go func() {
		r := reflect.ValueOf(&service{a}).MethodByName(name).Call([]reflect.Value{reflect.ValueOf(args), out})
		err, _ := r[0].Interface().(error)
		done <- err
	}()
	select {
	case err := <-done:
		if err != nil || g.losesAnswer() || a.ctx.Err() != nil {
			return fault.Wrap(fault.OutcomeUnknown, errors.New("connection closed"), "call "+method)
		}
	case <-a.ctx.Done():
		return fault.Wrap(fault.OutcomeUnknown, a.ctx.Err(), "agent died")
	case <-ctx.Done():
		return fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "no answer from "+addr)
	}
	reflect.ValueOf(reply).Elem().Set(out.Elem())
	return nil
}

func (g *testCluster) agentAt(addr string) *Agent {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.agents {
		if a != nil && string(a.p.Node) == addr {
			return a.Agent
		}
	}
	return nil
}

func (g *testCluster) losesAnswer() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answersToLose == 0 {
		return false
	}
	g.answersToLose--
	return true
}

// close stops the cluster and waits until its goroutines have ended.
func (g *testCluster) close(cancel context.CancelFunc) {
	cancel()
	for _, a := range g.agents {
		a.stop()
		a.Close()
	}
	time.Sleep(clock.Minute.Duration())
}

// enginesConfirm reports whether the records of the engines confirm the version
// of every token.
func (g *testCluster) enginesConfirm(s round.Spec, got round.Sample) bool {
	to := 0
	for _, sp := range got.Spans {
		ok := false
		for _, e := range g.engines {
			ok = ok || e.VerifySpan(s.Prompt(got.Ordinal), s.SeedOf(got.Ordinal), sp)
		}
		if !ok || sp.From != to {
			return false
		}
		to = sp.To
	}
	return to == len(got.Tokens)
}
