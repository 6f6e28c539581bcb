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
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/proof/trace"
)

// Params are what the dispatcher needs to run.
type Params struct {
	Node   ident.Node
	Boot   ident.Incarnation
	Policy match.Policy
	Pool   *wire.Pool
	Clock  clock.Clock
	Log    zerolog.Logger
	Trace  *trace.Recorder // nil for none
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
	Priority  int

	// Claim returns the claim under which a server may run work that is not
	// idempotent. It is called before each attempt; a second call means that
	// the claim before is proven as not run. Nil for idempotent work.
	Claim func(ctx context.Context, s match.Server) (wire.Claim, error)

	Resume []uint32      // tokens that earlier work made
	Spans  []plat.Span   // versions of the tokens in Resume
	Since  clock.Millis  // when it began to wait; 0 for now
	Join   Running       // an attempt that runs already, to read before any other
	Watch  func(Running) // called when an attempt starts and when it goes on
}

// Running is an attempt at a server.
type Running struct {
	Server  match.Server
	Attempt ident.Attempt
	Tokens  int         // read so far
	Spans   []plat.Span // of a sample's tokens
}

// ErrUnwanted is the cause of a context's end that also ends the attempt of a
// sample at its agent. Without it the attempt goes on there, for an entry that
// takes the round over.
var ErrUnwanted = errors.New("sample is no longer wanted")

// Answer is a whole answer.
type Answer struct {
	Attempt ident.Attempt
	Node    ident.Node
	Tokens  []uint32
	Body    []byte
	Spans   []plat.Span
	Proven  bool
}

// Sink receives the parts of an answer in order.
type Sink func(tokens []uint32) error

// Calls is the dispatcher of one entry.
type Calls struct {
	p Params

	mu      sync.Mutex
	match   *match.Matcher
	waiters map[uint64]chan grant
	nextID  uint64
}

type grant struct {
	server match.Server
	err    error
}

const (
	tick       = 50 * time.Millisecond
	fetchWait  = 2 * clock.Second
	fetchSlack = 3 * clock.Second // beyond fetchWait, before an agent counts as lost
	submitFor  = 3 * clock.Second
	maxTries   = 6
)

// New returns a dispatcher without servers.
func New(p Params) *Calls {
	return &Calls{p: p, match: match.New(p.Policy), waiters: make(map[uint64]chan grant)}
}

// Run makes decisions that depend on time alone until the context ends.
func (c *Calls) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.decide(func(*match.Matcher, clock.Millis) {})
		}
	}
}

// Report takes in an agent's report.
func (c *Calls) Report(s match.Server) {
	c.decide(func(m *match.Matcher, now clock.Millis) { m.Report(now, s) })
}

// Servers calls fn with the matcher under its lock; fn must not block.
func (c *Calls) Servers(fn func(*match.Matcher)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(c.match)
}

// decide feeds an event to the matcher and hands out what it decides.
func (c *Calls) decide(event func(*match.Matcher, clock.Millis)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.p.Clock.Now()
	event(c.match, now)
	grants, refused := c.match.Next(now)
	for _, g := range grants {
		s, _ := c.match.Server(g.Node)
		c.answer(g.Item, grant{server: s})
		c.recordGrant(now, g)
	}
	for _, r := range refused {
		c.answer(r.Item, grant{err: r.Err})
	}
}

func (c *Calls) answer(id uint64, g grant) {
	if ch, ok := c.waiters[id]; ok {
		ch <- g
		delete(c.waiters, id)
	}
}

// place waits for a server for the item.
func (c *Calls) place(ctx context.Context, it match.Item) (match.Server, uint64, error) {
	ch := make(chan grant, 1)
	var id uint64
	var err error
	c.decide(func(m *match.Matcher, now clock.Millis) {
		c.nextID++
		id = c.nextID
		it.ID = id
		if err = m.Arrive(now, it); err == nil {
			c.waiters[id] = ch
		}
	})
	if err != nil {
		return match.Server{}, 0, err
	}
	select {
	case g := <-ch:
		return g.server, id, g.err
	case <-ctx.Done():
		c.abandon(id)
		return match.Server{}, 0, fault.Wrap(fault.PastDeadline, ctx.Err(), "the caller or the deadline ended the wait")
	}
}

