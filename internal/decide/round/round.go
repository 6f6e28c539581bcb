// Package round implements the state machine of a round at its owner. It
// decides which samples are started, stored, generated again and delivered.
//
// A trainer opens a round to get a number of samples for each of its prompts.
// The samples of one prompt form a group. The samples of a round are numbered
// from 0; the number of a sample is its ordinal. A cursor is the set of ordinals
// that the trainer has received; the trainer sends it with each read.
//
// Rules:
//
//  1. Each ordinal of the round has at most one finished sample in the state.
//  2. A reader is not sent an ordinal that is in its cursor.
//  3. A sample is delivered only if its oldest version is within the staleness
//     bound of the highest version that was requested; otherwise it is
//     generated again. This is checked at each delivery, repeated ones
//     included.
//  4. A sample whose versions are not proven is generated again.
//  5. An ordinal is neither started nor resumed with tokens that are already
//     too old. When a newer version is requested, running samples that would
//     be too old are canceled.
//  6. A cursor releases its samples: they are removed from the state. A cursor
//     that lacks a sample of the newest cursor is ignored at first, because it
//     may belong to a delayed or concurrent read. If no newer cursor was seen
//     for some time, the trainer was reset to an earlier state: the older
//     cursor is applied, and the released samples that it lacks are generated
//     again.
//  7. A sample that has to be scored waits for its score, however often the
//     scoring service fails; it is never generated again for that reason.
//  8. A sample that can't be generated is delivered as refused, and its group
//     never becomes complete.
//
// # Usage
//
//	st := round.New(now, spec, cursor)
//	for _, req := range st.Start(now, limit) { submit(req) }
//	st.Complete(sample, needsScore)
//	st.ApplyCursor(now, cursor)
//	page := st.Read(cursor, version, limit)
package round

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
)

// phase is the progress of one ordinal.
type phase uint8

const (
	idle     phase = iota // to be started
	running               // at an agent, or being sent to one
	scoring               // generated, waiting for its score
	finished              // ready for delivery
	released              // the reader has it
)

// ordinalState is the state of the sample with one ordinal.
type ordinalState struct {
	phase      phase
	partial    Partial // proven tokens of an attempt that ended, or spans of a running one
	sample     Sample  // set in the phases scoring and finished
	attempts   int
	notBefore  clock.Millis  // earliest time of the next start
	minVersion ident.Version // minimum version of the last start
	started    bool          // running at an agent, not being sent to one
}

// Reason is why a sample is generated again.
type Reason string

// Reasons for generating a sample again.
const (
	Stale    Reason = "stale"    // beyond the staleness bound (rules 3 and 5)
	Unproven Reason = "unproven" // versions not proven (rule 4)
	Failed   Reason = "failed"   // the attempts failed
	Reread   Reason = "reread"   // released, but not in the cursor of a reset trainer (rule 6)
)

// rereadDelay is the time without a newer cursor after which an older cursor
// causes released samples to be generated again (rule 6).
const rereadDelay = 10 * clock.Second

// maxPageTokens bounds the tokens of a page with more than one sample.
const maxPageTokens = 1 << 20

// State is the state of a round at its owner. It is not safe for concurrent use.
type State struct {
	spec             Spec
	requestedVersion ident.Version
	ordinals         []ordinalState
	restarts         map[Reason]int // samples that were generated again
	newestCursor     Cursor         // the newest cursor that was seen
	cursorSeenAt     clock.Millis   // when a cursor that covers newestCursor was last seen
}

// New returns the state of a round without finished samples. The samples in the
// cursor, which the reader has already received, count as released.
func New(now clock.Millis, s Spec, cur Cursor) *State {
	st := &State{
		spec:             s,
		requestedVersion: s.Version,
		ordinals:         make([]ordinalState, s.Total()),
		restarts:         make(map[Reason]int),
		newestCursor:     cur,
		cursorSeenAt:     now,
	}
	for i := range st.ordinals {
		if cur.Has(i) {
			st.ordinals[i].phase = released
		}
	}
	return st
}

// Spec returns the specification of the round.
func (st *State) Spec() Spec { return st.spec }

// MinVersion returns the oldest version with which samples may be started now.
func (st *State) MinVersion() ident.Version { return st.spec.MinVersion(st.requestedVersion) }

// StartRequest is a sample to start.
type StartRequest struct {
	Ordinal    int
	Partial    Partial // tokens to resume from
	MinVersion ident.Version
	Late       bool // started near the end of the round, or a retry
}

