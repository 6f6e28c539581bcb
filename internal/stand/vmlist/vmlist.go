// Package vmlist is a fake of the platform's list of VMs. Changes become visible
// after a delay.
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

// change is one call of Put or Remove.
type change struct {
	madeAt  clock.Millis
	vm      plat.VM
	removed bool
}

// List is the fake list.
type List struct {
	clock clock.Clock
	lag   clock.Millis

	mu        sync.Mutex
	changes   []change
	showEmpty bool
}

// New returns an empty list whose changes become visible after lag.
func New(c clock.Clock, lag clock.Millis) *List { return &List{clock: c, lag: lag} }

// Put adds a VM, or replaces the VM with the same node name.
func (l *List) Put(vm plat.VM) { l.addChange(change{vm: vm}) }

// Remove removes the VM of a node.
func (l *List) Remove(n ident.Node) { l.addChange(change{vm: plat.VM{Node: n}, removed: true}) }

// SetEmpty makes the list show no VMs, as a faulty platform does, until it is
// called with false.
func (l *List) SetEmpty(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.showEmpty = on
}

func (l *List) addChange(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.madeAt = l.clock.Now()
	l.changes = append(l.changes, c)
}

// List implements [plat.VMLister].
func (l *List) List(context.Context) ([]plat.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.showEmpty {
		return nil, nil
	}
	visibleUntil := l.clock.Now() - l.lag
	index := make(map[ident.Node]int)
	var out []plat.VM
	for _, c := range l.changes {
		if c.madeAt > visibleUntil {
			break
		}
		out = applyChange(out, index, c)
	}
	return out, nil
}

// applyChange applies a change to a list of VMs and returns the list. index maps
// each node to its position in the list.
func applyChange(out []plat.VM, index map[ident.Node]int, c change) []plat.VM {
	i, ok := index[c.vm.Node]
	switch {
	case !ok && c.removed:
		return out
	case !ok:
		index[c.vm.Node] = len(out)
		return append(out, c.vm)
	case !c.removed:
		out[i] = c.vm
		return out
	}
	last := out[len(out)-1]
	out[i] = last
	index[last.Node] = i
	delete(index, c.vm.Node)
	return out[:len(out)-1]
}
