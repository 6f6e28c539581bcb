package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// Status implements [httpd.Service]: what this entry knows by itself.
func (e *Entry) Status(context.Context) (codec.EntryStatus, error) {
	s := e.config.Freshness()
	out := codec.EntryStatus{
		Node:          string(e.p.Node),
		Ready:         e.Ready() == nil,
		Offset:        int64(s.Offset),
		FreshMS:       e.freshAge(),
		PossiblyStale: e.isUnsure(),
		Outages:       e.outages(),
		Nodes:         e.reporting(),
	}
	holder, fence := e.lease.Holder()
	out.Leases = []codec.Lease{{Name: leaseName, Holder: string(holder), Fence: int64(fence)}}
	return out, nil
}

// outages names what this entry can't reach, for operators.
func (e *Entry) outages() []string {
	s := e.config.Freshness()
	var out []string
	switch {
	case s.UnsupportedOffset > 0:
		out = append(out, "a record needs a newer program version: update this node")
	case s.Behind > e.p.MaxConfigAge:
		out = append(out, "a newer configuration is known and can't be read for "+s.Behind.String())
	case s.Age == clock.Never:
		out = append(out, "the log was never read")
	case s.Age > e.p.MaxConfigAge:
		out = append(out, "neither the log nor a peer that reads it was reached for "+s.Age.String())
	}
	if since := e.peers.ListAge(); since > e.p.MaxConfigAge {
		out = append(out, "the VM list was not read for "+since.String())
	}
	for _, d := range e.peers.RecentlyDead() {
		out = append(out, "entry "+string(d.Node)+" does not answer")
	}
	return out
}

// silentFor is how long a silent agent stays in the status.
const silentFor = clock.Minute

// reporting lists the agents that report to this entry, and forgets those that
// have been silent for long.
func (e *Entry) reporting() []codec.NodeStatus {
	now := e.p.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []codec.NodeStatus
	for n, r := range e.nodes {
		silent := now - e.heard[n]
		if silent > silentFor {
			delete(e.nodes, n)
			delete(e.heard, n)
			continue
		}
		out = append(out, codec.NodeStatus{
			Node:       string(n),
			Role:       string(plat.RoleAgent),
			Zone:       r.Zone,
			Service:    r.Hosted.Service,
			Version:    r.Hosted.Version,
			Offset:     r.Config,
			LastSeenMS: int64(silent),
			Live:       silent <= e.p.Roster.LivenessTimeout,
			Leaving:    r.Leaving || e.peers.View().IsLeaving(n),
		})
	}
	sortNodes(out)
	return out
}

func sortNodes(ns []codec.NodeStatus) {
	slices.SortFunc(ns, func(a, b codec.NodeStatus) int {
		return cmp.Or(-cmp.Compare(a.Role, b.Role), cmp.Compare(a.Node, b.Node))
	})
}

// self lists this entry.
func (e *Entry) self() codec.NodeStatus {
	return codec.NodeStatus{
		Node:    string(e.p.Node),
		Role:    string(plat.RoleEntry),
		Zone:    string(e.p.Zone),
		Offset:  int64(e.config.State().Offset()),
		Live:    true,
		Leaving: e.leaving.Load(),
	}
}

// pathNodes asks another entry for itself and the agents that report to it.
const pathNodes = "nodes"

func (e *Entry) nodesHere(context.Context, none) (codec.Nodes, error) {
	return codec.Nodes{Nodes: append(e.reporting(), e.self())}, nil
}

// Nodes implements [httpd.Service]: it asks all entries, since an agent
// reports to some of them only.
func (e *Entry) Nodes(ctx context.Context) (codec.Nodes, error) {
	here, _ := e.nodesHere(ctx, none{})
	var mu sync.Mutex
	all := make(map[string]codec.NodeStatus)
	add := func(ns []codec.NodeStatus) {
		mu.Lock()
		defer mu.Unlock()
		for _, n := range ns {
			if old, ok := all[n.Node]; !ok || n.Offset > old.Offset {
				all[n.Node] = n
			}
		}
	}
	add(here.Nodes)
	e.eachPeer(func(m roster.Member) {
		out, err := forward[none, codec.Nodes](ctx, e, m.Addr, pathNodes, 0, none{})
		if err != nil {
			out.Nodes = []codec.NodeStatus{e.unreached(m)}
		}
		add(out.Nodes)
	})
	var out codec.Nodes
	for _, n := range all {
		out.Nodes = append(out.Nodes, n)
	}
	sortNodes(out.Nodes)
	return out, nil
}

// unreached lists an entry that counts as alive and did not answer.
func (e *Entry) unreached(m roster.Member) codec.NodeStatus {
	_, listed := e.peers.View().Find(ident.Node(m.Node))
	return codec.NodeStatus{Node: string(m.Node), Role: string(plat.RoleEntry), Zone: string(m.Zone), LastSeenMS: -1, Live: listed}
}
