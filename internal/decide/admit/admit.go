// Package admit decides which request gets the next place at a plain service whose
// servers have fewer places than are asked for.
//
// Each entry has a [Gate] for each service. While places are free, the gate only counts.
// An entry that sends much sends a [Report] of its demand to one holder for each service,
// whose [Pool] divides the servers' places among the entries that report. The gate then
// starts a request only at a server at which the entry has a place; other requests wait
// for a short time or are refused.
//
//  1. Urgency goes first: demand of a more urgent rank is met before that of a less
//     urgent one.
//  2. Within a rank, workspaces get equal shares of the places, and what one does not
//     ask for is left to the others. Within a workspace, entries do.
//  3. Within these shares, the request whose deadline is nearest goes first. That is the one
//     whose caller was refused before.
//  4. A request waits only while it can still be answered within its latency objective, and
//     only if at the present rate its turn comes before that. Otherwise it is refused at once.
//  5. Places are leased: an entry keeps them until its next report or the end of the lease,
//     so that an entry which is cut off or ends does not keep what it held.
//  6. An entry whose holder does not answer keeps to its even share of all places while
//     there are signs of scarcity, and sends freely after that.
//  7. How many requests a server gets at once follows from what it shows; see limit.go.
//  8. A refused caller is told to come back when its turn would come by the rate at which
//     places become free, each at another time.
//
// # Usage
//
//	g := admit.NewGate(seed)
//	t := g.Enter(now, admit.Ask{...})
//	if t.State() == admit.Started { ... }
//	started := g.End(now, server, group, took, admit.Served)
//	report := g.Report(now)
//
//	p := admit.NewPool()
//	lease := p.Lease(now, entries, servers, report)
//	started = g.Apply(now, lease)
package admit

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Group is a set of requests that are treated alike.
type Group struct {
	Rank      int // 0 is the most urgent
	Workspace ident.Workspace
}

// Demand is the demand of a group at one entry.
type Demand struct {
	Group
	Running int          // requests in flight
	Waiting int          // requests that wait for a place
	Offered float64      // requests that would be in flight by their rate if none had to wait, 0 while none has to
	Left    clock.Millis // until the nearest deadline of a waiting request
	Due     clock.Millis // until the first of the items that its calls belong to is due, 0 if there is none
}

// now returns the number of requests that are in flight or wait.
func (d *Demand) now() float64 { return float64(d.Running + d.Waiting) }

// places returns the places that the group can use at the entry.
func (d *Demand) places() float64 { return max(d.Offered, d.now()) }

// Shown is what the requests of an entry to one server have shown since its last report.
type Shown struct {
	InFlight int
	Served   int
	Took     clock.Millis // sum of the served requests' response times
	Travel   clock.Millis // part of it that was spent on the way
	Refused  int          // requests that the server refused or failed
}

// Report is what an entry tells the holder of a service's places.
type Report struct {
	Entry   ident.Node
	Zone    string
	Region  string
	Demands []Demand
	Servers map[string]Shown // by server ID
}

// Lease is what the holder answers.
type Lease struct {
	Scarce   bool           // only requests with a place may start
	Places   map[string]int // requests that the entry may have in flight, by server ID
	Interval clock.Millis   // until the next report
	TTL      clock.Millis   // until the lease ends
}

// Total returns the number of places.
func (l *Lease) Total() int {
	n := 0
	for _, p := range l.Places {
		n += p
	}
	return n
}

// Server is a server of the service as the holder knows it.
type Server struct {
	ID     string
	Zone   string
	Region string
	Slots  int
}

// Outcome is how an attempt at a server ended.
type Outcome uint8

// The outcomes.
const (
	Served   Outcome = iota
	Refused          // the server had no room, or failed
	Canceled         // it shows nothing about the server
)
