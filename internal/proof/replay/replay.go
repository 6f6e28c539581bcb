// Package replay replays a recorded trace against the product's own decisions
// in virtual time and compares the result with expected outcomes.
//
// External events are taken from the trace: arrivals with the lengths of their
// answers, rounds, announced versions, configuration records, crashes, which
// agents sent reports, and how fast their servers were. The system's decisions
// are made again: which server runs a request, when weights are loaded, and
// which samples are delivered. A trainer opens its next round as long after
// the previous round as it did in the trace.
//
// The replay does not model the network, scoring services, or the moment of a
// crash within a report interval. A request that was a suspect in the crashes
// of several servers and never received an answer is treated as their cause:
// it crashes the servers on which it runs in the replay.
//
// # Usage
//
//	t, err := trace.Read(file)
//	want, err := replay.ReadOutcomes("outcomes.toml")
//	res, err := replay.Run(t, replay.Options{Decisions: replay.ProductDecisions()})
//	for _, v := range res.Evaluate(want) { fmt.Println(v) }
package replay

import (
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

// Options select the decisions and the classes that a trace is replayed with.
type Options struct {
	Decisions Decisions
	Classes   []class.Class // replace the classes of the trace; nil keeps those
}

// Result holds the observations of a replay.
type Result struct {
	Duration         clock.Millis     // virtual time
	WallTime         time.Duration    // real time
	traceShift       clock.Millis     // added to virtual time to get trace time
	requests         []*workItem      // callers' requests in order of arrival
	rounds           []*replayedRound // in order of opening
	deliveries       []delivery       // delivered samples in order
	grants           []grantRecord
	announcements    []announcement
	configChecks     []configCheck
	acceptedClaims   []acceptedClaim
	crashingRequests map[ident.Request]bool
	zoneOutages      []violation // moments at which a zone had no serving server
}

// violation is an event that violated an outcome, in trace time.
type violation struct {
	at          clock.Millis
	description string
}

// grantRecord is one grant with the state of its server at that moment.
type grantRecord struct {
	at           clock.Millis
	work         *workItem // nil for a sample of a round
	node         ident.Node
	leavingSince clock.Millis // moment of the first report with the leaving flag, 0 for none
	lastReport   clock.Millis // moment of the server's last report to the matcher
	rejected     bool         // the agent had no free slot
}

// delivery is one sample delivered to a trainer.
type delivery struct {
	at             clock.Millis
	round          *replayedRound
	ordinal        int
	roundVersion   ident.Version
	oldestVersion  ident.Version // the oldest version that generated tokens, by the server's own record
	stalenessBound ident.Version
}

// announcement is one announced version and the moment at which all servers
// had loaded it.
type announcement struct {
	announcedAt clock.Millis
	service     ident.Service
	version     ident.Version
	completedAt clock.Millis // 0 if some server never loaded this version or a newer one
}

// configCheck is the state of the configuration after one record.
type configCheck struct {
	at        clock.Millis
	offset    ident.Offset
	class     ident.Class // class of an accepted change, or the missing class
	missing   bool        // this change or an earlier accepted change is not in force
	decreased bool        // the offset is lower than before the record
}

// Run replays a trace to its end.
func Run(t trace.Trace, o Options) (*Result, error) {
	if t.Header.Role == "agent" {
		return nil, fault.New(fault.BadTrace, "this is the trace of an agent, which holds no arrivals; replay the trace of an entry")
	}
	if len(t.Events) == 0 {
		return nil, fault.New(fault.BadTrace, "the trace holds no event")
	}
	startedAt := time.Now()
	sim := newSimulation(t, o)
	sim.replay()
	sim.result.WallTime = time.Since(startedAt)
	sim.result.Duration = sim.Now() - sim.start
	return sim.result, nil
}

// Speed returns the ratio of virtual time to the real time that the replay
// took.
func (r *Result) Speed() float64 {
	return r.Duration.Seconds() / max(r.WallTime.Seconds(), 1e-9)
}
