package admit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	// engageFor is how long an entry goes on to report after the last sign of demand. A surge
	// that pauses for less is one surge.
	engageFor = 2 * clock.Second
	// minEngaged is the number of requests in flight from which an entry reports, however
	// small its even share of the places is.
	minEngaged = 2
	// A sign of scarcity counts for pressedFor while no holder answers.
	pressedFor = clock.Second
	// answerTime is how long an entry sends freely while the first reply of a holder is due.
	answerTime = 300 * clock.Milli
	// rateTimeConstant is that of the averages of arrivals, so that demand which ends
	// is forgotten within a second.
	rateTimeConstant = 400 * clock.Milli
	tookWeight       = 0.1 // of a new response time in a mean
	// maxWaiting bounds the requests that wait at an entry for one service. Each holds its
	// body in memory.
	maxWaiting = 512
	// Bounds of the time after which refused callers return.
	minRetryAfter = 100 * clock.Milli
	maxRetryAfter = 2 * clock.Second
	// returnShare is the share of its remaining time after which a caller returns at the
	// latest, so that it has time for an answer and for one more return.
	returnShare = 1.0 / 3
)

// State is the state of a [Ticket].
type State uint8

// The states.
const (
	Waiting State = iota
	Started       // the request has a place
	Rejected
)

// Ask describes a request that asks for a place.
type Ask struct {
	Group
	Kind        string       // requests of one kind have similar response times
	Deadline    clock.Millis // when the caller stops waiting
	LatestStart clock.Millis // until when the request may wait for a place
	InTimeBy    clock.Millis // end of the latency objective, [clock.Never] for none
	DueBy       clock.Millis // when the item that the call belongs to is due, 0 for none
	// Choose returns the server at which the request starts, among those that have a place
	// for it, or "" for none.
	Choose func(hasPlace func(server string) bool) string
}

// Ticket is a request at the gate.
type Ticket struct {
	Ask
	state      State
	server     string
	enteredAt  clock.Millis
	retryAfter clock.Millis
}

// due returns the time by which waiting requests are ordered.
func (t *Ticket) due() clock.Millis {
	if t.DueBy > 0 {
		return t.DueBy
	}
	return t.Deadline
}

// State returns the state of the request.
func (t *Ticket) State() State { return t.state }

// Server returns the server at which a started request has a place. It is empty if the
// caller may choose any server; the caller then calls [Gate.Start].
func (t *Ticket) Server() string { return t.server }

// RetryAfter returns when a rejected caller should return.
func (t *Ticket) RetryAfter() clock.Millis { return t.retryAfter }

// Ended is how an attempt at a server ended.
type Ended struct {
	Outcome Outcome
	Took    clock.Millis
	Travel  clock.Millis // part of it that was spent on the way
}

// group is what a gate records about a group.
type group struct {
	running int
	waiting int
	rate    decaying // arrivals
	took    float64  // ms, mean response time
}

// decaying is an exponentially decaying sum.
type decaying struct {
	sum float64
	at  clock.Millis
}

func (d *decaying) value(now clock.Millis) float64 {
	return d.sum * math.Exp(-float64(now-d.at)/float64(rateTimeConstant))
}

func (d *decaying) add(now clock.Millis) { d.sum, d.at = d.value(now)+1, now }

// Gate admits an entry's requests to one service.
type Gate struct {
	source       *rand.PCG
	rng          *rand.Rand // of source
	groups       map[Group]*group
	took         map[string]float64 // ms by kind, mean response time
	inFlight     map[string]int     // by server ID
	shown        map[string]Shown   // since the last report
	running      int
	waiting      []*Ticket
	share        float64 // even share of the service's places
	lease        Lease
	leasedAt     clock.Millis // 0 before the first lease
	engagedSince clock.Millis
	engagedUntil clock.Millis
	pressedUntil clock.Millis
	returnAt     clock.Millis // when the last refused caller was told to return
}

// NewGate returns a gate that has seen no request. The seed is for the times at which
// refused callers return.
func NewGate(seed uint64) *Gate {
	source := rand.NewPCG(seed, 0)
	return &Gate{
		source:   source,
		rng:      rand.New(source),
		groups:   make(map[Group]*group),
		took:     make(map[string]float64),
		inFlight: make(map[string]int),
		shown:    make(map[string]Shown),
	}
}

// SetShare sets the entry's even share of the service's places.
func (g *Gate) SetShare(places float64) { g.share = places }

