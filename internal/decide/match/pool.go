package match

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/budget"
	"github.com/jujuberamp/jujuberamp/internal/decide/choice"
)

// band is a priority band, a group of classes with the same priority.
type band uint8

const (
	short band = iota
	long
	round
	bandCount
)

// priority returns the priority that the engine gives to work of the band.
func (b band) priority() int { return int(round - b) }

// pool holds the servers of one service and the work for it.
type pool struct {
	service           ident.Service
	servers           []*server // sorted by node
	available         [localityCount]choice.List[*server]
	ring              choice.Ring[*server]
	freeSlots         int // of available servers
	slots             int // of usable servers that are not slow
	newestVersion     ident.Version
	inFlight          [bandCount]int
	shortDemand       float64 // slots that short work needs, as a moving average
	queues            []*workQueue
	classes           []*classStats
	retryBudget       *budget.Ratio
	hedgeBudget       *budget.Ratio
	nextServer        int // index of the next server for round robin, modulo the number of usable servers
	grantCount        int
	lastTolerantGrant clock.Millis // when latency-tolerant work was last granted
}

func newPool(svc ident.Service, p Policy) *pool {
	return &pool{
		service:     svc,
		retryBudget: budget.NewRatio(p.RetryShare, budgetBurst),
		hedgeBudget: budget.NewRatio(p.HedgeShare, budgetBurst),
	}
}

// withdrawRetry withdraws a retry from the retry budget, by rule 11, or returns
// an error. For a first attempt it makes a deposit instead.
func (p *pool) withdrawRetry(it *Item) error {
	switch {
	case it.Requeued, it.Retry && it.CrashSuspect:
		return nil
	case !it.Retry:
		p.retryBudget.Deposit()
		return nil
	case p.retryBudget.Withdraw():
		return nil
	}
	return fault.New(fault.Overloaded, "too many requests of "+string(p.service)+" are retried").WithRetryAfter(clock.Second)
}

// Time constants of the demand of short work. It rises faster than it falls.
const (
	demandRiseTime = clock.Second
	demandFallTime = 2 * clock.Second
)

// updateDemand updates the demand by the number of slots that short work uses
// or waits for.
func (p *pool) updateDemand(elapsed clock.Millis) {
	n := float64(p.inFlight[short] + p.waitingInBand(short))
	timeConstant := demandFallTime
	if n > p.shortDemand {
		timeConstant = demandRiseTime
	}
	p.shortDemand += (1 - decay(elapsed, timeConstant)) * (n - p.shortDemand)
}

func (p *pool) waitingInBand(b band) int {
	n := 0
	for _, wq := range p.queues {
		if wq.items.Len() > 0 && p.bandOf(wq) == b {
			n += wq.items.Len()
		}
	}
	return n
}

// slotsForShort returns how many slots must stay free for short work, by
// rule 3.
func (p *pool) slotsForShort(m *Matcher) int {
	if !m.policy.PriorityBands {
		return 0
	}
	want := p.shortDemand + math.Sqrt(p.shortDemand)
	want = min(want, float64(p.slots)/2)
	return max(0, int(math.Ceil(want))-p.inFlight[short])
}
