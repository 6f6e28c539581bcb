// Package engine is a stand-in model engine: it batches continuously, caches
// prefixes, honours priorities, resumes and cancels streams, loads versions
// with or without fencing, reports its load late, slows and crashes.
//
// It keeps a record of which version made which token of which attempt. Tests
// and the demo compare the system's claims with this record.
//
// # Usage
//
//	e := engine.New(engine.Params{Batch: batch.Params{...}, Swap: 300 * clock.Millisecond, Fenced: true})
//	go e.Run(ctx)
//	err := e.Generate(ctx, work, sink)
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

const tick = 5 * clock.Milli

// Params describe the engine.
type Params struct {
	Batch         batch.Params
	Model         ident.Service
	Version       ident.Version
	LoadTime      clock.Millis // time to load a version
	Fenced        bool         // refuses an old fencing number
	LoadReportAge clock.Millis // age of the load report
	FailLoads     bool         // each load fails
}

type job struct {
	work   plat.GenerateRequest
	total  int
	sent   int
	notify chan struct{}
	failed error
}

// Engine is one running stand-in.
type Engine struct {
	p     Params
	clock clock.Clock

	mu      sync.Mutex
	core    *batch.Engine
	jobs    map[ident.Attempt]*job
	boot    ident.Incarnation
	model   ident.Service
	version ident.Version
	fence   ident.Offset
	loading int
	down    bool
	load    plat.Load
	loadAt  clock.Millis
	record  map[ident.Attempt]*Made
	starts  map[ident.Attempt]int
}

// New returns an engine with its first version loaded.
func New(p Params, c clock.Clock) *Engine {
	e := &Engine{p: p, clock: c, record: make(map[ident.Attempt]*Made), starts: make(map[ident.Attempt]int)}
	e.reset()
	return e
}

func (e *Engine) reset() {
	e.core = batch.New(e.p.Batch)
	e.core.Advance(e.clock.Now())
	e.jobs = make(map[ident.Attempt]*job)
	e.boot = ident.NewIncarnation()
	e.model, e.version = e.p.Model, e.p.Version
	e.loading = 0
}

// Run drives the engine until the context ends.
func (e *Engine) Run(ctx context.Context) {
	clock.Every(ctx, tick, e.step)
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	now := e.clock.Now()
	e.advance(now)
	if now-e.loadAt >= e.p.LoadReportAge {
		e.load = plat.Load{Running: e.core.Running(), Waiting: e.core.Waiting(), Slots: e.p.Batch.Slots}
		e.loadAt = now
	}
}

// advance moves all streams up to an instant. It is the only caller of the
// model's Advance, so that no finished job goes unnoticed.
func (e *Engine) advance(now clock.Millis) {
	done := make(map[ident.Attempt]bool)
	for _, id := range e.core.Advance(now) {
		done[ident.Attempt(id)] = true
	}
	for id, j := range e.jobs {
		made := len(j.work.Delivered) + e.core.TokensGenerated(string(id))
		if done[id] {
			made = j.total
		}
		e.progress(id, j, made)
	}
}

func (e *Engine) progress(id ident.Attempt, j *job, made int) {
	if made <= j.sent {
		return
	}
	e.record[id].note(e.version, j.sent, made)
	j.sent = made
	j.wake()
}

func (j *job) wake() {
	select {
	case j.notify <- struct{}{}:
	default:
	}
}

// Generate implements [plat.Engine].
func (e *Engine) Generate(ctx context.Context, w plat.GenerateRequest, sink func(plat.Chunk) error) error {
	j, err := e.start(w)
	if err != nil {
		return err
	}
	defer e.forget(w.Attempt)
	next := len(w.Delivered)
	for {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "generate")
		case <-j.notify:
		}
		sent, err := e.state(j)
		if err != nil {
			return err
		}
		c := plat.Chunk{Done: sent == j.total}
		for ; next < sent; next++ {
			c.Tokens = append(c.Tokens, oracle.Token(w.Prompt, w.Seed, next))
		}
		if err := sink(c); err != nil {
			return err
		}
		if c.Done {
			return nil
		}
	}
}