// Engaged reports whether the entry should report its demand.
func (g *Gate) Engaged(now clock.Millis) bool { return len(g.waiting) > 0 || now < g.engagedUntil }

// Scarce reports whether only requests with a place may start.
func (g *Gate) Scarce(now clock.Millis) bool {
	if g.hasLease(now) {
		return g.lease.Scarce
	}
	return g.limitsItself(now)
}

// Waiting returns the number of requests that wait.
func (g *Gate) Waiting() int { return len(g.waiting) }

// Idle reports whether no request is in flight or waits.
func (g *Gate) Idle() bool { return g.running == 0 && len(g.waiting) == 0 }

func (g *Gate) hasLease(now clock.Millis) bool {
	return g.leasedAt > 0 && now-g.leasedAt < g.lease.TTL
}

// limitsItself reports whether the entry keeps to its even share (rule 6).
func (g *Gate) limitsItself(now clock.Millis) bool {
	return !g.hasLease(now) && now < g.pressedUntil && now-g.engagedSince >= answerTime
}

func (g *Gate) engage(now clock.Millis) {
	if now >= g.engagedUntil {
		g.engagedSince = now
	}
	g.engagedUntil = now + engageFor
}

func (g *Gate) group(k Group) *group {
	s := g.groups[k]
	if s == nil {
		s = &group{}
		g.groups[k] = s
	}
	return s
}

// Enter asks for a place. The ticket is started, rejected, or waits; in the last case
// [Gate.End], [Gate.Apply] or [Gate.Leave] changes its state.
func (g *Gate) Enter(now clock.Millis, a Ask) *Ticket {
	t := &Ticket{Ask: a, enteredAt: now}
	g.group(a.Group).rate.add(now)
	if !g.Scarce(now) {
		t.state = Started
		return t
	}
	g.engage(now)
	if a.InTimeBy < clock.Never {
		t.LatestStart = min(t.LatestStart, a.InTimeBy-clock.Millis(g.took[a.Kind]))
	}
	g.add(t)
	g.serve(now)
	if t.state == Waiting && a.InTimeBy < clock.Never && now+g.expectedWait(now, t) > t.LatestStart {
		g.reject(now, t)
	}
	if len(g.waiting) > maxWaiting {
		g.reject(now, slices.MaxFunc(g.waiting, g.compare))
	}
	return t
}

// Admit takes a place for one further attempt of a request if one is free and no request
// waits for it.
func (g *Gate) Admit(now clock.Millis, a Ask) *Ticket {
	t := &Ticket{Ask: a, enteredAt: now, state: Started}
	if !g.Scarce(now) {
		return t
	}
	if len(g.waiting) > 0 || !g.start(now, t) {
		t.state = Rejected
	}
	return t
}

// expectedWait returns the time until a waiting request's turn at the rate at which the
// entry's places become free (rule 4).
func (g *Gate) expectedWait(now clock.Millis, t *Ticket) clock.Millis {
	ahead := 0
	for _, o := range g.waiting {
		if o != t && g.compare(o, t) < 0 {
			ahead++
		}
	}
	step := g.step(now)
	if step == 0 { // Without a place, the next lease may bring one.
		return g.lease.Interval
	}
	return clock.Millis(step * float64(ahead))
}

// step returns the mean time in ms between two places that become free, 0 if the entry
// has none.
func (g *Gate) step(now clock.Millis) float64 {
	places := g.share
	if g.hasLease(now) {
		places = float64(g.lease.Total())
	}
	if places == 0 {
		return 0
	}
	sum, n := 0.0, 0
	for _, s := range g.groups {
		sum += s.took * float64(s.running)
		n += s.running
	}
	if n == 0 {
		return 1 / places
	}
	return sum / float64(n) / places
}

// compare orders waiting requests by rules 1 to 3.
func (g *Gate) compare(a, b *Ticket) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(g.groups[a.Group].running, g.groups[b.Group].running),
		cmp.Compare(a.due(), b.due()),
		cmp.Compare(a.enteredAt, b.enteredAt))
}

// serve starts waiting requests while there are places for them, and returns them.
func (g *Gate) serve(now clock.Millis) []*Ticket {
	var started []*Ticket
	for len(g.waiting) > 0 && g.hasRoom(now) {
		t := slices.MinFunc(g.waiting, g.compare)
		if !g.start(now, t) { // It was at each server that has a place.
			slices.SortFunc(g.waiting, g.compare)
			i := slices.IndexFunc(g.waiting, func(t *Ticket) bool { return g.start(now, t) })
			if i < 0 {
				break
			}
			t = g.waiting[i]
		}
		g.remove(t)
		started = append(started, t)
	}
	return started
}

