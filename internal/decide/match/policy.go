package match

import (
	"math/bits"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
)

// Policy selects how the decision is made.
type Policy struct {
	LivenessTimeout clock.Millis // a server not heard of for so long is not used
	MaxQueue        int          // items that wait in one class
	Zone            ident.Zone   // of this entry
	Region          ident.Region // of this entry; empty counts all servers as near
	CrossRegionRate float64      // bytes/s that may go to other regions
	Seed            uint64       // of random draws
	BindOnArrival   bool         // binds on arrival, in rotation, without looking at load
	PriorityBands   bool         // bands, floors and slots kept for short work
	DetectSlow      bool         // judges servers by measured progress
	Shed            bool         // refuses what would miss its target
	HedgeShare      float64      // extra attempts for short work, as a share of it; 0 for none
	RetryShare      float64      // further attempts, as a share of first ones
}

// DefaultPolicy returns the policy of the product.
func DefaultPolicy() Policy {
	return Policy{
		LivenessTimeout: 3 * clock.Second,
		MaxQueue:        10000,
		CrossRegionRate: 5e6,
		PriorityBands:   true,
		DetectSlow:      true,
		Shed:            true,
		HedgeShare:      0.05,
		RetryShare:      0.10,
	}
}

// RoundRobin returns a plain policy to compare with: round robin, first come
// first served, no hedges and no look at slow servers.
func RoundRobin() Policy {
	p := LeastLoaded()
	p.BindOnArrival = true
	return p
}

// LeastLoaded returns a plain policy with one queue: first come first served to
// the least loaded server that has a free slot.
func LeastLoaded() Policy {
	p := DefaultPolicy()
	p.PriorityBands, p.DetectSlow, p.Shed = false, false, false
	p.HedgeShare = 0
	return p
}

const (
	crossBurst   = 2 * clock.Second // of CrossRate, saved up at most
	sweepEvery   = 50 * clock.Milli // between looks at leases, pace and demand
	forgetAfter  = clock.Minute     // a server not heard of for so long is forgotten
	probeEvery   = clock.Second
	minAfter     = 100 * clock.Milli // the shortest time to come back that a refusal names
	leastShut    = 20 * clock.Milli  // a server that refused is closed so long at least
	failedFor    = 250 * clock.Milli // a server that failed is closed so long, doubled each time
	failedMost   = 8 * clock.Second
	firstGuess   = clock.Second // running time of a class not yet measured
	longRatio    = 4            // times the shortest class's estimate, or a class's own
	floorShare   = 8            // a band's floor is the slots divided by this
	affinityOver = 1.25         // a prefix's server may have this much of the mean load
	lookahead    = 32           // items of a queue passed over in one decision
	fewShort     = 0.1          // slots of demand below which none are kept for short work
	triedServers = 4            // random servers that rule 13 looks at
	manyServers  = 64           // servers above which a queue that found none is passed over for a while
	againAfter   = 10 * clock.Milli
	retrySaved   = 10 // attempts that the budgets save up
	tokenBytes   = 8  // of an answer on a link, each token
)

// Item is one piece of work that waits for a server.
type Item struct {
	ID           uint64
	Class        ident.Class
	Service      ident.Service
	StartBy      clock.Millis  // arrival plus the waiting target
	FinishBy     clock.Millis  // arrival plus the lateness target; 0 for none
	Deadline     clock.Millis  // not started after this instant; 0 for none
	MinVersion   ident.Version // oldest version that may run it
	Avoid        sets.Set[ident.Node]
	Prefix       string // shared beginning of the prompt, empty for none
	Bytes        int    // of the request, for the budget of links between regions
	MaxTokens    int    // upper bound of the answer
	Round        bool   // a sample of a round
	AtMostOnce   bool   // may run at most once, so it is never hedged
	CrashSuspect bool   // ran at a crash before
	Retry        bool   // a further attempt, paid from the retry budget
	Requeued     bool   // comes back after a refusal as not run; costs nothing

	arrived clock.Millis
}

// size groups the work of a class by the bound of its answer, each group up to
// twice as long as the one before.
func (it *Item) size() int { return bits.Len(uint(it.MaxTokens)) }

// due is the latest start that meets the target.
func (it *Item) due(c *class) clock.Millis {
	if it.Deadline == 0 {
		return it.StartBy
	}
	return min(it.StartBy, it.Deadline-c.estimate())
}

// limit is when a waiting item is refused; 0 for never.
func (it *Item) limit() clock.Millis {
	if it.Deadline > 0 {
		return it.Deadline
	}
	if it.Round {
		return 0
	}
	return it.FinishBy
}

// Server is what the entry knows of one agent and its backend server.
type Server struct {
	Node             ident.Node
	Boot             ident.Incarnation
	Seq              uint64 // of the report, rising within one incarnation
	Addr             string
	Zone             ident.Zone
	Region           ident.Region
	Service          ident.Service
	Version          ident.Version
	Loading          bool
	Leaving          bool
	Slots            int
	Running          int          // work in progress, of all entries
	OwnRunning       int          // of this, work of this entry
	TokenRate        float64      // tokens/s of one stream, measured by the agent; 0 if not known
	TimeToFirstToken clock.Millis // to the first token, measured by the agent; 0 if not known
}

// Grant sends an item to a node.
type Grant struct {
	Item     uint64
	Node     ident.Node
	Hedge    bool // a second attempt beside the first
	Short    bool // may use a slot kept for short work
	Priority int  // at the engine; higher runs first
}

// Refusal ends the waiting of an item.
type Refusal struct {
	Item uint64
	Err  error
}

// Outcome tells how an attempt ended.
type Outcome uint8

// The ends of an attempt.
const (
	Served   Outcome = iota // with a whole answer
	Canceled                // given up by the caller or for another attempt
	Refused                 // by the agent, as not run
	Failed                  // the agent or its server failed or did not answer
)

// Result is the end of an attempt.
type Result struct {
	Outcome    Outcome
	RetryAfter clock.Millis // with Refused: when the agent wants to be asked again
}

// tier is how far a server is.
type tier uint8

const (
	sameZone tier = iota
	sameRegion
	otherRegion
	tiers
)

func (p Policy) tier(s Server) tier {
	switch {
	case p.Region == "" || s.Zone == p.Zone:
		return sameZone
	case s.Region == p.Region:
		return sameRegion
	}
	return otherRegion
}