func (e *Engine) start(w plat.GenerateRequest) (*job, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, ErrCrashed
	}
	if bytes.Contains(w.Prompt, CrashMarker) {
		e.crash()
		return nil, ErrCrashed
	}
	total := oracle.Length(w.Prompt, w.Seed, w.MaxTokens)
	j := &job{work: w, total: total, sent: len(w.Delivered), notify: make(chan struct{}, 1)}
	e.jobs[w.Attempt] = j
	e.starts[w.Attempt]++
	if e.record[w.Attempt] == nil {
		e.record[w.Attempt] = &Made{prompt: string(w.Prompt), seed: w.Seed}
	}
	now := e.clock.Now()
	e.advance(now)
	e.core.Add(now, batch.Job{
		ID:       string(w.Attempt),
		Prompt:   len(w.Prompt),
		Prefix:   w.PrefixID,
		Tokens:   total - len(w.Delivered),
		Priority: w.Priority,
	})
	if total == len(w.Delivered) {
		j.wake()
	}
	return j, nil
}

func (e *Engine) state(j *job) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.sent, j.failed
}

func (e *Engine) forget(id ident.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.jobs[id]; !ok {
		return
	}
	delete(e.jobs, id)
	e.core.Cancel(string(id))
}

// Status implements [plat.Engine].
func (e *Engine) Status(context.Context) (plat.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return plat.Status{}, ErrCrashed
	}
	return plat.Status{
		Boot:    e.boot,
		Model:   e.model,
		Version: e.version,
		Loading: e.loading > 0,
		Fence:   e.fence,
		Load:    e.load,
	}, nil
}

// Load implements [plat.Engine]. The swap goes on when the caller gives up.
func (e *Engine) Load(ctx context.Context, o plat.Order) error {
	done, err := e.begin(o)
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

func (e *Engine) begin(o plat.Order) (<-chan error, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, ErrCrashed
	}
	if e.p.Fenced && o.Fence < e.fence {
		return nil, fault.New(fault.StaleOrder, "order is older than the one in force")
	}
	e.fence = max(e.fence, o.Fence)
	e.loading++
	done := make(chan error, 1)
	boot := e.boot
	time.AfterFunc(e.p.LoadTime.Duration(), func() { done <- e.finish(o, boot) })
	return done, nil
}

func (e *Engine) finish(o plat.Order, boot ident.Incarnation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot || e.down {
		return ErrCrashed
	}
	e.loading--
	e.advance(e.clock.Now())
	if e.p.FailLoads {
		return errors.New("engine: load failed")
	}
	if e.p.Fenced && o.Fence < e.fence {
		return fault.New(fault.StaleOrder, "order is older than the one in force")
	}
	e.model, e.version = o.Model, o.Version
	return nil
}

// Crash ends all work at once; the engine stays down until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.down = true
	for _, j := range e.jobs {
		j.failed = ErrCrashed
		j.wake()
	}
}

// Restart brings a crashed engine back, with its first version.
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

// Attempts returns how many distinct attempts the engine has begun.
func (e *Engine) Attempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.starts)
}

// SetSpeed slows the engine to a share of its full speed.
func (e *Engine) SetSpeed(s float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(e.clock.Now())
	e.core.SetSpeed(s)
}

// SetFailLoads makes each later load fail, or not.
func (e *Engine) SetFailLoads(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.p.FailLoads = on
}

// Made is the record of one attempt: which version made the token at each
// position, the last time that it was made here.
type Made struct {
	prompt   string
	seed     int64
	versions []ident.Version // 0 for a position that was not made here
}

func (m *Made) note(v ident.Version, from, to int) {
	for len(m.versions) < to {
		m.versions = append(m.versions, 0)
	}
	for i := from; i < to; i++ {
		m.versions[i] = v
	}
}

// VerifySpan reports whether this engine made the tokens [from, to) of an answer
// with a version, in an attempt.
func (e *Engine) VerifySpan(prompt []byte, seed int64, s plat.Span) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.record[s.Attempt]
	if m == nil || m.prompt != string(prompt) || m.seed != seed || s.To > len(m.versions) {
		return false
	}
	for _, v := range m.versions[s.From:s.To] {
		if v != s.Version {
			return false
		}
	}
	return true
}
