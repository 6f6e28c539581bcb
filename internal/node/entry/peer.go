package entry

import (
	"context"
	"sync"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
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
	e.remember(*args)
	e.recordReport(args)
	e.calls.Report(match.Server{
		Node:    ident.Node(args.Hello.Node),
		Boot:    ident.Incarnation(args.Hello.Boot),
		Addr:    args.Addr,
		Zone:    ident.Zone(args.Zone),
		Region:  ident.Region(args.Region),
		Service: ident.Service(args.Hosted.Service),
		Version: ident.Version(args.Hosted.Version),
		Loading: args.Hosted.Loading,
		Leaving: args.Leaving,
		Slots:   args.Slots,
		Running: args.Running,
	})
	if sn := e.config.Wire(); sn.Offset > args.Config {
		reply.Config = sn
	}
	reply.Versions = e.swaps.Wire()
	return nil
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
	s.e.swaps.Learn(args.Versions)
	reply.Versions = s.e.swaps.Wire()
	return nil
}

// Forward implements the inner protocol: a call for something that this entry
// owns.
func (s *service) Forward(args *wire.ForwardArgs, reply *wire.ForwardReply) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	ctx, cancel := context.WithTimeout(s.e.ctx, clock.Millis(args.Wait).Duration())
	defer cancel()
	body, err := s.e.serveForward(ctx, args.Path, args.Body)
	reply.Body = body
	reply.Fault = wire.ToFault(err)
	return nil
}

// gossip exchanges versions with the other entries until the context ends.
func (e *Entry) gossip(ctx context.Context) {
	t := time.NewTicker(e.p.Poll.Duration())
	defer t.Stop()
	for {
		e.gossipOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (e *Entry) gossipOnce(ctx context.Context) {
	e.eachPeer(func(vm plat.VM) { e.tell(ctx, vm) })
}

// eachPeer runs fn for each other entry at once and waits for all.
func (e *Entry) eachPeer(fn func(plat.VM)) {
	v := e.peers.View()
	var wg sync.WaitGroup
	for _, n := range v.Entries() {
		vm, ok := v.Find(n)
		if ok && n != e.p.Node {
			wg.Go(func() { fn(vm) })
		}
	}
	wg.Wait()
}

func (e *Entry) tell(ctx context.Context, vm plat.VM) {
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
	}
	var reply wire.PeerReply
	if err := e.pool.Call(ctx, vm.Addr, "Entry.Peer", &args, &reply); err != nil {
		e.p.Log.Debug().Err(err).Str("peer", string(vm.Node)).Msg("Peer did not answer.")
		return
	}
	e.swaps.Learn(reply.Versions)
}
