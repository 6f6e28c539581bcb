package claims

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/claim"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
)

const (
	defaultTimeout = 30 * clock.Second // of a request without a deadline
	settleGrace    = 5 * clock.Second  // time after the deadline to find out the outcome
	agentWait      = 2 * clock.Second  // how long an agent may wait for the end of a call before it answers
	settleTimeout  = agentWait + 2*clock.Second
	verifyTimeout  = 2 * clock.Second
)

// execution handles one key at this entry. All concurrent requests with the key
// share it.
type execution struct {
	c       *Claims
	stream  *stream
	request Request
	key     string
	keyTime int64
	done    chan struct{}
	answer  calls.Answer
	err     error

	start    ident.Offset // first offset of the stream that was not read when the execution began
	replaces ident.Offset // claim that is proven not to have been executed; the next claim replaces it
	ownClaim ident.Offset // claim of this entry that may have been sent
}

func errKeyExpired() error {
	return fault.New(fault.KeyExpired, "records that may hold the key have expired")
}

func errKeyReused() error {
	return fault.New(fault.KeyReused, "the key was used for another request")
}

// finalError wraps an error after which the dispatcher must not retry.
type finalError struct{ err error }

func (e *finalError) Error() string { return e.err.Error() }

// errStateChanged means that the state of the key may have changed, for example
// because another claim now holds the key. The execution then runs another step.
var errStateChanged = errors.New("the state of the key has changed")

func (e *execution) run() {
	defer close(e.done)
	defer e.c.removeExecution(e) // Before done, so that a send after the answer is not given that answer.
	left := defaultTimeout
	if deadline := e.request.Work.Deadline; deadline > 0 {
		left = max(1, deadline-e.c.p.Clock.Now())
	}
	ctx, cancel := context.WithTimeout(e.c.ctx, (left + settleGrace).Duration())
	defer cancel()
	e.begin(ctx)
	for {
		answer, err := e.step(ctx)
		if errors.Is(err, errStateChanged) && ctx.Err() == nil {
			continue
		}
		if errors.Is(err, errStateChanged) {
			err = fault.New(fault.OutcomeUnknown, "the time to learn the outcome was too short")
		}
		e.answer, e.err = answer, err
		return
	}
}

// begin records the end of the stream, so that the execution knows which refusals of
// the key concern it: those that other entries append from now on. If the stream can't
// be read, this includes refusals that were appended earlier.
func (e *execution) begin(ctx context.Context) {
	if !e.request.FirstSend {
		if err := e.stream.sync(ctx); err != nil {
			e.c.p.Log.Info().Err(err).Str("stream", e.stream.name).Msg("claims: the stream could not be read before a repeated request")
		}
	}
	e.start = e.stream.nextOffset()
}

// step runs the work if the key is free, or finds out the outcome of the claim
// that holds the key. It returns errStateChanged if another step is needed.
func (e *execution) step(ctx context.Context) (calls.Answer, error) {
	h, found, unsent := e.stream.lookup(e.key)
	if !found {
		return e.claimAndRun(ctx)
	}
	if h.Claim.BodyDigest != e.request.BodyDigest {
		return calls.Answer{}, errKeyReused()
	}
	switch {
	case h.RefusesSince(e.start):
		return calls.Answer{}, e.verifyNotRun(ctx, fault.New(fault.ClaimRefused, "another send of the key was refused at the same time"))
	case h.Outcome.State == record.Done:
		return e.storedAnswer(ctx, h)
	case h.Offset == e.replaces:
		return e.claimAndRun(ctx)
	case h.Outcome.State == record.Refused, unsent:
		e.replaces = h.Offset
		return e.claimAndRun(ctx)
	}
	return e.settle(ctx, h)
}

// storedAnswer returns the answer from the log, or from the agent if the answer
// was too long for the log.
func (e *execution) storedAnswer(ctx context.Context, h claim.Holder) (calls.Answer, error) {
	if !h.Outcome.Truncated {
		return calls.Answer{Body: h.Outcome.Body}, nil
	}
	r, err := e.c.queryAgent(ctx, e.stream.name, h)
	if err == nil && claim.Stage(r.State) == claim.Done {
		return calls.Answer{Body: r.Body}, nil
	}
	return calls.Answer{}, fault.New(fault.AnswerGone, "the request is done; its answer was too long to be kept")
}

