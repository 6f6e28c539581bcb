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

// runningSample is a sample that is being generated.
type runningSample struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// latePriority is the engine priority of the last samples of a round. They are
// preferred to the first samples of the next round, which have priority 0.
const latePriority = 1

// startSamples starts samples that are not running yet, up to the window. It starts
// nothing if this entry should not own the round and its trainer has not called here
// lately, because the round may have ended at another entry. The caller holds the
// lock of o.
func (r *Rounds) startSamples(o *openRound) {
	now := r.params.Clock.Now()
	if !o.recovered || o.ctx.Err() != nil {
		return
	}
	if now-o.lastUsed > activeTimeout && !r.params.Owns(o.spec.ID) {
		return
	}
	for _, req := range o.state.Start(now, o.window) {
		r.startSample(o, req, calls.RunningAttempt{})
	}
}

// startSample starts a goroutine that generates one sample. The caller holds the
// lock of o.
func (r *Rounds) startSample(o *openRound, req round.StartRequest, attach calls.RunningAttempt) {
	ctx, cancel := context.WithCancelCause(o.ctx)
	rs := &runningSample{ctx: ctx, cancel: cancel}
	o.running[req.Ordinal] = rs
	go r.runSample(o, rs, req, attach)
}

// cancelSamples cancels samples that are no longer needed. The caller holds the
// lock of o.
func (o *openRound) cancelSamples(ordinals []int) {
	for _, i := range ordinals {
		if rs := o.running[i]; rs != nil {
			delete(o.running, i)
			rs.cancel(calls.ErrSampleCanceled)
		}
	}
}

// runSample generates one sample and adds the result to the state of the round.
func (r *Rounds) runSample(o *openRound, rs *runningSample, req round.StartRequest, attach calls.RunningAttempt) {
	defer rs.cancel(nil)
	w := r.newWork(o, req, attach)
	w.OnProgress = func(run calls.RunningAttempt) { r.updateProgress(o, rs, req.Ordinal, run) }
	ans, err := r.params.Calls.Do(rs.ctx, w, nil)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[req.Ordinal] != rs || o.ctx.Err() != nil {
		return // The sample was canceled or the round has ended.
	}
	delete(o.running, req.Ordinal)
	switch {
	case err == nil && ans.VersionsProven:
		r.completeSample(o, round.Sample{
			Ordinal: req.Ordinal,
			Attempt: ans.Attempt,
			Node:    ans.Node,
			Tokens:  ans.Tokens,
			Spans:   ans.Spans,
		})
	case fault.Is(err, fault.Quarantined), fault.Is(err, fault.BadRequest), fault.Is(err, fault.TooLarge):
		o.state.Refuse(req.Ordinal, err.Error())
		o.notifyReaders()
	default:
		r.params.Log.Debug().Err(err).Str("round", string(o.spec.ID)).Int("ordinal", req.Ordinal).
			Msg("rounds: sample failed")
		wait := o.state.Interrupt(r.params.Clock.Now(), req.Ordinal,
			round.Partial{Tokens: ans.Tokens, Spans: ans.Spans}, failureReason(err))
		time.AfterFunc((wait + clock.Milli).Duration(), func() { r.lockAndStartSamples(o) })
	}
	r.startSamples(o)
}

// newWork returns the work that generates a sample.
func (r *Rounds) newWork(o *openRound, req round.StartRequest, attach calls.RunningAttempt) calls.Work {
	s := o.spec
	w := calls.Work{
		Request:    requestID(s, req.Ordinal),
		Class:      o.class,
		Body:       s.Prompt(req.Ordinal),
		Prefix:     fmt.Sprintf("%s/%d", s.ID, s.Group(req.Ordinal)),
		Seed:       s.SeedOf(req.Ordinal),
		MaxTokens:  s.MaxTokens,
		EnqueuedAt: o.openedAt,
		Resume:     req.Partial.Tokens,
		Spans:      req.Partial.Spans,
		Attach:     attach,
		Sample: wire.Sample{
			Round:   string(s.ID),
			Spec:    s.Digest(),
			Ordinal: req.Ordinal,
			Floor:   uint64(req.MinVersion),
		},
	}
	if req.Late {
		w.Priority = latePriority
	}
	return w
}

// updateProgress records the versions that generated the tokens of a running sample
// so far. If they make the sample too old, it cancels all samples that are too old.
func (r *Rounds) updateProgress(o *openRound, rs *runningSample, ordinal int, run calls.RunningAttempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[ordinal] != rs {
		return
	}
	if !o.state.ObserveVersions(ordinal, run.Spans, run.Server.Version) {
		o.cancelSamples(o.state.CancelStale())
		r.startSamples(o)
	}
}

// completeSample adds a complete sample to the state of the round and has the
// sample scored if the class has a scorer. The caller holds the lock of o.
func (r *Rounds) completeSample(o *openRound, s round.Sample) {
	scored := o.class.Scorer() != ""
	if !o.state.Complete(s, scored) {
		return
	}
	if scored {
		go r.score(o, s)
		return
	}
	o.notifyReaders()
}

// notifyReaders wakes the calls of Read that wait for samples. The caller holds the
// lock of o.
func (o *openRound) notifyReaders() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func failureReason(err error) round.Reason {
	if fault.Is(err, fault.UnprovenVersion) {
		return round.Unproven
	}
	return round.Failed
}

func (r *Rounds) lockAndStartSamples(o *openRound) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.startSamples(o)
}

// scoreTimeout is the timeout of one call of a scoring service.
const scoreTimeout = 30 * clock.Second

// score calls the scoring service until it returns a score. Until then the sample is
// kept (rule 7 of package round).
func (r *Rounds) score(o *openRound, s round.Sample) {
	for attempt := 1; r.awaitsScore(o, s); attempt++ {
		v, err := r.scoreOnce(o, s)
		if err == nil {
			o.mu.Lock()
			o.state.SetScore(s.Ordinal, s.Attempt, v)
			o.notifyReaders()
			o.mu.Unlock()
			return
		}
		if attempt == 1 {
			r.params.Log.Warn().Err(err).Str("round", string(o.spec.ID)).
				Msg("rounds: scoring failed, the sample is kept and scoring is retried")
		}
		select {
		case <-o.ctx.Done():
			return
		case <-time.After(round.Backoff(attempt, s.Ordinal).Duration()):
		}
	}
}

func (r *Rounds) awaitsScore(o *openRound, s round.Sample) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ctx.Err() == nil && o.state.AwaitsScore(s.Ordinal, s.Attempt)
}

func (r *Rounds) scoreOnce(o *openRound, s round.Sample) (float64, error) {
	select {
	case r.scoreSlots <- struct{}{}:
		defer func() { <-r.scoreSlots }()
	case <-o.ctx.Done():
		return 0, o.ctx.Err()
	}
	sc, err := r.params.Scorer(o.class.Scorer())
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(o.ctx, scoreTimeout.Duration())
	defer cancel()
	return sc.Score(ctx, o.spec.Prompt(s.Ordinal), s.Tokens)
}
