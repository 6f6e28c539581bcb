package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// errStopped ends the work that is left after a shutdown.
var errStopped = errors.New("agent stopped")

const (
	// drainPoll is how often a shutdown looks whether all work has ended.
	drainPoll = 20 * time.Millisecond
	// drainMove is how long streams may go on here before they go on elsewhere.
	drainMove = 5 * time.Second
	// drainHold is how long a finished answer waits for its entry.
	drainHold = 5 * clock.Second
	// drainLinger lets the last answers leave before the connections close.
	drainLinger = 200 * clock.Milli
)

// Shutdown refuses new work and returns when all answers were fetched, or
// when the context ends. Streams that take longer than drainMove, or than half
// of the time that is left, are handed back to their entries with the tokens
// so far. Calls of a plain service are waited for.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.report(ctx)
	move := time.NewTimer(moveIn(ctx))
	defer move.Stop()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for a.busy() {
		select {
		case <-ctx.Done():
			a.Close()
			return errors.Wrap(ctx.Err(), "shutdown with work in progress")
		case <-move.C:
			a.moveStreams()
		case <-t.C:
		}
	}
	clock.Sleep(ctx, drainLinger)
	a.Close()
	return nil
}

func moveIn(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return drainMove
	}
	return min(drainMove, time.Until(end)/2)
}

func (a *Agent) busy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, j := range a.jobs {
		if j.isAwaited(a.p.Clock.Now()) {
			return true
		}
	}
	return false
}

// isAwaited reports whether the job runs, or has an answer that its entry may
// still fetch.
func (j *job) isAwaited(now clock.Millis) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.fetched && (!j.done || now-j.endedAt <= drainHold)
}

// moveStreams ends all streams in such a way that their entries go on with
// them elsewhere.
func (a *Agent) moveStreams() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, j := range a.jobs {
		if !j.msg.Call {
			j.move()
		}
	}
}

// move ends the job unless it is done; whoever fetches is told to go on
// elsewhere.
func (j *job) move() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.done {
		j.moved = true
		j.cancel()
	}
}

// drop notes that nobody will fetch the answer.
func (j *job) drop() {
	j.cancel()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fetched = true
}
