package agent

import (
	"context"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/proof"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// beginSegment records the segment that starts now and the function that cancels
// it.
func (j *job) beginSegment(s proof.Segment, cancel context.CancelCauseFunc) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.segment, j.cancelSegment, j.segmentOpen = s, cancel, true
}

// position returns the position of the job in its open segment. The second
// result reports whether a segment is open.
func (j *job) position() (segmentPosition, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return segmentPosition{
		job:           j,
		segment:       j.segment,
		segmentsEnded: j.segmentsEnded,
		tokens:        len(j.tokens),
		cancel:        j.cancelSegment,
	}, j.segmentOpen && !j.done
}

// markProven records that weight version v generated the tokens that follow the
// proven ones, up to but not including index to.
func (j *job) markProven(v ident.Version, to int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.markProvenLocked(v, to)
}

func (j *job) markProvenLocked(v ident.Version, to int) {
	from := j.provenTokens
	if to <= from {
		return
	}
	j.provenTokens = to
	id := ident.Attempt(j.msg.Attempt)
	if n := len(j.spans); n > 0 && j.spans[n-1].Version == v && j.spans[n-1].Attempt == id {
		j.spans[n-1].To = to
		return
	}
	j.spans = append(j.spans, plat.Span{Version: v, Attempt: id, From: from, To: to})
}

// confirmPosition marks the tokens up to a position as proven, if the segment of
// that position is still open.
func (j *job) confirmPosition(p segmentPosition, v ident.Version) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.segmentOpen && j.segmentsEnded == p.segmentsEnded {
		j.markProvenLocked(v, p.tokens)
	}
}

// endSegment closes the open segment.
func (j *job) endSegment() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.segmentOpen = false
	j.segmentsEnded++
}

// isUnstarted reports whether the job has not been sent to the engine yet and has not been
// canceled.
func (j *job) isUnstarted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.segmentsEnded == 0 && j.ctx.Err() == nil
}

// markUnproven handles a segment whose weight version could not be proven. A
// sample drops the unproven tokens. Other jobs keep theirs, since their callers
// don't ask for versions.
func (j *job) markUnproven() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.isSample() {
		j.tokens = j.tokens[:j.provenTokens:j.provenTokens]
		return
	}
	j.proven = false
	j.provenTokens = len(j.tokens)
}

// segmentPosition is the state of an open segment, recorded before the engine is
// asked for its status.
type segmentPosition struct {
	job           *job
	segment       proof.Segment
	segmentsEnded int
	tokens        int
	cancel        context.CancelCauseFunc
}

// errRestarted cancels segments whose engine was restarted, since their streams
// may hang without an error.
var errRestarted = errors.New("the engine was restarted")

// segmentPositions returns the positions of all jobs with an open segment.
func (a *Agent) segmentPositions() []segmentPosition {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []segmentPosition
	for _, j := range a.jobs {
		if p, ok := j.position(); ok {
			out = append(out, p)
		}
	}
	return out
}

// confirmPositions marks the tokens of samples up to the given positions as
// proven, based on a status that the engine reported later. If the sample is
// migrated, it keeps its proven tokens. It cancels the segments that began before
// a restart of the engine.
func (a *Agent) confirmPositions(positions []segmentPosition, st plat.Status) {
	orders := a.loads.ordersStarted()
	for _, p := range positions {
		if p.segment.EngineRestarted(st) {
			p.cancel(errRestarted)
			continue
		}
		if !p.job.isSample() {
			continue
		}
		if v, err := p.segment.End(st, orders); err == nil {
			p.job.confirmPosition(p, v)
		}
	}
}
