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
	flightFor  = 30 * clock.Second // without a deadline
	settleMore = 5 * clock.Second  // beyond the deadline, to learn an outcome
	settleWait = 2 * clock.Second  // that an agent holds a question
	settleFor  = settleWait + 2*clock.Second
	verifyFor  = 2 * clock.Second
)

// flight is the work on one key at this entry; all who ask for the key here
// share it.
type flight struct {
	c    *Claims
	s    *stream
	ask  Request
	key  string
	time int64
	done chan struct{}
	ans  calls.Answer
	err  error

	after ident.Offset // a claim proven as not run, which the next one follows
	held  ident.Offset // the own claim that may have been sent
}

func errExpired() error {
	return fault.New(fault.KeyExpired, "records that may hold the key have expired")
}

func errReused() error {
	return fault.New(fault.KeyReused, "the key was used for another request")
}

// stop carries an error through the dispatcher without another try.
type stop struct{ err error }

func (s *stop) Error() string { return s.err.Error() }

// errTaken means that another claim holds the key.
var errTaken = errors.New("another claim holds the key")

func (f *flight) run() {
	defer f.c.leave(f)
	defer close(f.done)
	left := flightFor
	if d := f.ask.Work.Deadline; d > 0 {
		left = max(1, d-f.c.p.Clock.Now())
	}
	ctx, cancel := context.WithTimeout(f.c.ctx, (left + settleMore).Duration())
	defer cancel()
	for {
		ans, err := f.step(ctx)
		if errors.Is(err, errTaken) && ctx.Err() == nil {
			continue
		}
		if errors.Is(err, errTaken) {
			err = fault.New(fault.OutcomeUnknown, "the time to learn the outcome was too short")
		}
		f.ans, f.err = ans, err
		return
	}
}

// step runs the work if the key is free, or learns what became of it. It
// returns errTaken if the state has moved on.
func (f *flight) step(ctx context.Context) (calls.Answer, error) {
	h, held, unsent := f.s.look(f.key)
	if !held {
		return f.start(ctx)
	}
	if h.Claim.BodyDigest != f.ask.BodyDigest {
		return calls.Answer{}, errReused()
	}
	switch {
	case h.Outcome.State == record.Done:
		return f.told(ctx, h)
	case h.Offset == f.after:
		return f.start(ctx)
	case h.Outcome.State == record.Refused, unsent:
		f.after = h.Offset
		return f.start(ctx)
	}
	return f.settle(ctx, h)
}

// told returns an answer that the log holds, or that the agent still has.
func (f *flight) told(ctx context.Context, h claim.Holder) (calls.Answer, error) {
	if !h.Outcome.Truncated {
		return calls.Answer{Body: h.Outcome.Body}, nil
	}
	r, err := f.c.ask(ctx, f.s.name, h)
	if err == nil && claim.Stage(r.State) == claim.Done {
		return calls.Answer{Body: r.Body}, nil
	}
	return calls.Answer{}, fault.New(fault.AnswerGone, "the request is done; its answer was too long to be kept")
}

// start claims the key and runs the work.
func (f *flight) start(ctx context.Context) (calls.Answer, error) {
	if !f.s.canJudge(f.time) {
		return calls.Answer{}, errExpired()
	}
	l := &launch{f: f, after: f.after}
	w := f.ask.Work
	w.Claim = l.claim
	ans, err := f.c.p.Calls.Do(ctx, w, nil)
	f.after, f.held = l.close()
	if err == nil {
		f.noteDone(f.held, ans.Body)
		return ans, nil
	}
	var st *stop
	if errors.As(err, &st) {
		err = st.err
	}
	if errors.Is(err, errTaken) || fault.Is(err, fault.KeyExpired) {
		return calls.Answer{}, err
	}
	if fl, ok := fault.As(err); ok && fl.Outcome() == fault.NotRun {
		return calls.Answer{}, f.refused(ctx, err)
	}
	if f.held == 0 {
		return calls.Answer{}, f.refused(ctx, fault.New(fault.ClaimRefused, "nothing was sent: "+err.Error()))
	}
	h, held, _ := f.s.look(f.key)
	if !held || h.Offset != f.held {
		return calls.Answer{}, errTaken
	}
	return f.settle(ctx, h)
}

// launch is one run of the dispatcher. After it is closed no claim of it is
// sent any more, also if the dispatcher still has a goroutine at it.
type launch struct {
	f *flight

	mu    sync.Mutex
	after ident.Offset
	held  ident.Offset
	over  bool
}

// close ends the launch and returns the claim proven as not run, and the one
// that may have been sent.
func (l *launch) close() (after, held ident.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
	return l.after, l.held
}

// follow returns the claim that the next one follows. That it is called again
// proves that the claim before was not run.
func (l *launch) follow() ident.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != 0 {
		l.after, l.held = l.held, 0
	}
	return l.after
}

// hold notes a claim that is about to be sent; false if it must not be.
func (l *launch) hold(at ident.Offset) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return false
	}
	l.held = at
	return true
}

