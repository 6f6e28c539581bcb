package rounds

import (
	"context"
	"fmt"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
)

// making is one sample that is being made.
type making struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// latePriority is the engine priority of samples at the end of a round over
// those at the start of the next one.
const latePriority = 1

// start runs ordinals that are idle, as far as the window allows. The lock of
// o is held. An entry that should not own the round, and does not serve its
// trainer either, starts nothing: the round may have ended elsewhere.
func (r *Rounds) start(o *owned) {
	now := r.p.Clock.Now()
	if !o.ready || o.ctx.Err() != nil {
		return
	}
	if now-o.used > activeFor && !r.p.Owns(o.spec.ID) {
		return
	}
	for _, b := range o.state.Start(now, o.window) {
		r.run(o, b, calls.RunningAttempt{})
	}
}

// run makes one sample in a goroutine of its own. The lock of o is held.
func (r *Rounds) run(o *owned, b round.StartRequest, join calls.RunningAttempt) {
	ctx, cancel := context.WithCancelCause(o.ctx)
	m := &making{ctx: ctx, cancel: cancel}
	o.making[b.Ordinal] = m
	go r.sample(o, m, b, join)
}

// end gives up samples that are no longer wanted. The lock of o is held.
func (o *owned) end(ordinals []int) {
	for _, i := range ordinals {
		if m := o.making[i]; m != nil {
			delete(o.making, i)
			m.cancel(calls.ErrSampleCanceled)
		}
	}
}

// sample makes one sample and takes in the result.
func (r *Rounds) sample(o *owned, m *making, b round.StartRequest, join calls.RunningAttempt) {
	defer m.cancel(nil)
	w := r.work(o, b, join)
	w.OnProgress = func(run calls.RunningAttempt) { r.watch(o, m, b.Ordinal, run) }
	ans, err := r.p.Calls.Do(m.ctx, w, nil)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.making[b.Ordinal] != m || o.ctx.Err() != nil {
		return // Given up, or the round ended.
	}
	delete(o.making, b.Ordinal)
	switch {
	case err == nil && ans.VersionsProven:
		r.finished(o, round.Sample{
			Ordinal: b.Ordinal,
			Attempt: ans.Attempt,
			Node:    ans.Node,
			Tokens:  ans.Tokens,
			Spans:   ans.Spans,
		})
	case fault.Is(err, fault.Quarantined), fault.Is(err, fault.BadRequest), fault.Is(err, fault.TooLarge):
		o.state.Refuse(b.Ordinal, err.Error())
		o.signal()
	default:
		r.p.Log.Debug().Err(err).Str("round", string(o.spec.ID)).Int("ordinal", b.Ordinal).Msg("Sample failed.")
		wait := o.state.Interrupt(r.p.Clock.Now(), b.Ordinal, round.Partial{Tokens: ans.Tokens, Spans: ans.Spans}, reason(err))
		time.AfterFunc((wait + clock.Milli).Duration(), func() { r.restart(o) })
	}
	r.start(o)
}

func (r *Rounds) work(o *owned, b round.StartRequest, join calls.RunningAttempt) calls.Work {
	s := o.spec
	w := calls.Work{
		Request:    requestOf(s, b.Ordinal),
		Class:      o.class,
		Body:       s.Prompt(b.Ordinal),
		Prefix:     fmt.Sprintf("%s/%d", s.ID, s.Group(b.Ordinal)),
		Seed:       s.SeedOf(b.Ordinal),
		MaxTokens:  s.MaxTokens,
		EnqueuedAt: o.began,
		Resume:     b.Part.Tokens,
		Spans:      b.Part.Spans,
		Attach:     join,
		Sample: wire.Sample{
			Round:   string(s.ID),
			Spec:    s.Digest(),
			Ordinal: b.Ordinal,
			Floor:   uint64(b.MinVersion),
		},
	}
	if b.Late {
		w.Priority = latePriority
	}
	return w
}

// watch takes in how far a running sample has come, and gives it up if it
// will be too old.
func (r *Rounds) watch(o *owned, m *making, ordinal int, run calls.RunningAttempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.making[ordinal] != m {
		return
	}
	if !o.state.ObserveVersions(ordinal, run.Spans, run.Server.Version) {
		o.end(o.state.CancelStale())
		r.start(o)
	}
}

// finished takes in a whole sample and has it scored. The lock of o is held.
func (r *Rounds) finished(o *owned, s round.Sample) {
	scored := o.class.Scorer() != ""
	if !o.state.Complete(s, scored) {
		return
	}
	if scored {
		go r.score(o, s)
		return
	}
	o.signal()
}

// signal wakes the readers. The lock of o is held.
func (o *owned) signal() {
	close(o.grown)
	o.grown = make(chan struct{})
}

func reason(err error) round.Reason {
	if fault.Is(err, fault.UnprovenVersion) {
		return round.Unproven
	}
	return round.Failed
}

func (r *Rounds) restart(o *owned) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.start(o)
}

// scoreFor bounds one call of a scoring service.
const scoreFor = 30 * clock.Second

// score asks for a score until the service gives one. The sample is kept
// meanwhile (rule 7 of package round).
func (r *Rounds) score(o *owned, s round.Sample) {
	for tries := 1; r.awaitsScore(o, s); tries++ {
		v, err := r.scoreOnce(o, s)
		if err == nil {
			o.mu.Lock()
			o.state.SetScore(s.Ordinal, s.Attempt, v)
			o.signal()
			o.mu.Unlock()
			return
		}
		if tries == 1 {
			r.p.Log.Warn().Err(err).Str("round", string(o.spec.ID)).Msg("Scoring failed, the sample is kept.")
		}
		select {
		case <-o.ctx.Done():
			return
		case <-time.After(round.Backoff(tries, s.Ordinal).Duration()):
		}
	}
}

func (r *Rounds) awaitsScore(o *owned, s round.Sample) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ctx.Err() == nil && o.state.AwaitsScore(s.Ordinal, s.Attempt)
}

func (r *Rounds) scoreOnce(o *owned, s round.Sample) (float64, error) {
	select {
	case r.scorers <- struct{}{}:
		defer func() { <-r.scorers }()
	case <-o.ctx.Done():
		return 0, o.ctx.Err()
	}
	sc, err := r.p.Scorer(o.class.Scorer())
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(o.ctx, scoreFor.Duration())
	defer cancel()
	return sc.Score(ctx, o.spec.Prompt(s.Ordinal), s.Tokens)
}
