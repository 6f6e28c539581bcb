package match

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/hist"
	"github.com/jujuberamp/jujuberamp/internal/decide/limit"
	"github.com/jujuberamp/jujuberamp/internal/decide/pace"
	"github.com/jujuberamp/jujuberamp/internal/decide/queue"
	"github.com/jujuberamp/jujuberamp/internal/decide/route"
	"github.com/jujuberamp/jujuberamp/internal/decide/spend"
)

// band is a group of classes that are served alike.
type band uint8

const (
	short band = iota
	long
	round
	bands
)

// priority at the engine.
func (b band) priority() int { return int(round - b) }

// pool is one service: its servers and the work for it.
type pool struct {
	service  ident.Service
	all      []*server // by node
	open     [tiers]route.List[*server]
	ring     route.Ring[*server]
	free     int // credits of open servers
	slots    int // of servers that are alive and not slow
	newest   ident.Version
	inflight [bands]int
	demand   float64 // slots that short work needs, smoothed
	lanes    []*lane
	classes  []*class
	retries  *spend.Share
	hedges   *spend.Share
	turn     int // of the rotation
	grants   int
	patient  clock.Millis // when work that minds a slow server least was last granted
}

func newPool(svc ident.Service, p Policy) *pool {
	return &pool{
		service: svc,
		retries: spend.NewShare(p.RetryShare, retrySaved),
		hedges:  spend.NewShare(p.HedgeShare, retrySaved),
	}
}

// pay applies the retry budget of rule 11.
func (p *pool) pay(it *Item) error {
	switch {
	case it.Moved:
		return nil
	case !it.Retry:
		p.retries.Earn()
		return nil
	case p.retries.Take():
		return nil
	}
	return fault.New(fault.Overloaded, "too many requests of "+string(p.service)+" are retried").After(clock.Second)
}

// laneKey names one queue of a pool.
type laneKey struct {
	class ident.Class
	floor ident.Version
	size  int
	round bool
}

type lane struct {
	key     laneKey
	class   *class
	q       *queue.Queue[Item]
	aside   []Item // passed over in this decision
	blocked bool
	again   clock.Millis // passed over until then, after all servers were looked at
}

func (p *pool) lane(k laneKey) *lane {
	for _, l := range p.lanes {
		if l.key == k {
			return l
		}
	}
	l := &lane{key: k, q: queue.New[Item]()}
	p.lanes = append(p.lanes, l)
	return l
}

// class is what was measured of a class of work with answers of one size.
type class struct {
	name    ident.Class
	size    int
	waiting int
	took    hist.Hist    // running times
	mid     clock.Millis // median running time; 0 before it is known
	tokens  float64      // of an answer, smoothed
	starts  float64      // recent, see startMemory
	at      clock.Millis
	since   clock.Millis
}

// startMemory is the time over which starts are counted.
const startMemory = 4 * clock.Second

func (p *pool) class(n ident.Class, size int) *class {
	for _, c := range p.classes {
		if c.name == n && c.size == size {
			return c
		}
	}
	c := &class{name: n, size: size}
	p.classes = append(p.classes, c)
	return c
}

// estimate returns the usual running time.
func (c *class) estimate() clock.Millis {
	if c.mid > 0 {
		return c.mid
	}
	return firstGuess
}

// tokenShare is the weight of a new answer's length.
const tokenShare = 0.1

// ended takes in a whole answer.
func (c *class) ended(took clock.Millis, tokens int) {
	c.took.Add(took)
	c.mid, _ = c.took.Quantile(0.5)
	if c.tokens == 0 {
		c.tokens = float64(tokens)
	}
	c.tokens += tokenShare * (float64(tokens) - c.tokens)
}

func (c *class) started(now clock.Millis) {
	if c.since == 0 {
		c.since = now
	}
	c.starts = c.starts*fade(now-c.at, startMemory) + 1
	c.at = now
}

