// Package batch is the service model of a model engine: continuous batching
// with a limited number of streams, a prefix cache, priorities and a speed
// that may drop. It keeps no time of its own and starts no goroutine, so the
// stand-in engine runs it in real time and the harness of measures in virtual
// time.
//
// Each running stream moves at the same rate: the rate of a lone stream up to
// the knee, and a fair share of the knee's total beyond it. Reading a prompt
// that is not cached costs the time of some tokens.
//
// # Usage
//
//	e := batch.New(batch.Params{Slots: 8, Rate: 400, Knee: 4, Prefill: 20000, Prefixes: 64})
//	e.Add(now, batch.Job{ID: "a", Prompt: 200, Tokens: 24})
//	for _, id := range e.Advance(later) { ... finished ... }
package batch

import (
	"math"
	"sort"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// Params describe the machine.
type Params struct {
	Slots          int     // streams that run at once
	Rate           float64 // tokens/s of a lone stream
	Knee           int     // streams beyond which each one slows
	PrefillRate    float64 // prompt bytes/s
	CachedPrefixes int     // prefixes kept in the cache
}

// Job is one piece of work.
type Job struct {
	ID       string
	Prompt   int // bytes
	Prefix   string
	Tokens   int // tokens to make from now on
	Priority int // higher runs first
}

type stream struct {
	job   Job
	order int
	lead  float64 // token-times of reading the prompt, left
	made  float64 // tokens made
}

func (s *stream) left() float64 { return s.lead + float64(s.job.Tokens) - s.made }

// Engine is the state of one engine.
type Engine struct {
	p       Params
	now     clock.Millis
	speed   float64
	halted  bool
	seq     int
	running []*stream
	waiting []*stream
	cache   []string // most recent last
}

// New returns an idle engine at full speed.
func New(p Params) *Engine { return &Engine{p: p, speed: 1} }

// SetSpeed changes the speed as a share of the full one.
func (e *Engine) SetSpeed(s float64) { e.speed = s }

// SetHalted stops all streams, as a swap of weights does, until it is called with
// false.
func (e *Engine) SetHalted(on bool) { e.halted = on }

// Running returns the number of streams that run.
func (e *Engine) Running() int { return len(e.running) }

// Waiting returns the number of jobs that wait for a slot.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Rate returns the present tokens/s of one stream.
func (e *Engine) Rate() float64 {
	if e.halted {
		return 0
	}
	n := max(1, len(e.running))
	return e.p.Rate * e.speed * math.Min(1, float64(e.p.Knee)/float64(n))
}

// Add puts a job in. Advance must have been called up to now.
func (e *Engine) Add(now clock.Millis, j Job) {
	e.now = max(e.now, now)
	e.seq++
	e.waiting = append(e.waiting, &stream{job: j, order: e.seq})
	e.admit()
}

// Cancel takes a job out, wherever it is.
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

// TokensGenerated returns how many tokens a running job has made; 0 if it waits or is
// not known.
func (e *Engine) TokensGenerated(id string) int {
	for _, s := range e.running {
		if s.job.ID == id {
			return min(int(s.made+epsilon), s.job.Tokens)
		}
	}
	return 0
}

// epsilon absorbs rounding when a stream has made its last token.
const epsilon = 1e-6

// NextFinish returns the instant at which the next job finishes at the present
// rate, [clock.Never] if none will.
func (e *Engine) NextFinish() clock.Millis {
	r := e.Rate()
	if r <= 0 || len(e.running) == 0 {
		return clock.Never
	}
	least := math.Inf(1)
	for _, s := range e.running {
		least = math.Min(least, s.left())
	}
	wait := math.Ceil(least / r * float64(clock.Second))
	return e.now + max(1, clock.Millis(wait))
}

// Advance runs the engine up to an instant and returns the jobs that finished,
// in order.
func (e *Engine) Advance(to clock.Millis) []string {
	var done []string
	for e.now < to {
		step := min(e.NextFinish(), to)
		e.move((step - e.now).Seconds() * e.Rate())
		e.now = step
		done = append(done, e.reap()...)
		e.admit()
	}
	return done
}

func (e *Engine) move(tokens float64) {
	for _, s := range e.running {
		lead := math.Min(s.lead, tokens)
		s.lead -= lead
		s.made += tokens - lead
	}
}

func (e *Engine) reap() []string {
	var done []string
	keep := e.running[:0]
	for _, s := range e.running {
		if s.left() > epsilon {
			keep = append(keep, s)
			continue
		}
		done = append(done, s.job.ID)
	}
	e.running = keep
	return done
}

func (e *Engine) admit() {
	if len(e.running) >= e.p.Slots || len(e.waiting) == 0 {
		return
	}
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.job.Priority != b.job.Priority {
			return a.job.Priority > b.job.Priority
		}
		return a.order < b.order
	})
	for len(e.running) < e.p.Slots && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !e.touch(s.job.Prefix) {
			s.lead = float64(s.job.Prompt) / e.p.PrefillRate * e.p.Rate
		}
		e.running = append(e.running, s)
	}
}

// touch marks a prefix as used and reports whether it was cached.
func (e *Engine) touch(prefix string) bool {
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
