// Package jobs accepts jobs, lists their results and ends them. Its state is the
// index, a log that every node reads.
//
//  1. A job is accepted when its record in the index is acknowledged. The items
//     with their bodies were appended before.
//  2. "No such job" is answered only after the index was just read to its end. A
//     node that can't read it answers that it is not sure.
//  3. The text of a result is read from the store each time a client requests it.
//     Texts are not cached.
//  4. A job of a workspace is found only with a key that the workspace holds at that time,
//     whichever key submitted it. For all others there is no such job.
//
// # Usage
//
//	s := jobs.New(jobs.Params{...})
//	go s.Run(ctx)
//	err := s.Submit(ctx, spec)
package jobs

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/flight"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/epoch"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
)

const (
	// HeartbeatInterval is how often a node that owns an open job writes a heartbeat.
	HeartbeatInterval = 700 * clock.Milli
	// IdleHeartbeatInterval is how often other nodes write one. Few nodes of a large
	// fleet own jobs, and every node reads every heartbeat.
	IdleHeartbeatInterval = 5 * clock.Second
	// IdleFailureTimeout is the time without a heartbeat after which a node without
	// jobs counts as dead: two heartbeats and the delay of a slow store.
	IdleFailureTimeout = 12 * clock.Second
	// heartbeatReadInterval is the minimum time between two reads of heartbeats.
	heartbeatReadInterval = 150 * clock.Milli
	// FailureTimeout is the time without a heartbeat after which a node counts
	// as dead and others take over its jobs: three heartbeats and the delay of a
	// slow store.
	FailureTimeout = 2500 * clock.Milli
	// SuspectTimeout is the time without a heartbeat after which a node is asked
	// directly: one heartbeat and the delay of a store that answers fifty times
	// slower than usual.
	SuspectTimeout = 1200 * clock.Milli
	// readWait is how long a read of the index waits for a record.
	readWait = 500 * clock.Milli
	// batchDelay is the delay after a read that returned records. It limits a
	// node to some 20 reads a second on a busy index.
	batchDelay = 40 * clock.Milli
	// retryDelay is the delay after a failed read.
	retryDelay = 100 * clock.Milli
	// maxPageKB limits one read of items. Reads of the index are smaller: when all
	// nodes start at the same time, each read of each node must be answered in time.
	maxPageKB      = 1024
	maxIndexPageKB = 128
	// maxIndexAge is the maximum age of the index when this node answers that a job
	// has no further results yet. An idle read waits for readWait.
	maxIndexAge = 700 * clock.Milli
	// pruneInterval is how often old jobs are dropped. They are kept for
	// extraRetention longer than the guaranteed retention of results.
	pruneInterval  = 5 * clock.Second
	extraRetention = 20 * clock.Second
)

// Params are the dependencies and settings of a Service.
type Params struct {
	Self       joblog.Node
	Addr       string // address at which other nodes reach this one
	Zone       string
	StoreInfo  plat.StoreInfo
	PlansTopic string // topic of the published demand
	NodesTopic string // topic of the heartbeats
	// DecodeKeyed decodes a record of NodesTopic.
	DecodeKeyed func(offset int64, rec []byte) (plat.Keyed, error)
	Retention   clock.Millis // guaranteed retention of results
	Store       plat.Store
	Writer      *logs.Writer
	Clock       clock.Clock
	Log         zerolog.Logger
	// TimeOfDay is stated in heartbeats; nil for none. OnTimeOfDay receives those of other
	// nodes as they are written.
	TimeOfDay   func() epoch.Unix
	OnTimeOfDay func(node string, at epoch.Unix)
	// OnCrash is called for each crash that a node has reported.
	OnCrash func(crash.Crash)
}

// Service is a node's view of all jobs, built from the index.
type Service struct {
	Params
	mu          sync.Mutex
	ix          *joblog.Index
	changed     chan struct{}  // closed and replaced when records were read
	caughtUp    bool           // the index has been read to its end
	lastAnswer  clock.Millis   // when the store last answered a read
	storeOutage bool           // the last read of the index failed
	reads       *flight.Flight // of the index to its end, for Sync
	stopWaiting chan struct{}  // closed when clients should no longer wait for results
	leaving     atomic.Bool
	unhealthy   atomic.Bool
}

