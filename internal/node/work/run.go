package work

import (
	"bytes"
	"context"
	"encoding/gob"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
)

const (
	// breakFirst is the pause before an item whose run broke off goes again;
	// it doubles, up to breakMost.
	breakFirst = 50 * clock.Milli
	breakMost  = 4 * clock.Second
	// An item that several engines broke off before its first event may crash
	// them. From slowCrashes on it goes again only each breakMost, from
	// mostCrashes on not any more: trouble that hits an engine by chance can't
	// be told from it sooner.
	slowCrashes = 3
	mostCrashes = 6
	// frameFor is how long an agent may send nothing; it sends a frame each
	// 150 ms, and a link between regions may be slow for a while.
	frameFor = 1200 * clock.Milli
	// stallFor is how long a stream may show no event before its item is better
	// off elsewhere: the slowest engines show one every 150 ms.
	stallFor = 350 * clock.Milli
	// storeEach is the pause before a result that could not be stored is
	// stored again, and scoreEach that before a call is scored again.
	storeEach = 200 * clock.Milli
	scoreEach = 200 * clock.Milli
	// lost is the code of a run whose agent fell silent or broke off.
	lost runs.Code = "lost"
)

// launch runs an item at an engine from the event on that is held; the caller
// holds the lock.
func (w *Worker) launch(j *job, i int, r *router.Route, s *fleet.Server) *attempt {
	st, it := &j.state[i], &j.items[i]
	ctx, cancel := context.WithCancel(j.ctx)
	a := &attempt{server: s, cancel: cancel, from: st.made()}
	w.engine(s).open++
	run := &runs.Run{
		Job: j.id, Item: it.ID, Instance: s.ID, Model: j.model, MinVersion: j.min, OneModel: r.SingleVersion,
		Host: j.host, Path: it.Path, Header: it.Header, Body: it.Body, After: a.from, Version: st.version(),
	}
	go func() {
		defer cancel()
		code, detail := w.run(ctx, j, i, a, run)
		w.ended(j, i, r, a, code, detail)
	}()
	return a
}

// run asks an agent for an item and takes its frames in.
func (w *Worker) run(ctx context.Context, j *job, i int, a *attempt, run *runs.Run) (runs.Code, string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(run); err != nil {
		return lost, err.Error()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.agentAddr(a.server)+runs.RunPath, &buf)
	if err != nil {
		return lost, err.Error()
	}
	silence := time.AfterFunc(frameFor.Duration(), cancel)
	defer silence.Stop()
	resp, err := w.http.Do(req)
	if err != nil {
		return lost, err.Error()
	}
	defer resp.Body.Close()
	in := runs.NewReader(resp.Body)
	for {
		f, err := in.Read()
		if err != nil {
			return lost, err.Error()
		}
		silence.Reset(frameFor.Duration())
		w.frame(j, i, a, f)
		if f.Code != runs.InProgress {
			return f.Code, f.Detail
		}
	}
}

// frame takes in a part of a run.
func (w *Worker) frame(j *job, i int, a *attempt, f *runs.Frame) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard(a.server, f)
	st := &j.state[i]
	if st.next == a && len(f.Events) > 0 {
		from := st.cur.server
		w.Log.Info().Str("job", j.id).Str("item", j.items[i].ID).Str("engine", from.ID).Str("to", a.server.ID).
			Int("events", a.from).Int("dropped", st.made()-a.from).Msg("work: item moved")
		st.cur.cancel()
		st.adopt()
	}
	if st.cur == a {
		a.events = append(a.events, f.Events...)
		a.stalled = f.Since >= stallFor && !f.Loading
		if a.stalled {
			w.Wake()
		}
	}
}

// ended decides what becomes of an item after a run.
func (w *Worker) ended(j *job, i int, r *router.Route, a *attempt, code runs.Code, detail string) {
	w.Count("items", string(code))
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.Wake()
	now := w.Clock.Now()
	s := a.server
	e := w.engine(s)
	e.open--
	if code == lost {
		w.lost++
	}
	st := &j.state[i]
	if j.ctx.Err() != nil || st.cur != a && st.next != a {
		return
	}
	if code == runs.Full || code == runs.StaleWeights {
		st.refusals++ // Told with the next line; they are counted as well.
	} else {
		w.Log.Info().Str("job", j.id).Str("item", j.items[i].ID).Str("engine", s.ID).Str("code", string(code)).Str("why", detail).
			Int("events", st.made()).Int("refusals", st.refusals).Int("fails", st.fails).Int("breaks", st.breaks).Bool("move", st.next == a).Msg("work: run ended")
	}
	if st.next == a { // It never began; the current attempt goes on.
		st.next = nil
		st.stay = now + stayFor
		e.cool = now + coolFor
		return
	}
	st.settle()
	st.phase, st.notAt = waiting, ""
	if n := st.next; n != nil {
		if code == lost || code == runs.Broken || code == runs.Leaving {
			st.adopt()
			st.phase = running
			e.cool = now + coolFor
			return
		}
		n.cancel()
		st.next = nil
	}
	switch code {
	case runs.Done:
		w.Quarantine.RecordAnswer(func() string { return j.crashID(i) })
		st.phase = scoring
		go w.finish(j, i, st.held)
		st.held = nil
	case runs.Full, runs.WrongInstance, runs.Leaving:
		e.cool = now + coolFor
	case runs.StaleWeights:
		e.old[j.model] = now + coolFor
	case runs.MixedVersions:
		st.held = nil
	case runs.Rejected:
		w.dead(j, i, "the engine can never run it")
	case runs.Failed:
		st.fails++
		st.held = nil
		if st.fails >= r.MaxAttempts {
			w.dead(j, i, "each attempt failed")
		}
	default:
		st.breaks++
		st.notAt = s.ID
		e.cool = now + coolFor
		st.after = now + min(breakMost, breakFirst<<min(st.breaks-1, 10))
		if code == runs.Broken && len(a.events) == 0 {
			w.crashed(j, i, s, now)
		}
	}
}

