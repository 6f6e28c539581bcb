// Package calls dispatches requests of callers and samples of rounds. It puts
// each request into the matcher's queue, submits it to the agent that the
// matcher assigns, reads the answer, and retries where that is safe.
//
// # Usage
//
//	d := calls.New(calls.Params{Policy: match.DefaultPolicy(), Pool: pool, ...})
//	answer, err := d.Do(ctx, calls.Work{...}, sink)
//
// One mutex guards the matcher. It is held only while the matcher makes a
// decision, never during I/O.
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

// Params are the dependencies of a [Dispatcher].
type Params struct {
	Node   ident.Node
	Boot   ident.Incarnation
	Policy match.Policy
	Pool   RPCClient
	Clock  clock.Clock
	Log    zerolog.Logger
	Trace  *trace.Recorder // nil for none

	// Admit is called before each attempt and reports whether the work is a
	// crash suspect; an error refuses the work. The argument crashes is the
	// number of its attempts that ended in a crash. Nil admits all work.
	Admit func(ctx context.Context, w Work, crashes int) (suspect bool, err error)
	// OnServed is called when work that was a crash suspect got an answer.
	OnServed func(w Work)
}

// RPCClient calls a method of a node and waits for the reply. [wire.Pool]
// implements it.
type RPCClient interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Work is one request to execute.
type Work struct {
	Request   ident.Request
	Class     class.Class
	Body      []byte
	Prefix    string
	Seed      int64
	MaxTokens int
	Deadline  clock.Millis // 0 for none
	Sample    wire.Sample
	Suspect   bool // it was running on a server that crashed
	Priority  int  // at the engine, added to the priority of the work's band

	// Claim returns the claim that permits a server to run work that is not
	// idempotent. It is called before each attempt. A further call means that
	// the attempt under the previous claim is proven as not executed. Nil for
	// idempotent work.
	Claim func(ctx context.Context, s match.Server) (wire.Claim, error)

	Resume     []uint32             // tokens that earlier attempts generated
	Spans      []plat.Span          // versions of the tokens in Resume
	EnqueuedAt clock.Millis         // start of the waiting time; 0 for now
	Attach     RunningAttempt       // a running attempt to read first, if any
	OnProgress func(RunningAttempt) // called when an attempt starts and when tokens were delivered
}

// RunningAttempt is an attempt in progress on a server.
type RunningAttempt struct {
	Server  match.Server
	Attempt ident.Attempt
	Tokens  int         // received so far
	Spans   []plat.Span // of a sample's tokens
}

// ErrSampleCanceled is the cause of a context cancellation that also cancels
// the sample's attempt at its agent. With any other cause the attempt keeps
// running there, so that an entry that takes over the round can read it.
var ErrSampleCanceled = errors.New("sample is no longer needed")

// Answer is the complete answer to a request.
type Answer struct {
	Attempt        ident.Attempt
	Node           ident.Node
	Tokens         []uint32
	Body           []byte
	Spans          []plat.Span
	VersionsProven bool
}

// Sink receives the tokens of an answer in order.
type Sink func(tokens []uint32) error

// Dispatcher executes the work of one entry.
type Dispatcher struct {
	params Params

	mu      sync.Mutex
	matcher *match.Matcher
	waiters map[uint64]chan grant
	nextID  uint64
}

// grant is the matcher's decision on an item: a server or an error.
type grant struct {
	match.Grant
	server match.Server
	err    error
}

// maxGrants is the number of grants that an item can get: the first attempt and
// one hedge.
const maxGrants = 2

const (
	dispatchInterval   = 50 * clock.Milli
	fetchWait          = 2 * clock.Second // how long an agent may wait for new tokens before it replies
	fetchTimeoutMargin = 3 * clock.Second // beyond fetchWait, before an agent counts as unreachable
	submitTimeout      = 3 * clock.Second
	maxFailures        = 6  // failed attempts that may have been executed
	maxAttempts        = 64 // calls of runItem; see requestState.attempts
)

// New returns a dispatcher without servers.
func New(p Params) *Dispatcher {
	return &Dispatcher{params: p, matcher: match.New(p.Policy), waiters: make(map[uint64]chan grant)}
}

// Run lets the matcher act on the passing of time, such as expired waiting
// times and hedges, until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	clock.Every(ctx, dispatchInterval, func() { d.update(func(*match.Matcher, clock.Millis) {}) })
}

// Report passes an agent's report to the matcher.
func (d *Dispatcher) Report(s match.Server) {
	d.update(func(m *match.Matcher, now clock.Millis) { m.Report(now, s) })
}

// WithMatcher calls fn with the matcher while its lock is held; fn must not
// block.
func (d *Dispatcher) WithMatcher(fn func(*match.Matcher)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fn(d.matcher)
}

// update passes an event to the matcher and sends the resulting grants and
// refusals to the waiting requests.
func (d *Dispatcher) update(event func(*match.Matcher, clock.Millis)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.params.Clock.Now()
	event(d.matcher, now)
	grants, refused := d.matcher.Dispatch(now)
	for _, g := range grants {
		s, _ := d.matcher.Server(g.Node)
		d.sendGrant(g.Item, grant{Grant: g, server: s})
		d.recordGrant(now, g)
	}
	for _, r := range refused {
		d.sendGrant(r.Item, grant{err: r.Err})
	}
}

func (d *Dispatcher) sendGrant(id uint64, g grant) {
	if ch, ok := d.waiters[id]; ok {
		ch <- g
	}
}

// enqueue puts an item into its queue. Its grants are sent on the channel until
// the item is canceled.
func (d *Dispatcher) enqueue(it match.Item) (uint64, <-chan grant, error) {
	ch := make(chan grant, maxGrants)
	var err error
	d.update(func(m *match.Matcher, now clock.Millis) {
		d.nextID++
		it.ID = d.nextID
		if err = m.Enqueue(now, it); err == nil {
			d.waiters[it.ID] = ch
		}
	})
	return it.ID, ch, err
}

// cancelItem removes an item from its queue or from its server.
func (d *Dispatcher) cancelItem(id uint64) {
	d.update(func(m *match.Matcher, now clock.Millis) {
		delete(d.waiters, id)
		m.Cancel(now, id)
	})
}

// finishAttempt reports the result of an attempt to the matcher.
func (d *Dispatcher) finishAttempt(id uint64, n ident.Node, r match.Result) {
	d.update(func(m *match.Matcher, now clock.Millis) { m.Finish(now, id, n, r) })
}

// recordProgress reports new tokens of an attempt to the matcher.
func (d *Dispatcher) recordProgress(id uint64, n ident.Node, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.matcher.Progress(d.params.Clock.Now(), id, n, tokens)
}

func (d *Dispatcher) hello() wire.Hello { return wire.NewHello(d.params.Node, d.params.Boot) }