// New returns a service whose index is empty until Run or Sync reads it.
func New(p Params) *Service {
	if p.OnCrash == nil {
		p.OnCrash = func(crash.Crash) {}
	}
	return &Service{Params: p, ix: joblog.New(), changed: make(chan struct{}), reads: flight.New(), stopWaiting: make(chan struct{})}
}

// Run reads the index and sends heartbeats until the context ends.
func (s *Service) Run(ctx context.Context) {
	go s.sendHeartbeats(ctx)
	go logs.FollowKeyed(ctx, s.Store, logs.Subscription{
		Topic: s.NodesTopic, DecodeKeyed: s.DecodeKeyed, ReadInterval: heartbeatReadInterval,
		OnSnapshot: logs.ForEach(s.applyHeartbeat), OnRecord: s.applyNewHeartbeat, OnRead: s.heartbeatsRead,
	}, s.Log)
	go clock.Every(ctx, pruneInterval, s.prune)
	for ctx.Err() == nil {
		p, err := s.readIndex(ctx, readWait)
		switch {
		case err != nil:
			clock.Sleep(ctx, retryDelay)
		case len(p.Records) > 0:
			clock.Sleep(ctx, batchDelay)
		}
	}
}

// Ready reports whether the index was read to its end within the given time.
func (s *Service) Ready(within clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caughtUp && s.Clock.Now()-s.ix.CurrentAt() <= within
}

