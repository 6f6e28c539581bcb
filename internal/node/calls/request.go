package calls

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// runRequest is Do without recording the request in the trace.
func (d *Dispatcher) runRequest(ctx context.Context, w Work, sink Sink) (Answer, error) {
	if w.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (w.Deadline - d.params.Clock.Now()).Duration())
		defer cancel()
	}
	s := &requestState{
		dispatcher: d,
		work:       w,
		sink:       sink,
		enqueuedAt: w.EnqueuedAt,
		spans:      wire.FromSpans(w.Spans),
	}
	if s.enqueuedAt == 0 {
		s.enqueuedAt = d.params.Clock.Now()
	}
	s.delivered = append(s.delivered, w.Resume...)
	if w.Attach.Attempt != "" {
		if ans, err := s.joinAttempt(ctx); err == nil {
			return ans, nil
		}
	}
	for {
		ans, err := s.runItem(ctx)
		if err == nil {
			if s.work.Suspect && s.dispatcher.params.OnServed != nil {
				s.dispatcher.params.OnServed(s.work)
			}
			return ans, nil
		}
		if !s.mayRetry(ctx, err) {
			return s.partialAnswer(), s.finalError(err)
		}
		if s.startedErr == nil || !fault.Is(err, fault.Overloaded) { // Started work waits until a server has room.
			s.attempts++
		}
	}
}

// requestState is the state of one request across its attempts.
type requestState struct {
	dispatcher     *Dispatcher
	work           Work
	sink           Sink
	enqueuedAt     clock.Millis
	attempts       int         // failed calls of runItem, without refusals of started work for want of room
	failures       int         // attempts that failed and may have been executed
	queueRefused   bool        // the entry refused the request before an attempt
	delivered      []uint32    // tokens passed to the sink
	spans          []wire.Span // weight versions of a sample's tokens
	lastFailedNode ident.Node  // only the last one is avoided, so that a small fleet has servers left
	requeued       bool        // the last attempt was not executed or was handed back
	crashes        int         // attempts that ended in a server crash
	startedErr     error       // error of an attempt that may have been executed
}

func (s *requestState) isAtMostOnce() bool { return !s.work.Class.Kind().IsIdempotent() }

func (s *requestState) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || s.queueRefused || s.failures >= maxFailures || s.attempts >= maxAttempts {
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
	return f.Outcome() == fault.NotRun || !s.isAtMostOnce()
}

// finalError returns the error of the request. If the last attempt was not
// executed but an earlier one may have been, it is the error of the earlier
// one.
func (s *requestState) finalError(err error) error {
	if f, ok := fault.As(err); ok && f.Outcome() == fault.NotRun && s.startedErr != nil {
		return s.startedErr
	}
	return err
}

func (s *requestState) newItem() match.Item {
	c := s.work.Class
	it := match.Item{
		Class:        c.Name(),
		Service:      c.Service(),
		StartBy:      s.enqueuedAt + c.Waiting(),
		Deadline:     s.work.Deadline,
		MinVersion:   ident.Version(s.work.Sample.Floor),
		Prefix:       s.work.Prefix,
		Bytes:        len(s.work.Body),
		MaxTokens:    s.work.MaxTokens,
		Round:        c.Kind() == class.Round,
		AtMostOnce:   s.isAtMostOnce(),
		CrashSuspect: s.work.Suspect,
		Retry:        s.attempts > 0,
		Requeued:     s.requeued,
	}
	if s.lastFailedNode != "" {
		it.Avoid = sets.Of(s.lastFailedNode)
	}
	if s.startedErr == nil { // Started work is worth completing even after its latency objective.
		it.FinishBy = s.enqueuedAt + c.Lateness()
	}
	return it
}

// runItem puts the request into its queue and runs it on the granted server,
// and on a second one if the matcher hedges it.
func (s *requestState) runItem(ctx context.Context) (Answer, error) {
	if err := s.admit(ctx); err != nil {
		return Answer{}, err
	}
	id, grants, err := s.dispatcher.enqueue(s.newItem())
	if err != nil {
		s.queueRefused = true
		return Answer{}, err
	}
	defer s.dispatcher.cancelItem(id)
	group := &attemptGroup{request: s, itemID: id, ctx: ctx, grants: grants, events: make(chan event)}
	return group.run()
}

