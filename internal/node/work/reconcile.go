package work

import (
	"context"
	"slices"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/output"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/node/jobs"
)

const (
	// takeoverRetryDelay is the minimum time between two attempts of a node to take
	// over the same job.
	takeoverRetryDelay = clock.Second
	// takeoverStagger is how much later each further candidate takes a job over. The
	// candidates before it may be dead: an idle node is missed only after seconds.
	takeoverStagger = 500 * clock.Milli
)

// reconcile updates the jobs of this node from the index: it starts the jobs that
// the node owns, releases those that it no longer owns, and takes over jobs whose
// owner is gone.
func (w *Worker) reconcile(ctx context.Context) {
	var load []*joblog.Job
	var takeOver []string
	w.Jobs.View(func(ix *joblog.Index, fresh bool) {
		now := w.Clock.Now()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.indexReadable, w.indexCurrentAt = fresh, ix.CurrentAt()
		for _, e := range w.engines {
			e.evidence.Confirm(ix.CurrentAt())
		}
		heartbeatsFresh := fresh && now-ix.HeartbeatsReadAt() <= jobs.SuspectTimeout
		alive := sync.OnceValue(func() []ident.Node {
			return nodeIDs(ix.LiveNodes(now, jobs.FailureTimeout, jobs.IdleFailureTimeout))
		})
		ix.EachJob(func(j *joblog.Job) {
			shouldRun := j.Owner == w.Self && j.IsOpen()
			if owned := w.jobs[j.JobID]; owned != nil {
				owned.applyResults(j)
				if !shouldRun {
					w.Log.Info().Str("job", j.JobID).Bool("open", j.IsOpen()).Str("owner", j.Owner.Name).Msg("work: job released")
					owned.cancel()
					delete(w.jobs, j.JobID)
				}
				return
			}
			if shouldRun && !w.assigningStopped {
				owned := newJob(ctx, j)
				w.jobs[j.JobID] = owned
				if items := w.cachedItems[j.JobID]; items != nil {
					delete(w.cachedItems, j.JobID)
					owned.start(w.Clock.Now(), items)
					w.Log.Info().Str("job", j.JobID).Int("items", len(items)).Msg("work: job started")
				} else {
					c := *j
					load = append(load, &c)
				}
				return
			}
			if !j.IsOpen() {
				delete(w.cachedItems, j.JobID)
				delete(w.takeoverTriedAt, j.JobID)
				delete(w.suspectSince, j.JobID)
				return
			}
			if !heartbeatsFresh || w.assigningStopped || ix.IsLive(now, jobs.SuspectTimeout, j.Owner) {
				delete(w.suspectSince, j.JobID)
				return
			}
			if w.suspectSince[j.JobID] == 0 {
				w.suspectSince[j.JobID] = now
			}
			if now-w.takeoverTriedAt[j.JobID] < takeoverRetryDelay {
				return
			}
			suspect := ix.IsLive(now, jobs.FailureTimeout, j.Owner) // no recent heartbeat, but not yet dead
			candidates := takeoverCandidates(alive(), j.Owner, suspect)
			rank := spread.Rank(j.JobID, candidates, ident.Node(w.Self.Name))
			if !slices.Contains(candidates, ident.Node(w.Self.Name)) || now-w.suspectSince[j.JobID] < clock.Millis(rank)*takeoverStagger {
				return
			}
			if suspect && !w.ownerGone(ctx, now, j.Owner, ix.Addr(j.Owner.Name)) {
				return
			}
			w.takeoverTriedAt[j.JobID] = now
			takeOver = append(takeOver, j.JobID)
		})
	})
	for _, j := range load {
		go w.loadJob(ctx, j)
	}
	for _, id := range takeOver {
		go w.takeOver(ctx, id)
	}
}

func nodeIDs(names []string) []ident.Node {
	out := make([]ident.Node, len(names))
	for i, n := range names {
		out[i] = ident.Node(n)
	}
	return out
}

func (w *Worker) takeOver(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, jobs.FailureTimeout.Duration())
	defer cancel()
	err := w.Jobs.TakeOver(ctx, id)
	w.Log.Info().Str("job", id).Err(err).Msg("work: tried to take over a job whose owner is unreachable or leaving")
}

// loadJob reads the items and checkpoints of a job from the store.
func (w *Worker) loadJob(ctx context.Context, j *joblog.Job) {
	items, err := w.Jobs.Items(ctx, j)
	var checkpoints map[int]loadedCheckpoint
	if err == nil {
		checkpoints = w.loadCheckpoints(ctx, j.JobID)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	owned := w.jobs[j.JobID]
	if owned == nil {
		return
	}
	if err != nil {
		w.Log.Warn().Str("job", j.JobID).Err(err).Msg("work: reading the items of a job failed, will retry")
		delete(w.jobs, j.JobID) // The next reconcile pass starts over.
		return
	}
	owned.start(w.Clock.Now(), items)
	for i, cp := range checkpoints {
		if st := &owned.states[i]; st.phase == pending && len(cp.events) > len(st.received) {
			st.received, st.software, st.checkpointed = cp.events, cp.software, len(cp.events)
			st.parts = []output.Part{partOf("", cp.events)}
			st.progressAt = owned.startedAt
			// The tokens in an event are not known before the job is planned.
			if defect, ok := w.judge(owned, i, output.MaxOverruns); ok {
				w.rejectOutput(owned, i, defect)
			}
		}
	}
	w.Log.Info().Str("job", j.JobID).Int("items", len(items)).Int("listed", len(j.Results)).Int("texts", len(checkpoints)).Msg("work: job started from the store")
	w.Wake()
}
