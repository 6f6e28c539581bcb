package work

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/lots"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/jobs"
)

// takeEach is how often a node tries to take over one job.
const takeEach = clock.Second

// look compares the jobs at hand with the index.
func (w *Worker) look(ctx context.Context) {
	var begin []*lots.Job
	var take []string
	w.Board.View(func(ix *lots.Index, fresh bool) {
		now := w.Clock.Now()
		w.mu.Lock()
		defer w.mu.Unlock()
		alive := nodes(ix.Alive(now, jobs.SilentFor))
		ix.Jobs(func(j *lots.Job) {
			mine := j.Owner == w.Self && j.Open()
			if r := w.jobs[j.Job]; r != nil {
				r.update(j)
				if !mine {
					w.Log.Info().Str("job", j.Job).Bool("open", j.Open()).Str("owner", j.Owner.Name).Msg("work: job left")
					r.cancel()
					delete(w.jobs, j.Job)
				}
				return
			}
			if mine && !w.leaving {
				r := newJob(ctx, j)
				w.jobs[j.Job] = r
				if its := w.specs[j.Job]; its != nil {
					delete(w.specs, j.Job)
					r.start(w.Clock.Now(), its)
					w.Log.Info().Str("job", j.Job).Int("items", len(its)).Msg("work: job begun")
				} else {
					c := *j
					begin = append(begin, &c)
				}
				return
			}
			if !j.Open() {
				delete(w.specs, j.Job)
				delete(w.takes, j.Job)
				return
			}
			if !fresh || w.leaving || ix.Works(now, jobs.DoubtFor, j.Owner) || now-w.takes[j.Job] < takeEach {
				return
			}
			inDoubt := ix.Works(now, jobs.SilentFor, j.Owner) // silent, but not yet for long
			if n, ok := spread.First(j.Job, without(alive, j.Owner, inDoubt)); !ok || string(n) != w.Self.Name {
				return
			}
			if inDoubt && !w.gone(ctx, now, j.Owner, ix.Addr(j.Owner.Name)) {
				return
			}
			w.takes[j.Job] = now
			take = append(take, j.Job)
		})
	})
	for _, j := range begin {
		go w.load(ctx, j)
	}
	for _, id := range take {
		go w.take(ctx, id)
	}
}

func nodes(names []string) []ident.Node {
	out := make([]ident.Node, len(names))
	for i, n := range names {
		out[i] = ident.Node(n)
	}
	return out
}

func (w *Worker) take(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, jobs.SilentFor.Duration())
	defer cancel()
	err := w.Board.Take(ctx, id)
	w.Log.Info().Str("job", id).Err(err).Msg("work: taking a job over, its owner is silent or leaves")
}

// load reads the items of a job from the store.
func (w *Worker) load(ctx context.Context, j *lots.Job) {
	its, err := w.Board.Items(ctx, j)
	var texts map[int][]runs.Event
	if err == nil {
		texts = w.kept(ctx, j.Job)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.jobs[j.Job]
	if r == nil {
		return
	}
	if err != nil {
		w.Log.Warn().Str("job", j.Job).Err(err).Msg("work: items can't be read, tried again")
		delete(w.jobs, j.Job) // The next look begins anew.
		return
	}
	r.start(w.Clock.Now(), its)
	for i, evs := range texts {
		if st := &r.state[i]; st.phase == waiting && len(evs) > len(st.held) {
			st.held, st.kept = evs, len(evs)
		}
	}
	w.Log.Info().Str("job", j.Job).Int("items", len(its)).Int("listed", len(j.Results)).Int("texts", len(texts)).Msg("work: job begun from the store")
	w.Wake()
}
