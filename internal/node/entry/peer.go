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

// service is the entry as its peers and agents see it over net/rpc.
type service struct{ e *Entry }

// Report implements the inner protocol: an agent's lease and load.
func (s *service) Report(args *wire.ReportArgs, reply *wire.ReportReply) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	e := s.e
	e.contact.note(e.p.Clock.Now())
	if !e.peers.RecordContact(agentContact(args)) {
		reply.Fault = wire.ToFault(fault.New(fault.BadPeer, "agent "+args.Hello.Node+" was replaced by a newer process"))
		return nil
	}
	e.remember(*args)
	e.quar.Merge(args.Crashes, nil)
	e.recordReport(args)
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
	reply.Going = slices.DeleteFunc(peers.ToWire(e.peers.RecentlyLeaving()), func(d wire.Dead) bool { return d.Node != args.Hello.Node })
	reply.Config, reply.Behind = e.exchange(args.Config, args.Ahead)
	reply.Versions = e.swaps.WireOf(ident.Service(args.Hosted.Service))
	_, fence := e.lease.Holder()
	reply.Fence = int64(fence)
	return nil
}

// exchange compares the configuration with that of another node: it takes in
// what the other one sent, and returns what the other one lacks, or that this
// entry lacks something.
func (e *Entry) exchange(theirs int64, ahead wire.Snapshot) (newer wire.Snapshot, behind bool) {
	e.config.ApplySnapshot(ahead)
	e.config.RecordOffset(ident.Offset(theirs), 0)
	mine := e.config.Wire()
	if mine.Offset > theirs {
		return mine, false
	}
	return wire.Snapshot{}, theirs > mine.Offset && e.isUnsure()
}

func agentContact(args *wire.ReportArgs) roster.Contact {
	return roster.Contact{
		Member: roster.Member{
			Node:    ident.Node(args.Hello.Node),
			Addr:    args.Addr,
			Zone:    ident.Zone(args.Zone),
			Region:  ident.Region(args.Region),
			Leaving: args.Leaving,
		},
		Boot: ident.Incarnation(args.Hello.Boot),
	}
}

func (e *Entry) remember(args wire.ReportArgs) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := ident.Node(args.Hello.Node)
	e.nodes[n] = args
	e.heard[n] = e.p.Clock.Now()
}

// Peer implements the inner protocol: another entry's message.
func (s *service) Peer(args *wire.PeerArgs, reply *wire.PeerReply) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	e := s.e
	e.contact.note(e.p.Clock.Now())
	e.peers.RecordContact(roster.Contact{
		Member: roster.Member{
			Node:    ident.Node(args.Hello.Node),
			Entry:   true,
			Addr:    args.Addr,
			Zone:    ident.Zone(args.Zone),
			Region:  ident.Region(args.Region),
			Leaving: args.Leaving,
		},
		Boot: ident.Incarnation(args.Hello.Boot),
	})
	e.peers.MergeDead(peers.FromWire(args.Dead))
	e.peers.MergeLeaving(peers.FromWire(args.Going))
	e.swaps.Merge(args.Versions)
	reply.Config, _ = e.exchange(args.Config, args.Ahead)
	e.helpers.note(ident.Node(args.Hello.Node), helper{args.Addr, args.Hosts, e.p.Clock.Now()})
	reply.Hosts = e.services()
	reply.Node = string(e.p.Node)
	reply.Boot = uint64(e.boot)
	reply.Leaving = e.leaving.Load()
	reply.Offset = int64(e.config.State().Offset())
	reply.Fresh = e.freshAge()
	reply.Dead = peers.ToWire(e.peers.RecentlyDead())
	reply.Going = peers.ToWire(e.peers.RecentlyLeaving())
	reply.Versions = e.swaps.NewerThan(args.Versions)
	e.quar.Merge(args.Crashes, args.Lifted)
	reply.Crashes, reply.Lifted = e.quar.GossipState()
	return nil
}

