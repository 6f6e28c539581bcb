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

// attemptGroup runs the attempts of one item: the first attempt and possibly a
// hedge. The first complete answer is used and the other attempt is canceled.
//
// An attempt resumes after the tokens that were already delivered. While two
// attempts run, no tokens are delivered, because the attempts may generate
// different ones. The delivered tokens are thus a prefix of those of each
// running attempt.
type attemptGroup struct {
	request *requestState
	itemID  uint64          // 0 for an attempt that was joined
	ctx     context.Context // of the request
	grants  <-chan grant
	events  chan event
	running []*attempt
}

// attempt is one execution of the request on one server. Only the goroutine of
// the attempt group reads and writes it.
type attempt struct {
	id           ident.Attempt
	grant        grant
	tokens       []uint32 // all tokens of the answer so far
	spans        []wire.Span
	hasNewTokens bool // it generated at least one token
	handedBack   bool // by its agent, which is leaving
	cancel       context.CancelFunc
}

// event is sent by an attempt's goroutine to the attempt group. The first
// event has neither a reply nor an error and means that the agent accepted the
// attempt.
type event struct {
	attempt *attempt
	reply   wire.FetchReply
	err     error
}

// run returns the first complete answer, or the error of the last attempt.
func (ag *attemptGroup) run() (Answer, error) {
	defer func() {
		for _, a := range ag.running {
			ag.abandon(a)
		}
	}()
	for {
		select {
		case g := <-ag.grants:
			if g.err != nil {
				ag.request.queueRefused = true
				return Answer{}, g.err
			}
			ag.start(g)
		case e := <-ag.events:
			ans, done, err := ag.handleEvent(e)
			if done {
				return ans, err
			}
		case <-ag.ctx.Done():
			return Answer{}, ag.interruptionError()
		}
	}
}

// interruptionError returns the error for a canceled context. It proves that
// nothing was executed only if no attempt is running.
func (ag *attemptGroup) interruptionError() error {
	err := ag.ctx.Err()
	switch {
	case len(ag.running) == 0:
		return fault.Wrap(fault.PastDeadline, err, "the caller or the deadline ended the wait")
	case errors.Is(err, context.DeadlineExceeded):
		return fault.Wrap(fault.OutcomeUnknown, err, "the deadline passed while the work ran")
	}
	return fault.Wrap(fault.Canceled, err, "the caller went away")
}

// add adds an attempt to the group.
func (ag *attemptGroup) add(id ident.Attempt, g grant) (context.Context, *attempt) {
	ctx, cancel := context.WithCancel(ag.ctx)
	a := &attempt{
		id:     id,
		grant:  g,
		tokens: slices.Clone(ag.request.delivered),
		spans:  slices.Clone(ag.request.spans),
		cancel: cancel,
	}
	ag.running = append(ag.running, a)
	return ctx, a
}

func (ag *attemptGroup) start(g grant) {
	ctx, a := ag.add(ident.NewAttempt(), g)
	go ag.runAttempt(ctx, a, len(a.tokens), ag.request.newJob(a, wire.Claim{}))
}

// join adds an attempt that an entry started earlier, and reads it.
func (ag *attemptGroup) join(run RunningAttempt) {
	ctx, a := ag.add(run.Attempt, grant{server: run.Server})
	go ag.readAttempt(ctx, a, len(a.tokens))
}

// runAttempt obtains a claim if one is needed, submits the attempt and reads
// it.
func (ag *attemptGroup) runAttempt(ctx context.Context, a *attempt, from int, j wire.Job) {
	d, s := ag.request.dispatcher, a.grant.server
	if ag.request.work.Claim != nil {
		claim, err := ag.request.work.Claim(ctx, s)
		if err != nil {
			ag.sendEvent(ctx, event{attempt: a, err: err})
			return
		}
		j.Claim = claim
	}
	if err := d.submitAttempt(ctx, s, j); err != nil {
		ag.sendEvent(ctx, event{attempt: a, err: err})
		return
	}
	ag.readAttempt(ctx, a, from)
}

