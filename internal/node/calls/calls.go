// Package calls runs work for callers and rounds: it puts each piece into the
// matcher, submits it to the agent that the matcher names, reads the answer,
// and tries again where that is safe.
//
// # Usage
//
//	c := calls.New(calls.Params{Policy: match.Standard(), Pool: pool, ...})
//	ans, err := c.Do(ctx, calls.Work{...}, sink)
//
// One mutex guards the matcher; it is held only while a decision is made,
// never across I/O.
package calls

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// Params are what the dispatcher needs to run.
type Params struct {
	Node   ident.Node
	Boot   ident.Incarnation
	Policy match.Policy
	Pool   RPCClient
	Clock  clock.Clock
	Log    zerolog.Logger
	Trace  *trace.Recorder // nil for none

	// Judge is asked before each try whether the work is a suspect of crashes;
	// an error refuses it. crashes counts its attempts that ended in one. Nil
	// judges nothing.
	Admit func(ctx context.Context, w Work, crashes int) (suspect bool, err error)
	// Served is told of work that ended with an answer after it was a suspect.
	OnServed func(w Work)
}

// RPCClient carries a call to a node and waits for its answer; [wire.Pool] is one.
type RPCClient interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Work is one request to run.
type Work struct {
	Request   ident.Request
	Class     class.Class
	Body      []byte
	Prefix    string
	Seed      int64
	MaxTokens int
	Deadline  clock.Millis // 0 for none
	Sample    wire.Sample
	Suspect   bool // ran at a crash before
	Priority  int  // at the engine, added to that of the work's band

	// Claim returns the claim under which a server may run work that is not
	// idempotent. It is called before each attempt; a second call means that
	// the claim before is proven as not run. Nil for idempotent work.
	Claim func(ctx context.Context, s match.Server) (wire.Claim, error)

	Resume     []uint32             // tokens that earlier work made
	Spans      []plat.Span          // versions of the tokens in Resume
	EnqueuedAt clock.Millis         // when it began to wait; 0 for now
	Attach     RunningAttempt       // an attempt that runs already, to read before any other
	OnProgress func(RunningAttempt) // called when an attempt starts and when it goes on
}

// RunningAttempt is an attempt at a server.
type RunningAttempt struct {
	Server  match.Server
	Attempt ident.Attempt
	Tokens  int         // read so far
	Spans   []plat.Span // of a sample's tokens
}

// ErrSampleCanceled is the cause of a context's end that also ends the attempt of a
// sample at its agent. Without it the attempt goes on there, for an entry that
// takes the round over.
var ErrSampleCanceled = errors.New("sample is no longer wanted")

// Answer is a whole answer.
type Answer struct {
	Attempt        ident.Attempt
	Node           ident.Node
	Tokens         []uint32
	Body           []byte
	Spans          []plat.Span
	VersionsProven bool
}

// Sink receives the parts of an answer in order.
type Sink func(tokens []uint32) error

// Dispatcher is the dispatcher of one entry.
type Dispatcher struct {
	p Params

	mu      sync.Mutex
	match   *match.Matcher
	waiters map[uint64]chan grant
	nextID  uint64
}

// grant is what the matcher decided on an item.
type grant struct {
	match.Grant
	server match.Server
	err    error
}

// maxGrants is the most that one item gets: its first grant and one hedge.
const maxGrants = 2

const (
	tick       = 50 * clock.Milli
	fetchWait  = 2 * clock.Second
	fetchSlack = 3 * clock.Second // beyond fetchWait, before an agent counts as lost
	submitFor  = 3 * clock.Second
	maxFails   = 6  // attempts that may have run
	maxTries   = 64 // all attempts, refused ones too
)

// New returns a dispatcher without servers.
func New(p Params) *Dispatcher {
	return &Dispatcher{p: p, match: match.New(p.Policy), waiters: make(map[uint64]chan grant)}
}

// Run makes decisions that depend on time alone until the context ends.
func (c *Dispatcher) Run(ctx context.Context) {
	clock.Every(ctx, tick, func() { c.decide(func(*match.Matcher, clock.Millis) {}) })
}

// Report takes in an agent's report.
func (c *Dispatcher) Report(s match.Server) {
	c.decide(func(m *match.Matcher, now clock.Millis) { m.Report(now, s) })
}

// WithMatcher calls fn with the matcher under its lock; fn must not block.
func (c *Dispatcher) WithMatcher(fn func(*match.Matcher)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(c.match)
}

// decide feeds an event to the matcher and hands out what it decides.
func (c *Dispatcher) decide(event func(*match.Matcher, clock.Millis)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.p.Clock.Now()
	event(c.match, now)
	grants, refused := c.match.Dispatch(now)
	for _, g := range grants {
		s, _ := c.match.Server(g.Node)
		c.answer(g.Item, grant{Grant: g, server: s})
		c.recordGrant(now, g)
	}
	for _, r := range refused {
		c.answer(r.Item, grant{err: r.Err})
	}
}

func (c *Dispatcher) answer(id uint64, g grant) {
	if ch, ok := c.waiters[id]; ok {
		ch <- g
	}
}

// enqueue puts an item into its queue. Its grants come on the channel until
// the item is left.
func (c *Dispatcher) enqueue(it match.Item) (uint64, <-chan grant, error) {
	ch := make(chan grant, maxGrants)
	var err error
	c.decide(func(m *match.Matcher, now clock.Millis) {
		c.nextID++
		it.ID = c.nextID
		if err = m.Enqueue(now, it); err == nil {
			c.waiters[it.ID] = ch
		}
	})
	return it.ID, ch, err
}

// leave takes an item back, wherever it is.
func (c *Dispatcher) leave(id uint64) {
	c.decide(func(m *match.Matcher, now clock.Millis) {
		delete(c.waiters, id)
		m.Cancel(now, id)
	})
}

// finish tells the matcher how an attempt ended.
func (c *Dispatcher) finish(id uint64, n ident.Node, r match.Result) {
	c.decide(func(m *match.Matcher, now clock.Millis) { m.Finish(now, id, n, r) })
}

// progress tells the matcher that an attempt has shown tokens.
func (c *Dispatcher) progress(id uint64, n ident.Node, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.match.Progress(c.p.Clock.Now(), id, n, tokens)
}

func (c *Dispatcher) hello() wire.Hello { return wire.NewHello(c.p.Node, c.p.Boot) }
