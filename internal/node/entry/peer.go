package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/peers"
)

// service provides the methods that peers and agents call over net/rpc.
type service struct{ e *Entry }

// Report receives the periodic report of an agent as part of the inner protocol.
func (s *service) Report(args *wire.ReportArgs, reply *wire.ReportReply) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	e := s.e
	e.connectivity.recordMessage(e.p.Clock.Now())
	if !e.peers.RecordContact(agentContact(args)) {
		reply.Fault = wire.ToFault(fault.New(fault.BadPeer, "agent "+args.Hello.Node+" was replaced by a newer process"))
		return nil
	}
	e.storeReport(*args)
	e.quarantine.Merge(args.Crashes, nil)
	e.traceReport(args)
	e.calls.Report(match.Server{
		Node:             ident.Node(args.Hello.Node),
		Boot:             ident.Incarnation(args.Hello.Boot),
		Addr:             args.Addr,
		Zone:             ident.Zone(args.Zone),
		Region:           ident.Region(args.Region),
		Service:          ident.Service(args.Hosted.Service),
		Version:          ident.Version(args.Hosted.Version),
		Loading:          args.Hosted.Loading,
		Leaving:          args.Leaving || e.peers.View().IsLeaving(ident.Node(args.Hello.Node)),
		Slots:            args.Slots,
		Running:          args.Running,
		Seq:              args.Seq,
		OwnRunning:       args.Yours,
		TokenRate:        args.Rate,
		TimeToFirstToken: clock.Millis(args.First),
	})
	e.peers.MergeLeaving(peers.FromWire(args.Going))
	reply.Going = slices.DeleteFunc(peers.ToWire(e.peers.RecentlyLeaving()), func(d wire.Dead) bool {
		return d.Node != args.Hello.Node
	})
	reply.Config, reply.Behind = e.exchangeConfig(args.Config, args.Ahead)
	reply.Versions = e.swaps.WireOf(ident.Service(args.Hosted.Service))
	_, fence := e.lease.Holder()
	reply.Fence = int64(fence)
	return nil
}

// exchangeConfig merges the configuration that another node sent, if any, and the
// offset of the node's configuration. It returns a newer configuration if this
// entry has one. If behind is true, the node should send its configuration: it is
// newer, and this entry's is possibly stale.
func (e *Entry) exchangeConfig(theirOffset int64, ahead wire.Snapshot) (newer wire.Snapshot, behind bool) {
	e.config.ApplySnapshot(ahead)
	e.config.RecordOffset(ident.Offset(theirOffset), 0)
	mine := e.config.Wire()
	if mine.Offset > theirOffset {
		return mine, false
	}
	return wire.Snapshot{}, theirOffset > mine.Offset && e.isPossiblyStale()
}

// agentContact returns the registry data of the agent that sent a report.
func agentContact(args *wire.ReportArgs) roster.Contact {
	return roster.Contact{
		Member: roster.Member{
			Node:    ident.Node(args.Hello.Node),
			Addr:    args.Addr,
			Zone:    ident.Zone(args.Zone),
			Region:  ident.Region(args.Region),
			Leaving: args.Leaving,
		},
		Incarnation: ident.Incarnation(args.Hello.Boot),
	}
}

func (e *Entry) storeReport(args wire.ReportArgs) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := ident.Node(args.Hello.Node)
	e.reports[n] = args
	e.lastSeen[n] = e.p.Clock.Now()
}

// Peer receives the gossip message of another entry as part of the inner
// protocol.
func (s *service) Peer(args *wire.PeerArgs, reply *wire.PeerReply) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	e := s.e
	e.connectivity.recordMessage(e.p.Clock.Now())
	e.peers.RecordContact(roster.Contact{
		Member: roster.Member{
			Node:    ident.Node(args.Hello.Node),
			Entry:   true,
			Addr:    args.Addr,
			Zone:    ident.Zone(args.Zone),
			Region:  ident.Region(args.Region),
			Leaving: args.Leaving,
		},
		Incarnation: ident.Incarnation(args.Hello.Boot),
	})
	e.peers.MergeDead(peers.FromWire(args.Dead))
	e.peers.MergeLeaving(peers.FromWire(args.Going))
	e.swaps.Merge(args.Versions)
	reply.Config, _ = e.exchangeConfig(args.Config, args.Ahead)
	e.peerServices.record(ident.Node(args.Hello.Node), peerReport{args.Addr, args.Hosts, e.p.Clock.Now()})
	reply.Hosts = e.hostedServices()
	reply.Node = string(e.p.Node)
	reply.Boot = uint64(e.boot)
	reply.Leaving = e.leaving.Load()
	reply.Offset = int64(e.config.State().Offset())
	reply.Fresh = e.configAge()
	reply.Dead = peers.ToWire(e.peers.RecentlyDead())
	reply.Going = peers.ToWire(e.peers.RecentlyLeaving())
	reply.Versions = e.swaps.NewerThan(args.Versions)
	e.quarantine.Merge(args.Crashes, args.Lifted)
	reply.Crashes, reply.Lifted = e.quarantine.GossipState()
	return nil
}

