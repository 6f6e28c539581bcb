package demo

import (
	"context"
	"time"
)

// mishap is one thing that goes wrong at a moment of the run.
type mishap struct {
	after time.Duration // since the one before
	name  string
	do    func(*run)
}

// schedule lists the faults in order.
var schedule = []mishap{
	{500 * time.Millisecond, "an engine crashes", func(r *run) { r.w.agents[0].engine.Crash() }},
	{300 * time.Millisecond, "two engines slow to a fifth", func(r *run) { r.slow(0.2) }},
	{300 * time.Millisecond, "the log loses half of its answers", func(r *run) { r.w.store.SetReplyLossRate(0.5) }},
	{500 * time.Millisecond, "an entry dies", func(r *run) {
		if len(r.w.urls()) > 1 {
			r.w.killEntry(len(r.w.entries) - 1)
		}
	}},
	{500 * time.Millisecond, "the log is down", func(r *run) { r.w.store.SetDown(true) }},
	{1500 * time.Millisecond, "the log is back", func(r *run) { r.w.store.SetDown(false) }},
	{300 * time.Millisecond, "the engine is back", func(r *run) { r.w.agents[0].engine.Restart() }},
	{500 * time.Millisecond, "the slow engines are back", func(r *run) { r.slow(1) }},
}

func (r *run) slow(share float64) {
	for _, a := range r.w.agents[1:min(3, len(r.w.agents))] {
		if a.engine != nil {
			a.engine.SetSpeed(share)
		}
	}
}

// faults lets everything on the schedule happen.
func (r *run) faults(ctx context.Context) {
	for _, f := range r.scene.faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(f.after):
		}
		r.say("fault: %s", f.name)
		f.do(r)
	}
}
