// Package engine is a fake model engine. The engine batches continuously, caches
// prefixes, honours priorities, resumes and cancels streams, and loads versions
// with or without fencing tokens. Its load report lags, and tests can slow the
// engine down or crash it.
//
// The engine records which version generated each token of each attempt. Tests
// and the demo compare the versions that the service reports with this record.
//
// # Usage
//
//	e := engine.New(engine.Params{Batch: batch.Params{...}, LoadTime: 300 * clock.Milli, Fenced: true}, clk)
//	go e.Run(ctx)
//	err := e.Generate(ctx, req, sink)
package engine

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/stand/batch"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
)

// CrashMarker in a prompt crashes the engine that runs it.
var CrashMarker = []byte("crash-the-engine")

// ErrCrashed is returned by every call on a crashed engine.
var ErrCrashed = errors.New("engine: crashed")

// stepInterval is the interval at which Run advances the streams.
const stepInterval = 5 * clock.Milli

// Params configures an engine.
type Params struct {
	Batch         batch.Params
	Model         ident.Service
	Version       ident.Version
	LoadTime      clock.Millis // time to load a version
	Fenced        bool         // refuse load orders with an older fencing token
	LoadReportAge clock.Millis // age at which the load report is renewed
	FailLoads     bool         // make each load fail
}

// job is a request in progress.
type job struct {
	request     plat.GenerateRequest
	totalTokens int
	generated   int           // tokens so far, delivered ones included
	notify      chan struct{} // wakes the Generate call
	err         error
}

// Engine is the fake engine.
type Engine struct {
	p     Params
	clock clock.Clock

	mu             sync.Mutex
	sim            *batch.Engine
	jobs           map[ident.Attempt]*job
	incarnation    ident.Incarnation
	model          ident.Service
	version        ident.Version
	fencingToken   ident.Offset
	activeLoads    int
	down           bool
	loadReport     plat.Load
	loadReportedAt clock.Millis
	attemptRecords map[ident.Attempt]*AttemptRecord
	startCounts    map[ident.Attempt]int
}

// New returns an engine with its initial version loaded.
func New(p Params, c clock.Clock) *Engine {
	e := &Engine{p: p, clock: c, attemptRecords: make(map[ident.Attempt]*AttemptRecord), startCounts: make(map[ident.Attempt]int)}
	e.reset()
	return e
}

// reset puts the engine into the state after a start: a new incarnation without
// jobs and with the initial version. The fencing token stays.
func (e *Engine) reset() {
	e.sim = batch.New(e.p.Batch)
	e.sim.Advance(e.clock.Now())
	e.jobs = make(map[ident.Attempt]*job)
	e.incarnation = ident.NewIncarnation()
	e.model, e.version = e.p.Model, e.p.Version
	e.activeLoads = 0
}

// Run advances the engine until the context is canceled.
func (e *Engine) Run(ctx context.Context) {
	clock.Every(ctx, stepInterval, e.step)
}

// step advances all streams to the present and renews the load report.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	now := e.clock.Now()
	e.advance(now)
	if now-e.loadReportedAt >= e.p.LoadReportAge {
		e.loadReport = plat.Load{Running: e.sim.Running(), Waiting: e.sim.Waiting(), Slots: e.p.Batch.Slots}
		e.loadReportedAt = now
	}
}

// advance runs all streams up to a moment. Apart from reset, only advance calls
// Advance of the simulation, which reports each finished job only once.
func (e *Engine) advance(now clock.Millis) {
	done := make(map[ident.Attempt]bool)
	for _, id := range e.sim.Advance(now) {
		done[ident.Attempt(id)] = true
	}
	for id, j := range e.jobs {
		tokens := len(j.request.Delivered) + e.sim.TokensGenerated(string(id))
		if done[id] {
			tokens = j.totalTokens
		}
		e.recordProgress(id, j, tokens)
	}
}

// recordProgress records the version of the tokens that were generated since the
// last call, and wakes the stream of the job.
func (e *Engine) recordProgress(id ident.Attempt, j *job, tokens int) {
	if tokens <= j.generated {
		return
	}
	e.attemptRecords[id].setVersion(e.version, j.generated, tokens)
	j.generated = tokens
	j.wake()
}

// wake notifies the Generate call of the job. It does not block.
func (j *job) wake() {
	select {
	case j.notify <- struct{}{}:
	default:
	}
}

// Generate implements [plat.Engine].
func (e *Engine) Generate(ctx context.Context, r plat.GenerateRequest, sink func(plat.Chunk) error) error {
	j, err := e.startJob(r)
	if err != nil {
		return err
	}
	defer e.removeJob(r.Attempt)
	next := len(r.Delivered)
	for {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "generate")
		case <-j.notify:
		}
		generated, err := e.jobState(j)
		if err != nil {
			return err
		}
		c := plat.Chunk{Done: generated == j.totalTokens}
		for ; next < generated; next++ {
			c.Tokens = append(c.Tokens, oracle.Token(r.Prompt, r.Seed, next))
		}
		if err := sink(c); err != nil {
			return err
		}
		if c.Done {
			return nil
		}
	}
}