// abandon takes back an item, whether it waits or was just granted.
func (c *Calls) abandon(id uint64) {
	c.decide(func(m *match.Matcher, _ clock.Millis) {
		delete(c.waiters, id)
		m.Remove(id)
		m.Finish(id)
	})
}

func (c *Calls) finish(id uint64) {
	c.decide(func(m *match.Matcher, _ clock.Millis) { m.Finish(id) })
}

// run is Do without its record in the trace.
func (c *Calls) run(ctx context.Context, w Work, sink Sink) (Answer, error) {
	if w.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (w.Deadline - c.p.Clock.Now()).Duration())
		defer cancel()
	}
	t := &try{c: c, w: w, sink: sink, avoid: sets.Of[ident.Node](), spans: wire.FromSpans(w.Spans)}
	t.tokens = append(t.tokens, w.Resume...)
	if w.Join.Attempt != "" {
		if ans, err := t.follow(ctx, w.Join.Server, w.Join.Attempt); err == nil {
			return ans, nil
		}
	}
	var err error
	for range maxTries {
		var ans Answer
		if ans, err = t.once(ctx); err == nil {
			return ans, nil
		}
		if !t.mayRetry(ctx, err) {
			break
		}
	}
	return t.part(), err
}

// try is the state of one request over its attempts.
type try struct {
	c      *Calls
	w      Work
	sink   Sink
	tokens []uint32    // delivered so far
	spans  []wire.Span // versions of a sample's tokens
	avoid  sets.Set[ident.Node]
	claim  wire.Claim
}

func (t *try) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	f, ok := fault.As(err)
	if !ok {
		return false
	}
	switch f.Kind() {
	case fault.PastDeadline, fault.Quarantined, fault.BadRequest, fault.TooLarge:
		return false
	}
	return f.Outcome() == fault.NotRun || t.w.Class.Kind().IsIdempotent()
}

func (t *try) once(ctx context.Context) (Answer, error) {
	since := t.w.Since
	if since == 0 {
		since = t.c.p.Clock.Now()
	}
	s, id, err := t.c.place(ctx, match.Item{
		Class:    t.w.Class.Name(),
		Service:  t.w.Class.Service(),
		StartBy:  since + t.w.Class.Waiting(),
		Deadline: t.w.Deadline,
		Floor:    ident.Version(t.w.Sample.Floor),
		Avoid:    t.avoid,
	})
	if err != nil {
		return Answer{}, err
	}
	defer t.c.finish(id)
	ans, err := t.at(ctx, s)
	if err != nil {
		t.avoid = sets.Of(s.Node) // Only the last one, so that a small fleet is not used up.
	}
	return ans, err
}

// at runs one attempt at a server.
func (t *try) at(ctx context.Context, s match.Server) (Answer, error) {
	att := ident.NewAttempt()
	if t.w.Claim != nil {
		var err error
		if t.claim, err = t.w.Claim(ctx, s); err != nil {
			return Answer{}, err
		}
	}
	if err := t.submit(ctx, s, att); err != nil {
		return Answer{}, err
	}
	return t.follow(ctx, s, att)
}

// follow reads an attempt to its end. An attempt that failed is ended; one of
// a sample whose reader alone went away is not.
func (t *try) follow(ctx context.Context, s match.Server, att ident.Attempt) (Answer, error) {
	t.watch(s, att)
	ans, err := t.read(ctx, s, att)
	if err == nil {
		return ans, nil
	}
	if t.w.Sample.Round == "" || ctx.Err() == nil || errors.Is(context.Cause(ctx), ErrUnwanted) {
		t.c.cancel(s, att)
	}
	return ans, err
}