// claimAndRun claims the key and runs the work.
func (e *execution) claimAndRun(ctx context.Context) (calls.Answer, error) {
	if !e.stream.canDecide(e.keyTime) {
		return calls.Answer{}, errKeyExpired()
	}
	d := &dispatch{execution: e, replaces: e.replaces}
	w := e.request.Work
	w.Claim = d.claim
	ans, err := e.c.p.Calls.Do(ctx, w, nil)
	e.replaces, e.ownClaim = d.close()
	if err == nil {
		e.recordDone(e.ownClaim, ans.Body)
		return ans, nil
	}
	var final *finalError
	if errors.As(err, &final) {
		err = final.err
	}
	if errors.Is(err, errStateChanged) || fault.Is(err, fault.KeyExpired) {
		return calls.Answer{}, err
	}
	if flt, ok := fault.As(err); ok && flt.Outcome() == fault.NotRun {
		return calls.Answer{}, e.verifyNotRun(ctx, err)
	}
	if e.ownClaim == 0 {
		return calls.Answer{}, e.verifyNotRun(ctx, fault.New(fault.ClaimRefused, "nothing was sent: "+err.Error()))
	}
	h, found, _ := e.stream.lookup(e.key)
	if !found || h.Offset != e.ownClaim {
		return calls.Answer{}, errStateChanged
	}
	return e.settle(ctx, h)
}

// dispatch is one call of the dispatcher. After close, none of its claims is sent
// any more, even if a goroutine of the dispatcher is still working on the call.
type dispatch struct {
	execution *execution

	mu       sync.Mutex
	replaces ident.Offset // claim that is proven not to have been executed; 0 for none
	ownClaim ident.Offset // latest claim that may have been sent; 0 for none
	closed   bool
}

// close ends the dispatch. It returns the offsets of two claims, 0 for none: the
// claim that is proven not to have been executed, which the next claim replaces,
// and the claim that may have been sent.
func (d *dispatch) close() (replaces, ownClaim ident.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	return d.replaces, d.ownClaim
}

// nextReplaces returns the claim that the next claim replaces. The dispatcher asks
// for another claim only if the previous one is proven not to have been executed.
func (d *dispatch) nextReplaces() ident.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ownClaim != 0 {
		d.replaces, d.ownClaim = d.ownClaim, 0
	}
	return d.replaces
}

// setOwnClaim records the claim that is about to be sent. It returns false if the
// claim must not be sent because the dispatch is closed.
func (d *dispatch) setOwnClaim(offset ident.Offset) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.ownClaim = offset
	return true
}

// claim implements [calls.Work.Claim].
func (d *dispatch) claim(ctx context.Context, srv match.Server) (wire.Claim, error) {
	e := d.execution
	res, err := e.stream.claim(ctx, record.Claim{
		Key:        e.key,
		BodyDigest: e.request.BodyDigest,
		KeyTime:    e.keyTime,
		Agent:      srv.Node,
		Addr:       srv.Addr,
		Boot:       srv.Boot,
		Replaces:   d.nextReplaces(),
	})
	switch {
	case err != nil:
		return wire.Claim{}, &finalError{err}
	case !res.won:
		return wire.Claim{}, &finalError{errStateChanged}
	case !res.decidable:
		e.stream.abandon(res.seq, e.keyTime)
		return wire.Claim{}, &finalError{errKeyExpired()}
	case !d.setOwnClaim(res.offset):
		e.stream.abandon(res.seq, e.keyTime)
		return wire.Claim{}, &finalError{errStateChanged}
	}
	return wire.Claim{Stream: e.stream.name, Offset: int64(res.offset), Key: e.key, Boot: uint64(srv.Boot)}, nil
}

// verifyNotRun returns err, which says that the request was not executed, if the
// log proves the same for earlier requests with the key, and after other entries can
// no longer execute those that are in progress. Otherwise it returns an error with an
// unknown outcome, or errStateChanged.
func (e *execution) verifyNotRun(ctx context.Context, err error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), verifyTimeout.Duration())
	defer cancel()
	if e.stream.sync(ctx) != nil {
		if e.request.FirstSend {
			return err
		}
		return fault.Wrap(fault.ClaimUnsettled, err, "this send was not run, but the log can't tell of others").WithRetryAfter(clock.Second)
	}
	h, found, unsent := e.stream.lookup(e.key)
	switch {
	case !found, unsent, h.Outcome.State == record.Refused:
	case h.Offset == e.replaces, h.Offset == e.ownClaim:
		e.stream.recordOutcome(record.Outcome{Key: e.key, ClaimOffset: h.Offset, State: record.Refused})
	default:
		return errStateChanged
	}
	if e.request.FirstSend {
		return err // No other send came before this one.
	}
	return e.refuseAll(ctx, h.Offset, err)
}