// readIndex reads the next page of the index, applies its records and returns it.
func (s *Service) readIndex(ctx context.Context, wait clock.Millis) (plat.Page, error) {
	s.mu.Lock()
	from := s.ix.NextOffset()
	s.mu.Unlock()
	requestedAt := s.Clock.Now()
	p, err := s.Store.Read(ctx, index.Topic, 0, from, maxIndexPageKB, wait)
	var gone *plat.GoneError
	if errors.As(err, &gone) {
		s.Log.Info().Int64("from", from).Int64("first", gone.First).Msg("jobs: skipping expired records of the index")
		s.mu.Lock()
		s.ix.Skip(gone.First)
		s.mu.Unlock()
		return s.readIndex(ctx, wait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if err != nil {
		if !s.storeOutage && ctx.Err() == nil {
			s.storeOutage = true
			s.Log.Warn().Err(err).Int64("from", from).Msg("jobs: reading the index failed")
		}
		return p, err
	}
	if s.storeOutage {
		s.storeOutage = false
		s.Log.Info().Int64("silent-ms", int64(now-s.lastAnswer)).Msg("jobs: the index is readable again")
		s.ix.MarkAllSeen(now)
	}
	s.lastAnswer = now
	for i, rec := range p.Records {
		r, err := index.Decode(rec)
		if err != nil {
			s.Log.Error().Err(err).Int64("offset", from+int64(i)).Msg("jobs: record skipped")
			s.ix.Skip(from + int64(i) + 1)
			continue
		}
		if c, ok := r.(crash.Crash); ok && from+int64(i) >= s.ix.NextOffset() {
			s.OnCrash(c)
		}
		if j := s.ix.Apply(now, from+int64(i), r); j != nil {
			s.logChange(r, j, from+int64(i))
		}
	}
	atEnd := from+int64(len(p.Records)) >= p.End
	if atEnd {
		s.ix.ConfirmCurrent(requestedAt)
	}
	if atEnd && !s.caughtUp {
		s.caughtUp = true
		s.Log.Info().Int64("offset", p.End).Msg("jobs: index read to its end")
		s.ix.MarkAllSeen(now)
	}
	if len(p.Records) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return p, nil
}

// logChange logs the effect of a record on a job of this node. Other nodes do not
// log it, since all nodes read the same record.
func (s *Service) logChange(r joblog.Record, j *joblog.Job, offset int64) {
	if j.Owner != s.Self {
		return
	}
	event := s.Log.Info().Str("job", j.JobID).Int64("offset", offset)
	switch r := r.(type) {
	case joblog.Accept:
		event.Int("items", len(j.ItemIDs)).Str("owner", j.Owner.Name).Int64("min-version", j.MinVersion).Msg("jobs: job accepted")
	case joblog.Takeover:
		event.Str("owner", j.Owner.Name).Msg("jobs: job taken over")
	case joblog.End:
		event.Int("listed", len(j.Results)).Int("items", len(j.ItemIDs)).Msg("jobs: job ended")
	case joblog.Done:
		if len(j.Results) == len(j.ItemIDs) || r.GivenUp {
			event.Int("listed", len(j.Results)).Int("items", len(j.ItemIDs)).Bool("dead", r.GivenUp).Str("item", j.ItemIDs[r.Item]).Msg("jobs: result recorded")
		} else {
			event.Discard().Send()
		}
	}
}

// Sync reads the index up to its current end. It does not wait for records that
// are appended in the meantime, because a busy index always has more. Concurrent
// calls share a read.
func (s *Service) Sync(ctx context.Context) error { return s.reads.Do(ctx, s.readToEnd) }

func (s *Service) readToEnd(ctx context.Context) error {
	end := int64(-1)
	for {
		p, err := s.readIndex(ctx, 0)
		if err != nil {
			return err
		}
		if end < 0 {
			end = p.End
		}
		if p.From+int64(len(p.Records)) >= end {
			return nil
		}
		if len(p.Records) == 0 { // Asking again at once would not be bounded.
			return errors.Errorf("the index has no records from offset %d, but ends at %d", p.From, end)
		}
	}
}

// Changed returns a channel that is closed when the next records have been read.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// View calls fn with the index, which fn must not keep. The argument fresh is true
// if the index has been read to its end and the store answers.
func (s *Service) View(fn func(ix *joblog.Index, fresh bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.ix, s.caughtUp && !s.storeOutage)
}

// PeerAddrs returns the inner addresses of the other nodes that are not leaving and
// were alive when heartbeats were last read.
func (s *Service) PeerAddrs() []string {
	var out []string
	peers, _ := s.LivePeers()
	for _, p := range peers {
		if p.Name != ident.Node(s.Self.Name) {
			out = append(out, p.Addr)
		}
	}
	return out
}

// LivePeers returns the nodes, including this one, that are not leaving and were alive
// when heartbeats were last read. It returns false if heartbeats were not read yet.
func (s *Service) LivePeers() ([]spread.Peer, bool) { return s.peers(false) }

// RecentPeers is LivePeers with the nodes that are leaving or have left a short time ago.
// Its result changes less often: it does not change when nodes are restarted.
func (s *Service) RecentPeers() ([]spread.Peer, bool) { return s.peers(true) }

func (s *Service) peers(withLeaving bool) ([]spread.Peer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	readAt := s.ix.HeartbeatsReadAt()
	var out []spread.Peer
	s.ix.EachPeer(func(p *joblog.Peer) {
		if (withLeaving || !p.Leaving) && readAt-p.LastSeen <= IdleFailureTimeout {
			out = append(out, spread.Peer{Name: ident.Node(p.Node.Name), Addr: p.Addr})
		}
	})
	return out, readAt > 0
}

// applyNewHeartbeat applies a heartbeat that was written a moment ago. One of a snapshot
// may be old, so that its time of day says nothing.
func (s *Service) applyNewHeartbeat(k plat.Keyed) {
	s.applyHeartbeat(k)
	if s.OnTimeOfDay == nil || k.Value == nil || k.Key == s.Self.Name {
		return
	}
	if h, err := index.DecodeHeartbeat(k.Key, k.Value); err == nil && h.TimeOfDay > 0 {
		s.OnTimeOfDay(k.Key, epoch.Unix(h.TimeOfDay))
	}
}

func (s *Service) applyHeartbeat(k plat.Keyed) {
	if k.Value == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ix.RemovePeer(k.Key)
		return
	}
	h, err := index.DecodeHeartbeat(k.Key, k.Value)
	if err != nil {
		s.Log.Warn().Err(err).Str("node", k.Key).Int64("offset", k.Offset).Msg("jobs: heartbeat skipped")
		return
	}
	if h.Node.Name == s.Self.Name && h.Node != s.Self {
		return // from an earlier process
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ix.ApplyHeartbeat(s.Clock.Now(), h)
}

func (s *Service) heartbeatsRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ix.HeartbeatsRead(s.Clock.Now(), SuspectTimeout)
}

// sendHeartbeats sends heartbeats until the context ends: often while this node owns
// an open job, and with the next tick when its state has changed.
func (s *Service) sendHeartbeats(ctx context.Context) {
	var last joblog.Heartbeat
	var sentAt clock.Millis
	clock.Repeat(ctx, HeartbeatInterval, func() {
		h := s.heartbeat()
		if h.Idle && h == last && s.Clock.Now()-sentAt < IdleHeartbeatInterval {
			return
		}
		now := s.Clock.Now()
		heartbeatCtx, cancel := context.WithTimeout(ctx, FailureTimeout.Duration())
		defer cancel()
		if err := s.putHeartbeat(heartbeatCtx, h); err != nil {
			if ctx.Err() == nil {
				s.Log.Warn().Err(err).Msg("jobs: heartbeat not written")
			}
			return
		}
		last, sentAt = h, now
	})
}

// heartbeat returns the current heartbeat of this node.
func (s *Service) heartbeat() joblog.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return joblog.Heartbeat{
		Node: s.Self, Addr: s.Addr, Zone: s.Zone,
		Leaving: s.leaving.Load() || s.unhealthy.Load(), Idle: !s.ix.OwnsOpenJob(s.Self),
	}
}

