package demo

import (
	"context"
	"time"
)

// faultEvent is a fault that is injected or removed during a run.
type faultEvent struct {
	delay  time.Duration // after the previous event
	name   string
	inject func(*run)
}

// defaultFaults lists the faults of the default scene, in order of time.
var defaultFaults = []faultEvent{
	{500 * time.Millisecond, "an engine crashes", func(r *run) { r.cluster.agents[0].engine.Crash() }},
	{300 * time.Millisecond, "two engines slow to a fifth", func(r *run) { r.setSpeed(0.2) }},
	{300 * time.Millisecond, "the log loses half of its answers", func(r *run) { r.cluster.store.SetReplyLossRate(0.5) }},
	{500 * time.Millisecond, "an entry dies", func(r *run) {
		if len(r.cluster.entryURLs()) > 1 {
			r.cluster.killEntry(len(r.cluster.entries) - 1)
		}
	}},
	{500 * time.Millisecond, "the log is down", func(r *run) { r.cluster.store.SetDown(true) }},
	{1500 * time.Millisecond, "the log is back", func(r *run) { r.cluster.store.SetDown(false) }},
	{300 * time.Millisecond, "the engine is back", func(r *run) { r.cluster.agents[0].engine.Restart() }},
	{500 * time.Millisecond, "the slow engines are back", func(r *run) { r.setSpeed(1) }},
}

// setSpeed sets the speed of the second and third agent's engines, as a factor of
// their normal speed.
func (r *run) setSpeed(factor float64) {
	for _, a := range r.cluster.agents[1:min(3, len(r.cluster.agents))] {
		if a.engine != nil {
			a.engine.SetSpeed(factor)
		}
	}
}

// injectFaults injects the faults of the scene in order.
func (r *run) injectFaults(ctx context.Context) {
	for _, f := range r.scene.faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(f.delay):
		}
		r.progressf("fault: %s", f.name)
		f.inject(r)
	}
}
