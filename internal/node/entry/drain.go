package entry

import (
	"context"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	drainPoll = 20 * clock.Milli
	// drainLinger lets the last answers to other entries leave.
	drainLinger = 100 * clock.Milli
	// drainNotes bounds the wait for outcomes that go to the log; their agents
	// know them too.
	drainNotes = 2 * clock.Second
)

// Shutdown stops being ready, serves on for the balancer's delay, and returns
// when all work in progress has ended: requests of callers, calls that other
// entries passed on, and outcomes on their way to the log.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.leaving.Store(true)
	go e.gossipOnce(e.ctx)
	clock.Sleep(ctx, e.p.DrainDelay)
	e.lease.Release(ctx)
	err := e.http.Shutdown(ctx)
	for e.passed.Load() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, drainPoll)
	}
	if err == nil {
		err = ctx.Err()
	}
	until := e.p.Clock.Now() + drainNotes
	for e.claims.IsBusy() && ctx.Err() == nil && e.p.Clock.Now() < until {
		clock.Sleep(ctx, drainPoll)
	}
	clock.Sleep(ctx, drainLinger)
	e.Close()
	return errors.Wrap(err, "shutdown with work in progress")
}
