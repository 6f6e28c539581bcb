package agent

import (
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/lease"
)

// fences refuses placement orders of a holder whose lease has passed to
// another one. It protects engines that ignore fencing numbers too, since the
// agent is the only one that gives them orders.
//
// An agent that was restarted has forgotten the highest number, so it admits
// nothing until an entry has told it the number in force.
type fences struct {
	mu    sync.Mutex
	gate  lease.Fence
	heard bool
}

// learn takes in the number in force as an entry knows it; 0 is no number.
func (f *fences) learn(n ident.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = f.heard || n > 0
	f.gate.Admit(n)
}

// admit lets an order pass unless a higher number was seen.
func (f *fences) admit(n ident.Offset) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.heard {
		return fault.New(fault.NotReady, "the agent does not know the placement's fencing number yet").WithRetryAfter(clock.Second)
	}
	if !f.gate.Admit(n) {
		return fault.New(fault.StaleOrder, "the placement's lease has passed to another holder")
	}
	return nil
}

// highest returns the highest number seen, which goes with every order to the
// engine.
func (f *fences) highest() ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.Highest()
}
