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

// run is Do without its record in the trace.
func (c *Dispatcher) run(ctx context.Context, w Work, sink Sink) (Answer, error) {
	if w.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (w.Deadline - c.p.Clock.Now()).Duration())
		defer cancel()
	}
	t := &try{c: c, w: w, sink: sink, arrived: w.EnqueuedAt, spans: wire.FromSpans(w.Spans)}
	if t.arrived == 0 {
		t.arrived = c.p.Clock.Now()
	}
	t.tokens = append(t.tokens, w.Resume...)
	if w.Attach.Attempt != "" {
		if ans, err := t.join(ctx); err == nil {
			return ans, nil
		}
	}
	for {
		ans, err := t.once(ctx)
		if err == nil {
			if t.w.Suspect && t.c.p.OnServed != nil {
				t.c.p.OnServed(t.w)
			}
			return ans, nil
		}
		if !t.mayRetry(ctx, err) {
			return t.part(), t.verdict(err)
		}
		t.tries++
	}
}

// try is the state of one request over its attempts.
type try struct {
	c       *Dispatcher
	w       Work
	sink    Sink
	arrived clock.Millis
	tries   int
	fails   int
	refused bool        // by the entry's own queue
	tokens  []uint32    // delivered so far
	spans   []wire.Span // versions of a sample's tokens
	last    ident.Node  // that failed last, so that a small fleet is not used up
	moved   bool        // the last attempt was refused as not run, or moved away
	crashes int         // attempts that ended in a crash
	ran     error       // of an attempt that may have run
}

func (t *try) isOnce() bool { return !t.w.Class.Kind().IsIdempotent() }

func (t *try) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || t.refused || t.fails >= maxFails || t.tries >= maxTries {
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
	return f.Outcome() == fault.NotRun || !t.isOnce()
}

// verdict is the error of the whole request. "Not run" of the last attempt
// says nothing of an earlier one that may have run.
func (t *try) verdict(err error) error {
	if f, ok := fault.As(err); ok && f.Outcome() == fault.NotRun && t.ran != nil {
		return t.ran
	}
	return err
}

func (t *try) item() match.Item {
	c := t.w.Class
	it := match.Item{
		Class:        c.Name(),
		Service:      c.Service(),
		StartBy:      t.arrived + c.Waiting(),
		Deadline:     t.w.Deadline,
		MinVersion:   ident.Version(t.w.Sample.Floor),
		Prefix:       t.w.Prefix,
		Bytes:        len(t.w.Body),
		MaxTokens:    t.w.MaxTokens,
		Round:        c.Kind() == class.Round,
		AtMostOnce:   t.isOnce(),
		CrashSuspect: t.w.Suspect,
		Retry:        t.tries > 0,
		Requeued:     t.moved,
	}
	if t.last != "" {
		it.Avoid = sets.Of(t.last)
	}
	if t.ran == nil { // What was begun is worth more than its target.
		it.FinishBy = t.arrived + c.Lateness()
	}
	return it
}

// once puts the request into its queue and runs it on the server that it gets,
// and on a second one if the matcher hedges.
func (t *try) once(ctx context.Context) (Answer, error) {
	if err := t.judge(ctx); err != nil {
		return Answer{}, err
	}
	id, grants, err := t.c.enqueue(t.item())
	if err != nil {
		t.refused = true
		return Answer{}, err
	}
	defer t.c.leave(id)
	r := &race{t: t, id: id, ctx: ctx, grants: grants, events: make(chan event)}
	return r.run()
}

// judge asks whether the work may run, and whether beside other suspects.
func (t *try) judge(ctx context.Context) error {
	if t.c.p.Admit == nil {
		return nil
	}
	var err error
	t.w.Suspect, err = t.c.p.Admit(ctx, t.w, t.crashes)
	return err
}

// join reads an attempt that runs already.
func (t *try) join(ctx context.Context) (Answer, error) {
	r := &race{t: t, ctx: ctx, events: make(chan event)}
	r.join(t.w.Attach)
	return r.run()
}

// watch tells how far an attempt has come.
func (t *try) watch(a *attempt) {
	if t.w.OnProgress != nil {
		t.w.OnProgress(RunningAttempt{
			Server:  a.grant.server,
			Attempt: a.id,
			Tokens:  len(t.tokens),
			Spans:   spansOf(a),
		})
	}
}

func (t *try) job(a *attempt, claim wire.Claim) wire.Job {
	w := t.w
	j := wire.Job{
		Attempt:   string(a.id),
		Request:   string(w.Request),
		Class:     string(w.Class.Name()),
		Service:   string(w.Class.Service()),
		Call:      !w.Class.Kind().IsModel(),
		Once:      t.isOnce(),
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
		j.Left = int64(max(1, w.Deadline-t.c.p.Clock.Now()))
	}
	return j
}

// part returns what was read so far, from which other work can go on.
func (t *try) part() Answer { return Answer{Tokens: t.tokens, Spans: wire.ToSpans(t.spans)} }

// deliver passes on what an attempt has and the caller has not.
func (t *try) deliver(a *attempt) error {
	more := a.tokens[len(t.tokens):]
	t.spans = a.spans
	if len(more) == 0 {
		return nil
	}
	t.tokens = append(t.tokens, more...)
	if t.sink == nil {
		return nil
	}
	if err := t.sink(more); err != nil {
		return fault.Wrap(fault.Canceled, err, "the caller went away")
	}
	return nil
}

func (t *try) answer(a *attempt, r wire.FetchReply) Answer {
	return Answer{
		Attempt:        a.id,
		Node:           a.grant.server.Node,
		Tokens:         t.tokens,
		Body:           r.Body,
		Spans:          spansOf(a),
		VersionsProven: r.Proven,
	}
}

func spansOf(a *attempt) []plat.Span { return wire.ToSpans(a.spans) }

// failed notes how an attempt ended without an answer.
func (t *try) failed(a *attempt, err error) {
	t.last = a.grant.server.Node
	f, ok := fault.As(err)
	if ok && f.Kind() == fault.BackendCrashed {
		t.crashes++
	}
	t.moved = a.moved || (ok && f.Outcome() == fault.NotRun)
	if !t.moved {
		t.fails++
	}
	if !t.moved || a.begun || a.moved {
		t.ran = fault.Wrap(fault.BrokenAnswer, err, "the answer broke off and could not be made whole")
		if ok && f.Outcome() != fault.NotRun {
			t.ran = err
		}
	}
}

// resultOf tells the matcher what an error means for the server.
func resultOf(err error) match.Result {
	f, ok := fault.As(err)
	if !ok {
		return match.Result{Outcome: match.Failed}
	}
	switch f.Kind() {
	case fault.Overloaded, fault.Leaving, fault.TooStale, fault.NotReady:
		return match.Result{Outcome: match.Refused, RetryAfter: f.RetryAfter()}
	case fault.NoBackend, fault.BadPeer, fault.BackendCrashed, fault.OutcomeUnknown, fault.BrokenAnswer, fault.Internal:
		return match.Result{Outcome: match.Failed}
	}
	return match.Result{Outcome: match.Canceled}
}