// hasRoom reports whether a place is free for any request.
func (g *Gate) hasRoom(now clock.Millis) bool {
	switch {
	case !g.Scarce(now):
		return true
	case g.limitsItself(now):
		return float64(g.running) < max(1, g.share)
	}
	for id, n := range g.lease.Places {
		if g.inFlight[id] < n {
			return true
		}
	}
	return false
}

// start gives a place to a request if there is one for it.
func (g *Gate) start(now clock.Millis, t *Ticket) bool {
	if !g.hasRoom(now) {
		return false
	}
	if !g.hasLease(now) || !g.lease.Scarce {
		t.state = Started
		return true
	}
	s := t.Choose(func(id string) bool { return g.inFlight[id] < g.lease.Places[id] })
	if s == "" {
		return false
	}
	t.state, t.server = Started, s
	g.Start(now, s, t.Group)
	return true
}

func (g *Gate) add(t *Ticket) {
	g.waiting = append(g.waiting, t)
	g.groups[t.Group].waiting++
}

func (g *Gate) remove(t *Ticket) {
	i := slices.Index(g.waiting, t)
	g.waiting = slices.Delete(g.waiting, i, i+1)
	g.groups[t.Group].waiting--
}

// reject refuses a waiting request.
func (g *Gate) reject(now clock.Millis, t *Ticket) {
	g.remove(t)
	t.state = Rejected
	t.retryAfter = g.RetryAfter(now, t.Deadline)
}

// RetryAfter returns when a caller that is refused now should return (rule 8).
func (g *Gate) RetryAfter(now, deadline clock.Millis) clock.Millis {
	step := g.step(now)
	if step == 0 {
		step = float64(maxRetryAfter)
	}
	g.returnAt = max(g.returnAt, now+minRetryAfter) + clock.Millis(math.Ceil(step))
	latest := min(maxRetryAfter, clock.Millis(returnShare*float64(max(0, deadline-now))))
	if wait := g.returnAt - now; wait <= latest {
		return wait
	}
	// More callers than places: they return spread over the later half of the time.
	g.returnAt = min(g.returnAt, now+maxRetryAfter)
	return max(minRetryAfter, clock.Millis(float64(latest)*(1+g.rng.Float64())/2))
}

// Leave removes a request that waits no longer, since its caller left or its latest start
// has passed. It is rejected.
func (g *Gate) Leave(now clock.Millis, t *Ticket) {
	if t.state == Waiting {
		g.reject(now, t)
	}
}

// Start records that an attempt at a server started.
func (g *Gate) Start(now clock.Millis, server string, k Group) {
	g.inFlight[server]++
	g.running++
	g.group(k).running++
	if float64(g.running) >= max(minEngaged, g.share) {
		g.engage(now)
	}
}

// End records the end of an attempt, and returns the waiting requests that start in its
// place.
func (g *Gate) End(now clock.Millis, server string, a Ask, e Ended) []*Ticket {
	if g.inFlight[server]--; g.inFlight[server] <= 0 {
		delete(g.inFlight, server)
	}
	g.running--
	s := g.group(a.Group)
	s.running--
	shown := g.shown[server]
	switch e.Outcome {
	case Served:
		shown.Served++
		shown.Took += e.Took
		shown.Travel += min(e.Travel, e.Took)
		s.took = average(s.took, e.Took)
		g.took[a.Kind] = average(g.took[a.Kind], e.Took)
	case Refused:
		shown.Refused++
		g.engage(now)
		g.pressedUntil = now + pressedFor
	}
	g.shown[server] = shown
	return g.serve(now)
}

func average(mean float64, took clock.Millis) float64 {
	if mean == 0 {
		return float64(took)
	}
	return mean + tookWeight*(float64(took)-mean)
}

// Apply takes over a lease, and returns the waiting requests that start with it.
func (g *Gate) Apply(now clock.Millis, l Lease) []*Ticket {
	g.lease, g.leasedAt = l, now
	if l.Scarce {
		g.engage(now)
		g.pressedUntil = now + l.TTL + pressedFor
	} else {
		g.pressedUntil = 0
	}
	return g.serve(now)
}
