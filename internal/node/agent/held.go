package agent

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// Bounds of the finished samples kept here. A trainer may read a round long
// after its samples were made, since it trains meanwhile.
const (
	maxHeldTokens = 4 << 20 // tokens of 4 bytes
	sampleKeep    = 30 * clock.Minute
)

// Held implements the inner protocol.
func (s *service) Held(args *wire.HeldArgs, reply *wire.HeldReply) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	if args.All || len(args.Drop) > 0 {
		s.a.drop(args)
		return nil
	}
	for _, j := range s.a.jobs {
		if at := j.msg.Sample; at.Round == args.Round && at.Spec == args.Spec {
			j.list(reply)
		}
	}
	return nil
}

// drop forgets samples, and ends those that run. The lock of a is held.
func (a *Agent) drop(args *wire.HeldArgs) {
	ordinals := sets.Of(args.Drop...)
	for id, j := range a.jobs {
		at := j.msg.Sample
		one := at.Spec == args.Spec && ordinals.Has(at.Ordinal)
		if j.isSample() && at.Round == args.Round && (args.All || one) {
			j.cancel()
			delete(a.jobs, id)
		}
	}
}

// list adds the job to an answer about a round.
func (j *job) list(reply *wire.HeldReply) {
	r := j.peek()
	o := j.msg.Sample.Ordinal
	switch {
	case !r.Done:
		reply.Running = append(reply.Running, wire.HeldRun{Ordinal: o, Attempt: j.msg.Attempt})
	case r.Fault.Kind == "" && r.Proven:
		reply.Samples = append(reply.Samples, wire.HeldSample{
			Ordinal: o,
			Attempt: j.msg.Attempt,
			Tokens:  r.Tokens,
			Spans:   r.Spans,
		})
	}
}

// peek returns the whole answer so far without marking it as fetched.
func (j *job) peek() wire.FetchReply {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.answer(0)
}

// keepFor returns how long the answer of a finished job is kept.
func (a *Agent) keepFor(j *job) clock.Millis {
	if j.isSample() {
		return max(a.p.AnswerRetention, sampleKeep)
	}
	return a.p.AnswerRetention
}

// forget gives up work that nobody reads, and drops finished jobs that nobody
// fetched in time and the oldest samples beyond the bound in tokens. A sample
// that was fetched stays: the entry that has it may die before its trainer
// reads it.
func (a *Agent) forget(now clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var samples []*job
	for id, j := range a.jobs {
		switch {
		case j.isOrphan(now):
			j.cancel()
		case j.expired(now, a.keepFor(j)) || (j.isFetched() && !j.isSample()):
			delete(a.jobs, id)
		case j.isSample() && j.isDone():
			samples = append(samples, j)
		}
	}
	slices.SortFunc(samples, func(x, y *job) int { return cmp.Compare(y.endedAt, x.endedAt) })
	sum := 0
	for _, j := range samples {
		if sum += len(j.tokens); sum > maxHeldTokens {
			delete(a.jobs, ident.Attempt(j.msg.Attempt))
		}
	}
}
