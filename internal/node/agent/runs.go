package agent

import (
	"context"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/proof"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// beginRun notes the run of tokens that starts now and what ends it.
func (j *job) beginRun(r proof.Segment, lose context.CancelCauseFunc) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.run, j.lose, j.running = r, lose, true
}

// mark returns the run in progress and how far it has come.
func (j *job) mark() (mark, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return mark{job: j, run: j.run, runs: j.runs, to: len(j.tokens), lose: j.lose}, j.running && !j.done
}

// prove notes that a version made the tokens from the last proven one up to
// a position.
func (j *job) prove(v ident.Version, to int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.proveLocked(v, to)
}

func (j *job) proveLocked(v ident.Version, to int) {
	from := j.sure
	if to <= from {
		return
	}
	j.sure = to
	id := ident.Attempt(j.msg.Attempt)
	if n := len(j.spans); n > 0 && j.spans[n-1].Version == v && j.spans[n-1].Attempt == id {
		j.spans[n-1].To = to
		return
	}
	j.spans = append(j.spans, plat.Span{Version: v, Attempt: id, From: from, To: to})
}

// confirm proves a part of a run that is still the same one.
func (j *job) confirm(m mark, v ident.Version) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.running && j.runs == m.runs {
		j.proveLocked(v, m.to)
	}
}

// endRun ends the run in progress.
func (j *job) endRun() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.running = false
	j.runs++
}

// doubt drops the tokens of a sample whose version is not proven; other work
// keeps them, since its caller does not ask for versions.
func (j *job) doubt() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.isSample() {
		j.tokens = j.tokens[:j.sure:j.sure]
		return
	}
	j.proven = false
	j.sure = len(j.tokens)
}

// mark is a position in a run of tokens, taken before the engine was asked for
// its state.
type mark struct {
	job  *job
	run  proof.Segment
	runs int
	to   int
	lose context.CancelCauseFunc
}

// errRestarted ends runs whose engine was restarted; their streams may stay
// silent for ever.
var errRestarted = errors.New("the engine was restarted")

// marks returns the positions of all jobs that run.
func (a *Agent) marks() []mark {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []mark
	for _, j := range a.jobs {
		if m, ok := j.mark(); ok {
			out = append(out, m)
		}
	}
	return out
}

// confirm proves what samples made up to the marks by a state that the engine
// told after them, so that one that has to move takes its tokens along. It ends
// runs that an engine's restart cut off.
func (a *Agent) confirm(ms []mark, st plat.Status) {
	orders := a.swap.orders()
	for _, m := range ms {
		if m.run.EngineRestarted(st) {
			m.lose(errRestarted)
			continue
		}
		if !m.job.isSample() {
			continue
		}
		if v, err := m.run.End(st, orders); err == nil {
			m.job.confirm(m, v)
		}
	}
}
