package match

import (
	"math/bits"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
)

// Policy holds the parameters of a matcher.
type Policy struct {
	LivenessTimeout clock.Millis // a server without a report for longer is not used
	MaxQueue        int          // waiting items of one class and size group
	Zone            ident.Zone   // zone of this entry
	Region          ident.Region // region of this entry; if empty, all servers count as local
	CrossRegionRate float64      // bytes/s that may go to other regions
	Seed            uint64       // seed of the random number generator
	BindOnArrival   bool         // assign work on arrival in round-robin order, regardless of load
	PriorityBands   bool         // use bands, minimum shares and slots reserved for short work
	DetectSlow      bool         // detect slow servers by measured progress
	Shed            bool         // refuse work on arrival that would miss its target
	HedgeShare      float64      // hedges as a share of the short work; 0 for none
	RetryShare      float64      // retries as a share of the first attempts
}

// DefaultPolicy returns the built-in policy.
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

// RoundRobin returns a baseline policy for comparisons: round robin, first
// come first served, without hedges and without detection of slow servers.
func RoundRobin() Policy {
	p := LeastLoaded()
	p.BindOnArrival = true
	return p
}

// LeastLoaded returns a baseline policy for comparisons: first come first
// served, to the least loaded server that has a free slot.
func LeastLoaded() Policy {
	p := DefaultPolicy()
	p.PriorityBands, p.DetectSlow, p.Shed = false, false, false
	p.HedgeShare = 0
	return p
}

const (
	crossRegionBurst  = 2 * clock.Second  // burst of the budget for other regions, in seconds of its rate
	sweepInterval     = 50 * clock.Milli  // between updates of liveness, slowness and demand
	serverRetention   = clock.Minute      // an idle server is removed this long after its last report
	probeInterval     = clock.Second      // between the probes of one slow server
	minRetryAfter     = 100 * clock.Milli // lower bound of the retry-after of a refusal
	minRefusalBackoff = 20 * clock.Milli
	minFailureBackoff = 250 * clock.Milli // doubles with each failure in a row
	maxFailureBackoff = 8 * clock.Second
	defaultRunTime    = clock.Second // estimate for a class without measurements
	longRatio         = 4            // work is long from this multiple of the estimate, see rules 2 and 5
	minShareDivisor   = 8            // the minimum share of a band is the slots divided by this
	maxAffinityLoad   = 1.25         // upper bound of the preferred server's load, as a multiple of the mean load
	maxSkipped        = 32           // items skipped in one queue during one dispatch
	minShortDemand    = 0.1          // slots; below this demand an agent is assumed to reserve no slots
	optimisticDraws   = 4            // random servers considered by rule 13
	largePool         = 64           // in larger pools, a queue that found no server waits for queueRetryDelay
	queueRetryDelay   = 10 * clock.Milli
	budgetBurst       = 10 // attempts; initial and maximum balance of the retry and hedge budgets
	bytesPerToken     = 8  // bytes of an answer for each token
)

// Item is one piece of work for a server.
type Item struct {
	ID           uint64
	Class        ident.Class
	Service      ident.Service
	StartBy      clock.Millis         // arrival plus the waiting target
	FinishBy     clock.Millis         // arrival plus the lateness target; 0 for none
	Deadline     clock.Millis         // when the answer must be complete; 0 for none
	MinVersion   ident.Version        // oldest weight version that may run the item
	Avoid        sets.Set[ident.Node] // nodes to avoid for avoidTimeout
	Prefix       string               // shared prefix of the prompt; empty for none
	Bytes        int                  // size of the request, for the cross-region budget
	MaxTokens    int                  // upper bound of the answer's length
	Round        bool                 // the item is a sample of a round
	AtMostOnce   bool                 // the item may run at most once, so it is never hedged
	CrashSuspect bool                 // the item ran on a server that crashed
	Retry        bool                 // a retry, which needs a withdrawal from the retry budget unless CrashSuspect is set
	Requeued     bool                 // queued again after a refusal as not run, which needs no withdrawal

	arrivedAt clock.Millis
}

// sizeGroup returns the group of the answer's upper bound. Each group covers
// bounds up to twice as long as the group before.
func (it *Item) sizeGroup() int { return bits.Len(uint(it.MaxTokens)) }

// latestStart returns the latest start that meets the target and the deadline.
func (it *Item) latestStart(cs *classStats) clock.Millis {
	if it.Deadline == 0 {
		return it.StartBy
	}
	return min(it.StartBy, it.Deadline-cs.estimatedRunTime())
}

// expiresAt returns when the item is refused if it still waits; 0 for never.
func (it *Item) expiresAt() clock.Millis {
	if it.Deadline > 0 {
		return it.Deadline
	}
	if it.Round {
		return 0
	}
	return it.FinishBy
}

// Server is a report of an agent about itself and its backend server.
type Server struct {
	Node             ident.Node
	Boot             ident.Incarnation
	Seq              uint64 // sequence number of the report within one incarnation; 0 if it has none
	Addr             string
	Zone             ident.Zone
	Region           ident.Region
	Service          ident.Service
	Version          ident.Version
	Loading          bool
	Leaving          bool
	Slots            int
	Running          int          // items in progress, from all entries
	OwnRunning       int          // items in progress, from this entry
	TokenRate        float64      // tokens/s of one stream as measured by the agent; 0 if not known
	TimeToFirstToken clock.Millis // TTFT as measured by the agent; 0 if not known
}

// Grant assigns an item to a node.
type Grant struct {
	Item     uint64
	Node     ident.Node
	Hedge    bool // a second attempt while the first one runs
	Short    bool // the item may use a slot reserved for short work
	Priority int  // priority at the engine; higher values run first
}

// Refusal reports that a waiting item is refused.
type Refusal struct {
	Item uint64
	Err  error
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Served   Outcome = iota // with a complete answer
	Canceled                // by the caller, or because another attempt finished first
	Refused                 // by the agent, as not run
	Failed                  // the agent or its server failed or did not answer
)

// Result is the outcome of an attempt.
type Result struct {
	Outcome    Outcome
	RetryAfter clock.Millis // with Refused: the wait that the agent asks for
}

// locality is where a server runs in relation to the entry.
type locality uint8

const (
	sameZone locality = iota
	sameRegion
	otherRegion
	localityCount
)

func (p Policy) locality(s Server) locality {
	switch {
	case p.Region == "" || s.Zone == p.Zone:
		return sameZone
	case s.Region == p.Region:
		return sameRegion
	}
	return otherRegion
}
