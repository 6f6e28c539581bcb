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
	"github.com/jujuberamp/jujuberamp/internal/decide/lots"
	"github.com/jujuberamp/jujuberamp/internal/decide/table"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
)

const (
	// frameFor is how long an agent may send nothing; it sends a frame each
	// 250 ms, and a link between regions may be slow for a while.
	frameFor = 1200 * clock.Milli
	// storeEach is the pause before a result that could not be stored is
	// stored again, and scoreEach that before a call is scored again.
	storeEach = 200 * clock.Milli
	scoreEach = 200 * clock.Milli
	// lost is the code of a run whose agent fell silent or broke off.
	lost runs.Code = "lost"
)

// start runs an item at an engine; the caller holds the lock.
func (w *Worker) start(j *job, i int, r *table.Route, s *fleet.Server) {
	st := &j.state[i]
	ctx, stop := context.WithCancel(j.ctx)
	st.phase, st.engine, st.stop = running, s.ID, stop
	e := w.engine(s)
	e.open++
	it := &j.items[i]
	run := &runs.Run{
		Job: j.id, Item: it.ID, Instance: s.ID, Model: j.model, MinVersion: j.min, OneModel: r.OneModel,
		Host: j.host, Path: it.Path, Header: it.Header, Body: it.Body, After: len(st.events), Priority: r.Priority,
	}
	if n := len(st.events); n > 0 {
		run.Version = st.events[n-1].Version
	}
	go func() {
		defer stop()
		code, detail := w.run(ctx, j, i, run, s)
		w.ended(j, i, r, s, code, detail)
	}()
}

// run asks an agent for an item and takes its frames in.
func (w *Worker) run(ctx context.Context, j *job, i int, run *runs.Run, s *fleet.Server) (runs.Code, string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(run); err != nil {
		return lost, err.Error()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.agentAddr(s)+runs.Path, &buf)
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
		w.frame(j, i, s, f)
		if f.Code != runs.Going {
			return f.Code, f.Detail
		}
	}
}

// frame takes in a part of a run.
func (w *Worker) frame(j *job, i int, s *fleet.Server, f *runs.Frame) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engine(s)
	e.others, e.slots = max(0, f.Running-e.open), f.Slots
	if f.Pace > 0 {
		e.pace = f.Pace
	}
	now := w.Clock.Now()
	if f.Hiccup != (now < e.hiccup) {
		w.Wake()
	}
	e.hiccup = 0
	if f.Hiccup {
		e.hiccup = now + hiccupFor
	}
	if st := &j.state[i]; st.phase == running {
		st.events = append(st.events, f.Events...)
	}
}

// ended decides what becomes of an item after a run.
func (w *Worker) ended(j *job, i int, r *table.Route, s *fleet.Server, code runs.Code, detail string) {
	w.Count("items", string(code))
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.Wake()
	now := w.Clock.Now()
	e := w.engine(s)
	e.open--
	st := &j.state[i]
	if st.phase != running || j.ctx.Err() != nil {
		return
	}
	moved := st.moving && code == lost
	st.phase, st.stop, st.moving, st.notAt = waiting, nil, false, ""
	w.Log.Info().Str("job", j.id).Str("item", j.items[i].ID).Str("engine", s.ID).Str("code", string(code)).Str("why", detail).
		Int("events", len(st.events)).Int("fails", st.fails).Int("breaks", st.breaks).Msg("work: run ended")
	if moved {
		st.notAt = s.ID
		return
	}
	switch code {
	case runs.Done:
		if len(st.events) == 0 {
			return
		}
		st.phase = scoring
		go w.finish(j, i, slices.Clone(st.events))
		st.events = nil
	case runs.Full, runs.Moved, runs.Leaving:
		e.cool = now + coolFor
	case runs.Old:
		e.old[j.model] = now + coolFor
		if len(st.events) > 0 && st.events[0].Version < j.min {
			st.events = nil
		}
	case runs.Mixed:
		st.events = nil
	case runs.Rejected:
		w.dead(j, i, "the engine can never run it")
	case runs.Failed:
		st.fails++
		st.events = nil
		if st.fails >= r.Attempts {
			w.dead(j, i, "each attempt failed")
		}
	default:
		st.breaks++
		st.notAt = s.ID
		e.cool = now + coolFor
		st.next = now + min(breakMost, breakFirst<<min(st.breaks-1, 10))
	}
}

// dead lists an item as given up; the caller holds the lock.
func (w *Worker) dead(j *job, i int, why string) {
	j.state[i].phase = scoring
	w.Log.Warn().Str("job", j.id).Str("item", j.items[i].ID).Str("why", why).Msg("work: item given up")
	go w.store(j, lots.Done{Item: i, Dead: true}, nil)
}

// finish has a whole text scored and stored.
func (w *Worker) finish(j *job, i int, events []runs.Event) {
	d := lots.Done{Item: i}
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
	if sc := j.items[i].Scorer; sc != nil {
		score, ok := w.score(j, i, sc)
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
	}
	w.store(j, d, text)
}

// score calls the scoring service until it answers; false after as many
// failures as its route allows attempts.
func (w *Worker) score(j *job, i int, sc *lots.Scorer) (string, bool) {
	fails := 0
	for {
		start := w.Clock.Now()
		res, err := w.Front.Ask(j.ctx, &front.Request{
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

// store appends a result until it is listed or the job is left.
func (w *Worker) store(j *job, d lots.Done, text []byte) {
	for {
		err := w.Board.Finish(j.ctx, &j.record, d, text)
		if err == nil {
			return
		}
		if j.ctx.Err() != nil {
			return
		}
		w.Log.Warn().Str("job", j.id).Str("item", j.items[d.Item].ID).Err(errors.WithMessage(err, "store")).Msg("work: result not stored, tried again")
		if !clock.Sleep(j.ctx, storeEach) {
			return
		}
	}
}