// refuseAll appends a refusal of the key and returns err once the refusal holds the
// key. The argument replaces is the claim that holds the key now, 0 for none.
func (e *execution) refuseAll(ctx context.Context, replaces ident.Offset, err error) error {
	res, claimErr := e.stream.claim(ctx, record.Claim{
		Key: e.key, BodyDigest: e.request.BodyDigest, KeyTime: e.keyTime, Replaces: replaces, Refuses: true,
	})
	switch {
	case claimErr != nil:
		e.c.p.Log.Info().Err(claimErr).Str("stream", e.stream.name).Msg("claims: a refusal could not be recorded")
		return fault.Wrap(fault.ClaimUnsettled, err, "this send was not run, but others with the key may still be").WithRetryAfter(clock.Second)
	case !res.won:
		return errStateChanged
	}
	return err
}

// settle asks the agent that a claim names for the outcome of the claim.
func (e *execution) settle(ctx context.Context, h claim.Holder) (calls.Answer, error) {
	r, err := e.c.queryAgent(ctx, e.stream.name, h)
	if (err != nil || claim.Stage(r.State) == claim.Unknown) && e.hasChanged(ctx, h) {
		return calls.Answer{}, errStateChanged
	}
	if err != nil {
		return calls.Answer{}, fault.Wrap(fault.OutcomeUnknown, err, "the agent "+string(h.Claim.Agent)+" does not tell").WithRetryAfter(clock.Second)
	}
	switch claim.Stage(r.State) {
	case claim.Running:
		if ctx.Err() != nil {
			return calls.Answer{}, fault.New(fault.OutcomeUnknown, "the request is still in progress").WithRetryAfter(clock.Second)
		}
		return calls.Answer{}, errStateChanged
	case claim.Refused:
		e.replaces = h.Offset
		e.stream.recordOutcome(record.Outcome{Key: e.key, ClaimOffset: h.Offset, State: record.Refused})
		return calls.Answer{}, errStateChanged
	case claim.Done:
		e.recordDone(h.Offset, r.Body)
		return calls.Answer{Body: r.Body}, nil
	}
	if h.Outcome.State == record.Open {
		e.stream.recordOutcome(record.Outcome{Key: e.key, ClaimOffset: h.Offset, State: record.Unknown, Detail: r.Detail})
	}
	return calls.Answer{}, fault.New(fault.OutcomeUnknown, r.Detail)
}

// hasChanged reads the stream and reports whether the key has another claim, or a
// known outcome, since h was looked up.
func (e *execution) hasChanged(ctx context.Context, h claim.Holder) bool {
	if e.stream.sync(ctx) != nil {
		return false
	}
	current, found, _ := e.stream.lookup(e.key)
	return found && (current.Offset != h.Offset ||
		current.Outcome.State != h.Outcome.State && current.Outcome.State != record.Unknown)
}

// recordDone records the answer on the log for later requests with the key.
func (e *execution) recordDone(offset ident.Offset, body []byte) {
	o := record.Outcome{Key: e.key, ClaimOffset: offset, State: record.Done, Body: body}
	if len(body) > maxOutcomeBytes {
		o.Body, o.Truncated = nil, true
	}
	e.stream.recordOutcome(o)
}

// queryAgent asks the agent that a claim names for the claim's outcome, once.
func (c *Claims) queryAgent(ctx context.Context, stream string, h claim.Holder) (wire.SettleReply, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout.Duration())
	defer cancel()
	args := wire.SettleArgs{
		Hello: wire.NewHello(c.p.Node, c.p.Boot),
		Claim: wire.Claim{Stream: stream, Offset: int64(h.Offset), Key: h.Claim.Key, Boot: uint64(h.Claim.Boot)},
		Wait:  int64(agentWait),
	}
	var reply wire.SettleReply
	if err := c.p.Pool.Call(ctx, h.Claim.Addr, "Agent.Settle", &args, &reply); err != nil {
		return reply, err
	}
	return reply, reply.Fault.Err()
}