// crashed counts an engine that broke an item off before its first event; the
// caller holds the lock.
func (w *Worker) crashed(j *job, i int, s *fleet.Server, now clock.Millis) {
	st := &j.state[i]
	id := j.crashID(i)
	w.Quarantine.RecordDisconnect(s.Incarnation(), id)
	switch n := w.Quarantine.CrashCount(id); {
	case n >= mostCrashes:
		st.phase = heldBack
		w.Log.Warn().Str("job", j.id).Str("item", j.items[i].ID).Int("crashes", n).Msg("work: item held back, it crashes engines")
	case n >= slowCrashes:
		st.after = max(st.after, now+breakMost)
	}
}

// dead lists an item as given up; the caller holds the lock.
func (w *Worker) dead(j *job, i int, why string) {
	j.state[i].phase = scoring
	w.Log.Warn().Str("job", j.id).Str("item", j.items[i].ID).Str("why", why).Msg("work: item given up")
	go w.list(j, joblog.Done{Item: i, GivenUp: true})
}

// expire gives up what is left of a job whose time is over: its trainer has
// left without ending it. The caller holds the lock.
func (w *Worker) expire(j *job) {
	for i := range j.state {
		st := &j.state[i]
		if st.phase != scoring && st.phase != listed {
			st.stop()
			w.dead(j, i, "the time of the job is over")
		}
	}
}

// finish has a whole text scored and stored, both at once: the last item of a
// group is waited for.
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
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		d.Size = len(text)
		w.store(j, i, func() (err error) {
			d.TextAt, err = w.Jobs.StoreText(j.ctx, j.id, text)
			return err
		})
	}()
	score, ok := "", true
	if sc := j.items[i].Scorer; sc != nil {
		score, ok = w.score(j, i, sc)
	}
	<-stored
	if j.ctx.Err() != nil {
		return
	}
	if !ok {
		w.mu.Lock()
		w.dead(j, i, "each scoring call failed")
		w.mu.Unlock()
		return
	}
	d.Score = score
	w.list(j, d)
}

// score calls the scoring service until it answers; false after as many
// failures as its route allows attempts.
func (w *Worker) score(j *job, i int, sc *joblog.Scorer) (string, bool) {
	fails := 0
	for {
		start := w.Clock.Now()
		res, err := w.Front.Do(j.ctx, &front.Request{
			ID: sc.ID, Method: http.MethodPost, Host: sc.Host, Path: sc.Path, URI: sc.Path, Header: http.Header{}, Body: sc.Body,
		})
		if j.ctx.Err() != nil {
			return "", false
		}
		if err == nil && res.Status/100 == 2 && res.Stamp != "" {
			return res.Stamp, true
		}
		limit := 1
		if res != nil {
			fails += res.Failures
			limit = max(1, res.Attempts)
		}
		w.Log.Info().Str("job", j.id).Str("item", j.items[i].ID).Str("call", sc.ID).Int("failures", fails).
			Int64("took-ms", int64(w.Clock.Now()-start)).Err(err).Msg("work: scoring failed")
		if fails >= limit && res != nil && res.Failures > 0 {
			return "", false
		}
		if !clock.Sleep(j.ctx, scoreEach) {
			return "", false
		}
	}
}

// list appends the record of a result.
func (w *Worker) list(j *job, d joblog.Done) {
	w.store(j, d.Item, func() error { return w.Jobs.RecordResult(j.ctx, j.id, d) })
}

// store does an append of an item's result until it succeeds or the job is
// left.
func (w *Worker) store(j *job, i int, do func() error) {
	for {
		err := do()
		if err == nil || j.ctx.Err() != nil {
			return
		}
		w.Log.Warn().Str("job", j.id).Str("item", j.items[i].ID).Err(errors.WithMessage(err, "store")).Msg("work: result not stored, tried again")
		if !clock.Sleep(j.ctx, storeEach) {
			return
		}
	}
}
