// Package jobs accepts jobs, lists their results and ends them, from the index
// that every node reads.
//
//  1. A job is accepted when its record in the index is acknowledged; the
//     bodies of its items were appended before.
//  2. "No such job" is said only after the index was read to its end just now;
//     a node that can't do so says that it is not sure.
//  3. A text is read from the store when someone asks for it and is not kept.
//
// # Usage
//
//	b := jobs.New(jobs.Params{...})
//	go b.Run(ctx)
//	err := b.Submit(ctx, spec)
package jobs

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
)

const (
	// HeartbeatInterval is how often a node shows that it lives.
	HeartbeatInterval = 700 * clock.Milli
	// FailureTimeout is how long a node may show nothing before others go on with
	// its jobs: three beats and the delay of a slow store.
	FailureTimeout = 2500 * clock.Milli
	// SuspectTimeout is how long it may show nothing before it is asked itself: a beat
	// and the delay of a store that answers fifty times slower than usual.
	SuspectTimeout = 1200 * clock.Milli
	// poll is how long a read of the index waits for a record.
	poll = 500 * clock.Milli
	// gather is the pause after a read that found records, so that a busy
	// index costs a node at most some 20 reads a second.
	gather = 40 * clock.Milli
	again  = 100 * clock.Milli
	pageKB = 1024
	// forgetEach is how often old jobs are dropped, kept is how long beyond
	// the time for which results are promised.
	forgetEach = 5 * clock.Second
	kept       = 20 * clock.Second
)

// Params are what a board needs.
type Params struct {
	Self       joblog.Node
	Addr       string // inner address
	Zone       string
	StoreInfo  plat.StoreInfo
	PlansTopic string       // topic of the plans
	Retention  clock.Millis // how long results are kept
	Store      plat.Store
	Writer     *logs.Writer
	Clock      clock.Clock
	Log        zerolog.Logger
	// Crash is told of the crashes that any node has seen.
	OnCrash func(crash.Crash)
}

// Service is a node's view of all jobs.
type Service struct {
	Params
	mu      sync.Mutex
	ix      *joblog.Index
	changed chan struct{} // closed and replaced at each change
	caught  bool          // the index was read to its end once
	heard   clock.Millis  // of the last answer of the store
	quiet   bool          // the store does not answer
	leaving atomic.Bool
	unfit   atomic.Bool
}

// New returns a board that knows nothing yet.
func New(p Params) *Service {
	if p.OnCrash == nil {
		p.OnCrash = func(crash.Crash) {}
	}
	return &Service{Params: p, ix: joblog.New(), changed: make(chan struct{})}
}

// Run follows the index until the context ends.
func (b *Service) Run(ctx context.Context) {
	go b.beats(ctx)
	go clock.Every(ctx, forgetEach, b.forget)
	for ctx.Err() == nil {
		p, err := b.pull(ctx, poll)
		switch {
		case err != nil:
			clock.Sleep(ctx, again)
		case len(p.Records) > 0:
			clock.Sleep(ctx, gather)
		}
	}
}

// Ready reports whether the index was read to its end and the store answered
// within a span.
func (b *Service) Ready(within clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.caught && b.Clock.Now()-b.heard <= within
}

