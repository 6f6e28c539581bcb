package entry

import (
	"context"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	drainPollInterval = 20 * clock.Milli
	// closeDelay lets the last answers to other entries be sent.
	closeDelay = 100 * clock.Milli
	// outcomeDrainTimeout bounds the wait until outcomes are appended to the
	// log. The agents know these outcomes too.
	outcomeDrainTimeout = 2 * clock.Second
)

// Shutdown reports the entry as not ready, continues to serve for
// Params.DrainDelay, and returns when all work in progress has ended: requests of
// callers, calls forwarded by other entries, and appends of outcomes to the log.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.leaving.Store(true)
	go e.gossipOnce(e.ctx)
	clock.Sleep(ctx, e.p.DrainDelay)
	e.lease.Release(ctx)
	err := e.http.Shutdown(ctx)
	for e.forwardedCalls.Load() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, drainPollInterval)
	}
	if err == nil {
		err = ctx.Err()
	}
	deadline := e.p.Clock.Now() + outcomeDrainTimeout
	for e.claims.IsBusy() && ctx.Err() == nil && e.p.Clock.Now() < deadline {
		clock.Sleep(ctx, drainPollInterval)
	}
	clock.Sleep(ctx, closeDelay)
	e.Close()
	return errors.Wrap(err, "shutdown with work in progress")
}
