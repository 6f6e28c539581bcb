package work

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/output"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/decide/sched"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
)

const (
	// minBackoff is the time between two starts of an item whose run was interrupted.
	// It doubles with each interruption, up to maxBackoff. An item is never
	// given up for the crashes of engines that ran it: several engines may crash by
	// chance, and an accepted item is owed.
	minBackoff = 50 * clock.Milli
	maxBackoff = 4 * clock.Second
	// avoidTimeout is how long an item that may start avoids the engine that interrupted
	// it: as long as the agents of the others may take to answer whether they have a
	// free slot.
	avoidTimeout = stateFetchTimeout
	// frameTimeout is how long an agent may send nothing. It sends a frame every
	// 150 ms, but a link between regions may be temporarily slow.
	frameTimeout = 1200 * clock.Milli
	// stallTimeout is how long a stream may have no event before its item should
	// migrate: the slowest engines send one every 150 ms.
	stallTimeout = 350 * clock.Milli
	// storeRetryDelay is the delay before storing a result is retried, and
	// scoreRetryDelay that before a scoring call is retried.
	storeRetryDelay = 200 * clock.Milli
	scoreRetryDelay = 200 * clock.Milli
	// lateCallDelay puts a scoring call that used up its time behind calls that have not
	// been tried, since it takes longer than others.
	lateCallDelay = 4 * clock.Second
	// agentLost is the code of a run whose agent was unreachable, disconnected or
	// sent nothing for frameTimeout.
	agentLost runs.Code = "lost"
)

// startAttempt starts an item on an engine, after the events already received.
// The caller holds the lock.
func (w *Worker) startAttempt(j *job, i int, r *router.Route, s *fleet.Server) *attempt {
	st, it := &j.states[i], &j.items[i]
	ctx, cancel := context.WithCancel(j.ctx)
	a := &attempt{server: s, startedAt: w.Clock.Now(), cancel: cancel, resumeAfter: st.eventCount()}
	w.engine(s).runStarted(w.Clock.Now())
	run := &runs.Run{
		Job: j.id, Item: it.ID, Instance: s.ID, StartedAt: s.StartedAt, Model: j.model, MinVersion: j.minVersion, OneModel: r.SingleVersion,
		Host: j.host, Path: it.Path, Header: it.Header, Body: it.Body, Workspace: j.workspace, After: a.resumeAfter, Version: st.lastVersion(),
		OpenAt: w.engine(s).evidence.Stamp(), MaxTokens: it.MaxOutputTokens(), MaxTextBytes: w.Jobs.MaxTextBytes(),
	}
	go func() {
		defer cancel()
		code, detail := w.runAttempt(ctx, j, i, a, run)
		w.attemptEnded(j, i, r, a, code, detail)
	}()
	return a
}

// runAttempt sends a run to an agent and handles the frames of the response.
func (w *Worker) runAttempt(ctx context.Context, j *job, i int, a *attempt, run *runs.Run) (runs.Code, string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := runs.EncodeRun(run)
	if err != nil {
		return agentLost, err.Error()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.server.AgentAddr(w.AgentPort)+runs.RunPath, bytes.NewReader(body))
	if err != nil {
		return agentLost, err.Error()
	}
	timeout := time.AfterFunc(frameTimeout.Duration(), cancel)
	defer timeout.Stop()
	resp, err := w.http.Do(req)
	if err != nil {
		return agentLost, err.Error()
	}
	defer resp.Body.Close()
	frames := runs.NewReader(resp.Body)
	for {
		f, err := frames.Read()
		if err != nil {
			return agentLost, err.Error()
		}
		timeout.Reset(frameTimeout.Duration())
		if !w.handleFrame(j, i, a, f) {
			return runs.Faulty, ""
		}
		if f.Code != runs.InProgress {
			return f.Code, f.Detail
		}
	}
}

// handleFrame records a frame of an attempt. The first event of a successor
// completes the migration to its engine. It returns false if it has ended the attempt,
// since the output contains a faulty answer.
func (w *Worker) handleFrame(j *job, i int, a *attempt, f *runs.Frame) bool {
	w.observeLeaving(a.server, f)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateEngine(a.server, f)
	st := &j.states[i]
	if st.successor == a && len(f.Events) > 0 {
		from := st.current.server
		w.Log.Info().Str("job", j.id).Str("item", j.items[i].ID).Str("engine", from.ID).Str("to", a.server.ID).
			Str("from-software", from.Software).Str("to-software", a.server.Software).Int("events", a.resumeAfter).Int("dropped", st.eventCount()-a.resumeAfter).
			Stringer("reason", a.move.Reason).Int64("gain-ms", int64(a.move.Gain)).Float64("pace-ms", a.move.From.EventInterval).Float64("to-pace-ms", a.move.To.EventInterval).
			Int("expected-tokens", j.items[i].LengthHint).Msg("work: item moved")
		w.Count("moves", a.move.Reason.String())
		a.move = sched.Move{} // It would keep all engines of a pass.
		st.current.cancel()
		st.promoteSuccessor()
	}
	if st.current != a {
		return true
	}
	a.events = append(a.events, f.Events...)
	a.bytes += eventBytes(f.Events)
	if defect, ok := w.judge(j, i, st.faults.overruns); ok {
		w.rejectOutput(j, i, defect)
		return false
	}
	a.stalled = f.Since >= stallTimeout && !f.Loading
	if a.stalled {
		w.Wake()
	}
	return true
}

