package work

import (
	"context"
	"slices"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/jobs"
)

const (
	// keepEach is the number of new events after which a text that is not
	// whole is stored: some 1.6 s of work that a loss of power costs at most.
	keepEach = 40
	// keepers read stored texts side by side.
	keepers = 8
)

// text is what an item has so far.
type text struct {
	job    *job
	item   int
	events []runs.Event
}

// grown returns the texts of items in some phases that have at least a number
// of events which are not stored; they count as stored from then on.
func (w *Worker) grown(least int, in ...phase) []text {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []text
	for _, j := range w.jobs {
		for i := range j.state {
			st := &j.state[i]
			if !slices.Contains(in, st.phase) || st.made()-st.kept < least {
				continue
			}
			t := text{j, i, st.events()}
			st.kept = len(t.events)
			out = append(out, t)
		}
	}
	return out
}

// keep stores the texts that have grown, so that the next owner goes on after
// them when this process and the agents are gone.
func (w *Worker) keep(ctx context.Context) {
	for _, t := range w.grown(keepEach, running) {
		go w.storeText(ctx, t)
	}
}

// Checkpoint stores all texts that are not whole, so that the next owner goes on
// after them, and returns when that is done or the context ends. It is for a
// node that is about to leave.
func (w *Worker) Checkpoint(ctx context.Context) {
	texts := w.grown(1, waiting, running)
	var wg sync.WaitGroup
	for _, t := range texts {
		wg.Go(func() { w.storeText(ctx, t) })
	}
	wg.Wait()
	w.Log.Info().Int("texts", len(texts)).Err(ctx.Err()).Msg("work: texts so far stored for the next owners")
}

func (w *Worker) storeText(ctx context.Context, t text) {
	ctx, cancel := context.WithTimeout(ctx, jobs.FailureTimeout.Duration())
	defer cancel()
	if err := w.Jobs.SaveCheckpoint(ctx, t.job.id, t.item, t.events); err != nil && t.job.ctx.Err() == nil {
		w.Log.Info().Str("job", t.job.id).Str("item", t.job.items[t.item].ID).Int("events", len(t.events)).Err(err).Msg("work: text so far not stored")
	}
}

// kept reads the stored texts of a job's items. One that can't be read is made
// from its start.
func (w *Worker) kept(ctx context.Context, id string) map[int][]runs.Event {
	parts := make(map[int]joblog.Checkpoint)
	w.Jobs.View(func(ix *joblog.Index, _ bool) {
		if j := ix.Job(id); j != nil {
			for i := range j.ItemIDs {
				if p, ok := j.Checkpoint(i); ok {
					parts[i] = p
				}
			}
		}
	})
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[int][]runs.Event)
	turn := make(chan struct{}, keepers)
	for i, p := range parts {
		turn <- struct{}{}
		wg.Go(func() {
			defer func() { <-turn }()
			evs, err := w.Jobs.LoadCheckpoint(ctx, p)
			if err != nil {
				w.Log.Warn().Str("job", id).Int("item", i).Err(err).Msg("work: stored text can't be read")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[i] = evs
		})
	}
	wg.Wait()
	return out
}
