package admit

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

const (
	// reportsPerSecond bounds what a holder gets from all entries together.
	reportsPerSecond = 1000
	// Bounds of the time between an entry's reports while places are scarce. The lower one
	// is half of the wait that a latency objective of 200 ms allows.
	minInterval = 25 * clock.Milli
	maxInterval = 800 * clock.Milli
	// calmInterval is the time between reports while places are free, from watchFor after
	// the demand was last above plentyShare on. Before that they may become scarce at any time.
	calmInterval = 200 * clock.Milli
	watchFor     = clock.Second
	// A lease lasts for some reports, so that one lost report does not end it.
	leaseIntervals = 3
	minLease       = clock.Second
	// Places are scarce while the requests that are in flight or wait need this share of them.
	scarceShare = 0.9
	plentyShare = 0.75
	// A place is unused between two requests of its entry, so more places are leased
	// than the servers have, by the measured use and at most this factor.
	maxOvercommit = 2.0
	// busyTimeConstant is that of the moving average of the use.
	busyTimeConstant = 300 * clock.Milli
	// rotation is how long one order holds among entries of which each is due less than a
	// place.
	rotation = 2 * clock.Second
	// dueResolution is the difference between due times up to which entries share alike.
	dueResolution = 500 * clock.Milli
	// Preference for a server of the entry's zone or region, as a share of its room.
	zoneBonus   = 0.3
	regionBonus = 0.15
)

// member is an entry that reports.
type member struct {
	Report
	at     clock.Millis
	places map[string]int // leased with the last reply
	due    float64        // places that the entry is due now
	grant  int            // due in whole places
}

func (m *member) compare(other *member) int { return cmp.Compare(m.Entry, other.Entry) }

// holds returns the places of a server that the entry may use until its next report. While
// there is room for all, unused ones don't count.
func (m *member) holds(server string, room bool) int {
	if room {
		return m.Servers[server].InFlight
	}
	return max(m.Servers[server].InFlight, m.places[server])
}

// Pool divides the places of a service among entries.
type Pool struct {
	members    map[ident.Node]*member
	ordered    []*member           // the members by name, since sums of reals depend on the order
	limits     map[string]*limiter // by server ID
	scarce     bool
	room       bool         // there is room for all demand
	pressedAt  clock.Millis // when the demand was last above plentyShare
	since      clock.Millis // first report after a pause
	busy       float64      // share of the leased places that are used
	busyAt     clock.Millis
	entries    int
	capacity   float64
	demand     float64
	lastReport clock.Millis
}

// NewPool returns a pool to which no entry has reported.
func NewPool() *Pool {
	return &Pool{members: make(map[ident.Node]*member), limits: make(map[string]*limiter), busy: 1}
}

// interval returns the time between the reports of an entry while places are scarce.
func (p *Pool) interval() clock.Millis {
	n := max(len(p.members), 1)
	return min(maxInterval, max(minInterval, clock.Millis(1000*n/reportsPerSecond)))
}

// ttl returns the time for which a lease lasts (rule 5).
func (p *Pool) ttl() clock.Millis { return max(minLease, leaseIntervals*p.interval()) }

// Scarce reports whether places are scarce.
func (p *Pool) Scarce() bool { return p.scarce }

// Capacity returns how many requests the servers get at once.
func (p *Pool) Capacity() float64 { return p.capacity }

// Demand returns how many requests the entries that report would have in flight if none
// had to wait.
func (p *Pool) Demand() float64 { return p.demand }

// Members returns the number of entries that report.
func (p *Pool) Members() int { return len(p.members) }

// Lease records the report of an entry and returns the places that it gets. The number of
// entries includes those that do not report.
func (p *Pool) Lease(now clock.Millis, entries int, servers []Server, r Report) Lease {
	if now-p.lastReport > minLease {
		p.since = now
	}
	p.lastReport, p.entries = now, max(1, entries)
	m := p.members[r.Entry]
	if m == nil {
		m = &member{Report: r}
		p.members[r.Entry] = m
		at, _ := slices.BinarySearchFunc(p.ordered, m, (*member).compare)
		p.ordered = slices.Insert(p.ordered, at, m)
	}
	m.Report, m.at = r, now
	p.ordered = slices.DeleteFunc(p.ordered, func(other *member) bool {
		if now-other.at <= p.ttl() {
			return false
		}
		delete(p.members, other.Entry)
		return true
	})
	p.observe(now, servers, r)
	p.updateScarce(now)
	if !p.scarce {
		m.places = nil
		interval := calmInterval
		if now-p.pressedAt < watchFor {
			interval = p.interval()
		}
		return Lease{Interval: interval, TTL: minLease}
	}
	p.divide(now)
	m.places = p.choose(m, servers)
	return Lease{Scarce: true, Places: m.places, Interval: p.interval(), TTL: p.ttl()}
}

