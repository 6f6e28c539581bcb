package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	drainPoll = 20 * time.Millisecond
	// drainLinger lets the last answers to other entries leave.
	drainLinger = 100 * time.Millisecond
	// drainNotes bounds the wait for outcomes that go to the log; their agents
	// know them too.
	drainNotes = 2 * time.Second
)

// Shutdown stops being ready, serves on for the balancer's delay, and returns
// when all work in progress has ended: requests of callers, calls that other
// entries passed on, and outcomes on their way to the log.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.leaving.Store(true)
	go e.gossipOnce(e.ctx)
	pause(ctx, e.p.Delay.Duration())
	e.lease.Release(ctx)
	err := e.http.Shutdown(ctx)
	for e.passed.Load() > 0 && ctx.Err() == nil {
		pause(ctx, drainPoll)
	}
	if err == nil {
		err = ctx.Err()
	}
	until := time.Now().Add(drainNotes)
	for e.claims.IsBusy() && ctx.Err() == nil && time.Now().Before(until) {
		pause(ctx, drainPoll)
	}
	pause(ctx, drainLinger)
	e.Close()
	return errors.Wrap(err, "shutdown with work in progress")
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