// pull reads on in the index and returns what it read.
func (b *Service) pull(ctx context.Context, wait clock.Millis) (plat.Page, error) {
	b.mu.Lock()
	from := b.ix.Next()
	b.mu.Unlock()
	p, err := b.Store.Read(ctx, index.Topic, 0, from, pageKB, wait)
	var gone *plat.GoneError
	if errors.As(err, &gone) {
		b.Log.Info().Int64("from", from).Int64("first", gone.First).Msg("jobs: records have expired, reading on after them")
		b.mu.Lock()
		b.ix.Skip(gone.First)
		b.mu.Unlock()
		return b.pull(ctx, wait)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	if err != nil {
		if !b.quiet && ctx.Err() == nil {
			b.quiet = true
			b.Log.Warn().Err(err).Int64("from", from).Msg("jobs: the index can't be read")
		}
		return p, err
	}
	if b.quiet {
		b.quiet = false
		b.Log.Info().Int64("silent-ms", int64(now-b.heard)).Msg("jobs: the index can be read again")
		b.ix.MarkAllSeen(now)
	}
	b.heard = now
	for i, rec := range p.Records {
		r, err := index.Decode(rec)
		if err != nil {
			b.Log.Error().Err(err).Int64("offset", from+int64(i)).Msg("jobs: record passed over")
			b.ix.Skip(from + int64(i) + 1)
			continue
		}
		if c, ok := r.(crash.Crash); ok && from+int64(i) >= b.ix.Next() {
			b.OnCrash(c)
		}
		if j := b.ix.Apply(now, from+int64(i), r); j != nil {
			b.logChange(r, j, from+int64(i))
		}
	}
	if from+int64(len(p.Records)) >= p.End && !b.caught {
		b.caught = true
		b.Log.Info().Int64("offset", p.End).Msg("jobs: the index was read to its end")
		b.ix.MarkAllSeen(now)
	}
	if len(p.Records) > 0 {
		close(b.changed)
		b.changed = make(chan struct{})
	}
	return p, nil
}

// logChange tells what a record did to a job that this node works on; all
// others read the same record.
func (b *Service) logChange(r joblog.Record, j *joblog.Job, offset int64) {
	if j.Owner != b.Self {
		return
	}
	ev := b.Log.Info().Str("job", j.JobID).Int64("offset", offset)
	switch r := r.(type) {
	case joblog.Accept:
		ev.Int("items", len(j.ItemIDs)).Str("owner", j.Owner.Name).Int64("min-version", j.MinVersion).Msg("jobs: job accepted")
	case joblog.Takeover:
		ev.Str("owner", j.Owner.Name).Msg("jobs: job taken over")
	case joblog.End:
		ev.Int("listed", len(j.Results)).Int("items", len(j.ItemIDs)).Msg("jobs: job ended")
	case joblog.Done:
		if len(j.Results) == len(j.ItemIDs) || r.GivenUp {
			ev.Int("listed", len(j.Results)).Int("items", len(j.ItemIDs)).Bool("dead", r.GivenUp).Str("item", j.ItemIDs[r.Item]).Msg("jobs: item listed")
		} else {
			ev.Discard().Send()
		}
	}
}

// Sync reads the index up to where it ends now. What is added meanwhile is not
// waited for: on a busy day there is always more.
func (b *Service) Sync(ctx context.Context) error {
	end := int64(-1)
	for {
		p, err := b.pull(ctx, 0)
		if err != nil {
			return err
		}
		if end < 0 {
			end = p.End
		}
		if p.From+int64(len(p.Records)) >= end {
			return nil
		}
	}
}

// Changed returns a channel that is closed at the next change.
func (b *Service) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// View calls fn with the index; fn must not keep it. Fresh tells that the
// store answers and the index was read to its end once.
func (b *Service) View(fn func(ix *joblog.Index, fresh bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fn(b.ix, b.caught && !b.quiet)
}

// PeerAddrs returns the inner addresses of the other nodes that were heard of.
func (b *Service) PeerAddrs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	b.ix.EachPeer(func(p *joblog.Peer) {
		if p.Node.Name != b.Self.Name && !p.Leaving {
			out = append(out, p.Addr)
		}
	})
	return out
}

func (b *Service) beats(ctx context.Context) {
	clock.Repeat(ctx, HeartbeatInterval, func() {
		beat, cancel := context.WithTimeout(ctx, FailureTimeout.Duration())
		defer cancel()
		if err := b.put(beat, joblog.Heartbeat{Node: b.Self, Addr: b.Addr, Zone: b.Zone, Leaving: b.leaving.Load() || b.unfit.Load()}); err != nil && ctx.Err() == nil {
			b.Log.Warn().Err(err).Msg("jobs: beat not written")
		}
	})
}

// SetHealthy notes whether this node can work on jobs; others go on with the jobs
// of one that can't.
func (b *Service) SetHealthy(fit bool) { b.unfit.Store(!fit) }

// AnnounceLeaving tells the other nodes to go on with this node's jobs.
func (b *Service) AnnounceLeaving(ctx context.Context) error {
	b.leaving.Store(true)
	return b.put(ctx, joblog.Heartbeat{Node: b.Self, Addr: b.Addr, Zone: b.Zone, Leaving: true})
}

// put appends a record to the index.
func (b *Service) put(ctx context.Context, rec joblog.Record) error {
	raw, err := index.Encode(rec)
	if err != nil {
		return err
	}
	_, err = b.Writer.Append(ctx, index.Topic, 0, raw)
	return err
}

// TakeOver makes this node the owner of a job.
func (b *Service) TakeOver(ctx context.Context, job string) error {
	return b.put(ctx, joblog.Takeover{JobID: job, Node: b.Self})
}

// ReportCrash tells the other nodes of a server that broke requests off.
func (b *Service) ReportCrash(ctx context.Context, c crash.Crash) error {
	return b.put(ctx, c)
}

// PublishDemand writes the demand by which engines share out the models.
func (b *Service) PublishDemand(ctx context.Context, d map[string]int64) error {
	raw, err := index.EncodeDemand(d)
	if err != nil {
		return err
	}
	return b.Store.Put(ctx, b.PlansTopic, index.DemandKey, raw)
}

func (b *Service) forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.ix.Forget(b.Clock.Now() - b.Retention - kept); n > 0 {
		b.Log.Info().Int("jobs", n).Msg("jobs: old jobs dropped")
	}
}