// claim implements [calls.Work.Claim].
func (l *launch) claim(ctx context.Context, s match.Server) (wire.Claim, error) {
	f := l.f
	v, err := f.s.claim(ctx, record.Claim{
		Key:        f.key,
		BodyDigest: f.ask.BodyDigest,
		KeyTime:    f.time,
		Agent:      s.Node,
		Addr:       s.Addr,
		Boot:       s.Boot,
		Replaces:   l.follow(),
	})
	switch {
	case err != nil:
		return wire.Claim{}, &stop{err}
	case !v.won:
		return wire.Claim{}, &stop{errTaken}
	case !v.judged:
		f.s.giveUp(v.seq, f.time)
		return wire.Claim{}, &stop{errExpired()}
	case !l.hold(v.at):
		f.s.giveUp(v.seq, f.time)
		return wire.Claim{}, &stop{errTaken}
	}
	return wire.Claim{Stream: f.s.name, Offset: int64(v.at), Key: f.key, Boot: uint64(s.Boot)}, nil
}

// refused returns an error that says "not run", if the log proves it for
// earlier sends of the key too; else an error that leaves it open.
func (f *flight) refused(ctx context.Context, err error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), verifyFor.Duration())
	defer cancel()
	if f.s.sync(ctx) != nil {
		if f.ask.FirstSend {
			return err
		}
		return fault.Wrap(fault.ClaimUnsettled, err, "this send was not run, but the log can't tell of others").WithRetryAfter(clock.Second)
	}
	h, held, unsent := f.s.look(f.key)
	switch {
	case !held, unsent, h.Outcome.State == record.Refused:
		return err
	case h.Offset == f.after, h.Offset == f.held:
		f.s.note(record.Outcome{Key: f.key, ClaimOffset: h.Offset, State: record.Refused})
		return err
	}
	return errTaken
}

// settle asks the agent that a claim names what became of it.
func (f *flight) settle(ctx context.Context, h claim.Holder) (calls.Answer, error) {
	r, err := f.c.ask(ctx, f.s.name, h)
	if (err != nil || claim.Stage(r.State) == claim.Unknown) && f.hasMoved(ctx, h) {
		return calls.Answer{}, errTaken
	}
	if err != nil {
		return calls.Answer{}, fault.Wrap(fault.OutcomeUnknown, err, "the agent "+string(h.Claim.Agent)+" does not tell").WithRetryAfter(clock.Second)
	}
	switch claim.Stage(r.State) {
	case claim.Running:
		if ctx.Err() != nil {
			return calls.Answer{}, fault.New(fault.OutcomeUnknown, "the request is still in progress").WithRetryAfter(clock.Second)
		}
		return calls.Answer{}, errTaken
	case claim.Refused:
		f.after = h.Offset
		f.s.note(record.Outcome{Key: f.key, ClaimOffset: h.Offset, State: record.Refused})
		return calls.Answer{}, errTaken
	case claim.Done:
		f.noteDone(h.Offset, r.Body)
		return calls.Answer{Body: r.Body}, nil
	}
	if h.Outcome.State == record.Open {
		f.s.note(record.Outcome{Key: f.key, ClaimOffset: h.Offset, State: record.Unknown, Detail: r.Detail})
	}
	return calls.Answer{}, fault.New(fault.OutcomeUnknown, r.Detail)
}

// hasMoved reads the stream and reports whether it tells more of the key than
// the claim that an agent could not tell of.
func (f *flight) hasMoved(ctx context.Context, h claim.Holder) bool {
	if f.s.sync(ctx) != nil {
		return false
	}
	now, held, _ := f.s.look(f.key)
	return held && (now.Offset != h.Offset || now.Outcome.State != h.Outcome.State && now.Outcome.State != record.Unknown)
}

// noteDone records an answer for those who send the key again.
func (f *flight) noteDone(at ident.Offset, body []byte) {
	o := record.Outcome{Key: f.key, ClaimOffset: at, State: record.Done, Body: body}
	if len(body) > maxOutcome {
		o.Body, o.Truncated = nil, true
	}
	f.s.note(o)
}

// ask sends one question about a claim to its agent.
func (c *Claims) ask(ctx context.Context, stream string, h claim.Holder) (wire.SettleReply, error) {
	ctx, cancel := context.WithTimeout(ctx, settleFor.Duration())
	defer cancel()
	args := wire.SettleArgs{
		Hello: wire.NewHello(c.p.Node, c.p.Boot),
		Claim: wire.Claim{Stream: stream, Offset: int64(h.Offset), Key: h.Claim.Key, Boot: uint64(h.Claim.Boot)},
		Wait:  int64(settleWait),
	}
	var reply wire.SettleReply
	if err := c.p.Pool.Call(ctx, h.Claim.Addr, "Agent.Settle", &args, &reply); err != nil {
		return reply, err
	}
	return reply, reply.Fault.Err()
}
