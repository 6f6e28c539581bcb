package work

import (
	"context"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/output"
	"github.com/jujuberamp/jujuberamp/internal/decide/sched"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
)

type phase uint8

const (
	pending phase = iota
	inFlight
	finishing // being scored or stored, or waiting for its record
	recorded  // its result, or that it was given up, is in the job log
)

// itemState is the progress of one item.
type itemState struct {
	phase    phase
	received []runs.Event  // events before those of the current attempt
	parts    []output.Part // the runs that made them
	software string        // version of the software of the engines that made them
	current  *attempt
	// successor runs the rest of the item on a faster engine. It replaces the
	// current attempt when its first event arrives, so that a refusal by the
	// faster engine costs nothing.
	successor     *attempt
	progressAt    clock.Millis // when the last attempt with events ended, or the item was loaded
	retryAt       clock.Millis // earliest start of the next attempt
	migrateAt     clock.Millis // earliest time of the next migration
	pendingAt     clock.Millis // when the last attempt ended
	avoidEngine   string       // ID of the engine whose attempt was just interrupted
	failures      int          // attempts that the engine reported as failed
	interruptions int          // attempts that ended without an outcome
	migrations    int
	refusals      int // by engines that were full, loading or had outdated weights
	checkpointed  int // number of events in the last checkpoint
	// generation is the number of times that the checkpoints were dropped. One of an
	// earlier generation contains a faulty answer.
	generation int
	faults     faults
}

// attempt is one execution of an item on one engine.
type attempt struct {
	server      *fleet.Server
	startedAt   clock.Millis
	cancel      func()
	resumeAfter int // number of events received before it started
	events      []runs.Event
	bytes       int        // of the events, as in [output.Part]
	stalled     bool       // no event for at least stallTimeout
	move        sched.Move // of a successor
}

// eventCount returns the number of events received so far.
func (st *itemState) eventCount() int {
	if st.current == nil {
		return len(st.received)
	}
	return st.current.resumeAfter + len(st.current.events)
}

// lastVersion returns the weight version of the last event received, 0 if there
// is none.
func (st *itemState) lastVersion() int64 {
	if st.current != nil && len(st.current.events) > 0 {
		return st.current.events[len(st.current.events)-1].Version
	}
	if n := st.eventCount(); n > 0 {
		return st.received[n-1].Version
	}
	return 0
}

// endCurrent ends the current attempt and keeps its events.
func (st *itemState) endCurrent() {
	if st.current == nil {
		return
	}
	if len(st.current.events) > 0 {
		st.software = st.current.server.Software
	}
	st.received, st.parts = st.events(), st.allParts()
	st.current = nil
}

// dropOutput removes the events received so far, so that the item starts over.
func (st *itemState) dropOutput() {
	st.received, st.parts, st.software, st.checkpointed = nil, nil, "", 0
}

// outputSoftware returns the version of the software that made the events so far.
func (st *itemState) outputSoftware() string {
	if st.current != nil && len(st.current.events) > 0 {
		return st.current.server.Software
	}
	return st.software
}

// events returns all events received so far, from the start of the output.
func (st *itemState) events() []runs.Event {
	if st.current == nil {
		return st.received
	}
	return append(st.received[:st.current.resumeAfter:st.current.resumeAfter], st.current.events...)
}

// promoteSuccessor makes the successor the current attempt. The output continues
// after the event at which the successor was started, and later events of the
// old attempt are dropped.
func (st *itemState) promoteSuccessor() {
	st.endCurrent()
	st.truncate(st.successor.resumeAfter)
	st.current, st.successor = st.successor, nil
}

// cancelAttempts cancels and removes all attempts.
func (st *itemState) cancelAttempts() {
	for _, a := range []*attempt{st.current, st.successor} {
		if a != nil {
			a.cancel()
		}
	}
	st.current, st.successor = nil, nil
}

// job is a job that this node owns.
type job struct {
	ctx        context.Context
	cancel     context.CancelFunc
	id         string
	workspace  ident.Workspace
	host       string
	path       string
	model      string
	minVersion int64
	acceptedAt clock.Millis // when this node applied the job's accept record
	startedAt  clock.Millis // when its items were loaded
	// waitLoggedAt is when it was last logged what its items wait for.
	waitLoggedAt clock.Millis
	urgency      option.Option[front.Urgency] // of its scoring calls, absent until it was planned
	items        []joblog.Item
	// tokensPerEvent is that of the service that runs the items, 0 until it was planned.
	tokensPerEvent int
	states         []itemState
	candidates     []*fleet.Server          // that can run its items, as of the last pass
	byID           map[string]*fleet.Server // the candidates
	positions      map[string]int           // by ID: index in candidates
}

func newJob(ctx context.Context, j *joblog.Job) *job {
	ctx, cancel := context.WithCancel(ctx)
	out := &job{
		ctx: ctx, cancel: cancel, id: j.JobID, workspace: j.Workspace, host: j.Host, path: j.Path, model: j.Model, minVersion: j.MinVersion, acceptedAt: j.AppliedAt,
		states: make([]itemState, len(j.ItemIDs)),
	}
	out.applyResults(j)
	return out
}

// applyResults updates the items that have results in the job log and cancels
// their attempts.
func (j *job) applyResults(from *joblog.Job) {
	for i := range j.states {
		if st := &j.states[i]; from.HasResult(i) && st.phase != recorded {
			st.cancelAttempts()
			*st = itemState{phase: recorded}
		}
	}
}

func (j *job) start(now clock.Millis, items []joblog.Item) { j.items, j.startedAt = items, now }

// setCandidates updates the engines that can run items of the job: those to which its
// model is assigned, and others that still have a usable version of it.
func (j *job) setCandidates(engines []*fleet.Server, shares map[string]string) {
	candidates := make([]*fleet.Server, 0, len(engines))
	for _, s := range engines {
		if !s.IsLeaving() && (shares[s.ID] == j.model || s.LoadedVersions[j.model] >= j.minVersion) {
			candidates = append(candidates, s)
		}
	}
	if j.byID != nil && slices.Equal(candidates, j.candidates) {
		return
	}
	j.candidates = candidates
	j.byID, j.positions = make(map[string]*fleet.Server, len(candidates)), make(map[string]int, len(candidates))
	for i, s := range candidates {
		j.byID[s.ID], j.positions[s.ID] = s, i
	}
}

func (j *job) inProgress() int {
	n := 0
	for i := range j.states {
		if p := j.states[i].phase; p == inFlight || p == finishing {
			n++
		}
	}
	return n
}

// waitsSince returns since when an item could have started.
func (j *job) waitsSince(i int) clock.Millis {
	return max(j.startedAt, j.states[i].pendingAt, j.states[i].retryAt)
}

// startable returns the items that can be started now. Length hints are in tokens:
// tokensPerEvent converts them to events.
func (j *job) startable(now clock.Millis, tokensPerEvent int) []sched.Item {
	var out []sched.Item
	for i := range j.states {
		st := &j.states[i]
		if st.phase == pending && now >= st.retryAt {
			if out == nil {
				out = make([]sched.Item, 0, len(j.states)-i)
			}
			out = append(out, sched.Item{
				Index: i, ExpectedEvents: j.items[i].LengthHint / tokensPerEvent, Received: len(st.received), Software: st.software,
				WaitingFor: now - st.progressAt, PendingFor: now - j.waitsSince(i), Avoid: st.avoided(now, j.candidates),
				PromptKB: float64(len(j.items[i].Body)+eventBytes(st.received)) / 1024,
			})
		}
	}
	return out
}