// observe updates the limits of the servers by a report.
func (p *Pool) observe(now clock.Millis, servers []Server, r Report) {
	listed := make(map[string]bool, len(servers))
	p.capacity = 0
	for _, s := range servers {
		listed[s.ID] = true
		l := p.limits[s.ID]
		if l == nil || l.slots != max(1, s.Slots) {
			l = newLimiter(now, s.Slots)
			p.limits[s.ID] = l
		}
		inFlight := 0
		for _, m := range p.ordered {
			inFlight += m.Servers[s.ID].InFlight
		}
		l.observe(now, r.Servers[s.ID], inFlight, l.places()*p.overcommit())
		p.capacity += l.places()
	}
	for id := range p.limits {
		if !listed[id] {
			delete(p.limits, id)
		}
	}
}

func (p *Pool) updateScarce(now clock.Millis) {
	inFlight, leased := 0, 0
	requests, offered := 0.0, 0.0
	for _, m := range p.ordered {
		for _, d := range m.Demands {
			requests += d.now()
			offered += d.Offered
		}
		for id, s := range m.Servers {
			inFlight += min(s.InFlight, m.places[id])
		}
		for _, n := range m.places {
			leased += n
		}
	}
	p.demand = max(requests, offered)
	if p.demand >= plentyShare*p.capacity {
		p.pressedAt = now
	}
	// The rate of arrivals is an average of the past: it would keep places scarce after a surge.
	p.scarce = requests >= scarceShare*p.capacity
	if !p.scarce || leased == 0 {
		p.busy, p.busyAt = 1, now
		return
	}
	w := 1 - math.Exp(-float64(now-p.busyAt)/float64(busyTimeConstant))
	p.busy += w * (float64(inFlight)/float64(leased) - p.busy)
	p.busyAt = now
}

// overcommit returns how many places are leased for each that the servers have.
func (p *Pool) overcommit() float64 { return min(maxOvercommit, 1/max(p.busy, 1/maxOvercommit)) }

// divide computes what each entry is due (rules 1 to 3).
func (p *Pool) divide(now clock.Millis) {
	left := p.capacity * p.overcommit()
	even := left / float64(max(p.entries, len(p.members)))
	byRank := make(map[int]map[ident.Workspace][]share)
	for _, m := range p.ordered {
		m.due = 0
		for _, d := range m.Demands {
			if byRank[d.Rank] == nil {
				byRank[d.Rank] = make(map[ident.Workspace][]share)
			}
			byRank[d.Rank][d.Workspace] = append(byRank[d.Rank][d.Workspace], share{m: m, wants: d.places(), due: dueStep(d)})
		}
	}
	for _, rank := range slices.Sorted(maps.Keys(byRank)) {
		workspaces := byRank[rank]
		var shares []share
		for _, ws := range slices.Sorted(maps.Keys(workspaces)) {
			total := 0.0
			for _, s := range workspaces[ws] {
				total += s.wants
			}
			shares = append(shares, share{wants: total, of: workspaces[ws]})
		}
		left -= fill(left, shares)
		for _, s := range shares {
			fillByDue(s.gets, s.of)
			for _, e := range s.of {
				e.m.due += e.gets
			}
		}
	}
	p.room = left > 0
	for _, m := range p.ordered {
		if p.room { // An entry needs a place for its next request.
			m.due = max(1, m.due+left/float64(len(p.members)))
		}
		// A holder that has not heard of all entries yet leases no more than even shares.
		if now-p.since < minInterval+p.interval() {
			m.due = min(m.due, max(1, even))
		}
	}
	p.round(now)
}

