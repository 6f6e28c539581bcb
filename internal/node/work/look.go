package work

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/jobs"
)

// takeEach is how often a node tries to take over one job.
const takeEach = clock.Second

// look compares the jobs at hand with the index.
func (w *Worker) look(ctx context.Context) {
	var begin []*joblog.Job
	var take []string
	w.Jobs.View(func(ix *joblog.Index, fresh bool) {
		now := w.Clock.Now()
		w.mu.Lock()
		defer w.mu.Unlock()
		alive := nodes(ix.LiveNodes(now, jobs.FailureTimeout))
		ix.EachJob(func(j *joblog.Job) {
			mine := j.Owner == w.Self && j.IsOpen()
			if r := w.jobs[j.JobID]; r != nil {
				r.update(j)
				if !mine {
					w.Log.Info().Str("job", j.JobID).Bool("open", j.IsOpen()).Str("owner", j.Owner.Name).Msg("work: job left")
					r.cancel()
					delete(w.jobs, j.JobID)
				}
				return
			}
			if mine && !w.leaving {
				r := newJob(ctx, j)
				w.jobs[j.JobID] = r
				if its := w.specs[j.JobID]; its != nil {
					delete(w.specs, j.JobID)
					r.start(w.Clock.Now(), its)
					w.Log.Info().Str("job", j.JobID).Int("items", len(its)).Msg("work: job begun")
				} else {
					c := *j
					begin = append(begin, &c)
				}
				return
			}
			if !j.IsOpen() {
				delete(w.specs, j.JobID)
				delete(w.takes, j.JobID)
				return
			}
			if !fresh || w.leaving || ix.IsLive(now, jobs.SuspectTimeout, j.Owner) || now-w.takes[j.JobID] < takeEach {
				return
			}
			inDoubt := ix.IsLive(now, jobs.FailureTimeout, j.Owner) // silent, but not yet for long
			if n, ok := spread.Owner(j.JobID, without(alive, j.Owner, inDoubt)); !ok || string(n) != w.Self.Name {
				return
			}
			if inDoubt && !w.gone(ctx, now, j.Owner, ix.Addr(j.Owner.Name)) {
				return
			}
			w.takes[j.JobID] = now
			take = append(take, j.JobID)
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
	ctx, cancel := context.WithTimeout(ctx, jobs.FailureTimeout.Duration())
	defer cancel()
	err := w.Jobs.TakeOver(ctx, id)
	w.Log.Info().Str("job", id).Err(err).Msg("work: taking a job over, its owner is silent or leaves")
}

// load reads the items of a job from the store.
func (w *Worker) load(ctx context.Context, j *joblog.Job) {
	its, err := w.Jobs.Items(ctx, j)
	var texts map[int][]runs.Event
	if err == nil {
		texts = w.kept(ctx, j.JobID)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.jobs[j.JobID]
	if r == nil {
		return
	}
	if err != nil {
		w.Log.Warn().Str("job", j.JobID).Err(err).Msg("work: items can't be read, tried again")
		delete(w.jobs, j.JobID) // The next look begins anew.
		return
	}
	r.start(w.Clock.Now(), its)
	for i, evs := range texts {
		if st := &r.state[i]; st.phase == waiting && len(evs) > len(st.held) {
			st.held, st.kept = evs, len(evs)
		}
	}
	w.Log.Info().Str("job", j.JobID).Int("items", len(its)).Int("listed", len(j.Results)).Int("texts", len(texts)).Msg("work: job begun from the store")
	w.Wake()
}
