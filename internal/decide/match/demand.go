package match

import "github.com/jujuberamp/jujuberamp/internal/base/ident"

// Demand is the amount of work for one service at this entry.
type Demand struct {
	Service ident.Service
	Items   int // attempts in progress, hedges included, and waiting items
}

// Demands returns the demand of each service, sorted by service.
func (m *Matcher) Demands() []Demand {
	out := make([]Demand, 0, len(m.poolsByService))
	for _, p := range m.poolsByService {
		d := Demand{Service: p.service}
		for _, n := range p.inFlight {
			d.Items += n
		}
		for _, c := range p.classes {
			d.Items += c.waiting
		}
		out = append(out, d)
	}
	return out
}
