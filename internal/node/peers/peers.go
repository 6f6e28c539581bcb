// Package peers tells an entry which nodes there are: other entries from the
// platform's VM list and from direct messages, agents from their reports.
//
// The view is published by an atomic pointer; readers take no lock.
//
// # Usage
//
//	p := peers.New(peers.Params{Node: "entry-1", Addr: addr, VMs: vms, ...})
//	go p.Run(ctx)
//	for _, e := range p.View().Entries() { ... }
package peers

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// Params are what the membership needs to run.
type Params struct {
	Node  ident.Node
	Addr  string // own inner address
	Poll  clock.Millis
	VMs   plat.VMs
	Clock clock.Clock
	Log   zerolog.Logger
}

// View is the membership at one moment. It is immutable.
type View struct {
	vms []plat.VM
}

// Entries returns the names of all entries that take work.
func (v *View) Entries() []ident.Node {
	var out []ident.Node
	for _, vm := range v.vms {
		if vm.Role == plat.RoleEntry && !vm.Leaving {
			out = append(out, vm.Node)
		}
	}
	slices.Sort(out)
	return out
}

// Find returns a VM by name.
func (v *View) Find(n ident.Node) (plat.VM, bool) {
	for _, vm := range v.vms {
		if vm.Node == n {
			return vm, true
		}
	}
	return plat.VM{}, false
}

// Peers follows the membership.
type Peers struct {
	p    Params
	view atomic.Pointer[View]
}

// New returns a membership that knows only its own node.
func New(p Params) *Peers {
	s := &Peers{p: p}
	s.view.Store(&View{vms: []plat.VM{s.self()}})
	return s
}

func (s *Peers) self() plat.VM {
	return plat.VM{Node: s.p.Node, Role: plat.RoleEntry, Addr: s.p.Addr}
}

// View returns the membership as it is known now.
func (s *Peers) View() *View { return s.view.Load() }

// Run follows the VM list until the context ends.
func (s *Peers) Run(ctx context.Context) {
	t := time.NewTicker(s.p.Poll.Duration())
	defer t.Stop()
	for {
		s.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// poll takes in the list. An empty list is not believed, since this node at
// least is running.
func (s *Peers) poll(ctx context.Context) {
	vms, err := s.p.VMs.List(ctx)
	if err != nil || len(vms) == 0 {
		s.p.Log.Warn().Err(err).Msg("VM list failed or is empty, the last one stays.")
		return
	}
	if !slices.ContainsFunc(vms, func(vm plat.VM) bool { return vm.Node == s.p.Node }) {
		vms = append(vms, s.self())
	}
	s.view.Store(&View{vms: vms})
}

// Owner returns the entry that owns a key, and whether it is this one.
func (s *Peers) Owner(key string) (plat.VM, bool) {
	v := s.View()
	n, ok := spread.First(key, v.Entries())
	if !ok || n == s.p.Node {
		return s.self(), true
	}
	vm, _ := v.Find(n)
	return vm, false
}
