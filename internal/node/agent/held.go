package agent

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// Bounds of the finished samples that an agent keeps. A trainer trains between
// its reads, so it may read a round long after the samples were generated.
const (
	maxKeptTokens   = 4 << 20 // 16 MiB at 4 bytes per token
	sampleRetention = 30 * clock.Minute
)

// Held returns or drops the samples of a round as part of the inner protocol.
func (s *service) Held(args *wire.HeldArgs, reply *wire.HeldReply) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	if args.All || len(args.Drop) > 0 {
		s.a.dropSamples(args)
		return nil
	}
	for _, j := range s.a.jobs {
		if sample := j.msg.Sample; sample.Round == args.Round && sample.Spec == args.Spec {
			j.appendTo(reply)
		}
	}
	return nil
}

// dropSamples removes all samples of a round, or those that args lists, and
// cancels the ones in progress. The caller must hold a.mu.
func (a *Agent) dropSamples(args *wire.HeldArgs) {
	ordinals := sets.Of(args.Drop...)
	for id, j := range a.jobs {
		sample := j.msg.Sample
		listed := sample.Spec == args.Spec && ordinals.Has(sample.Ordinal)
		if j.isSample() && sample.Round == args.Round && (args.All || listed) {
			j.cancel()
			delete(a.jobs, id)
		}
	}
}

// appendTo adds the job to a reply about a round.
func (j *job) appendTo(reply *wire.HeldReply) {
	r := j.peek()
	ordinal := j.msg.Sample.Ordinal
	switch {
	case !r.Done:
		reply.Running = append(reply.Running, wire.HeldRun{Ordinal: ordinal, Attempt: j.msg.Attempt})
	case r.Fault.Kind == "" && r.Proven:
		reply.Samples = append(reply.Samples, wire.HeldSample{
			Ordinal: ordinal,
			Attempt: j.msg.Attempt,
			Tokens:  r.Tokens,
			Spans:   r.Spans,
		})
	}
}

// peek returns all of the current answer without marking it as fetched.
func (j *job) peek() wire.FetchReply {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.replyFrom(0)
}

// retentionOf returns how long the answer of a finished job is kept.
func (a *Agent) retentionOf(j *job) clock.Millis {
	if j.isSample() {
		return max(a.p.AnswerRetention, sampleRetention)
	}
	return a.p.AnswerRetention
}

// prune cancels orphaned jobs. It removes finished jobs that were fetched or
// whose retention has ended, and the oldest samples beyond maxKeptTokens. A
// fetched sample is kept, since the entry may crash before the trainer reads it.
func (a *Agent) prune(now clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var samples []*job
	for id, j := range a.jobs {
		switch {
		case j.isOrphan(now):
			j.cancel()
		case j.isExpired(now, a.retentionOf(j)) || (j.isFetched() && !j.isSample()):
			delete(a.jobs, id)
		case j.isSample() && j.isDone():
			samples = append(samples, j)
		}
	}
	slices.SortFunc(samples, func(x, y *job) int { return cmp.Compare(y.endedAt, x.endedAt) })
	keptTokens := 0
	for _, j := range samples {
		if keptTokens += len(j.tokens); keptTokens > maxKeptTokens {
			delete(a.jobs, ident.Attempt(j.msg.Attempt))
		}
	}
}