// lateThreshold is the share of generated samples at which the remaining ones
// count as late.
const lateThreshold = 0.75

// Start returns samples to start and marks them as running. At most limit
// samples are running afterwards, unless more were running before.
func (st *State) Start(now clock.Millis, limit int) []StartRequest {
	c := st.Count()
	late := float64(c.complete()) >= lateThreshold*float64(st.spec.Total())
	var out []StartRequest
	for i := range st.ordinals {
		o := &st.ordinals[i]
		if c.Running+len(out) >= limit {
			break
		}
		if o.phase != idle || now < o.notBefore {
			continue
		}
		if o.partial.OldestVersion() < st.MinVersion() { // rule 5
			o.partial = Partial{}
		}
		o.phase, o.started, o.minVersion = running, false, st.MinVersion()
		out = append(out, StartRequest{
			Ordinal:    i,
			Partial:    o.partial,
			MinVersion: st.MinVersion(),
			Late:       late || o.attempts > 0,
		})
	}
	return out
}

// MarkRunning records that an ordinal is already running at an agent. It
// reports whether the ordinal was idle.
func (st *State) MarkRunning(ordinal int) bool {
	if !st.isValidOrdinal(ordinal) || st.ordinals[ordinal].phase != idle {
		return false
	}
	st.ordinals[ordinal].phase, st.ordinals[ordinal].started = running, true
	return true
}

func (st *State) isValidOrdinal(ordinal int) bool { return ordinal >= 0 && ordinal < len(st.ordinals) }

// ObserveVersions records which versions have generated the tokens of a running
// sample so far; base is the version of the server when the sample was started.
// It reports false if the sample is not running or would be too old.
func (st *State) ObserveVersions(ordinal int, spans []model.Span, base ident.Version) bool {
	o := &st.ordinals[ordinal]
	if o.phase != running {
		return false
	}
	o.started, o.partial = true, Partial{Spans: spans}
	if len(spans) == 0 {
		o.partial.Spans = []model.Span{{Version: base}}
	}
	return o.partial.OldestVersion() >= st.MinVersion()
}

// Complete stores a complete sample and reports whether it was stored. A sample
// that has to be scored is delivered only after [State.SetScore].
func (st *State) Complete(s Sample, needsScore bool) bool {
	if !st.isValidOrdinal(s.Ordinal) {
		return false
	}
	o := &st.ordinals[s.Ordinal]
	if o.phase > running { // rule 1
		return false
	}
	if s.OldestVersion() < st.MinVersion() { // rule 3
		st.restart(s.Ordinal, Stale)
		return false
	}
	s.Group = st.spec.Group(s.Ordinal)
	o.sample, o.partial, o.phase = s, Partial{}, finished
	if needsScore {
		o.phase = scoring // rule 7
	}
	return true
}

// SetScore stores the score of an attempt. Only the first score is stored.
func (st *State) SetScore(ordinal int, a ident.Attempt, score float64) {
	o := &st.ordinals[ordinal]
	if o.phase == scoring && o.sample.Attempt == a {
		o.sample.Score = score
		o.phase = finished
	}
}

// AwaitsScore reports whether the sample of an attempt still needs its score.
func (st *State) AwaitsScore(ordinal int, a ident.Attempt) bool {
	o := st.ordinals[ordinal]
	return o.phase == scoring && o.sample.Attempt == a
}

// Refuse records that an ordinal can't be generated, and the reason that the
// trainer is sent.
func (st *State) Refuse(ordinal int, why string) {
	o := &st.ordinals[ordinal]
	if o.phase == running { // rule 8
		*o = ordinalState{phase: finished, sample: Sample{Ordinal: ordinal, Group: st.spec.Group(ordinal), Refused: why}}
	}
}

// Interrupt records that the attempts of an ordinal ended without a complete
// sample, and stores the proven tokens. If the sample was running at an agent and
// has no proven tokens, it is generated again from the start, for the given
// reason. Interrupt returns the wait before the ordinal may be started again.
func (st *State) Interrupt(now clock.Millis, ordinal int, partial Partial, why Reason) clock.Millis {
	o := &st.ordinals[ordinal]
	if o.phase != running {
		return 0
	}
	wasStarted := o.started
	o.phase, o.partial = idle, partial
	o.attempts++
	if wasStarted && len(partial.Tokens) == 0 {
		st.restart(ordinal, why)
	}
	wait := Backoff(o.attempts, ordinal)
	o.notBefore = now + wait
	return wait
}