// readAttempt reads an attempt until it ends.
func (ag *attemptGroup) readAttempt(ctx context.Context, a *attempt, from int) {
	if !ag.sendEvent(ctx, event{attempt: a}) {
		return
	}
	d, s := ag.request.dispatcher, a.grant.server
	for {
		reply, err := d.fetchTokens(ctx, s, a.id, from)
		from += len(reply.Tokens)
		if !ag.sendEvent(ctx, event{attempt: a, reply: reply, err: err}) ||
			err != nil || reply.Done || reply.Moves {
			return
		}
	}
}

// sendEvent sends an event to the group. It returns false if the attempt was
// canceled.
func (ag *attemptGroup) sendEvent(ctx context.Context, e event) bool {
	select {
	case ag.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleEvent handles an event of an attempt. It reports done if the group has
// its answer or no attempt left.
func (ag *attemptGroup) handleEvent(e event) (ans Answer, done bool, err error) {
	a := e.attempt
	if !slices.Contains(ag.running, a) {
		return Answer{}, false, nil // late event of a removed attempt
	}
	a.tokens = append(a.tokens, e.reply.Tokens...)
	if len(e.reply.Spans) > 0 {
		a.spans = e.reply.Spans
	}
	if n := len(e.reply.Tokens); n > 0 {
		a.hasNewTokens = true
		ag.request.dispatcher.recordProgress(ag.itemID, a.grant.server.Node, n)
	}
	err = eventError(e)
	complete := err == nil && e.reply.Done
	if err == nil && (complete || len(ag.running) == 1) {
		if err := ag.request.deliver(a); err != nil {
			return Answer{}, true, err
		}
		ag.request.reportProgress(a)
	}
	switch {
	case complete:
		ag.remove(a)
		ag.request.dispatcher.finishAttempt(ag.itemID, a.grant.server.Node, match.Result{Outcome: match.Served})
		return ag.request.newAnswer(a, e.reply), true, nil
	case err != nil:
		return Answer{}, ag.handleFailure(a, err), err
	}
	return Answer{}, false, nil
}

// eventError returns the error of an event. If the agent hands the attempt back, it
// also records that in the attempt.
func eventError(e event) error {
	switch {
	case e.err != nil:
		return e.err
	case e.reply.Moves && !e.reply.Done:
		e.attempt.handedBack = true
		return fault.New(fault.Leaving, "the agent is leaving and gave the work back")
	}
	return e.reply.Fault.Err()
}

// handleFailure removes a failed attempt and reports whether none is left.
func (ag *attemptGroup) handleFailure(a *attempt, err error) bool {
	if len(ag.running) == 1 && len(a.tokens) > len(ag.request.delivered) {
		_ = ag.request.deliver(a) // It fails only if the caller left, which also cancels the context.
	}
	ag.request.recordFailure(a, err)
	if !ag.request.requeued || a.handedBack { // A refused attempt needs no cancel.
		ag.abandon(a)
	}
	ag.remove(a)
	ag.request.dispatcher.finishAttempt(ag.itemID, a.grant.server.Node, matchResult(err))
	return len(ag.running) == 0
}

func (ag *attemptGroup) remove(a *attempt) {
	a.cancel()
	ag.running = slices.DeleteFunc(ag.running, func(o *attempt) bool { return o == a })
}

// abandon stops reading an attempt and cancels it at its agent, unless it may
// keep running there.
func (ag *attemptGroup) abandon(a *attempt) {
	a.cancel()
	if !ag.keepsRunning() {
		ag.request.dispatcher.cancelAttempt(a.grant.server, a.id)
	}
}

// keepsRunning reports whether an abandoned attempt keeps running at its agent.
// This applies to work that may run only once, so that its outcome can be read
// later, and to a sample that was not canceled.
func (ag *attemptGroup) keepsRunning() bool {
	if ag.request.isAtMostOnce() {
		return true
	}
	return ag.request.work.Sample.Round != "" && ag.ctx.Err() != nil &&
		!errors.Is(context.Cause(ag.ctx), ErrSampleCanceled)
}