// round turns what entries are due into whole places. Those that have requests get the
// places that remain by turns. A turn lasts for some reports: a place that passes to another
// entry is idle until that reports.
func (p *Pool) round(now clock.Millis) {
	type part struct {
		*member
		idle int
		draw uint64
	}
	order := make([]part, 0, len(p.ordered))
	rest := 0.0
	turn := uint64(now / rotation)
	for _, m := range p.ordered {
		whole := math.Floor(m.due + 1e-9)
		m.grant = int(whole)
		if left := m.due - whole; left > 1e-6 {
			rest += left
			order = append(order, part{m, m.idle(), draw(m.Entry, turn)})
		}
	}
	slices.SortFunc(order, func(a, b part) int {
		return cmp.Or(cmp.Compare(a.idle, b.idle), cmp.Compare(a.draw, b.draw), cmp.Compare(a.Entry, b.Entry))
	})
	for i := range min(len(order), int(rest+0.5)) {
		order[i].grant++
	}
}

// idle returns 1 if an entry has no request, so that it can't use a place at once, else 0.
func (m *member) idle() int {
	for _, d := range m.Demands {
		if d.Waiting > 0 {
			return 0
		}
	}
	for _, s := range m.Servers {
		if s.InFlight > 0 {
			return 0
		}
	}
	return 1
}

// choose returns the servers at which an entry gets its places: first those at which it
// has requests, then those with the most room, near ones first.
func (p *Pool) choose(m *member, servers []Server) map[string]int {
	type room struct {
		Server
		cap  int // places that the entry can have
		left float64
		near float64
	}
	over := p.overcommit()
	rooms := make([]*room, 0, len(servers))
	places := make(map[string]int)
	left := m.grant
	for _, s := range servers {
		total := p.limits[s.ID].places() * over
		others := 0
		for _, o := range p.ordered {
			if o != m {
				others += o.holds(s.ID, p.room)
			}
		}
		r := &room{Server: s, cap: max(0, int(total+0.5)-others), left: total - float64(others)}
		switch {
		case s.Zone == m.Zone:
			r.near = zoneBonus * total
		case s.Region == m.Region:
			r.near = regionBonus * total
		}
		rooms = append(rooms, r)
		n := min(m.Servers[s.ID].InFlight, r.cap, left)
		if n > 0 {
			places[s.ID] = n
			left -= n
			r.left -= float64(n)
		}
	}
	for ; left > 0; left-- {
		var best *room
		for _, r := range rooms {
			if places[r.ID] < r.cap && (best == nil || r.left+r.near > best.left+best.near) {
				best = r
			}
		}
		if best == nil {
			break
		}
		places[best.ID]++
		best.left--
	}
	return places
}

// share is a part of a division.
type share struct {
	m     *member
	of    []share
	due   int // order within a workspace
	wants float64
	gets  float64
}

// dueStep returns the order of a demand among those of its workspace (rule 3). What is due
// already goes last, since it can't be in time.
func dueStep(d Demand) int {
	switch {
	case d.Due == 0:
		return 0
	case d.Due < 0:
		return math.MaxInt
	}
	return 1 + int(d.Due/dueResolution)
}

// fillByDue is fill for those that are due first, then for the others.
func fillByDue(amount float64, shares []share) {
	slices.SortStableFunc(shares, func(a, b share) int { return cmp.Compare(a.due, b.due) })
	for from := 0; from < len(shares); {
		to := from + 1
		for to < len(shares) && shares[to].due == shares[from].due {
			to++
		}
		amount -= fill(amount, shares[from:to])
		from = to
	}
}

// fill divides an amount so that each gets what it wants or as much as any other, and
// returns what was given.
func fill(amount float64, shares []share) float64 {
	order := make([]int, len(shares))
	for i := range shares {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(shares[a].wants, shares[b].wants) })
	given := 0.0
	for i, at := range order {
		s := &shares[at]
		s.gets = max(0, min(s.wants, (amount-given)/float64(len(order)-i)))
		given += s.gets
	}
	return given
}

// draw returns the position of an entry in a turn.
func draw(n ident.Node, turn uint64) uint64 {
	h := fnv.New64a()
	for range 8 {
		h.Write([]byte{byte(turn)})
		turn >>= 8
	}
	h.Write([]byte(n))
	return h.Sum64()
}
