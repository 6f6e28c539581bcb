package match

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/budget"
	"github.com/jujuberamp/jujuberamp/internal/decide/choice"
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
	open     [tiers]choice.List[*server]
	ring     choice.Ring[*server]
	free     int // credits of open servers
	slots    int // of servers that are alive and not slow
	newest   ident.Version
	inflight [bands]int
	demand   float64 // slots that short work needs, smoothed
	lanes    []*lane
	classes  []*class
	retries  *budget.Ratio
	hedges   *budget.Ratio
	turn     int // of the rotation
	grants   int
	patient  clock.Millis // when work that minds a slow server least was last granted
}

func newPool(svc ident.Service, p Policy) *pool {
	return &pool{
		service: svc,
		retries: budget.NewRatio(p.RetryShare, retrySaved),
		hedges:  budget.NewRatio(p.HedgeShare, retrySaved),
	}
}

// pay applies the retry budget of rule 11.
func (p *pool) pay(it *Item) error {
	switch {
	case it.Requeued:
		return nil
	case !it.Retry:
		p.retries.Deposit()
		return nil
	case p.retries.Withdraw():
		return nil
	}
	return fault.New(fault.Overloaded, "too many requests of "+string(p.service)+" are retried").WithRetryAfter(clock.Second)
}

// Smoothing of the demand of short work: it rises faster than it falls.
const (
	demandRise = clock.Second
	demandFall = 2 * clock.Second
)

// measure takes in how many slots short work holds or waits for.
func (p *pool) measure(passed clock.Millis) {
	n := float64(p.inflight[short] + p.waitingIn(short))
	memory := demandFall
	if n > p.demand {
		memory = demandRise
	}
	p.demand += (1 - fade(passed, memory)) * (n - p.demand)
}

func (p *pool) waitingIn(b band) int {
	n := 0
	for _, l := range p.lanes {
		if l.q.Len() > 0 && p.band(l) == b {
			n += l.q.Len()
		}
	}
	return n
}

// need returns how many slots must stay free for short work, by rule 3.
func (p *pool) need(m *Matcher) int {
	if !m.p.PriorityBands {
		return 0
	}
	want := p.demand + math.Sqrt(p.demand)
	want = min(want, float64(p.slots)/2)
	return max(0, int(math.Ceil(want))-p.inflight[short])
}