func (t *try) watch(s match.Server, att ident.Attempt) {
	if t.w.Watch != nil {
		t.w.Watch(Running{Server: s, Attempt: att, Tokens: len(t.tokens), Spans: wire.ToSpans(t.spans)})
	}
}

func (t *try) submit(ctx context.Context, s match.Server, att ident.Attempt) error {
	ctx, cancel := context.WithTimeout(ctx, submitFor.Duration())
	defer cancel()
	args := wire.SubmitArgs{Hello: t.c.hello(), Job: t.job(att)}
	var reply wire.SubmitReply
	if err := t.c.p.Pool.Call(ctx, s.Addr, "Agent.Submit", &args, &reply); err != nil {
		return err
	}
	return reply.Fault.Err()
}

func (t *try) job(att ident.Attempt) wire.Job {
	w := t.w
	j := wire.Job{
		Attempt:   string(att),
		Request:   string(w.Request),
		Class:     string(w.Class.Name()),
		Service:   string(w.Class.Service()),
		Call:      !w.Class.Kind().IsModel(),
		Once:      !w.Class.Kind().IsIdempotent(),
		Claim:     t.claim,
		Sample:    w.Sample,
		Body:      w.Body,
		Prefix:    w.Prefix,
		Seed:      w.Seed,
		MaxTokens: w.MaxTokens,
		Resume:    t.tokens,
		Spans:     t.spans,
		Priority:  w.Priority,
	}
	if w.Deadline > 0 {
		j.Left = int64(max(1, w.Deadline-t.c.p.Clock.Now()))
	}
	return j
}

// read fetches the answer of an attempt to its end.
func (t *try) read(ctx context.Context, s match.Server, att ident.Attempt) (Answer, error) {
	for {
		r, err := t.c.fetch(ctx, s, att, len(t.tokens))
		if err != nil {
			return Answer{}, err
		}
		if len(r.Tokens) > 0 && t.sink != nil {
			if err := t.sink(r.Tokens); err != nil {
				return Answer{}, fault.Wrap(fault.Canceled, err, "the caller went away")
			}
		}
		t.tokens = append(t.tokens, r.Tokens...)
		if len(r.Spans) > 0 {
			t.spans = r.Spans
			t.watch(s, att)
		}
		if err := r.Fault.Err(); err != nil {
			return Answer{}, err
		}
		if r.Done {
			return t.answer(s, att, r), nil
		}
	}
}

func (t *try) answer(s match.Server, att ident.Attempt, r wire.FetchReply) Answer {
	a := t.part()
	a.Attempt, a.Node, a.Body, a.Proven = att, s.Node, r.Body, r.Proven
	return a
}

// part returns what was read so far, from which other work can go on.
func (t *try) part() Answer { return Answer{Tokens: t.tokens, Spans: wire.ToSpans(t.spans)} }

func (c *Calls) fetch(ctx context.Context, s match.Server, att ident.Attempt, from int) (wire.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, (fetchWait + fetchSlack).Duration())
	defer cancel()
	args := wire.FetchArgs{Hello: c.hello(), Attempt: string(att), From: from, Wait: int64(fetchWait)}
	var reply wire.FetchReply
	if err := c.p.Pool.Call(ctx, s.Addr, "Agent.Fetch", &args, &reply); err != nil {
		// The attempt was started, so no failure to read it proves anything.
		return reply, fault.Wrap(fault.Lost, err, "no answer to attempt "+string(att))
	}
	return reply, nil
}

// cancel ends an attempt that is no longer wanted; nobody waits for it.
func (c *Calls) cancel(s match.Server, att ident.Attempt) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), submitFor.Duration())
		defer stop()
		var ack wire.Ack
		args := wire.CancelArgs{Hello: c.hello(), Attempt: string(att)}
		if err := c.p.Pool.Call(ctx, s.Addr, "Agent.Cancel", &args, &ack); err != nil {
			c.p.Log.Debug().Err(err).Str("node", string(s.Node)).Msg("Cancel failed.")
		}
	}()
}

func (c *Calls) hello() wire.Hello { return wire.NewHello(c.p.Node, c.p.Boot) }
