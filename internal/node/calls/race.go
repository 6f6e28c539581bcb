package calls

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// race runs the attempts of one item: the first and perhaps a hedge. The first
// whole answer wins and the other attempt is cancelled.
//
// An attempt begins with the tokens that were delivered before it. While two
// run, nothing is delivered, since they may go on differently; so what any of
// them holds always begins with what was delivered.
type race struct {
	t      *try
	id     uint64          // of the item; 0 for an attempt that was joined
	ctx    context.Context // of the request
	grants <-chan grant
	events chan event
	live   []*attempt
}

// attempt is one try at one server. Only the race's goroutine reads and
// writes it.
type attempt struct {
	id     ident.Attempt
	grant  grant
	tokens []uint32 // from the first one on
	spans  []wire.Span
	begun  bool // it made tokens
	moved  bool // the agent is leaving and gave it back
	cancel context.CancelFunc
}

// event is what an attempt's goroutine tells the race. The first one, without
// a reply or an error, tells that the agent has admitted the attempt.
type event struct {
	a     *attempt
	reply wire.FetchReply
	err   error
}

// run returns the first whole answer, or the error of the last attempt.
func (r *race) run() (Answer, error) {
	defer func() {
		for _, a := range r.live {
			r.end(a)
		}
	}()
	for {
		select {
		case g := <-r.grants:
			if g.err != nil {
				r.t.refused = true
				return Answer{}, g.err
			}
			r.start(g)
		case e := <-r.events:
			ans, over, err := r.take(e)
			if over {
				return ans, err
			}
		case <-r.ctx.Done():
			return Answer{}, r.interrupted()
		}
	}
}

// interrupted names why the wait ended: only before the first attempt is it
// proven that nothing ran.
func (r *race) interrupted() error {
	err := r.ctx.Err()
	switch {
	case len(r.live) == 0:
		return fault.Wrap(fault.PastDeadline, err, "the caller or the deadline ended the wait")
	case errors.Is(err, context.DeadlineExceeded):
		return fault.Wrap(fault.OutcomeUnknown, err, "the deadline passed while the work ran")
	}
	return fault.Wrap(fault.Canceled, err, "the caller went away")
}

// add makes an attempt one of the race.
func (r *race) add(id ident.Attempt, g grant) (context.Context, *attempt) {
	ctx, cancel := context.WithCancel(r.ctx)
	a := &attempt{
		id:     id,
		grant:  g,
		tokens: slices.Clone(r.t.tokens),
		spans:  slices.Clone(r.t.spans),
		cancel: cancel,
	}
	r.live = append(r.live, a)
	return ctx, a
}

func (r *race) start(g grant) {
	ctx, a := r.add(ident.NewAttempt(), g)
	go r.drive(ctx, a, len(a.tokens), r.t.job(a, wire.Claim{}))
}

// join reads an attempt that some entry started before.
func (r *race) join(run RunningAttempt) {
	ctx, a := r.add(run.Attempt, grant{server: run.Server})
	go r.follow(ctx, a, len(a.tokens))
}

// drive claims, submits and reads one attempt.
func (r *race) drive(ctx context.Context, a *attempt, from int, j wire.Job) {
	c, s := r.t.c, a.grant.server
	if r.t.w.Claim != nil {
		claim, err := r.t.w.Claim(ctx, s)
		if err != nil {
			r.tell(ctx, event{a: a, err: err})
			return
		}
		j.Claim = claim
	}
	if err := c.submit(ctx, s, j); err != nil {
		r.tell(ctx, event{a: a, err: err})
		return
	}
	r.follow(ctx, a, from)
}

// follow reads an attempt to its end.
func (r *race) follow(ctx context.Context, a *attempt, from int) {
	if !r.tell(ctx, event{a: a}) {
		return
	}
	c, s := r.t.c, a.grant.server
	for {
		reply, err := c.fetch(ctx, s, a.id, from)
		from += len(reply.Tokens)
		if !r.tell(ctx, event{a: a, reply: reply, err: err}) || err != nil || reply.Done || reply.Moves {
			return
		}
	}
}

// tell passes an event on, unless the attempt was given up.
func (r *race) tell(ctx context.Context, e event) bool {
	select {
	case r.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// take handles an event. It returns over if the race has ended.
func (r *race) take(e event) (ans Answer, over bool, err error) {
	a := e.a
	if !slices.Contains(r.live, a) {
		return Answer{}, false, nil // a late answer of an attempt that was given up
	}
	a.tokens = append(a.tokens, e.reply.Tokens...)
	if len(e.reply.Spans) > 0 {
		a.spans = e.reply.Spans
	}
	if n := len(e.reply.Tokens); n > 0 {
		a.begun = true
		r.t.c.progress(r.id, a.grant.server.Node, n)
	}
	err = errorOf(e)
	whole := err == nil && e.reply.Done
	if err == nil && (whole || len(r.live) == 1) {
		if err := r.t.deliver(a); err != nil {
			return Answer{}, true, err
		}
		r.t.watch(a)
	}
	switch {
	case whole:
		r.drop(a)
		r.t.c.finish(r.id, a.grant.server.Node, match.Result{Outcome: match.Served})
		return r.t.answer(a, e.reply), true, nil
	case err != nil:
		return Answer{}, r.lose(a, err), err
	}
	return Answer{}, false, nil
}

func errorOf(e event) error {
	switch {
	case e.err != nil:
		return e.err
	case e.reply.Moves && !e.reply.Done:
		e.a.moved = true
		return fault.New(fault.Leaving, "the agent is leaving and gave the work back")
	}
	return e.reply.Fault.Err()
}

// lose ends a failed attempt; true if none is left.
func (r *race) lose(a *attempt, err error) bool {
	if len(r.live) == 1 && len(a.tokens) > len(r.t.tokens) {
		_ = r.t.deliver(a) // If the caller is gone, its context tells.
	}
	r.t.failed(a, err)
	if !r.t.moved || a.moved { // What was refused needs no cancel.
		r.end(a)
	}
	r.drop(a)
	r.t.c.finish(r.id, a.grant.server.Node, resultOf(err))
	return len(r.live) == 0
}

func (r *race) drop(a *attempt) {
	a.cancel()
	r.live = slices.DeleteFunc(r.live, func(o *attempt) bool { return o == a })
}

// end gives an attempt up, and tells its agent unless it may go on there.
func (r *race) end(a *attempt) {
	a.cancel()
	if !r.goesOn() {
		r.t.c.cancel(a.grant.server, a.id)
	}
}

// goesOn reports whether an attempt that nobody reads is left to end by itself:
// work that may run only once, so that its outcome can be learned, and a sample
// whose reader alone went away.
func (r *race) goesOn() bool {
	if r.t.isOnce() {
		return true
	}
	return r.t.w.Sample.Round != "" && r.ctx.Err() != nil && !errors.Is(context.Cause(r.ctx), ErrSampleCanceled)
}
