// Package vmlist is a stand-in for the platform's list of VMs. What it shows
// lags behind what is so.
//
// # Usage
//
//	l := vmlist.New(clk, 2*clock.Second)
//	l.Put(plat.VM{Node: "agent-1", ...})
//	vms, err := l.List(ctx)
package vmlist

import (
	"context"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

type change struct {
	at   clock.Millis
	vm   plat.VM
	gone bool
}

// List is the stand-in.
type List struct {
	clock clock.Clock
	lag   clock.Millis

	mu      sync.Mutex
	changes []change
	empty   bool
}

// New returns an empty list that lags by a span.
func New(c clock.Clock, lag clock.Millis) *List { return &List{clock: c, lag: lag} }

// Put adds or changes a VM.
func (l *List) Put(vm plat.VM) { l.add(change{vm: vm}) }

// Remove removes a VM.
func (l *List) Remove(n ident.Node) { l.add(change{vm: plat.VM{Node: n}, gone: true}) }

// SetEmpty makes the list wrongly show no VM at all.
func (l *List) SetEmpty(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.empty = on
}

func (l *List) add(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = l.clock.Now()
	l.changes = append(l.changes, c)
}

// List implements [plat.VMs].
func (l *List) List(context.Context) ([]plat.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.empty {
		return nil, nil
	}
	seen := l.clock.Now() - l.lag
	at := make(map[ident.Node]int)
	var out []plat.VM
	for _, c := range l.changes {
		if c.at > seen {
			break
		}
		out = merge(out, at, c)
	}
	return out, nil
}

func merge(out []plat.VM, at map[ident.Node]int, c change) []plat.VM {
	i, ok := at[c.vm.Node]
	switch {
	case !ok && c.gone:
		return out
	case !ok:
		at[c.vm.Node] = len(out)
		return append(out, c.vm)
	case !c.gone:
		out[i] = c.vm
		return out
	}
	last := out[len(out)-1]
	out[i] = last
	at[last.Node] = i
	delete(at, c.vm.Node)
	return out[:len(out)-1]
}
