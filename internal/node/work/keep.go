package work

import (
	"context"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/decide/lots"
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

// keep stores the texts that have grown, so that the next owner goes on after
// them when this process and the agents are gone.
func (w *Worker) keep(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		for i := range j.state {
			st := &j.state[i]
			if st.phase != running || st.made()-st.kept < keepEach {
				continue
			}
			evs := st.events()
			st.kept = len(evs)
			go w.storeText(ctx, j, i, evs)
		}
	}
}

// HandOver stores all texts that are not whole, so that the next owner goes on
// after them, and returns when that is done or the context ends. It is for a
// node that is about to leave.
func (w *Worker) HandOver(ctx context.Context) {
	var wg sync.WaitGroup
	n := 0
	w.mu.Lock()
	for _, j := range w.jobs {
		for i := range j.state {
			st := &j.state[i]
			if st.phase != waiting && st.phase != running || st.made() <= st.kept {
				continue
			}
			evs := st.events()
			st.kept = len(evs)
			n++
			wg.Go(func() { w.storeText(ctx, j, i, evs) })
		}
	}
	w.mu.Unlock()
	wg.Wait()
	w.Log.Info().Int("texts", n).Err(ctx.Err()).Msg("work: texts so far stored for the next owners")
}

func (w *Worker) storeText(ctx context.Context, j *job, i int, evs []runs.Event) {
	ctx, cancel := context.WithTimeout(ctx, jobs.SilentFor.Duration())
	defer cancel()
	if err := w.Board.Keep(ctx, j.id, i, evs); err != nil && j.ctx.Err() == nil {
		w.Log.Info().Str("job", j.id).Str("item", j.items[i].ID).Int("events", len(evs)).Err(err).Msg("work: text so far not stored")
	}
}

// kept reads the stored texts of a job's items. One that can't be read is made
// from its start.
func (w *Worker) kept(ctx context.Context, id string) map[int][]runs.Event {
	parts := make(map[int]lots.Part)
	w.Board.View(func(ix *lots.Index, _ bool) {
		if j := ix.Job(id); j != nil {
			for i := range j.Items {
				if p, ok := j.Part(i); ok {
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
			evs, err := w.Board.Kept(ctx, p)
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
