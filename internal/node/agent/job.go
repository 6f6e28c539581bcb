package agent

import (
	"context"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/limit"
	"github.com/jujuberamp/jujuberamp/internal/decide/proof"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// job is one attempt: its state and its current answer.
type job struct {
	msg    wire.Job
	entry  ident.Node // that submitted the job
	ctx    context.Context
	cancel context.CancelFunc

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced when the answer changes
	tokens        []uint32
	body          []byte
	spans         []plat.Span
	provenTokens  int // leading tokens whose weight versions are proven
	segment       proof.Segment
	cancelSegment context.CancelCauseFunc // ends the open segment
	segmentOpen   bool                    // whether segment is open
	segmentsEnded int
	proven        bool // false if the answer has tokens of an unproven weight version
	done          bool
	err           error
	fetched       bool
	migrated      bool // ended so that its entry continues it on another engine
	endedAt       clock.Millis
	lastReadAt    clock.Millis // time of the last Fetch, or of the admission
}

func newJob(parent context.Context, entry ident.Node, m wire.Job) *job {
	j := &job{msg: m, entry: entry, changed: make(chan struct{}), proven: true}
	j.tokens = append(j.tokens, m.Resume...)
	j.spans = wire.ToSpans(m.Spans)
	j.provenTokens = len(j.tokens)
	if j.isSample() {
		j.provenTokens = min(j.provenTokens, provenPrefix(j.spans))
		j.tokens = j.tokens[:j.provenTokens]
	}
	if m.Left > 0 {
		j.ctx, j.cancel = context.WithTimeout(parent, clock.Millis(m.Left).Duration())
	} else {
		j.ctx, j.cancel = context.WithCancel(parent)
	}
	return j
}

// touch records the time of a Fetch or of the admission.
func (j *job) touch(now clock.Millis) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastReadAt = now
}

// orphanTimeout is the time without a Fetch after which a job is canceled. It
// exceeds the longest pause of an entry's process that its requests must survive.
const orphanTimeout = 40 * clock.Second

// isOrphan reports whether a running job can be canceled because its entry has
// presumably died. Samples and at-most-once work are never orphans, since other
// entries can still use their results.
func (j *job) isOrphan(now clock.Millis) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.done && !j.isSample() && !j.msg.Once && now-j.lastReadAt > orphanTimeout
}

// provenPrefix returns the number of leading tokens that the spans cover
// without a gap.
func provenPrefix(ss []plat.Span) int {
	to := 0
	for _, s := range ss {
		if s.From != to {
			break
		}
		to = s.To
	}
	return to
}

// isSample reports whether the job generates a sample of a round.
func (j *job) isSample() bool { return j.msg.Sample.Round != "" }

func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *job) appendTokens(tokens []uint32) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tokens = append(j.tokens, tokens...)
	j.notify()
}

// currentTokens returns the tokens generated so far.
func (j *job) currentTokens() []uint32 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tokens[:len(j.tokens):len(j.tokens)]
}

// finish records the result of the job. Later calls have no effect.
func (j *job) finish(now clock.Millis, body []byte, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.done {
		return
	}
	j.done, j.body, j.err, j.endedAt = true, body, err, now
	j.notify()
	j.cancel()
}

func (j *job) isDone() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done
}

func (j *job) isFetched() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fetched
}

// isExpired reports whether a job finished longer ago than the retention.
func (j *job) isExpired(now, retention clock.Millis) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done && now-j.endedAt > retention
}

// read returns the answer from a token index on, and a channel that is closed
// when the answer changes. It marks the answer of a finished job as fetched.
func (j *job) read(from int) (wire.FetchReply, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.replyFrom(from)
	j.fetched = j.fetched || j.done
	return r, j.changed
}

