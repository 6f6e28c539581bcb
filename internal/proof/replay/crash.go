package replay

import (
	"fmt"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

const (
	minCrashedServers = 2               // crashes of fewer servers do not prove that a request caused them
	crashDelay        = 5 * clock.Milli // from the start of a crashing request to the crash
)

// findCrashingRequests finds the requests that crashed servers: those that were
// suspects in crashes of several servers and never received an answer.
func (info *traceInfo) findCrashingRequests(t trace.Trace) {
	crashedBy := make(map[ident.Request]map[ident.Node]bool)
	requests := make(map[uint64]ident.Request)
	answered := make(map[ident.Request]bool)
	for _, e := range t.Events {
		switch e.Kind {
		case trace.Arrive:
			requests[e.WorkID] = e.Request
		case trace.Finish:
			answered[requests[e.WorkID]] = answered[requests[e.WorkID]] || e.Fault == ""
		case trace.Crash:
			for _, r := range e.Suspects {
				if crashedBy[r] == nil {
					crashedBy[r] = make(map[ident.Node]bool)
				}
				crashedBy[r][e.Node] = true
			}
		}
	}
	for r, crashed := range crashedBy {
		info.crashingRequests[r] = len(crashed) >= minCrashedServers && !answered[r]
	}
}

// handleCrash replays a recorded crash, unless a crashing request caused it:
// such a request crashes the servers on which it runs in the replay.
func (sim *simulation) handleCrash(e trace.Event) {
	for _, r := range e.Suspects {
		if sim.info.crashingRequests[r] {
			return
		}
	}
	if s, ok := sim.servers[e.Node]; ok {
		sim.crash(s)
	}
}

// crash ends all attempts on a server and passes their requests to the crash
// decision.
func (sim *simulation) crash(s *server) {
	if s.down {
		return
	}
	s.down, s.loading = true, false
	c := crash.Crash{ID: fmt.Sprintf("%s/%d", s.node, s.incarnation)}
	attempts := sortedAttempts(s)
	for _, a := range attempts {
		c.Requests = append(c.Requests, string(a.work.request))
	}
	sim.crashes.Add(sim.Now(), c)
	for _, a := range attempts {
		s.engine.Cancel(a.id())
		sim.finishAttempt(a, match.Result{Outcome: match.Failed})
	}
}

// scheduleCrash schedules the crash of an attempt's server if the attempt's
// request is a crashing request.
func (sim *simulation) scheduleCrash(a *attempt) {
	if !sim.info.crashingRequests[a.work.request] {
		return
	}
	sim.After(crashDelay, func() {
		if a.server.attempts[a.id()] == a {
			a.work.crashedServers++
			sim.crash(a.server)
		}
	})
}

// checkQuarantine marks work as a crash suspect if its request is one. It fails
// the work and returns true if its request is quarantined.
func (sim *simulation) checkQuarantine(work *workItem) bool {
	id := string(work.request)
	work.item.CrashSuspect = sim.crashes.IsSuspect(id)
	if !sim.crashes.IsQuarantined(id) {
		return false
	}
	sim.fail(work, fault.New(fault.Quarantined, "request "+id+" crashed several backend servers"))
	return true
}

// quarantined checks that no crashing request crashed more servers than allowed.
func (r *Result) quarantined(o Outcome) (n int, found *violation) {
	crashes := make(map[ident.Request]int)
	for _, work := range r.requests {
		if !r.crashingRequests[work.request] {
			continue
		}
		n++
		crashes[work.request] += work.crashedServers
		if crashes[work.request] > o.MaxCrashes && found == nil {
			found = &violation{r.traceTime(work.arrivedAt), fmt.Sprintf("request %d of %s arrived, which crashed servers %d times", work.item.ID, work.class, crashes[work.request])}
		}
	}
	return n, found
}

// innocent checks that only crashing requests were quarantined.
func (r *Result) innocent(Outcome) (n int, found *violation) {
	for _, work := range r.requests {
		if r.crashingRequests[work.request] {
			continue
		}
		n++
		if work.failure == fault.Quarantined && found == nil {
			found = &violation{r.traceTime(work.arrivedAt), fmt.Sprintf("request %d of %s arrived and was quarantined without a crash of its own", work.item.ID, work.class)}
		}
	}
	return n, found
}
