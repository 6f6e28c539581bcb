package roles

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// stoppingParts are the parts of an entry that stops. Calls of the parts that are named in
// hangs don't return before their context ends.
type stoppingParts struct {
	hangs map[string]bool
	items int // in progress
	clock clock.Clock
	mu    sync.Mutex
	at    map[string]clock.Millis // when a part was told
}

func (p *stoppingParts) told(ctx context.Context, part string) error {
	p.mu.Lock()
	p.at[part] = p.clock.Now()
	p.mu.Unlock()
	if p.hangs[part] {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (p *stoppingParts) Checkpoint(ctx context.Context)            { _ = p.told(ctx, "checkpoint") }
func (p *stoppingParts) StopAssigning()                            {}
func (p *stoppingParts) InProgress() int                           { return p.items }
func (p *stoppingParts) AnnounceLeaving(ctx context.Context) error { return p.told(ctx, "announce") }

func (p *stoppingParts) StopWaiting()                 { _ = p.told(context.Background(), "waiting") }
func (p *stoppingParts) HandOver(ctx context.Context) { _ = p.told(ctx, "origins") }
func (p *stoppingParts) Close() error                 { return p.told(context.Background(), "listener") }

func (p *stoppingParts) Shutdown(ctx context.Context) error { return p.told(ctx, "connections") }

// TestConnectionsAreToldInTime guards against a stopping entry that goes on taking requests
// from kept connections because something else is not done: items in progress, a store that
// does not answer, entries that do not answer.
func TestConnectionsAreToldInTime(t *testing.T) {
	const (
		grace  = 7500 * clock.Milli
		excuse = 3 * clock.Second // Requests that are sent later must not be cut.
	)
	tests := map[string]struct {
		hangs []string
		items int
		lasts clock.Millis // how long the entry takes to stop
	}{
		"all is done":                    {nil, 0, balancerDelay},
		"items in progress":              {nil, 3, clock.Millis(drainShare * float64(grace))},
		"checkpoints are not stored":     {[]string{"checkpoint"}, 0, balancerDelay + checkpointTimeout},
		"leaving is not announced":       {[]string{"announce"}, 0, balancerDelay},
		"origins are not handed over":    {[]string{"origins"}, 0, balancerDelay},
		"a request is in progress":       {[]string{"connections"}, 0, grace},
		"nothing answers, and items run": {[]string{"announce", "origins", "connections"}, 3, grace},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := &stoppingParts{hangs: make(map[string]bool), items: test.items, clock: clock.NewSystem(), at: make(map[string]clock.Millis)}
				for _, part := range test.hangs {
					p.hangs[part] = true
				}
				stoppedWork := clock.Millis(-1)
				d := drainer{
					work: p, jobs: p, origins: p, listener: p, server: p, clock: p.clock, log: zerolog.Nop(),
					stopWork: func() { stoppedWork = p.clock.Now() },
				}
				start := p.clock.Now()
				d.drain(context.Background(), start+grace)
				c.Check(p.clock.Now()-start, qt.Equals, test.lasts)
				for _, part := range []string{"listener", "waiting", "connections"} {
					at, ok := p.at[part]
					c.Check(ok && at-start >= balancerDelay && at-start <= excuse, qt.IsTrue, qt.Commentf("%s told after %d ms", part, at-start))
				}
				c.Check(p.at, qt.HasLen, 6)
				c.Check(stoppedWork >= p.at["connections"], qt.IsTrue)
			})
		})
	}
}
