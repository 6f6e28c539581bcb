package agent

import (
	"context"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// job is one attempt at this agent: its state and its answer so far.
type job struct {
	msg    wire.Job
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	grown   chan struct{} // closed and replaced when the answer grows
	tokens  []uint32
	body    []byte
	spans   []plat.Span
	proven  bool
	done    bool
	err     error
	fetched bool
	endedAt clock.Millis
}

func newJob(parent context.Context, m wire.Job) *job {
	j := &job{msg: m, grown: make(chan struct{}), proven: true}
	j.tokens = append(j.tokens, m.Resume...)
	j.spans = toSpans(m.Spans)
	if m.Left > 0 {
		j.ctx, j.cancel = context.WithTimeout(parent, clock.Millis(m.Left).Duration())
	} else {
		j.ctx, j.cancel = context.WithCancel(parent)
	}
	return j
}

func toSpans(ms []wire.Span) []plat.Span {
	out := make([]plat.Span, 0, len(ms))
	for _, m := range ms {
		out = append(out, plat.Span{Version: ident.Version(m.Version), From: m.From, To: m.To})
	}
	return out
}

func fromSpans(ss []plat.Span) []wire.Span {
	out := make([]wire.Span, 0, len(ss))
	for _, s := range ss {
		out = append(out, wire.Span{Version: uint64(s.Version), From: s.From, To: s.To})
	}
	return out
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

// prove notes that a version made the tokens from a position on.
func (j *job) prove(v ident.Version, from int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	to := len(j.tokens)
	if to == from {
		return
	}
	if n := len(j.spans); n > 0 && j.spans[n-1].Version == v {
		j.spans[n-1].To = to
		return
	}
	j.spans = append(j.spans, plat.Span{Version: v, From: from, To: to})
}

// doubt drops the tokens of a sample whose version is not proven; other work
// keeps them, since its caller does not ask for versions.
func (j *job) doubt(from int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.isSample() {
		j.tokens = j.tokens[:from]
		return
	}
	j.proven = false
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
	var r wire.FetchReply
	// A sample's tokens may still be dropped, so only its end is readable.
	if from < len(j.tokens) && (j.done || !j.isSample()) {
		r.Tokens = j.tokens[from:len(j.tokens):len(j.tokens)]
	}
	if j.done {
		j.fetched = true
		r.Done = true
		r.Body = j.body
		r.Spans = fromSpans(j.spans)
		r.Proven = j.proven
		r.Fault = wire.ToFault(j.err)
	}
	return r, j.grown
}

// admit starts a job or refuses it as not run.
func (a *Agent) admit(m wire.Job) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.leaving:
		return fault.New(fault.Leaving, "agent "+string(a.p.Node)+" is shutting down")
	case a.jobs[ident.Attempt(m.Attempt)] != nil:
		return fault.New(fault.StaleAttempt, "attempt "+m.Attempt+" was already started")
	case a.open >= a.p.Slots:
		return fault.New(fault.Overloaded, "agent "+string(a.p.Node)+" has no free slot").After(a.p.Report)
	case m.Call != (a.p.Plain != nil):
		return fault.New(fault.NoBackend, "agent "+string(a.p.Node)+" does not offer "+m.Service)
	}
	if err := a.checkService(m); err != nil {
		return err
	}
	j := newJob(a.ctx, m)
	a.jobs[ident.Attempt(m.Attempt)] = j
	a.open++
	go a.work(j)
	return nil
}

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
	j.end(a.p.Clock.Now(), body, err)
	a.mu.Lock()
	a.open--
	a.mu.Unlock()
}

// call runs a call of the plain service.
func (a *Agent) call(j *job) ([]byte, error) {
	body, err := a.p.Plain.Do(j.ctx, plat.Call{
		Attempt: ident.Attempt(j.msg.Attempt),
		Body:    j.msg.Body,
		Once:    j.msg.Once,
	})
	if err == nil {
		return body, nil
	}
	if _, ok := fault.As(err); ok {
		return nil, err
	}
	return nil, fault.Wrap(fault.Lost, err, "call of "+j.msg.Service)
}

// find returns a job by its attempt.
func (a *Agent) find(id string) (*job, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j, ok := a.jobs[ident.Attempt(id)]
	return j, ok
}

// forget drops finished jobs that nobody fetched in time.
func (a *Agent) forget(now clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, j := range a.jobs {
		if j.expired(now, a.p.Keep) || (j.isFetched() && !j.isSample()) {
			delete(a.jobs, id)
		}
	}
}