func (s *Service) putHeartbeat(ctx context.Context, h joblog.Heartbeat) error {
	if s.TimeOfDay != nil {
		h.TimeOfDay = int64(s.TimeOfDay())
	}
	raw, err := index.EncodeHeartbeat(h)
	if err != nil {
		return err
	}
	return s.Store.Put(ctx, s.NodesTopic, s.Self.Name, raw)
}

// SetHealthy sets whether this node can run jobs. Other nodes take over the jobs of
// an unhealthy node.
func (s *Service) SetHealthy(healthy bool) { s.unhealthy.Store(!healthy) }

// AnnounceLeaving makes the other nodes take over the jobs of this node.
func (s *Service) AnnounceLeaving(ctx context.Context) error {
	s.leaving.Store(true)
	return s.putHeartbeat(ctx, s.heartbeat())
}

// StopWaiting answers the clients that wait for results. A stopping node calls it once,
// so that they ask another node.
func (s *Service) StopWaiting() { close(s.stopWaiting) }

// appendRecord appends a record to the index.
func (s *Service) appendRecord(ctx context.Context, rec joblog.Record) error {
	raw, err := index.Encode(rec)
	if err != nil {
		return err
	}
	_, err = s.Writer.Append(ctx, index.Topic, 0, raw)
	return err
}

// TakeOver makes this node the owner of a job.
func (s *Service) TakeOver(ctx context.Context, job string) error {
	return s.appendRecord(ctx, joblog.Takeover{JobID: job, Node: s.Self})
}

// ReportCrash reports a server that disconnected without answering its requests to
// the other nodes.
func (s *Service) ReportCrash(ctx context.Context, c crash.Crash) error {
	return s.appendRecord(ctx, c)
}

// PublishDemand stores the demand from which each engine's model is computed.
func (s *Service) PublishDemand(ctx context.Context, d map[string]int64) error {
	raw, err := index.EncodeDemand(d)
	if err != nil {
		return err
	}
	return s.Store.Put(ctx, s.PlansTopic, index.DemandKey, raw)
}

func (s *Service) prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.ix.Prune(s.Clock.Now() - s.Retention - extraRetention); n > 0 {
		s.Log.Info().Int("jobs", n).Msg("jobs: old jobs removed")
	}
}