// CancelStale resets running samples to idle: those that would be too old, and
// those that don't run at an agent yet and were started with a lower minimum
// version. It returns their ordinals; the caller has to cancel their attempts.
func (st *State) CancelStale() []int {
	var out []int
	for i := range st.ordinals {
		o := &st.ordinals[i]
		switch { // rule 5
		case o.phase != running:
			continue
		case !o.started && o.minVersion < st.MinVersion():
			o.phase = idle
		case o.started && len(o.partial.Spans) > 0 && o.partial.OldestVersion() < st.MinVersion():
			st.restart(i, Stale)
		default:
			continue
		}
		out = append(out, i)
	}
	return out
}

// restart discards the sample of an ordinal, which is then generated again.
func (st *State) restart(ordinal int, why Reason) {
	previous := st.ordinals[ordinal]
	st.ordinals[ordinal] = ordinalState{attempts: previous.attempts, notBefore: previous.notBefore}
	st.restarts[why]++
}

// Page is the answer to one read.
type Page struct {
	Samples  []Sample
	Cursor   Cursor // of the reader after it received the page
	Complete []int  // groups that the page completes
}

// Read returns up to limit finished samples that are not in the cursor.
// requestedVersion is the version that the trainer requests now.
func (st *State) Read(cur Cursor, requestedVersion ident.Version, limit int) Page {
	st.requestedVersion = max(st.requestedVersion, requestedVersion)
	var page Page
	tokens := 0
	for i := range st.ordinals {
		o := &st.ordinals[i]
		if o.phase != scoring && o.phase != finished || cur.Has(i) { // rule 2
			continue
		}
		if o.sample.Refused == "" && o.sample.OldestVersion() < st.MinVersion() { // rule 3
			st.restart(i, Stale)
			continue
		}
		n := len(o.sample.Tokens)
		if o.phase == scoring || len(page.Samples) >= limit || (tokens > 0 && tokens+n > maxPageTokens) {
			continue
		}
		tokens += n
		page.Samples = append(page.Samples, o.sample)
	}
	page.Cursor = cur.With(page.Samples...)
	page.Complete = st.completedGroups(cur, page.Cursor)
	return page
}

// CursorUpdate lists samples that are no longer needed after a cursor was
// applied.
type CursorUpdate struct {
	Released []Sample // agents may remove these; only ordinal and node are set
	Cancel   []int    // ordinals that are running although the reader has them
}

// ApplyCursor releases the samples of a reader's cursor, by rule 6.
func (st *State) ApplyCursor(now clock.Millis, cur Cursor) CursorUpdate {
	var update CursorUpdate
	if !cur.Covers(st.newestCursor) {
		if now-st.cursorSeenAt < rereadDelay {
			return update
		}
		for i := range st.ordinals {
			if st.ordinals[i].phase == released && !cur.Has(i) {
				st.restart(i, Reread)
			}
		}
	}
	st.newestCursor, st.cursorSeenAt = cur, now
	for i := range st.ordinals {
		o := &st.ordinals[i]
		if o.phase == released || !cur.Has(i) {
			continue
		}
		if o.phase == running {
			update.Cancel = append(update.Cancel, i)
		}
		if o.sample.Node != "" {
			update.Released = append(update.Released, Sample{Ordinal: i, Node: o.sample.Node})
		}
		*o = ordinalState{phase: released}
	}
	return update
}

// completedGroups returns the groups that are complete in the cursor after and
// not in the cursor before.
func (st *State) completedGroups(before, after Cursor) []int {
	var out []int
	for g := range st.spec.Prompts {
		if st.isGroupComplete(after, g) && !st.isGroupComplete(before, g) {
			out = append(out, g)
		}
	}
	return out
}

func (st *State) isGroupComplete(c Cursor, group int) bool {
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

func (c Counts) complete() int { return c.Scoring + c.Finished + c.Released }

// Count returns the number of samples in each phase.
func (st *State) Count() Counts {
	var c Counts
	for _, o := range st.ordinals {
		switch o.phase {
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

// Restarts returns how many samples were generated again, by reason.
func (st *State) Restarts() map[Reason]int {
	out := make(map[Reason]int, len(st.restarts))
	for r, n := range st.restarts {
		out[r] = n
	}
	return out
}