// admit runs the admission check and records whether the work is a crash
// suspect.
func (s *requestState) admit(ctx context.Context) error {
	if s.dispatcher.params.Admit == nil {
		return nil
	}
	var err error
	s.work.Suspect, err = s.dispatcher.params.Admit(ctx, s.work, s.crashes)
	return err
}

// joinAttempt reads the running attempt of Work.Attach.
func (s *requestState) joinAttempt(ctx context.Context) (Answer, error) {
	group := &attemptGroup{request: s, ctx: ctx, events: make(chan event)}
	group.join(s.work.Attach)
	return group.run()
}

// reportProgress passes the progress of an attempt to Work.OnProgress.
func (s *requestState) reportProgress(a *attempt) {
	if s.work.OnProgress != nil {
		s.work.OnProgress(RunningAttempt{
			Server:  a.grant.server,
			Attempt: a.id,
			Tokens:  len(s.delivered),
			Spans:   spansOf(a),
		})
	}
}

func (s *requestState) newJob(a *attempt, claim wire.Claim) wire.Job {
	w := s.work
	j := wire.Job{
		Attempt:   string(a.id),
		Request:   string(w.Request),
		Class:     string(w.Class.Name()),
		Service:   string(w.Class.Service()),
		Call:      !w.Class.Kind().IsModel(),
		Once:      s.isAtMostOnce(),
		Claim:     claim,
		Sample:    w.Sample,
		Body:      w.Body,
		Prefix:    w.Prefix,
		Seed:      w.Seed,
		MaxTokens: w.MaxTokens,
		Resume:    a.tokens,
		Spans:     a.spans,
		Priority:  a.grant.Priority + w.Priority,
		Short:     a.grant.Short,
		Suspect:   w.Suspect,
	}
	if w.Deadline > 0 {
		j.Left = int64(max(1, w.Deadline-s.dispatcher.params.Clock.Now()))
	}
	return j
}

// partialAnswer returns the delivered tokens, from which a later request can
// resume.
func (s *requestState) partialAnswer() Answer {
	return Answer{Tokens: s.delivered, Spans: wire.ToSpans(s.spans)}
}

// deliver passes the tokens of an attempt to the sink that it has not received
// yet.
func (s *requestState) deliver(a *attempt) error {
	more := a.tokens[len(s.delivered):]
	s.spans = a.spans
	if len(more) == 0 {
		return nil
	}
	s.delivered = append(s.delivered, more...)
	if s.sink == nil {
		return nil
	}
	if err := s.sink(more); err != nil {
		return fault.Wrap(fault.Canceled, err, "the caller went away")
	}
	return nil
}

func (s *requestState) newAnswer(a *attempt, r wire.FetchReply) Answer {
	return Answer{
		Attempt:        a.id,
		Node:           a.grant.server.Node,
		Tokens:         s.delivered,
		Body:           r.Body,
		Spans:          spansOf(a),
		VersionsProven: r.Proven,
	}
}

func spansOf(a *attempt) []plat.Span { return wire.ToSpans(a.spans) }

// recordFailure records the error of an attempt.
func (s *requestState) recordFailure(a *attempt, err error) {
	s.lastFailedNode = a.grant.server.Node
	f, ok := fault.As(err)
	if ok && f.Kind() == fault.BackendCrashed {
		s.crashes++
	}
	s.requeued = a.handedBack || (ok && f.Outcome() == fault.NotRun)
	if !s.requeued {
		s.failures++
	}
	if !s.requeued || a.hasNewTokens || a.handedBack {
		s.startedErr = fault.Wrap(fault.BrokenAnswer, err, "the answer broke off and could not be made whole")
		if ok && f.Outcome() != fault.NotRun {
			s.startedErr = err
		}
	}
}

// matchResult converts the error of an attempt to its result for the matcher.
func matchResult(err error) match.Result {
	f, ok := fault.As(err)
	if !ok {
		return match.Result{Outcome: match.Failed}
	}
	switch f.Kind() {
	case fault.Overloaded, fault.Leaving, fault.TooStale, fault.NotReady:
		return match.Result{Outcome: match.Refused, RetryAfter: f.RetryAfter()}
	case fault.NoBackend, fault.BadPeer, fault.BackendCrashed, fault.OutcomeUnknown,
		fault.BrokenAnswer, fault.Internal:
		return match.Result{Outcome: match.Failed}
	}
	return match.Result{Outcome: match.Canceled}
}
