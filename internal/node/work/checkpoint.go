package work

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/jobs"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
)

const (
	// eventsPerCheckpoint is the number of new events after which the partial
	// output of an item is stored. A power failure costs at most this much: some
	// 1.6 s of work.
	eventsPerCheckpoint = 40
	// checkpointReaders limits the number of concurrent reads.
	checkpointReaders = 8
)

// checkpoint is the partial output of an item.
type checkpoint struct {
	job        *job
	item       int
	events     []runs.Event
	software   string // version of the software that made them
	previous   int    // number of events in the checkpoint before
	generation int    // see itemState
}

// dueCheckpoints returns checkpoints of the items in the given phases that have at
// least minEvents events since their last checkpoint. These events count as
// stored from then on, unless saveCheckpoint fails.
func (w *Worker) dueCheckpoints(minEvents int, phases ...phase) []checkpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []checkpoint
	for _, j := range w.jobs {
		for i := range j.states {
			st := &j.states[i]
			if !slices.Contains(phases, st.phase) || st.eventCount()-st.checkpointed < minEvents {
				continue
			}
			cp := checkpoint{j, i, st.events(), st.outputSoftware(), st.checkpointed, st.generation}
			st.checkpointed = len(cp.events)
			out = append(out, cp)
		}
	}
	return out
}

// saveDueCheckpoints stores the partial outputs that have grown enough, so that
// the next owner can resume them if this process and the agents are gone.
func (w *Worker) saveDueCheckpoints(ctx context.Context) {
	for _, cp := range w.dueCheckpoints(eventsPerCheckpoint, inFlight) {
		go w.saveCheckpoint(ctx, cp)
	}
}

// Checkpoint stores all partial outputs, so that the next owner of the jobs can
// resume them. It returns when this is done or the context ends. A node calls it
// before it leaves.
func (w *Worker) Checkpoint(ctx context.Context) {
	checkpoints := w.dueCheckpoints(1, pending, inFlight)
	var wg sync.WaitGroup
	for _, cp := range checkpoints {
		wg.Go(func() { w.saveCheckpoint(ctx, cp) })
	}
	wg.Wait()
	w.Log.Info().Int("texts", len(checkpoints)).Err(ctx.Err()).Msg("work: checkpoints stored for the next owners")
}

func (w *Worker) saveCheckpoint(ctx context.Context, cp checkpoint) {
	ctx, cancel := context.WithTimeout(ctx, jobs.FailureTimeout.Duration())
	defer cancel()
	err := w.Jobs.SaveCheckpoint(ctx, cp.job.id, cp.item, cp.events, cp.software)
	w.mu.Lock()
	defer w.mu.Unlock()
	st := &cp.job.states[cp.item]
	if st.generation != cp.generation { // It may be stored behind the record that drops it.
		go w.dropCheckpoint(cp.job, cp.item)
		return
	}
	if err == nil {
		return
	}
	var large *logs.TooLargeError // It grows further, so the next pass can't store it either.
	if st.checkpointed == len(cp.events) && !errors.As(err, &large) {
		st.checkpointed = cp.previous // The next pass stores it again.
	}
	if cp.job.ctx.Err() == nil {
		w.Log.Info().Str("job", cp.job.id).Str("item", cp.job.items[cp.item].ID).Int("events", len(cp.events)).Err(err).Msg("work: storing a checkpoint failed")
	}
}

// dropCheckpoint records that the checkpoints of an item are of no use.
func (w *Worker) dropCheckpoint(j *job, i int) {
	err := w.storeWithRetry(j, i, func() error { return w.Jobs.DropCheckpoint(j.ctx, j.id, i) })
	if err != nil {
		w.Log.Warn().Str("job", j.id).Str("item", j.items[i].ID).Err(err).Msg("work: dropping a checkpoint failed")
	}
}

// loadedCheckpoint is a partial output that was read from the store.
type loadedCheckpoint struct {
	events   []runs.Event
	software string // version of the software that made them
}

// loadCheckpoints reads the checkpoints of a job by item index. An item whose
// checkpoint can't be read starts from the beginning.
func (w *Worker) loadCheckpoints(ctx context.Context, id string) map[int]loadedCheckpoint {
	checkpoints := make(map[int]joblog.Checkpoint)
	w.Jobs.View(func(ix *joblog.Index, _ bool) {
		if j := ix.Job(id); j != nil {
			for i := range j.ItemIDs {
				if cp, ok := j.Checkpoint(i); ok {
					checkpoints[i] = cp
				}
			}
		}
	})
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[int]loadedCheckpoint)
	sem := make(chan struct{}, checkpointReaders)
	for i, cp := range checkpoints {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			evs, err := w.Jobs.LoadCheckpoint(ctx, cp)
			if err != nil {
				w.Log.Warn().Str("job", id).Int("item", i).Err(err).Msg("work: reading a checkpoint failed")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[i] = loadedCheckpoint{evs, cp.Software}
		})
	}
	wg.Wait()
	return out
}
