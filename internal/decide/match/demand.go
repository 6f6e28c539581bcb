package match

import "github.com/jujuberamp/jujuberamp/internal/base/ident"

// Demand is the work of one service at this entry.
type Demand struct {
	Service ident.Service
	Items   int // in progress and waiting
}

// Demands returns the work of each service, by service.
func (m *Matcher) Demands() []Demand {
	out := make([]Demand, 0, len(m.order))
	for _, p := range m.order {
		d := Demand{Service: p.service}
		for _, n := range p.inflight {
			d.Items += n
		}
		for _, c := range p.classes {
			d.Items += c.waiting
		}
		out = append(out, d)
	}
	return out
}