// attemptEnded updates an item after the end of an attempt.
func (w *Worker) attemptEnded(j *job, i int, r *router.Route, a *attempt, code runs.Code, detail string) {
	w.Count("items", string(code))
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.Wake()
	now := w.Clock.Now()
	s := a.server
	e := w.engine(s)
	e.ownRuns--
	st := &j.states[i]
	if j.ctx.Err() != nil || st.current != a && st.successor != a {
		return // This node has ended the run.
	}
	if code == agentLost {
		w.lostRuns++
	}
	if code == runs.Full || code == runs.StaleWeights || code == runs.Unproven {
		st.refusals++ // Not logged here: the log line of a later outcome has their number.
	} else {
		w.Log.Info().Str("job", j.id).Str("item", j.items[i].ID).Str("engine", s.ID).Str("software", s.Software).Str("code", string(code)).Str("why", detail).
			Int("after", a.resumeAfter).Int("events", st.eventCount()).Int("refusals", st.refusals).Int("fails", st.failures).Int("breaks", st.interruptions).Bool("move", st.successor == a).Msg("work: run ended")
	}
	if st.successor == a { // It sent no event; the current attempt continues.
		st.successor = nil
		st.migrateAt = now + migrationInterval
		e.backoffUntil = now + engineBackoff
		if code == runs.Faulty {
			st.faults.record(now, output.Defect{Engine: s.ID, Reason: detail})
		}
		return
	}
	st.endCurrent()
	st.phase, st.pendingAt, st.avoidEngine = pending, now, ""
	if len(a.events) > 0 {
		st.progressAt = now
	}
	if code != runs.Done && code != runs.Faulty && st.faults.overruns > 0 { // rule 2 of output
		if d, ok := w.judge(j, i, 0); ok {
			w.rejectOutput(j, i, d)
			return
		}
	}
	if successor := st.successor; successor != nil {
		if code == agentLost || code == runs.Broken || code == runs.Leaving {
			st.promoteSuccessor()
			st.phase = inFlight
			e.backoffUntil = now + engineBackoff
			return
		}
		successor.cancel()
		st.successor = nil
	}
	switch code {
	case runs.Done:
		st.phase = finishing
		go w.finish(j, i, st.received)
		st.received = nil
	case runs.Full, runs.WrongInstance, runs.Leaving, runs.Unproven:
		e.backoffUntil = now + engineBackoff
	case runs.StaleWeights:
		e.staleUntil[j.model] = now + engineBackoff
	case runs.MixedVersions:
		st.dropOutput()
	case runs.Faulty:
		w.rejectOutput(j, i, output.Blame(st.parts, s.ID, detail))
	case runs.Rejected:
		w.giveUp(j, i, "the engine rejected it")
	case runs.Failed:
		st.failures++
		st.dropOutput()
		if st.failures >= r.MaxAttempts {
			w.giveUp(j, i, "each attempt failed")
		}
	default:
		st.interruptions++
		st.avoidEngine = s.ID
		e.backoffUntil = now + engineBackoff
		// The delay counts from the start of the attempt, which may have taken most of it.
		st.retryAt = max(now+minBackoff, a.startedAt+backoff(st.interruptions))
	}
}

// backoff returns the delay after the nth run of an item that had no outcome, from 1 on.
func backoff(n int) clock.Millis { return min(maxBackoff, minBackoff<<min(n-1, 10)) }

// giveUp records that an item is given up for a reason that its client knows. The caller
// holds the lock.
func (w *Worker) giveUp(j *job, i int, why string) {
	w.recordGivenUp(j, i, why, "")
}

func (w *Worker) recordGivenUp(j *job, i int, why, reason string) {
	j.states[i].phase = finishing
	w.Log.Warn().Str("job", j.id).Str("item", j.items[i].ID).Str("why", why).Msg("work: item given up")
	go w.recordResult(j, joblog.Done{Item: i, GivenUp: true, Reason: reason})
}

