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

// job is one attempt at this agent: its state and its answer so far.
type job struct {
	msg    wire.Job
	entry  ident.Node // that gave it
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	grown   chan struct{} // closed and replaced when the answer grows
	tokens  []uint32
	body    []byte
	spans   []plat.Span
	sure    int // tokens whose versions are proven
	run     proof.Segment
	lose    context.CancelCauseFunc // ends the run
	running bool                    // run is open
	runs    int                     // runs that ended
	proven  bool
	done    bool
	err     error
	fetched bool
	moved   bool // ended so that it goes on elsewhere
	endedAt clock.Millis
	readAt  clock.Millis // when somebody last asked for the answer
}

func newJob(parent context.Context, entry ident.Node, m wire.Job) *job {
	j := &job{msg: m, entry: entry, grown: make(chan struct{}), proven: true}
	j.tokens = append(j.tokens, m.Resume...)
	j.spans = wire.ToSpans(m.Spans)
	j.sure = len(j.tokens)
	if j.isSample() {
		j.sure = min(j.sure, covered(j.spans))
		j.tokens = j.tokens[:j.sure]
	}
	if m.Left > 0 {
		j.ctx, j.cancel = context.WithTimeout(parent, clock.Millis(m.Left).Duration())
	} else {
		j.ctx, j.cancel = context.WithCancel(parent)
	}
	return j
}

// touch notes that somebody asks for the answer.
func (j *job) touch(now clock.Millis) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readAt = now
}

// orphanAfter is how long nobody asks for an answer before its work is given
// up. It is longer than an entry's pause that a request survives.
const orphanAfter = 40 * clock.Second

// isOrphan reports whether the work can be given up: its entry died, and what
// it makes is worth nothing without a reader. Samples and work that may run
// only once are worth it.
func (j *job) isOrphan(now clock.Millis) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.done && !j.isSample() && !j.msg.Once && now-j.readAt > orphanAfter
}

// covered returns how many tokens the spans prove without a gap.
func covered(ss []plat.Span) int {
	to := 0
	for _, s := range ss {
		if s.From != to {
			break
		}
		to = s.To
	}
	return to
}

// isSample reports whether the job makes a sample of a round.
func (j *job) isSample() bool { return j.msg.Sample.Round != "" }

func (j *job) signal() {
	close(j.grown)
	j.grown = make(chan struct{})
}

func (j *job) add(tokens []uint32) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tokens = append(j.tokens, tokens...)
	j.signal()
}

// have returns the tokens so far.
func (j *job) have() []uint32 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tokens[:len(j.tokens):len(j.tokens)]
}

// end closes the job with its result.
func (j *job) end(now clock.Millis, body []byte, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.done {
		return
	}
	j.done, j.body, j.err, j.endedAt = true, body, err, now
	j.signal()
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

// expired reports whether a finished job was kept long enough.
func (j *job) expired(now, keep clock.Millis) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done && now-j.endedAt > keep
}

// read returns the answer after a position and a channel that closes when
// there is more.
func (j *job) read(from int) (wire.FetchReply, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.answer(from)
	j.fetched = j.fetched || j.done
	return r, j.grown
}

// answer returns the answer after a position. The lock of j is held.
func (j *job) answer(from int) wire.FetchReply {
	var r wire.FetchReply
	to := len(j.tokens)
	if j.isSample() { // Tokens that are not proven may still be dropped.
		to = j.sure
		r.Spans = wire.FromSpans(j.spans)
	}
	if from < to {
		r.Tokens = j.tokens[from:to:to]
	}
	switch {
	case j.done && j.moved && j.err != nil:
		r.Moves = true
	case j.done:
		r.Done = true
		r.Body = j.body
		r.Proven = j.proven
		r.Fault = wire.ToFault(j.err)
	}
	return r
}

// admit starts a job or refuses it as not run.
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
	if err := a.limit.Admit(a.p.Clock.Now(), a.p.Node, askOf(m), a.p.ReportInterval); err != nil {
		return err
	}
	j := newJob(a.ctx, entry, m)
	j.touch(a.p.Clock.Now())
	a.jobs[ident.Attempt(m.Attempt)] = j
	go a.work(j)
	return nil
}

func askOf(m wire.Job) limit.Request { return limit.Request{Short: m.Short, CrashSuspect: m.Suspect} }

// checkService refuses work for another service or on too old a version.
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

func (a *Agent) work(j *job) {
	var body []byte
	var err error
	if j.msg.Call {
		body, err = a.call(j)
	} else {
		err = a.generate(j)
	}
	if j.msg.Once {
		a.claims.end(a.p.Clock.Now(), j.msg.Claim, body, err)
	}
	j.end(a.p.Clock.Now(), body, err)
	a.recordJob(trace.Finish, j.msg, err)
	a.mu.Lock()
	a.limit.Release(a.p.Clock.Now(), askOf(j.msg))
	a.mu.Unlock()
}

// call runs a call of the plain service.
func (a *Agent) call(j *job) ([]byte, error) {
	boot := a.status.Load().Boot
	defer a.crashes.enter(boot, suspectID(j.msg))()
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
	if j.ctx.Err() == nil && a.sawCrash(boot) {
		a.recordJob(trace.Crash, j.msg, err)
		return nil, fault.Wrap(fault.BackendCrashed, err, "the service crashed")
	}
	return nil, fault.Wrap(fault.OutcomeUnknown, err, "call of "+j.msg.Service)
}

// find returns a job by its attempt.
func (a *Agent) find(id string) (*job, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j, ok := a.jobs[ident.Attempt(id)]
	return j, ok
}