// configAge returns the time in ms since the configuration was last known to be
// the newest, or -1 if it never was.
func (e *Entry) configAge() int64 {
	if a := e.config.Freshness().Age; a != clock.Never {
		return int64(a)
	}
	return -1
}

// Forward runs a call that another entry forwarded, as part of the inner
// protocol.
func (s *service) Forward(args *wire.ForwardArgs, reply *wire.ForwardReply) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	s.e.forwardedCalls.Add(1)
	defer s.e.forwardedCalls.Add(-1)
	ctx, cancel := context.WithTimeout(s.e.ctx, clock.Millis(args.Wait).Duration())
	defer cancel()
	body, err := s.e.serveForward(ctx, args.Path, args.Body)
	reply.Body = body
	reply.Fault = wire.ToFault(err)
	return nil
}

// gossip periodically exchanges state with some of the other entries until the
// context ends: weight versions, the configuration, dead and leaving nodes, hosted
// services, crashes and lifted quarantines.
func (e *Entry) gossip(ctx context.Context) {
	clock.Repeat(ctx, e.p.PollInterval, func() {
		e.gossipOnce(ctx)
		e.setCrossRegionShare()
		if len(e.peers.View().Members()) > 1 {
			e.connectivity.gossipRounds.Add(1)
		}
	})
}

// setCrossRegionShare sets this entry's share of the bandwidth to other regions.
func (e *Entry) setCrossRegionShare() {
	if e.p.CrossRegionRate <= 0 {
		return
	}
	share := e.p.CrossRegionRate / float64(max(1, len(e.peers.View().Entries())))
	e.calls.WithMatcher(func(m *match.Matcher) { m.SetCrossRegionRate(share) })
}

func (e *Entry) gossipOnce(ctx context.Context) {
	var wg sync.WaitGroup
	for _, m := range e.peers.ProbeTargets() {
		wg.Go(func() { e.gossipWith(ctx, m) })
	}
	wg.Wait()
}

// forEachPeer runs fn concurrently for all other entries and waits until all
// calls have returned.
func (e *Entry) forEachPeer(fn func(roster.Member)) {
	v := e.peers.View()
	var wg sync.WaitGroup
	for _, n := range v.Entries() {
		m, ok := v.Find(n)
		if ok && n != e.p.Node {
			wg.Go(func() { fn(m) })
		}
	}
	wg.Wait()
}

// gossipWith sends one message to a peer. It sends a second message with the
// configuration if the reply shows that the peer has an older one.
func (e *Entry) gossipWith(ctx context.Context, m roster.Member) {
	offset, ok := e.sendState(ctx, m, wire.Snapshot{})
	if sn := e.config.Wire(); ok && sn.Offset > offset && offset >= 0 {
		e.sendState(ctx, m, sn)
	}
}

// sendState sends a message to a peer and merges the reply. It returns the offset
// of the peer's configuration, and whether the peer replied.
func (e *Entry) sendState(ctx context.Context, m roster.Member, ahead wire.Snapshot) (int64, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout.Duration())
	defer cancel()
	args := wire.PeerArgs{
		Hello:    e.hello(),
		Addr:     e.Addr(),
		Zone:     string(e.p.Zone),
		Region:   string(e.p.Region),
		Leaving:  e.leaving.Load(),
		Config:   int64(e.config.State().Offset()),
		Versions: e.swaps.Wire(),
		Dead:     peers.ToWire(e.peers.RecentlyDead()),
		Going:    peers.ToWire(e.peers.RecentlyLeaving()),
		Ahead:    ahead,
		Hosts:    e.hostedServices(),
	}
	args.Crashes, args.Lifted = e.quarantine.GossipState()
	sentAt := e.p.Clock.Now()
	var reply wire.PeerReply
	err := e.pool.Call(ctx, m.Addr, "Entry.Peer", &args, &reply)
	if err == nil {
		err = reply.Fault.Err()
	}
	if err != nil {
		e.p.Log.Debug().Err(err).Str("peer", string(m.Node)).Msg("entry: gossip with a peer failed")
		e.peers.RecordFailure(m.Node)
		return 0, false
	}
	e.mergeReply(m, sentAt, reply)
	return reply.Offset, true
}

// mergeReply merges the state that a peer sent in its reply.
func (e *Entry) mergeReply(m roster.Member, sentAt clock.Millis, reply wire.PeerReply) {
	e.connectivity.recordMessage(sentAt)
	m.Node = ident.Node(reply.Node) // another node may have taken over the address
	m.Leaving = reply.Leaving
	e.peerServices.record(m.Node, peerReport{m.Addr, reply.Hosts, e.p.Clock.Now()})
	e.peers.RecordContact(roster.Contact{Member: m, Incarnation: ident.Incarnation(reply.Boot)})
	e.peers.MergeDead(peers.FromWire(reply.Dead))
	e.peers.MergeLeaving(peers.FromWire(reply.Going))
	e.swaps.Merge(reply.Versions)
	e.quarantine.Merge(reply.Crashes, reply.Lifted)
	e.config.ApplySnapshot(reply.Config)
	freshAt := clock.Millis(0)
	if reply.Fresh >= 0 {
		freshAt = sentAt - clock.Millis(reply.Fresh)
	}
	e.config.RecordOffset(ident.Offset(reply.Offset), freshAt)
}
