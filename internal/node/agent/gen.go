package agent

import (
	"context"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/proof"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

// maxDoubts bounds how often a job is begun again because its version was not
// proven.
const maxDoubts = 8

// generate runs a job on the engine to its end. A swap of weights interrupts
// the run; it goes on from the tokens so far on the new version.
func (a *Agent) generate(j *job) error {
	for doubts := 0; doubts < maxDoubts; {
		whole, proven, err := a.segment(j)
		if !proven {
			j.doubt()
			doubts++
		}
		if err != nil {
			return err
		}
		if whole && (proven || !j.isSample()) {
			return nil
		}
	}
	return fault.New(fault.UnprovenVersion, "the engine's version kept changing")
}

// segment runs the job until it is whole, interrupted by a swap, or failed.
func (a *Agent) segment(j *job) (whole, proven bool, err error) {
	ctx, leave, err := a.swap.enter(j.ctx)
	if err != nil {
		return false, true, fault.Wrap(fault.Canceled, err, "attempt ended")
	}
	defer leave()
	before, err := a.p.Engine.Status(ctx)
	if err != nil {
		return false, true, a.broke(j, err)
	}
	if uint64(before.Version) < j.msg.Sample.Floor {
		return false, true, fault.New(fault.TooStale, "the engine holds an older version")
	}
	run := proof.Begin(before, a.swap.orders())
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	j.beginRun(run, cancel)
	defer j.endRun()
	whole, err = a.stream(ctx, j, before)
	if err != nil && !errors.Is(context.Cause(ctx), errSwap) {
		return false, false, a.broke(j, err)
	}
	to := len(j.have())
	after, err := a.p.Engine.Status(j.ctx)
	if err != nil {
		return whole, false, nil
	}
	v, err := run.End(after, a.swap.orders())
	if err != nil {
		return whole, false, nil
	}
	j.prove(v, to)
	return whole, true, nil
}

// stream passes the tokens of one run from the engine to the job.
func (a *Agent) stream(ctx context.Context, j *job, before plat.Status) (whole bool, err error) {
	meter := a.speed.begin(a.p.Clock.Now())
	w := plat.GenerateRequest{
		Attempt:   ident.Attempt(j.msg.Attempt),
		Prompt:    j.msg.Body,
		PrefixID:  j.msg.Prefix,
		Seed:      j.msg.Seed,
		MaxTokens: j.msg.MaxTokens,
		Delivered: j.have(),
		Priority:  j.msg.Priority,
	}
	defer a.crashes.enter(before.Boot, suspectID(j.msg))()
	err = a.p.Engine.Generate(ctx, w, func(c plat.Chunk) error {
		j.add(c.Tokens)
		meter.add(a.p.Clock.Now(), len(c.Tokens))
		whole = whole || c.Done
		return nil
	})
	if err != nil && ctx.Err() == nil && a.sawCrash(before.Boot) {
		err = fault.Wrap(fault.BackendCrashed, err, "the engine crashed")
	}
	return whole, err
}

// broke names why a run failed: the attempt was ended, or the engine failed.
func (a *Agent) broke(j *job, err error) error {
	if j.ctx.Err() != nil {
		return fault.Wrap(fault.Canceled, j.ctx.Err(), "attempt ended")
	}
	if f, ok := fault.As(err); ok && f.Outcome() == fault.NotRun {
		return err
	}
	if fault.Is(err, fault.BackendCrashed) {
		a.recordJob(trace.Crash, j.msg, err)
		return err
	}
	return fault.Wrap(fault.BrokenAnswer, err, "the engine failed")
}
