package calls

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// Sizes of the fake agents.
const (
	answerLen  = 20
	tokenEvery = 10 * time.Millisecond
)

// fakeAgent answers calls in the bubble's time.
type fakeAgent struct {
	slow     int           // times as slow as the others
	crashAt  int           // tokens after which each answer breaks off
	hangAt   time.Duration // since the start; calls get no answer for hangFor
	hangFor  time.Duration
	refuse   fault.Kind // of each submission
	boot     uint64
	began    time.Time
	jobs     map[string]*fakeJob
	order    []string
	canceled []string
}

type fakeJob struct {
	wire.Job
	at time.Time
}

// fakeNet carries calls to fake agents without a socket.
type fakeNet struct {
	mu     sync.Mutex
	agents map[string]*fakeAgent
}

func (n *fakeNet) Call(ctx context.Context, addr, method string, args, reply any) error {
	n.mu.Lock()
	a := n.agents[addr]
	wait := time.Until(a.began.Add(a.hangAt + a.hangFor))
	hangs := a.hangFor > 0 && time.Since(a.began) >= a.hangAt && wait > 0
	n.mu.Unlock()
	if hangs && !sleep(ctx, wait) {
		return fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "no answer from "+addr)
	}
	switch m := args.(type) {
	case *wire.SubmitArgs:
		n.mu.Lock()
		defer n.mu.Unlock()
		reply.(*wire.SubmitReply).Fault = wire.ToFault(a.submit(m.Job))
	case *wire.FetchArgs:
		return n.fetch(ctx, a, m, reply.(*wire.FetchReply))
	case *wire.CancelArgs:
		n.mu.Lock()
		defer n.mu.Unlock()
		a.canceled = append(a.canceled, m.Attempt)
	default:
		return errors.New("unexpected call of " + method)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *fakeAgent) submit(j wire.Job) error {
	if a.refuse != "" {
		return fault.New(a.refuse, "fake").WithRetryAfter(clock.Second)
	}
	a.jobs[j.Attempt] = &fakeJob{j, time.Now()}
	a.order = append(a.order, j.Attempt)
	return nil
}

// token is the same on every agent, as with one seed.
func token(i int) uint32 { return uint32(1000 + i) }

func (n *fakeNet) fetch(ctx context.Context, a *fakeAgent, m *wire.FetchArgs, r *wire.FetchReply) error {
	for {
		n.mu.Lock()
		j := a.jobs[m.Attempt]
		made := len(j.Resume) + int(time.Since(j.at)/(tokenEvery*time.Duration(max(1, a.slow))))
		n.mu.Unlock()
		broken := a.crashAt > 0 && made >= a.crashAt
		if broken {
			made = a.crashAt
		}
		made = min(made, answerLen)
		if made > m.From || broken {
			for i := m.From; i < made; i++ {
				r.Tokens = append(r.Tokens, token(i))
			}
			r.Done = broken || made == answerLen
			if broken {
				r.Fault = wire.ToFault(fault.New(fault.BackendCrashed, "fake"))
			}
			return nil
		}
		if !sleep(ctx, tokenEvery) {
			return fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "no answer")
		}
	}
}

// world is a dispatcher with fake agents that report twice a second.
type world struct {
	*Dispatcher
	net *fakeNet
	ctx context.Context
}

func newWorld(t *testing.T, agents ...*fakeAgent) *world {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	n := &fakeNet{agents: make(map[string]*fakeAgent)}
	w := &world{net: n, ctx: ctx}
	w.Dispatcher = New(Params{Node: "entry-1", Boot: 1, Policy: match.DefaultPolicy(), Pool: n, Clock: clock.NewSystem(), Log: zerolog.Nop()})
	for i, a := range agents {
		a.began, a.jobs = time.Now(), make(map[string]*fakeJob)
		n.agents[addr(i)] = a
	}
	w.report()
	go w.Run(ctx)
	go func() {
		for sleep(ctx, 500*time.Millisecond) {
			w.report()
		}
	}()
	return w
}

func addr(i int) string { return string(rune('a' + i)) }

func (w *world) report() {
	for i := range len(w.net.agents) {
		w.Report(match.Server{Node: ident.Node(addr(i)), Boot: 1, Addr: addr(i), Service: "model", Version: 1, Slots: 8})
	}
}

func (w *world) agent(i int) *fakeAgent { return w.net.agents[addr(i)] }

// submitted returns all jobs that agents admitted.
func (w *world) submitted() (js []*fakeJob) {
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	for i := range len(w.net.agents) {
		for _, id := range w.agent(i).order {
			js = append(js, w.agent(i).jobs[id])
		}
	}
	return js
}

func newClass(t *testing.T, k class.Kind) class.Class {
	t.Helper()
	p := class.Params{Name: "work", Kind: k, Service: "model", Lateness: 30 * clock.Second, Waiting: 500, MaxTokens: 256}
	if !k.IsModel() {
		p.MaxTokens = 0
	}
	c, err := class.New(p)
	qt.Assert(t, err, qt.IsNil)
	return c
}

// isWhole reports whether tokens are the whole answer.
func isWhole(tokens []uint32) bool {
	var want []uint32
	for i := range answerLen {
		want = append(want, token(i))
	}
	return slices.Equal(tokens, want)
}
