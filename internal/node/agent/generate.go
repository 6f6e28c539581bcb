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

// maxUnprovenSegments bounds the segments of a job whose weight version could
// not be proven.
const maxUnprovenSegments = 8

// generate runs a job on the engine until its output is complete. A load order
// interrupts the job. The next segment continues after the tokens generated so
// far, on the new weight version.
func (a *Agent) generate(j *job) error {
	for unproven := 0; unproven < maxUnprovenSegments; {
		complete, proven, err := a.runSegment(j)
		if !proven {
			j.markUnproven()
			unproven++
		}
		if err != nil {
			return err
		}
		if complete && (proven || !j.isSample()) {
			return nil
		}
	}
	return fault.New(fault.UnprovenVersion, "the engine's version kept changing")
}

// runSegment runs the job until its output is complete, a load order interrupts
// it, or it fails. The result proven reports whether the weight version of the
// segment's tokens is proven.
func (a *Agent) runSegment(j *job) (complete, proven bool, err error) {
	ctx, release, err := a.loads.acquire(j.ctx)
	if err != nil {
		return false, true, fault.Wrap(fault.Canceled, err, "attempt ended")
	}
	defer release()
	before, err := a.p.Engine.Status(ctx)
	switch {
	case err != nil && j.isUnstarted():
		return false, true, fault.Wrap(fault.NoBackend, err, "the engine of agent "+string(a.p.Node)+" does not answer")
	case err != nil:
		return false, true, a.classifyFailure(j, err)
	}
	if uint64(before.Version) < j.msg.Sample.Floor {
		return false, true, fault.New(fault.TooStale, "the engine holds an older version")
	}
	segment := proof.Begin(before, a.loads.ordersStarted())
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	j.beginSegment(segment, cancel)
	defer j.endSegment()
	complete, err = a.stream(ctx, j, before)
	if err != nil && !errors.Is(context.Cause(ctx), errInterrupted) {
		return false, false, a.classifyFailure(j, err)
	}
	tokens := len(j.currentTokens())
	after, err := a.p.Engine.Status(j.ctx)
	if err != nil {
		return complete, false, nil
	}
	v, err := segment.End(after, a.loads.ordersStarted())
	if err != nil {
		return complete, false, nil
	}
	j.markProven(v, tokens)
	return complete, true, nil
}

// stream generates the tokens of one segment and appends them to the job.
func (a *Agent) stream(ctx context.Context, j *job, before plat.Status) (complete bool, err error) {
	meter := a.throughput.startMeter(a.p.Clock.Now())
	req := plat.GenerateRequest{
		Attempt:   ident.Attempt(j.msg.Attempt),
		Prompt:    j.msg.Body,
		PrefixID:  j.msg.Prefix,
		Seed:      j.msg.Seed,
		MaxTokens: j.msg.MaxTokens,
		Delivered: j.currentTokens(),
		Priority:  j.msg.Priority,
	}
	defer a.crashes.addRequest(before.Boot, requestFingerprint(j.msg))()
	err = a.p.Engine.Generate(ctx, req, func(c plat.Chunk) error {
		j.appendTokens(c.Tokens)
		meter.record(a.p.Clock.Now(), len(c.Tokens))
		complete = complete || c.Done
		return nil
	})
	if err != nil && ctx.Err() == nil && a.recordIfCrashed(before.Boot) {
		err = fault.Wrap(fault.BackendCrashed, err, "the engine crashed")
	}
	return complete, err
}

// classifyFailure returns the fault of a failed segment: the attempt was
// canceled, or the engine failed.
func (a *Agent) classifyFailure(j *job, err error) error {
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
