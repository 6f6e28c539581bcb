package roles

import (
	"context"
	"io"
	"sync"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	// balancerDelay is the time for which the load balancer may still open
	// connections after the readiness probe fails: it probes once a second and
	// needs two failures.
	balancerDelay = 2500 * clock.Milli
	// exitTime is the part of the grace period that is left for the process to end.
	exitTime = 500 * clock.Milli
	// drainShare is the share of the grace period in which items may complete. The
	// rest is for handing over jobs and answering clients.
	drainShare = 0.6
	// checkpointTimeout bounds the storing of checkpoints before a stopping entry
	// hands over its jobs: two appends between regions and one retry.
	checkpointTimeout = 500 * clock.Milli
	// itemPollInterval is the interval at which a stopping entry checks whether its
	// items have ended.
	itemPollInterval = 50 * clock.Milli
)

// drainer stops the parts of an entry.
type drainer struct {
	work interface {
		Checkpoint(ctx context.Context)
		StopAssigning()
		InProgress() int
	}
	jobs interface {
		AnnounceLeaving(ctx context.Context) error
		StopWaiting()
	}
	origins  interface{ HandOver(ctx context.Context) }
	listener io.Closer // of clients' connections
	server   interface {
		Shutdown(ctx context.Context) error
	}
	stopWork func()
	clock    clock.Clock
	log      zerolog.Logger
}

// drain waits for items in progress, hands over the remaining ones and waits until
// all clients have been answered. Once the load balancer has noticed that the entry
// stops, no connection takes further requests, whatever else is not done yet.
func (d *drainer) drain(ctx context.Context, deadline clock.Millis) {
	checkpointCtx, cancelCheckpoint := context.WithTimeout(ctx, checkpointTimeout.Duration())
	d.work.Checkpoint(checkpointCtx) // Items still run in the meantime, since the store may be slow.
	cancelCheckpoint()
	d.work.StopAssigning()
	drainDeadline := d.clock.Now() + clock.Millis(drainShare*float64(deadline-d.clock.Now()))
	shutdownCtx, cancel := context.WithTimeout(ctx, (deadline - d.clock.Now()).Duration())
	defer cancel()
	var telling sync.WaitGroup
	telling.Go(func() { d.announce(shutdownCtx) })
	telling.Go(func() { d.origins.HandOver(shutdownCtx) })
	clock.Sleep(ctx, min(balancerDelay, drainDeadline-d.clock.Now()))
	if err := d.listener.Close(); err != nil {
		d.log.Info().Err(err).Msg("roles: closing the listener failed")
	}
	d.jobs.StopWaiting()
	answered := make(chan error, 1)
	go func() { answered <- d.server.Shutdown(shutdownCtx) }()
	for d.work.InProgress() > 0 && d.clock.Now() < drainDeadline {
		clock.Sleep(ctx, itemPollInterval)
	}
	d.stopWork()
	if err := <-answered; err != nil {
		d.log.Warn().Err(err).Msg("roles: requests were left unanswered")
	}
	cancel()
	telling.Wait()
}

// announce tells the other nodes that this one leaves.
func (d *drainer) announce(ctx context.Context) {
	if err := d.jobs.AnnounceLeaving(ctx); err != nil {
		d.log.Warn().Err(err).Msg("roles: leaving not announced, other nodes notice the missing heartbeats")
	}
}
