// Package round decides which samples of a round are made, kept, made anew
// and handed over.
//
// Rules:
//
//  1. Each ordinal of the round has at most one finished sample here.
//  2. A reader gets no ordinal that its cursor holds.
//  3. A sample is handed over only if its oldest version is within the bound
//     of the highest version that was asked for; otherwise it is made anew.
//     The same holds each time that it is handed over again.
//  4. A sample whose versions are not proven is made anew.
//  5. An ordinal is not started, nor gone on with, from tokens that are
//     already too old. When a newer version is asked for, those that run and
//     will be too old are given up.
//  6. A sample is released when a cursor that holds all that was released
//     before holds it too. A reader whose cursor lacks a released sample came
//     late or reads in parallel; it gets that sample made anew only when no
//     newer cursor was seen for some time, that is when the trainer went back.
//  7. A finished sample that has to be scored waits for its score, however
//     often the scoring service fails; it is never made anew for that.
//  8. A sample that can't be made is handed over as refused and its group is
//     never complete.
//
// # Usage
//
//	st := round.New(spec)
//	for _, b := range st.Start(now, window) { submit(b) }
//	st.Finished(sample, needsScore)
//	st.Take(now, cursor)
//	page := st.Read(cursor, version, limit)
package round

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
)

type phase uint8

const (
	idle     phase = iota // to be started
	running               // at an agent, or on its way there
	scoring               // made, without its score
	finished              // may be handed over
	released              // the reader holds it
)

type place struct {
	phase  phase
	part   Partial // proven tokens of an attempt that ended, or spans of a running one
	sample Sample  // scoring and finished
	tries  int
	after  clock.Millis  // not started before
	floor  ident.Version // with which it was started
	begun  bool          // running at an agent, not on its way there
}

// Reason tells why a sample is made anew.
type Reason string

// The reasons.
const (
	Stale    Reason = "stale"
	Unproven Reason = "unproven"
	Failed   Reason = "failed"
	Reread   Reason = "reread"
)

// rereadAfter is how long no newer cursor may be seen before an older one gets
// released samples made anew.
const rereadAfter = 10 * clock.Second

// maxPageTokens bounds a page; a single sample may exceed it.
const maxPageTokens = 1 << 20

// State is a round at its owner.
type State struct {
	spec   Spec
	asked  ident.Version
	places []place
	remade map[Reason]int
	held   Cursor       // the newest cursor seen
	seen   clock.Millis // when it, or one that holds as much, was seen last
}

// New returns the state of a round whose reader holds what the cursor says.
func New(now clock.Millis, s Spec, held Cursor) *State {
	st := &State{
		spec:   s,
		asked:  s.Version,
		places: make([]place, s.Total()),
		remade: make(map[Reason]int),
		held:   held,
		seen:   now,
	}
	for i := range st.places {
		if held.Has(i) {
			st.places[i].phase = released
		}
	}
	return st
}

// Spec returns what the trainer asked for.
func (st *State) Spec() Spec { return st.spec }

// MinVersion returns the oldest version on which samples may be started now.
func (st *State) MinVersion() ident.Version { return st.spec.MinVersion(st.asked) }

// StartRequest is a sample to start.
type StartRequest struct {
	Ordinal    int
	Part       Partial // tokens to go on from
	MinVersion ident.Version
	Late       bool // it belongs to the end of the round
}

// lateShare is the share of samples that have to be made before the rest
// counts as the end of the round.
const lateShare = 0.75

// Start returns samples to start and marks them as running, so that at most
// limit run.
func (st *State) Start(now clock.Millis, limit int) []StartRequest {
	c := st.Count()
	late := float64(c.made()) >= lateShare*float64(st.spec.Total())
	var out []StartRequest
	for i := range st.places {
		p := &st.places[i]
		if c.Running+len(out) >= limit {
			break
		}
		if p.phase != idle || now < p.after {
			continue
		}
		if p.part.OldestVersion() < st.MinVersion() { // rule 5
			p.part = Partial{}
		}
		p.phase, p.begun, p.floor = running, false, st.MinVersion()
		out = append(out, StartRequest{Ordinal: i, Part: p.part, MinVersion: st.MinVersion(), Late: late || p.tries > 0})
	}
	return out
}

