// Package replay plays a trace against the product's own decisions in virtual
// time and judges the result by stated outcomes.
//
// What came from outside is taken from the trace: arrivals with the length of
// their answers, rounds, new weights, the configuration, crashes, which agents
// were heard, and how fast their servers were. What the system decides is
// decided again: which server runs what, when weights are loaded, which
// samples are handed over. A trainer opens its next round as long after the
// last one as it did in the trace.
//
// What is not modelled: the network, scoring services, and the moment
// at which a crash takes place within a report's interval. A request that was a
// suspect of crashes of several servers and never ended with an answer counts as
// their cause: it crashes the servers on which it runs now.
//
// # Usage
//
//	t, err := trace.Read(file)
//	want, err := replay.ReadOutcomes("outcomes.toml")
//	res, err := replay.Run(t, replay.Options{Decisions: replay.Product()})
//	for _, v := range res.Judge(want) { fmt.Println(v) }
package replay

import (
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

// Options select what a trace is played against.
type Options struct {
	Decisions Decisions
	Classes   []class.Class // other targets; nil for those in the trace
}

// Result is what a replay observed.
type Result struct {
	Duration clock.Millis  // of virtual time
	WallTime time.Duration // of real time
	shift    clock.Millis  // from virtual time to the instants of the trace
	works    []*work       // callers' work in order of arrival
	rounds   []*player     // in order of opening
	given    []given       // samples handed over, in order
	grants   []granted
	swaps    []swapped
	config   []standing
	claims   []claimed
	poison   map[ident.Request]bool
	dark     []event // moments at which a zone had no server left
}

// event is what a replay saw at an instant of the trace.
type event struct {
	at   clock.Millis
	what string
}

// granted is one grant and what was known of its node.
type granted struct {
	at      clock.Millis
	work    *work // nil for a sample
	node    ident.Node
	left    clock.Millis // instant at which the node said that it leaves, 0 if it did not
	heard   clock.Millis // instant of its last report
	bounced bool         // the agent had no free slot
}

// given is one sample handed over.
type given struct {
	at      clock.Millis
	round   *player
	ordinal int
	asked   ident.Version
	oldest  ident.Version // by the server's own record
	bound   ident.Version
}

// swapped is one announced version and when the last server held it.
type swapped struct {
	at      clock.Millis
	service ident.Service
	version ident.Version
	done    clock.Millis // 0 if some server never held it, nor a newer one
}

// standing is one look at the configuration after a record.
type standing struct {
	at      clock.Millis
	offset  ident.Offset
	class   ident.Class // of an accepted change
	missing bool        // the accepted change, or an older one, is not in force
	fell    bool        // the offset is lower than before
}

// Run plays a trace to its end.
func Run(t trace.Trace, o Options) (*Result, error) {
	if t.Header.Role == "agent" {
		return nil, fault.New(fault.BadTrace, "this is the trace of an agent, which holds no arrivals; replay the trace of an entry")
	}
	if len(t.Events) == 0 {
		return nil, fault.New(fault.BadTrace, "the trace holds no event")
	}
	began := time.Now()
	w := newWorld(t, o)
	w.play()
	w.res.WallTime = time.Since(began)
	w.res.Duration = w.Now() - w.start
	return w.res, nil
}

// Speed returns how many times faster than real time the replay was.
func (r *Result) Speed() float64 {
	return r.Duration.Seconds() / max(r.WallTime.Seconds(), 1e-9)
}
