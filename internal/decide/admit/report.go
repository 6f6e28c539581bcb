package admit

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	// maxDemands bounds the groups that a report names one by one.
	maxDemands = 48
	// minDemand is the demand in places below which a group is not reported.
	minDemand = 0.01
)

// Report returns what the holder should learn. It must be sent, since the next report does
// not repeat what servers have shown.
func (g *Gate) Report(now clock.Millis) Report {
	r := Report{Servers: make(map[string]Shown, len(g.inFlight))}
	for id, s := range g.shown {
		r.Servers[id] = s
	}
	clear(g.shown)
	for id, n := range g.inFlight {
		s := r.Servers[id]
		s.InFlight = n
		r.Servers[id] = s
	}
	type nearest struct{ left, due clock.Millis }
	times := make(map[Group]nearest)
	for _, t := range g.waiting {
		n, ok := times[t.Group]
		if !ok || t.Deadline-now < n.left {
			n.left = t.Deadline - now
		}
		if t.DueBy > 0 && (n.due == 0 || t.DueBy-now < n.due) {
			n.due = t.DueBy - now
		}
		times[t.Group] = n
	}
	scarce := g.Scarce(now)
	for k, s := range g.groups {
		d := Demand{Group: k, Running: s.running, Waiting: s.waiting, Left: times[k].left, Due: times[k].due}
		if scarce { // Some requests were refused.
			d.Offered = s.rate.value(now) / float64(rateTimeConstant) * s.took
		}
		switch {
		case d.places() >= minDemand:
			r.Demands = append(r.Demands, d)
		case s.running == 0 && s.rate.value(now) < minDemand:
			delete(g.groups, k)
		}
	}
	r.Demands = merge(r.Demands)
	return r
}

// merge returns the largest demands and, beyond maxDemands, one without a workspace for
// each rank.
func merge(ds []Demand) []Demand {
	slices.SortFunc(ds, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.places(), a.places()), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Workspace, b.Workspace))
	})
	if len(ds) <= maxDemands {
		return ds
	}
	rest := make(map[int]Demand)
	for _, d := range ds[maxDemands:] {
		m, ok := rest[d.Rank]
		if !ok {
			m = Demand{Group: Group{Rank: d.Rank}}
		}
		if d.Waiting > 0 && (m.Waiting == 0 || d.Left < m.Left) {
			m.Left = d.Left
		}
		m.Running += d.Running
		m.Waiting += d.Waiting
		m.Offered += d.Offered
		rest[d.Rank] = m
	}
	ds = ds[:maxDemands:maxDemands]
	for _, rank := range slices.Sorted(maps.Keys(rest)) {
		ds = append(ds, rest[rank])
	}
	return ds
}
