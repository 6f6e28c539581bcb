package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// errStopped is returned to peers that wait for an answer while the agent stops.
var errStopped = errors.New("agent stopped")

const (
	// drainPollInterval is the time between checks for awaited jobs.
	drainPollInterval = 20 * time.Millisecond
	// streamDrainTimeout is how long streams may continue here before they are
	// migrated to another engine.
	streamDrainTimeout = 5 * time.Second
	// answerDrainTimeout is how long Shutdown waits for a finished answer to be
	// fetched.
	answerDrainTimeout = 5 * clock.Second
	// closeDelay lets the last answers be sent before the connections close.
	closeDelay = 200 * clock.Milli
)

// Shutdown refuses new work and waits until each job has ended and its answer
// was fetched; an answer that nobody fetches is dropped after
// answerDrainTimeout. Streams that take longer than streamDrainTimeout, or than
// half of the time until the context's deadline, are returned to their entries
// with the tokens generated so far. Calls of a plain service run to their end.
// If the context ends first, Shutdown cancels the remaining jobs and returns an
// error.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.report(ctx)
	migrate := time.NewTimer(migrateDelay(ctx))
	defer migrate.Stop()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for a.hasAwaitedJobs() {
		select {
		case <-ctx.Done():
			a.Close()
			return errors.Wrap(ctx.Err(), "shutdown with work in progress")
		case <-migrate.C:
			a.migrateStreams()
		case <-t.C:
		}
	}
	clock.Sleep(ctx, closeDelay)
	a.Close()
	return nil
}

// migrateDelay returns the time after which a shutdown migrates streams.
func migrateDelay(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return streamDrainTimeout
	}
	return min(streamDrainTimeout, time.Until(deadline)/2)
}

// hasAwaitedJobs reports whether a shutdown has to wait for any job.
func (a *Agent) hasAwaitedJobs() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, j := range a.jobs {
		if j.isAwaited(a.p.Clock.Now()) {
			return true
		}
	}
	return false
}

// isAwaited reports whether the job is running, or has an answer that its entry
// may still fetch.
func (j *job) isAwaited(now clock.Millis) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.fetched && (!j.done || now-j.endedAt <= answerDrainTimeout)
}

// migrateStreams ends all streams; their entries continue them on other
// engines.
func (a *Agent) migrateStreams() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, j := range a.jobs {
		if !j.msg.Call {
			j.migrate()
		}
	}
}

// migrate ends the job unless it is done. The next Fetch returns Moves, so that
// the entry continues the job on another engine.
func (j *job) migrate() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.done {
		j.migrated = true
		j.cancel()
	}
}

// discard cancels the job and records that nobody will fetch its answer.
func (j *job) discard() {
	j.cancel()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fetched = true
}