// freshAge returns the time since the configuration was known to be the
// newest in ms, -1 for never.
func (e *Entry) freshAge() int64 {
	if a := e.config.Freshness().Age; a != clock.Never {
		return int64(a)
	}
	return -1
}

// Forward implements the inner protocol: a call for something that this entry
// owns.
func (s *service) Forward(args *wire.ForwardArgs, reply *wire.ForwardReply) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	s.e.passed.Add(1)
	defer s.e.passed.Add(-1)
	ctx, cancel := context.WithTimeout(s.e.ctx, clock.Millis(args.Wait).Duration())
	defer cancel()
	body, err := s.e.serveForward(ctx, args.Path, args.Body)
	reply.Body = body
	reply.Fault = wire.ToFault(err)
	return nil
}

// gossip exchanges versions, configuration and dead entries with some of the
// other entries until the context ends.
func (e *Entry) gossip(ctx context.Context) {
	clock.Repeat(ctx, e.p.PollInterval, func() {
		e.gossipOnce(ctx)
		e.shareLink()
		if len(e.peers.View().Members()) > 1 {
			e.contact.rounds.Add(1)
		}
	})
}

// shareLink takes this entry's share of the link to other regions.
func (e *Entry) shareLink() {
	if e.p.CrossRegionRate <= 0 {
		return
	}
	share := e.p.CrossRegionRate / float64(max(1, len(e.peers.View().Entries())))
	e.calls.WithMatcher(func(m *match.Matcher) { m.SetCrossRegionRate(share) })
}

func (e *Entry) gossipOnce(ctx context.Context) {
	var wg sync.WaitGroup
	for _, m := range e.peers.ProbeTargets() {
		wg.Go(func() { e.tell(ctx, m) })
	}
	wg.Wait()
}

// eachPeer runs fn for each other entry at once and waits for all.
func (e *Entry) eachPeer(fn func(roster.Member)) {
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

// tell sends one message to a peer, and a second one if the answer shows that
// the peer lacks the configuration.
func (e *Entry) tell(ctx context.Context, m roster.Member) {
	offset, ok := e.ask(ctx, m, wire.Snapshot{})
	if sn := e.config.Wire(); ok && sn.Offset > offset && offset >= 0 {
		e.ask(ctx, m, sn)
	}
}

// ask sends a message and takes in the answer. It returns the offset that is
// in force at the peer.
func (e *Entry) ask(ctx context.Context, m roster.Member, ahead wire.Snapshot) (int64, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerFor.Duration())
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
		Hosts:    e.services(),
	}
	args.Crashes, args.Lifted = e.quar.GossipState()
	asked := e.p.Clock.Now()
	var reply wire.PeerReply
	err := e.pool.Call(ctx, m.Addr, "Entry.Peer", &args, &reply)
	if err == nil {
		err = reply.Fault.Err()
	}
	if err != nil {
		e.p.Log.Debug().Err(err).Str("peer", string(m.Node)).Msg("Peer did not answer.")
		e.peers.RecordFailure(m.Node)
		return 0, false
	}
	e.answered(m, asked, reply)
	return reply.Offset, true
}

func (e *Entry) answered(m roster.Member, asked clock.Millis, reply wire.PeerReply) {
	e.contact.note(asked)
	m.Node = ident.Node(reply.Node) // another node may have taken over the address
	m.Leaving = reply.Leaving
	e.helpers.note(m.Node, helper{m.Addr, reply.Hosts, e.p.Clock.Now()})
	e.peers.RecordContact(roster.Contact{Member: m, Boot: ident.Incarnation(reply.Boot)})
	e.peers.MergeDead(peers.FromWire(reply.Dead))
	e.peers.MergeLeaving(peers.FromWire(reply.Going))
	e.swaps.Merge(reply.Versions)
	e.quar.Merge(reply.Crashes, reply.Lifted)
	e.config.ApplySnapshot(reply.Config)
	fresh := clock.Millis(0)
	if reply.Fresh >= 0 {
		fresh = asked - clock.Millis(reply.Fresh)
	}
	e.config.RecordOffset(ident.Offset(reply.Offset), fresh)
}
