package duties

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Ordered is the number of servers of a service in a zone.
type Ordered struct {
	Service string
	Zone    string
	Ordered int // 0 if nothing was ordered
	Present int // that take work
}

// Status is what this node knows of the duties.
type Status struct {
	Holder  ident.Node
	Token   ident.Offset
	Held    bool         // by this node
	LastAct clock.Millis // time since the platform last answered this node, 0 if it never did
	// The windows are known only to nodes that read the records of usage.
	LastReported int64 // newest window of which this node has sent the report, 0 for none
	Unsent       int   // windows whose report is written and not sent
	Unreported   int   // windows that have ended and have no report yet
	Servers      []Ordered
}

// Status returns the current status.
func (s *Service) Status() Status {
	var out Status
	out.Holder, out.Token = s.lease.Holder()
	_, out.Held = s.lease.Held()
	var services []Scaled
	if s.Info.Scale && s.Scaled != nil {
		services = s.Scaled()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastAct > 0 {
		out.LastAct = s.Clock.Now() - s.lastAct
	}
	out.LastReported = s.lastReported
	out.Unsent = len(s.ledger.Unsent())
	out.Unreported = len(s.ledger.Unreported(s.window()))
	for _, svc := range services {
		for zone, n := range svc.Present {
			ordered, _ := s.scaling.planner.OrderedIn(svc.Name, zone)
			out.Servers = append(out.Servers, Ordered{svc.Name, zone, ordered, n})
		}
	}
	return out
}
