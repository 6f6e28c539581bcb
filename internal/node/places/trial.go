package places

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/decide/admit"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
)

// trial decides on copies of a keeper's gates. It is not safe for concurrent use.
type trial struct {
	keeper *Keeper
	gates  map[string]*admit.Gate
	wait   option.Option[clock.Millis]
}

// Trial implements [front.Places].
func (k *Keeper) Trial() front.TrialPlaces {
	return &trial{keeper: k, gates: make(map[string]*admit.Gate)}
}

func (t *trial) gate(name string) *admit.Gate {
	if t.gates[name] == nil {
		t.gates[name] = t.keeper.cloneGate(name)
	}
	return t.gates[name]
}

// cloneGate returns a copy of the gate that the next request to a service meets.
func (k *Keeper) cloneGate(name string) *admit.Gate {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.services[name]
	if s == nil {
		s = k.newService(name)
	}
	g := s.gate.Clone()
	if k.isShareOld(s) {
		g.SetShare(k.share(name))
	}
	return g
}

func (t *trial) now() clock.Millis { return t.keeper.Clock.Now() }

// Enter implements [front.Places].
func (t *trial) Enter(_ context.Context, name string, a admit.Ask) *admit.Ticket {
	g, now := t.gate(name), t.now()
	ticket := g.Enter(now, a)
	t.wait = option.None[clock.Millis]()
	if ticket.State() == admit.Waiting {
		t.wait = option.Some(g.ExpectedWait(now, ticket))
		g.Leave(now, ticket)
	}
	return ticket
}

// Retry implements [front.Places].
func (t *trial) Retry(name string, a admit.Ask) *admit.Ticket { return t.gate(name).Admit(t.now(), a) }

// RetryAfter implements [front.Places].
func (t *trial) RetryAfter(name string, deadline clock.Millis) clock.Millis {
	return t.gate(name).RetryAfter(t.now(), deadline)
}

// Scarce implements [front.Places].
func (t *trial) Scarce(name string) bool { return t.gate(name).Scarce(t.now()) }

// Start implements [front.Places].
func (t *trial) Start(name, server string, a admit.Ask) {
	t.gate(name).Start(t.now(), server, a.Group)
}

// End implements [front.Places].
func (t *trial) End(name, server string, a admit.Ask, e admit.Ended) {
	t.gate(name).End(t.now(), server, a, e)
}

// Trial implements [front.Places].
func (t *trial) Trial() front.TrialPlaces { return t }

// View implements [front.TrialPlaces].
func (t *trial) View(name string) admit.View { return t.gate(name).View(t.now()) }

// Wait implements [front.TrialPlaces].
func (t *trial) Wait() option.Option[clock.Millis] { return t.wait }
