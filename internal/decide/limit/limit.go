// Package limit decides whether an agent admits work.
//
// Entries choose agents by load reports that lag, so the agent itself must
// refuse what exceeds its slots. It refuses before anything runs, so a refusal
// proves that the work was not run. Some slots are kept for short work while
// any has come lately, and two suspects of a crash never run beside each other.
//
// # Usage
//
//	l := limit.New(16)
//	if err := l.Admit(now, "agent-1", limit.Ask{Short: true}, hint); err != nil { refuse }
//	l.Done(ask)
package limit

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

const (
	keptFor   = 8                 // slots for each one kept for short work
	keptWhile = 30 * clock.Second // since the last short work
)

// Ask is what admission looks at.
type Ask struct {
	Short   bool // may use a kept slot
	Suspect bool // ran at a crash before
}

// Limit counts the work of one agent.
type Limit struct {
	slots    int
	kept     int // slots for short work only
	open     int
	suspects int
	short    clock.Millis // slots are kept until then
}

// New returns a limit of some slots. A small agent keeps none for short work.
func New(slots int) *Limit { return &Limit{slots: slots, kept: Kept(slots)} }

// Kept returns how many of an agent's slots only short work may use.
func Kept(slots int) int { return slots / keptFor }

// Open returns how much work is in progress.
func (l *Limit) Open() int { return l.open }

// Admit takes a slot, or refuses and tells when to come back.
func (l *Limit) Admit(now clock.Millis, n ident.Node, a Ask, hint clock.Millis) error {
	if a.Short {
		l.short = now + keptWhile
	}
	usable := l.slots
	if !a.Short && now < l.short {
		usable -= l.kept
	}
	switch {
	case l.open >= usable:
		return fault.New(fault.Overloaded, "agent "+string(n)+" has no free slot").After(hint)
	case a.Suspect && l.suspects > 0:
		return fault.New(fault.Overloaded, "agent "+string(n)+" runs another suspect of a crash").After(hint)
	}
	l.open++
	if a.Suspect {
		l.suspects++
	}
	return nil
}

// Done gives the slot back.
func (l *Limit) Done(a Ask) {
	l.open--
	if a.Suspect {
		l.suspects--
	}
}
