package agent

import (
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/lease"
)

// orderFence refuses load orders from a former holder of the placement lease.
// Only the agent sends load orders to its engine, so the check also protects
// engines that ignore fencing tokens.
//
// A restarted agent no longer knows the highest token. It admits no placement
// order until an entry has reported the token in force.
type orderFence struct {
	mu          sync.Mutex
	highestSeen lease.Fence
	known       bool // an entry has reported a token to this process
}

// observe records the fencing token that an entry reported; 0 means that the
// entry knows no token.
func (f *orderFence) observe(n ident.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = f.known || n > 0
	f.highestSeen.Admit(n)
}

// admit accepts an order unless a higher fencing token was seen.
func (f *orderFence) admit(n ident.Offset) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return fault.New(fault.NotReady, "the agent does not know the placement's fencing number yet").WithRetryAfter(clock.Second)
	}
	if !f.highestSeen.Admit(n) {
		return fault.New(fault.StaleOrder, "the placement's lease has passed to another holder")
	}
	return nil
}

// highest returns the highest fencing token seen. Every order to the engine
// includes it.
func (f *orderFence) highest() ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highestSeen.Highest()
}