// startJob starts a request. A request with [CrashMarker] crashes the engine.
func (e *Engine) startJob(r plat.GenerateRequest) (*job, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, ErrCrashed
	}
	if bytes.Contains(r.Prompt, CrashMarker) {
		e.crash()
		return nil, ErrCrashed
	}
	totalTokens := oracle.Length(r.Prompt, r.Seed, r.MaxTokens)
	j := &job{request: r, totalTokens: totalTokens, generated: len(r.Delivered), notify: make(chan struct{}, 1)}
	e.jobs[r.Attempt] = j
	e.startCounts[r.Attempt]++
	if e.attemptRecords[r.Attempt] == nil {
		e.attemptRecords[r.Attempt] = &AttemptRecord{prompt: string(r.Prompt), seed: r.Seed}
	}
	now := e.clock.Now()
	e.advance(now)
	e.sim.Add(now, batch.Job{
		ID:       string(r.Attempt),
		Prompt:   len(r.Prompt),
		Prefix:   r.PrefixID,
		Tokens:   totalTokens - len(r.Delivered),
		Priority: r.Priority,
	})
	if totalTokens == len(r.Delivered) {
		j.wake()
	}
	return j, nil
}

// jobState returns the number of tokens of a job so far, delivered ones included,
// and the error that ended the job, if any.
func (e *Engine) jobState(j *job) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.generated, j.err
}

// removeJob removes a job that is finished or canceled.
func (e *Engine) removeJob(id ident.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.jobs[id]; !ok {
		return
	}
	delete(e.jobs, id)
	e.sim.Cancel(string(id))
}

// Status implements [plat.Engine].
func (e *Engine) Status(context.Context) (plat.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return plat.Status{}, ErrCrashed
	}
	return plat.Status{
		Boot:    e.incarnation,
		Model:   e.model,
		Version: e.version,
		Loading: e.activeLoads > 0,
		Fence:   e.fencingToken,
		Load:    e.loadReport,
	}, nil
}

// Load implements [plat.Engine]. If the context is canceled, the load continues in
// the background.
func (e *Engine) Load(ctx context.Context, o plat.Order) error {
	done, err := e.beginLoad(o)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "load")
	case err := <-done:
		return err
	}
}

// beginLoad starts a load and returns a channel for its result. The load takes
// Params.LoadTime.
func (e *Engine) beginLoad(o plat.Order) (<-chan error, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, ErrCrashed
	}
	if e.p.Fenced && o.Fence < e.fencingToken {
		return nil, fault.New(fault.StaleOrder, "order is older than the one in force")
	}
	e.fencingToken = max(e.fencingToken, o.Fence)
	e.activeLoads++
	done := make(chan error, 1)
	incarnation := e.incarnation
	time.AfterFunc(e.p.LoadTime.Duration(), func() { done <- e.finishLoad(o, incarnation) })
	return done, nil
}

// finishLoad switches to the loaded version. It fails if the engine crashed
// during the load, or if fencing is on and a newer order was accepted meanwhile.
func (e *Engine) finishLoad(o plat.Order, incarnation ident.Incarnation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation || e.down {
		return ErrCrashed
	}
	e.activeLoads--
	e.advance(e.clock.Now())
	if e.p.FailLoads {
		return errors.New("engine: load failed")
	}
	if e.p.Fenced && o.Fence < e.fencingToken {
		return fault.New(fault.StaleOrder, "order is older than the one in force")
	}
	e.model, e.version = o.Model, o.Version
	return nil
}

// Crash fails all jobs immediately. The engine stays down until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.down = true
	for _, j := range e.jobs {
		j.err = ErrCrashed
		j.wake()
	}
}

// Restart starts a crashed engine again, as a new incarnation with its initial
// version.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.reset()
}

// IsDown reports whether the engine has crashed.
func (e *Engine) IsDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// Attempts returns the number of distinct attempts that the engine has started.
func (e *Engine) Attempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.startCounts)
}

// SetSpeed sets the speed of the engine as a share of its full speed.
func (e *Engine) SetSpeed(s float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(e.clock.Now())
	e.sim.SetSpeed(s)
}

// SetFailLoads sets whether loads fail.
func (e *Engine) SetFailLoads(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.p.FailLoads = on
}

// AttemptRecord records, for one attempt, which version generated the token at
// each position. If a token was generated more than once, the last version is
// kept.
type AttemptRecord struct {
	prompt   string
	seed     int64
	versions []ident.Version // 0 for a token that this engine did not generate
}

// setVersion records the version of the tokens [from, to).
func (r *AttemptRecord) setVersion(v ident.Version, from, to int) {
	for len(r.versions) < to {
		r.versions = append(r.versions, 0)
	}
	for i := from; i < to; i++ {
		r.versions[i] = v
	}
}

// VerifySpan reports whether this engine generated the tokens of a span in the
// attempt and with the version that the span names.
func (e *Engine) VerifySpan(prompt []byte, seed int64, s plat.Span) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.attemptRecords[s.Attempt]
	if r == nil || r.prompt != string(prompt) || r.seed != seed || s.To > len(r.versions) {
		return false
	}
	for _, v := range r.versions[s.From:s.To] {
		if v != s.Version {
			return false
		}
	}
	return true
}