// replyFrom returns the answer from a token index on. The caller must hold j.mu.
func (j *job) replyFrom(from int) wire.FetchReply {
	var r wire.FetchReply
	to := len(j.tokens)
	if j.isSample() { // Unproven tokens may still be dropped.
		to = j.provenTokens
		r.Spans = wire.FromSpans(j.spans)
	}
	if from < to {
		r.Tokens = j.tokens[from:to:to]
	}
	switch {
	case j.done && j.migrated && j.err != nil:
		r.Moves = true
	case j.done:
		r.Done = true
		r.Body = j.body
		r.Proven = j.proven
		r.Fault = wire.ToFault(j.err)
	}
	return r
}

// admit starts a job, or refuses it with a fault that says it was not executed.
func (a *Agent) admit(entry ident.Node, m wire.Job) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.isLeaving():
		return fault.New(fault.Leaving, "agent "+string(a.p.Node)+" is shutting down")
	case a.jobs[ident.Attempt(m.Attempt)] != nil:
		return fault.New(fault.StaleAttempt, "attempt "+m.Attempt+" was already started")
	case m.Call != (a.p.Plain != nil):
		return fault.New(fault.NoBackend, "agent "+string(a.p.Node)+" does not offer "+m.Service)
	}
	if err := a.checkService(m); err != nil {
		return err
	}
	if err := a.limiter.Admit(a.p.Clock.Now(), a.p.Node, limitRequest(m), a.p.ReportInterval); err != nil {
		return err
	}
	j := newJob(a.ctx, entry, m)
	j.touch(a.p.Clock.Now())
	a.jobs[ident.Attempt(m.Attempt)] = j
	go a.runJob(j)
	return nil
}

// limitRequest describes a job to the limiter.
func limitRequest(m wire.Job) limit.Request {
	return limit.Request{Short: m.Short, CrashSuspect: m.Suspect}
}

// checkService refuses jobs for another service, and samples that need a newer
// weight version.
func (a *Agent) checkService(m wire.Job) error {
	if m.Call {
		if ident.Service(m.Service) != a.p.Service {
			return fault.New(fault.NoBackend, "agent "+string(a.p.Node)+" does not offer "+m.Service)
		}
		return nil
	}
	st := a.status.Load()
	if ident.Service(m.Service) != st.Model {
		return fault.New(fault.NoBackend, "agent "+string(a.p.Node)+" does not offer "+m.Service)
	}
	if uint64(st.Version) < m.Sample.Floor {
		return fault.New(fault.TooStale, "agent "+string(a.p.Node)+" holds an older version")
	}
	return nil
}

// runJob runs an admitted job to its end and records the result.
func (a *Agent) runJob(j *job) {
	var body []byte
	var err error
	if j.msg.Call {
		body, err = a.runCall(j)
	} else {
		err = a.generate(j)
	}
	if j.msg.Once {
		a.claims.finish(a.p.Clock.Now(), j.msg.Claim, body, err)
	}
	j.finish(a.p.Clock.Now(), body, err)
	a.recordJob(trace.Finish, j.msg, err)
	a.mu.Lock()
	a.limiter.Release(a.p.Clock.Now(), limitRequest(j.msg))
	a.mu.Unlock()
}

// runCall runs one call of the plain service.
func (a *Agent) runCall(j *job) ([]byte, error) {
	boot := a.status.Load().Boot
	defer a.crashes.addRequest(boot, requestFingerprint(j.msg))()
	body, err := a.p.Plain.Do(j.ctx, plat.ServiceCall{
		Attempt:    ident.Attempt(j.msg.Attempt),
		Body:       j.msg.Body,
		AtMostOnce: j.msg.Once,
	})
	if err == nil {
		return body, nil
	}
	if _, ok := fault.As(err); ok {
		return nil, err
	}
	if j.ctx.Err() == nil && a.recordIfCrashed(boot) {
		a.recordJob(trace.Crash, j.msg, err)
		return nil, fault.Wrap(fault.BackendCrashed, err, "the service crashed")
	}
	return nil, fault.Wrap(fault.OutcomeUnknown, err, "call of "+j.msg.Service)
}

// findJob returns the job of an attempt.
func (a *Agent) findJob(id string) (*job, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j, ok := a.jobs[ident.Attempt(id)]
	return j, ok
}