// wait predicts how long an item that arrives now will wait, by how many wait
// and how many were started lately. It is 0 while too little is known.
func (c *class) wait(now clock.Millis) clock.Millis {
	age := now - c.since
	if c.since == 0 || age < clock.Second {
		return 0
	}
	span := startMemory.Seconds() * (1 - fade(age, startMemory))
	rate := max(c.starts*fade(now-c.at, startMemory)/span, 0.1)
	return clock.Millis(float64(c.waiting) / rate * float64(clock.Second))
}

func fade(d, memory clock.Millis) float64 { return math.Exp(-float64(d) / float64(memory)) }

// band applies rule 2: a class is long by comparison with the shortest class
// of its service.
func (p *pool) band(l *lane) band {
	if l.key.round {
		return round
	}
	least := l.class.mid
	for _, o := range p.classes {
		if o.mid > 0 {
			least = min(least, o.mid)
		}
	}
	if l.class.mid > longRatio*least {
		return long
	}
	return short
}

// flight is one item in progress, on one node or, with a hedge, on two.
type flight struct {
	item  Item
	pool  *pool
	class *class
	runs  []*run
}

type run struct {
	flight *flight
	server *server
	band   band
	began  clock.Millis
	stream pace.Stream
	shown  int // tokens
}

func (f *flight) on(n ident.Node) *run {
	for _, r := range f.runs {
		if r.server.Node == n {
			return r
		}
	}
	return nil
}

func (f *flight) drop(r *run) {
	for i, o := range f.runs {
		if o == r {
			f.runs = append(f.runs[:i:i], f.runs[i+1:]...)
			return
		}
	}
}

// server is one candidate.
type server struct {
	Server
	pool     *pool
	tier     tier
	slot     route.Slot
	pace     pace.Pace
	heard    clock.Millis
	own      int
	suspects int
	shut     clock.Millis // closed until then, after a refusal or failure
	shutLong clock.Millis // closed until then to all but short work
	failures int
	probed   clock.Millis
	gone     bool
	counted  int // credits counted in the pool
	alive    int // slots counted in the pool
}

// Slot implements [route.Member].
func (s *server) Slot() *route.Slot { return &s.slot }

// load applies rule 6.
func (s *server) load() int { return s.own + max(0, s.Running-s.Yours) }

func (s *server) ratio() float64 { return float64(s.load()) / float64(max(1, s.Slots)) }

// lives reports whether the server may get any work at all.
func (s *server) lives(now clock.Millis, p Policy) bool {
	return !s.Leaving && !s.Loading && now-s.heard <= p.Lease && now >= s.shut
}

// place opens or closes the server for new work by what is known now.
func (s *server) place(now clock.Millis, p Policy) {
	slots, credits := 0, 0
	if !s.gone && s.lives(now, p) && !s.pace.Slow() {
		slots = s.Slots
		credits = max(0, s.Slots-s.load())
	}
	s.count(slots, credits)
}

func (s *server) close() { s.count(0, 0) }

func (s *server) count(slots, credits int) {
	s.pool.slots += slots - s.alive
	s.pool.free += credits - s.counted
	s.alive, s.counted = slots, credits
	if credits > 0 {
		s.pool.open[s.tier].Add(s)
	} else {
		s.pool.open[s.tier].Del(s)
	}
}

// room reports whether the server has a slot for a band. The agent keeps some
// for short work while there is any.
func (s *server) room(b band) bool {
	if b == short || s.pool.demand < fewShort {
		return s.load() < s.Slots
	}
	return s.load() < s.Slots-limit.Kept(s.Slots)
}

// ended takes in the end of a run.
func (s *server) ended(now clock.Millis, r *run, res Result) {
	s.own--
	if r.flight.item.Suspect {
		s.suspects--
	}
	switch res.End {
	case Served:
		s.failures = 0
	case Refused:
		if r.band != short { // The agent may still have slots kept for short work.
			s.shutLong = max(s.shutLong, now+max(res.After, leastShut))
			return
		}
		s.shut = max(s.shut, now+max(res.After, leastShut))
	case Failed:
		s.shut = max(s.shut, now+min(failedFor<<min(s.failures, 5), failedMost))
		s.failures++
	}
}
