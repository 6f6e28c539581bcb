// Package batch simulates the timing of a model engine: continuous batching with a
// limited number of streams, a prefix cache, priorities, and a speed that can
// change. It reads no clock and starts no goroutine. The fake engine runs it in
// real time, and the simulations in internal/proof run it in virtual time.
//
// All running streams generate tokens at the same rate. Up to Knee streams, this
// is the rate of a lone stream. With more streams, they share the total rate of
// Knee streams equally. A prompt whose prefix is not cached delays its stream by
// the time to read the prompt.
//
// # Usage
//
//	e := batch.New(batch.Params{Slots: 8, Rate: 400, Knee: 4, PrefillRate: 20000, CachedPrefixes: 64})
//	e.Add(now, batch.Job{ID: "a", Prompt: 200, Tokens: 24})
//	for _, id := range e.Advance(later) { ... finished ... }
package batch

import (
	"math"
	"sort"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// Params configures a simulated engine.
type Params struct {
	Slots          int     // streams that run concurrently
	Rate           float64 // tokens per second of a lone stream
	Knee           int     // number of streams above which all streams slow down
	PrefillRate    float64 // prompt bytes per second
	CachedPrefixes int     // capacity of the prefix cache
}

// Job is one request.
type Job struct {
	ID       string
	Prompt   int // bytes
	Prefix   string
	Tokens   int // tokens still to generate
	Priority int // higher runs first
}

// stream is the state of a job.
type stream struct {
	job       Job
	arrival   int     // sequence number
	prefill   float64 // time left to read the prompt, in units of the time per token
	generated float64 // tokens
}

// remaining returns the time until the stream finishes, in units of the time per token.
func (s *stream) remaining() float64 { return s.prefill + float64(s.job.Tokens) - s.generated }

// Engine is one simulated engine.
type Engine struct {
	p        Params
	now      clock.Millis
	speed    float64 // share of the full speed
	halted   bool
	arrivals int
	running  []*stream
	waiting  []*stream
	cache    []string // most recently used prefix last
}

// New returns an idle engine at full speed.
func New(p Params) *Engine { return &Engine{p: p, speed: 1} }

// SetSpeed sets the speed as a share of the full speed.
func (e *Engine) SetSpeed(s float64) { e.speed = s }

// SetHalted stops all streams, as a load of weights does, until it is called with
// false.
func (e *Engine) SetHalted(on bool) { e.halted = on }

// Running returns the number of running jobs.
func (e *Engine) Running() int { return len(e.running) }

// Waiting returns the number of jobs that wait for a slot.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Rate returns the current rate of one stream in tokens per second.
func (e *Engine) Rate() float64 {
	if e.halted {
		return 0
	}
	n := max(1, len(e.running))
	return e.p.Rate * e.speed * math.Min(1, float64(e.p.Knee)/float64(n))
}

// Add adds a job. The caller must have called Advance up to now.
func (e *Engine) Add(now clock.Millis, j Job) {
	e.now = max(e.now, now)
	e.arrivals++
	e.waiting = append(e.waiting, &stream{job: j, arrival: e.arrivals})
	e.admit()
}

// Cancel removes a running or waiting job.
func (e *Engine) Cancel(id string) {
	e.running = remove(e.running, id)
	e.waiting = remove(e.waiting, id)
	e.admit()
}

func remove(ss []*stream, id string) []*stream {
	out := ss[:0]
	for _, s := range ss {
		if s.job.ID != id {
			out = append(out, s)
		}
	}
	return out
}

// TokensGenerated returns the number of tokens that a running job has generated.
// It returns 0 if the job is waiting or unknown.
func (e *Engine) TokensGenerated(id string) int {
	for _, s := range e.running {
		if s.job.ID == id {
			return min(int(s.generated+epsilon), s.job.Tokens)
		}
	}
	return 0
}

// epsilon absorbs rounding errors in the number of generated tokens.
const epsilon = 1e-6

// NextFinish returns the moment at which the next job finishes at the current
// rate, or [clock.Never] if no job is making progress.
func (e *Engine) NextFinish() clock.Millis {
	r := e.Rate()
	if r <= 0 || len(e.running) == 0 {
		return clock.Never
	}
	minRemaining := math.Inf(1)
	for _, s := range e.running {
		minRemaining = math.Min(minRemaining, s.remaining())
	}
	wait := math.Ceil(minRemaining / r * float64(clock.Second))
	return e.now + max(1, clock.Millis(wait))
}

// Advance runs the engine up to a moment and returns the jobs that finished, in
// the order in which they finished.
func (e *Engine) Advance(to clock.Millis) []string {
	var done []string
	for e.now < to {
		step := min(e.NextFinish(), to)
		e.generate((step - e.now).Seconds() * e.Rate())
		e.now = step
		done = append(done, e.removeFinished()...)
		e.admit()
	}
	return done
}

// generate advances each running stream by the time in which a stream generates
// the given number of tokens. A stream that is still reading its prompt generates
// fewer, since it reads the prompt first.
func (e *Engine) generate(tokens float64) {
	for _, s := range e.running {
		prefill := math.Min(s.prefill, tokens)
		s.prefill -= prefill
		s.generated += tokens - prefill
	}
}

// removeFinished removes the finished jobs from the running ones and returns them.
func (e *Engine) removeFinished() []string {
	var done []string
	keep := e.running[:0]
	for _, s := range e.running {
		if s.remaining() > epsilon {
			keep = append(keep, s)
			continue
		}
		done = append(done, s.job.ID)
	}
	e.running = keep
	return done
}

// admit starts waiting jobs while slots are free, by priority and then by arrival.
func (e *Engine) admit() {
	if len(e.running) >= e.p.Slots || len(e.waiting) == 0 {
		return
	}
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.job.Priority != b.job.Priority {
			return a.job.Priority > b.job.Priority
		}
		return a.arrival < b.arrival
	})
	for len(e.running) < e.p.Slots && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !e.touchPrefix(s.job.Prefix) {
			s.prefill = float64(s.job.Prompt) / e.p.PrefillRate * e.p.Rate
		}
		e.running = append(e.running, s)
	}
}

// touchPrefix marks a prefix as used and reports whether it was cached.
func (e *Engine) touchPrefix(prefix string) bool {
	if prefix == "" {
		return false
	}
	hit := false
	keep := e.cache[:0]
	for _, c := range e.cache {
		if c == prefix {
			hit = true
			continue
		}
		keep = append(keep, c)
	}
	e.cache = append(keep, prefix)
	if len(e.cache) > e.p.CachedPrefixes {
		e.cache = e.cache[1:]
	}
	return hit
}