// expire gives up all items without a result of a job that has outlived the
// retention of its route: its trainer has left without ending the job. The caller
// holds the lock.
func (w *Worker) expire(j *job) {
	for i := range j.states {
		st := &j.states[i]
		if st.phase != finishing && st.phase != recorded {
			st.cancelAttempts()
			w.recordGivenUp(j, i, "the time of the job is over", st.faults.reason())
		}
	}
}

// finish scores and stores a complete output. Both happen at the same time, because
// the trainer waits for the last item of a group.
func (w *Worker) finish(j *job, i int, events []runs.Event) {
	d := joblog.Done{Item: i}
	var text []byte
	for n, ev := range events {
		if n > 0 {
			text = append(text, '\n')
		}
		text = append(text, ev.Data...)
		if !slices.Contains(d.Versions, ev.Version) {
			d.Versions = append(d.Versions, ev.Version)
		}
	}
	slices.Sort(d.Versions)
	stored := make(chan error, 1)
	go func() {
		d.Size = len(text)
		stored <- w.storeWithRetry(j, i, func() (err error) {
			d.OutputAt, err = w.Jobs.StoreText(j.ctx, j.id, text)
			return err
		})
	}()
	score, ok := "", true
	if sc := j.items[i].Scorer; sc != nil {
		score, ok = w.score(j, i, sc)
	}
	err := <-stored
	if j.ctx.Err() != nil {
		return
	}
	if err != nil {
		w.rejectStored(j, i, err)
		return
	}
	if !ok {
		w.mu.Lock()
		w.giveUp(j, i, "each scoring call failed")
		w.mu.Unlock()
		return
	}
	d.Score = score
	w.recordResult(j, d)
}

// mayScore reports whether this node knows that its jobs were open a short time ago. A
// scoring call of a job that has ended must not reach a server. While the index can't
// be read, no end may be acknowledged either, and the call is made.
func (w *Worker) mayScore() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.indexReadable || w.Clock.Now()-w.indexCurrentAt <= maxEvidenceAge
}

// score calls the scoring service until it answers, and returns the stamp of the
// answer as the score. It returns false after as many failures as the route of the
// service allows attempts, or when this node releases the job.
func (w *Worker) score(j *job, i int, sc *joblog.Scorer) (string, bool) {
	failures, late := 0, 0
	for {
		if !w.mayScore() {
			if !clock.Sleep(j.ctx, scoreRetryDelay) {
				return "", false
			}
			continue
		}
		start := w.Clock.Now()
		req := &front.Request{
			ID: sc.ID, Method: http.MethodPost, Host: sc.Host, Path: sc.Path, URI: sc.Path, Header: http.Header{}, Body: sc.Body,
		}
		w.mu.Lock()
		urgency, planned := j.urgency.Get()
		w.mu.Unlock()
		if planned {
			urgency.DueBy += clock.Millis(late) * lateCallDelay
			req.For = option.Some(urgency)
		}
		res, err := w.Proxy.Do(j.ctx, req)
		if j.ctx.Err() != nil {
			return "", false
		}
		if err == nil && res.Status/100 == 2 && res.Stamp != "" {
			return res.Stamp, true
		}
		if f, ok := fault.As(err); ok && f.Kind() == fault.OutcomeUnknown {
			late++
		}
		limit := 1
		if res != nil {
			failures += res.Failures
			limit = max(1, res.MaxAttempts)
		}
		w.Log.Info().Str("job", j.id).Str("item", j.items[i].ID).Str("call", sc.ID).Int("failures", failures).
			Int64("took-ms", int64(w.Clock.Now()-start)).Err(err).Msg("work: scoring failed")
		if failures >= limit && res != nil && res.Failures > 0 {
			return "", false
		}
		if !clock.Sleep(j.ctx, scoreRetryDelay) {
			return "", false
		}
	}
}

// recordResult appends the record of a result to the job log.
func (w *Worker) recordResult(j *job, d joblog.Done) {
	err := w.storeWithRetry(j, d.Item, func() error { return w.Jobs.RecordResult(j.ctx, j.id, d) })
	if err != nil && !d.GivenUp {
		w.rejectStored(j, d.Item, err)
	}
}

// storeWithRetry repeats an append for an item until it succeeds, this node releases
// the job, or the store can't take the record at all. Only then it returns an error.
func (w *Worker) storeWithRetry(j *job, i int, store func() error) error {
	for {
		err := store()
		if err == nil || j.ctx.Err() != nil {
			return nil
		}
		var large *logs.TooLargeError
		if errors.As(err, &large) {
			return err
		}
		w.Log.Warn().Str("job", j.id).Str("item", j.items[i].ID).Err(errors.WithMessage(err, "store")).Msg("work: result not stored, tried again")
		if !clock.Sleep(j.ctx, storeRetryDelay) {
			return nil
		}
	}
}