// MarkRunning notes that an ordinal runs already, and reports whether it was idle.
func (st *State) MarkRunning(ordinal int) bool {
	if !st.isIn(ordinal) || st.places[ordinal].phase != idle {
		return false
	}
	st.places[ordinal].phase, st.places[ordinal].begun = running, true
	return true
}

func (st *State) isIn(ordinal int) bool { return ordinal >= 0 && ordinal < len(st.places) }

// ObserveVersions notes which versions made the tokens of a running sample so far, where
// base is the version that its server had when it began. It reports whether
// the sample is still wanted.
func (st *State) ObserveVersions(ordinal int, spans []model.Span, base ident.Version) bool {
	p := &st.places[ordinal]
	if p.phase != running {
		return false
	}
	p.begun, p.part = true, Partial{Spans: spans}
	if len(spans) == 0 {
		p.part.Spans = []model.Span{{Version: base}}
	}
	return p.part.OldestVersion() >= st.MinVersion()
}

// Complete takes in a whole sample and reports whether it is kept. One that
// has to be scored is kept until [State.Scored].
func (st *State) Complete(s Sample, needsScore bool) bool {
	if !st.isIn(s.Ordinal) {
		return false
	}
	p := &st.places[s.Ordinal]
	if p.phase > running { // rule 1
		return false
	}
	if s.OldestVersion() < st.MinVersion() { // rule 3
		st.again(s.Ordinal, Stale)
		return false
	}
	s.Group = st.spec.Group(s.Ordinal)
	p.sample, p.part, p.phase = s, Partial{}, finished
	if needsScore {
		p.phase = scoring // rule 7
	}
	return true
}

// SetScore takes in the score of an attempt; a second answer changes nothing.
func (st *State) SetScore(ordinal int, a ident.Attempt, score float64) {
	p := &st.places[ordinal]
	if p.phase == scoring && p.sample.Attempt == a {
		p.sample.Score = score
		p.phase = finished
	}
}

// AwaitsScore reports whether the sample of an attempt still needs its score.
func (st *State) AwaitsScore(ordinal int, a ident.Attempt) bool {
	p := st.places[ordinal]
	return p.phase == scoring && p.sample.Attempt == a
}

// Refuse notes that an ordinal can't be made, with the reason for the
// trainer.
func (st *State) Refuse(ordinal int, why string) {
	p := &st.places[ordinal]
	if p.phase == running { // rule 8
		*p = place{phase: finished, sample: Sample{Ordinal: ordinal, Group: st.spec.Group(ordinal), Refused: why}}
	}
}

// Interrupt notes that the attempts of an ordinal ended without a whole sample and
// keeps its proven tokens; a sample that had begun and keeps none is made
// anew. It returns how long the ordinal has to wait.
func (st *State) Interrupt(now clock.Millis, ordinal int, part Partial, why Reason) clock.Millis {
	p := &st.places[ordinal]
	if p.phase != running {
		return 0
	}
	began := p.begun
	p.phase, p.part = idle, part
	p.tries++
	if began && len(part.Tokens) == 0 {
		st.again(ordinal, why)
	}
	wait := Backoff(p.tries, ordinal)
	p.after = now + wait
	return wait
}

// CancelStale marks the running samples that will be too old as idle, and those
// that still wait for a version that is too old by now, and returns them; their
// attempts are to be ended.
func (st *State) CancelStale() []int {
	var out []int
	for i := range st.places {
		p := &st.places[i]
		switch { // rule 5
		case p.phase != running:
			continue
		case !p.begun && p.floor < st.MinVersion():
			p.phase = idle
		case p.begun && len(p.part.Spans) > 0 && p.part.OldestVersion() < st.MinVersion():
			st.again(i, Stale)
		default:
			continue
		}
		out = append(out, i)
	}
	return out
}

