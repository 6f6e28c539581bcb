package work

import (
	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/output"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
)

const (
	// avoidFaultyTimeout is how long an item avoids an engine after its faulty answer: as
	// long as the item may wait between two starts.
	avoidFaultyTimeout = maxBackoff
	// quickRestarts is the number of faulty answers after which an item still starts again
	// at once if they came from different engines.
	quickRestarts = 8
)

// faults is what an item knows of faulty answers.
type faults struct {
	answers  int
	byEngine map[string]engineFaults
	overruns int    // answers with an [output.Defect.Overrun]
	last     string // reason of the last one
}

// engineFaults is what an item knows of the faulty answers of one engine.
type engineFaults struct {
	answers int
	lastAt  clock.Millis
}

// record adds a faulty answer. It returns the delay before the item may start again. A
// sound engine is tried soon, and engines that all give faulty answers are not kept busy:
// the delay doubles with each answer of the same engine, and after quickRestarts with each
// of any engine.
func (fs *faults) record(now clock.Millis, d output.Defect) clock.Millis {
	fs.answers++
	if d.Overrun {
		fs.overruns++
	}
	fs.last = d.Reason
	if d.Engine == "" {
		return 0
	}
	if fs.byEngine == nil {
		fs.byEngine = make(map[string]engineFaults)
	}
	answers := fs.byEngine[d.Engine].answers + 1
	fs.byEngine[d.Engine] = engineFaults{answers, now}
	return backoff(max(answers, fs.answers-quickRestarts))
}

// reason returns what a client is told if the item ends without an output, empty if no
// answer was faulty.
func (fs *faults) reason() string {
	if fs.last == "" {
		return ""
	}
	return "no engine gave a usable answer in time; the last faulty one: " + fs.last
}

// avoided returns the engines that the item should not go to while another one suits it.
// Of candidates that have all given it faulty answers it avoids those with more of them
// than others.
func (st *itemState) avoided(now clock.Millis, candidates []*fleet.Server) sets.Set[string] {
	var out sets.Set[string]
	avoid := func(id string) {
		if out == nil {
			out = sets.Of[string]()
		}
		out.Add(id)
	}
	if st.avoidEngine != "" && now-st.retryAt < avoidTimeout {
		avoid(st.avoidEngine)
	}
	if len(st.faults.byEngine) == 0 {
		return out
	}
	least := st.faults.answers
	for _, s := range candidates {
		least = min(least, st.faults.byEngine[s.ID].answers)
	}
	for id, f := range st.faults.byEngine {
		if f.answers > least && now-f.lastAt < avoidFaultyTimeout {
			avoid(id)
		}
	}
	return out
}

// eventBytes returns the size of events as [output.Part] counts it.
func eventBytes(evs []runs.Event) int {
	size := len(evs) // line feeds
	for i := range evs {
		size += len(evs[i].Data)
	}
	return size
}

// partOf returns the part of an output that consists of the given events.
func partOf(engine string, evs []runs.Event) output.Part {
	return output.Part{Engine: engine, Events: len(evs), Bytes: eventBytes(evs)}
}

// allParts returns the parts of the output so far, from its start.
func (st *itemState) allParts() []output.Part {
	a := st.current
	if a == nil || len(a.events) == 0 {
		return st.parts
	}
	n := len(st.parts)
	return append(st.parts[:n:n], output.Part{Engine: a.server.ID, Events: len(a.events), Bytes: a.bytes})
}

// truncate drops the events after the first n.
func (st *itemState) truncate(n int) {
	st.received = st.received[:n]
	var kept []output.Part
	first := 0
	for _, p := range st.parts {
		if first >= n {
			break
		}
		end := min(n, first+p.Events)
		kept = append(kept, partOf(p.Engine, st.received[first:end]))
		first = end
	}
	st.parts = kept
}

// judge returns the faulty answer that the output of an item contains so far, or false if
// there is none. Whatever engines sent for an item passes it: the events of each run,
// those of a run that goes on elsewhere, and those that an earlier owner stored. The
// caller holds the lock.
func (w *Worker) judge(j *job, i, overruns int) (output.Defect, bool) {
	limits := output.NewLimits(j.items[i].MaxOutputTokens(), j.tokensPerEvent, w.Jobs.MaxTextBytes())
	return limits.Judge(j.states[i].allParts(), overruns)
}

// rejectOutput ends the runs of an item and drops all of its output from the first event
// of the engine at fault on. The item then waits for an engine again. The caller holds the
// lock.
func (w *Worker) rejectOutput(j *job, i int, d output.Defect) {
	st := &j.states[i]
	now := w.Clock.Now()
	events := st.eventCount()
	if st.current != nil {
		st.current.cancel()
		st.endCurrent()
	}
	st.cancelAttempts()
	stored := st.checkpointed
	if d.Keep == 0 {
		st.dropOutput()
	} else {
		st.truncate(d.Keep)
	}
	if stored > d.Keep {
		st.checkpointed = 0
		st.generation++
		go w.dropCheckpoint(j, i)
	}
	delay := st.faults.record(now, d)
	st.phase, st.pendingAt, st.progressAt, st.retryAt, st.avoidEngine = pending, now, now, now+delay, ""
	if e := w.engines[d.Engine]; e != nil {
		e.backoffUntil = now + engineBackoff
	}
	w.Log.Warn().Str("job", j.id).Str("item", j.items[i].ID).Str("engine", d.Engine).Str("why", d.Reason).Int("events", events).Int("kept", d.Keep).
		Int("answers", st.faults.answers).Int64("retry-ms", int64(delay)).Msg("work: faulty answer dropped")
	w.Wake()
}

// rejectStored rejects a complete output that the store refused as too large.
func (w *Worker) rejectStored(j *job, i int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	st := &j.states[i]
	if st.phase != finishing {
		return // Another node has recorded a result meanwhile.
	}
	d := output.Defect{Reason: err.Error()}
	var large *logs.TooLargeError
	if errors.As(err, &large) {
		d = output.TooLarge(st.parts, large.Size, large.Limit)
		d.Keep = 0 // The events are gone.
	}
	w.rejectOutput(j, i, d)
}