func (st *State) again(ordinal int, why Reason) {
	old := st.places[ordinal]
	st.places[ordinal] = place{tries: old.tries, after: old.after}
	st.remade[why]++
}

// Page is what a reader gets.
type Page struct {
	Samples  []Sample
	Cursor   Cursor // of a reader that took the page
	Complete []int  // groups that the page completes
}

// Read returns up to limit finished samples that the cursor does not hold,
// for the version for which the trainer asks now.
func (st *State) Read(cur Cursor, asked ident.Version, limit int) Page {
	st.asked = max(st.asked, asked)
	var pg Page
	tokens := 0
	for i := range st.places {
		p := &st.places[i]
		if p.phase != scoring && p.phase != finished || cur.Has(i) { // rule 2
			continue
		}
		if p.sample.Refused == "" && p.sample.OldestVersion() < st.MinVersion() { // rule 3
			st.again(i, Stale)
			continue
		}
		n := len(p.sample.Tokens)
		if p.phase == scoring || len(pg.Samples) >= limit || (tokens > 0 && tokens+n > maxPageTokens) {
			continue
		}
		tokens += n
		pg.Samples = append(pg.Samples, p.sample)
	}
	pg.Cursor = cur.With(pg.Samples...)
	pg.Complete = st.completed(cur, pg.Cursor)
	return pg
}

// CursorUpdate is what a reader's cursor makes superfluous.
type CursorUpdate struct {
	Released []Sample // agents may forget them; only ordinal and node are set
	Unwanted []int    // they run although the reader holds them
}

// ApplyCursor takes in the cursor of a reader that arrives, by rule 6.
func (st *State) ApplyCursor(now clock.Millis, cur Cursor) CursorUpdate {
	var t CursorUpdate
	if !cur.Covers(st.held) {
		if now-st.seen < rereadAfter {
			return t
		}
		for i := range st.places {
			if st.places[i].phase == released && !cur.Has(i) {
				st.again(i, Reread)
			}
		}
	}
	st.held, st.seen = cur, now
	for i := range st.places {
		p := &st.places[i]
		if p.phase == released || !cur.Has(i) {
			continue
		}
		if p.phase == running {
			t.Unwanted = append(t.Unwanted, i)
		}
		if p.sample.Node != "" {
			t.Released = append(t.Released, Sample{Ordinal: i, Node: p.sample.Node})
		}
		*p = place{phase: released}
	}
	return t
}

// completed returns the groups that are whole with a cursor and were not with
// the one before.
func (st *State) completed(before, after Cursor) []int {
	var out []int
	for g := range st.spec.Prompts {
		if st.isWhole(after, g) && !st.isWhole(before, g) {
			out = append(out, g)
		}
	}
	return out
}

func (st *State) isWhole(c Cursor, group int) bool {
	for i := group * st.spec.SamplesPerGroup; i < (group+1)*st.spec.SamplesPerGroup; i++ {
		if !c.Has(i) || c.IsRefused(i) { // rule 8
			return false
		}
	}
	return true
}

// Counts are the numbers of samples by phase.
type Counts struct {
	Idle     int
	Running  int
	Scoring  int
	Finished int
	Released int
}

func (c Counts) made() int { return c.Scoring + c.Finished + c.Released }

// Count returns how far the round has come.
func (st *State) Count() Counts {
	var c Counts
	for _, p := range st.places {
		switch p.phase {
		case idle:
			c.Idle++
		case running:
			c.Running++
		case scoring:
			c.Scoring++
		case finished:
			c.Finished++
		case released:
			c.Released++
		}
	}
	return c
}

// Remade returns how many samples were made anew, by reason.
func (st *State) Remade() map[Reason]int {
	out := make(map[Reason]int, len(st.remade))
	for r, n := range st.remade {
		out[r] = n
	}
	return out
}
