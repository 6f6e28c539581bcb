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
	poisonCrashes = 2 // servers that a request crashed, to count as the cause
	poisonFor     = 5 * clock.Milli
)

// crashes finds the requests that crashed servers: suspects of crashes of
// several servers that never ended with an answer.
func (f *facts) crashes(t trace.Trace) {
	nodes := make(map[ident.Request]map[ident.Node]bool)
	works := make(map[uint64]ident.Request)
	answered := make(map[ident.Request]bool)
	for _, e := range t.Events {
		switch e.Kind {
		case trace.Arrive:
			works[e.WorkID] = e.Request
		case trace.Finish:
			answered[works[e.WorkID]] = answered[works[e.WorkID]] || e.Fault == ""
		case trace.Crash:
			for _, r := range e.Suspects {
				if nodes[r] == nil {
					nodes[r] = make(map[ident.Node]bool)
				}
				nodes[r][e.Node] = true
			}
		}
	}
	for r, ns := range nodes {
		f.poison[r] = len(ns) >= poisonCrashes && !answered[r]
	}
}

// recordedCrash plays a crash, unless a request caused it: that request causes
// it again where it runs now.
func (w *world) recordedCrash(e trace.Event) {
	for _, r := range e.Suspects {
		if w.facts.poison[r] {
			return
		}
	}
	if s, ok := w.servers[e.Node]; ok {
		w.crash(s)
	}
}

// crash ends all work on a server and tells the decision about crashes what
// ran there.
func (w *world) crash(s *server) {
	if s.down {
		return
	}
	s.down, s.loading = true, false
	c := crash.Crash{ID: fmt.Sprintf("%s/%d", s.node, s.boot)}
	runs := sortedRuns(s)
	for _, r := range runs {
		c.Requests = append(c.Requests, string(r.w.request))
	}
	w.crashes.Add(w.Now(), c)
	for _, r := range runs {
		s.core.Cancel(r.id())
		w.ended(r, match.Result{Outcome: match.Failed})
	}
}

// poison lets an attempt crash its server if its request does.
func (w *world) poison(r *run) {
	if !w.facts.poison[r.w.request] {
		return
	}
	w.After(poisonFor, func() {
		if r.s.jobs[r.id()] == r {
			r.w.crashed++
			w.crash(r.s)
		}
	})
}

// quarantine marks a piece of work as a suspect, and refuses it if it is in
// quarantine.
func (w *world) quarantine(wk *work) bool {
	id := string(wk.request)
	wk.item.CrashSuspect = w.crashes.IsSuspect(id)
	if !w.crashes.IsQuarantined(id) {
		return false
	}
	w.refuse(wk, fault.New(fault.Quarantined, "request "+id+" crashed several backend servers"))
	return true
}

func (r *Result) quarantined(o Outcome) (n int, broke *event) {
	crashes := make(map[ident.Request]int)
	for _, wk := range r.works {
		if !r.poison[wk.request] {
			continue
		}
		n++
		crashes[wk.request] += wk.crashed
		if crashes[wk.request] > o.MaxCrashes && broke == nil {
			broke = &event{r.stamp(wk.arrived), fmt.Sprintf("request %d of %s arrived, which crashed servers %d times", wk.item.ID, wk.class, crashes[wk.request])}
		}
	}
	return n, broke
}

func (r *Result) innocent(Outcome) (n int, broke *event) {
	for _, wk := range r.works {
		if r.poison[wk.request] {
			continue
		}
		n++
		if wk.refused == fault.Quarantined && broke == nil {
			broke = &event{r.stamp(wk.arrived), fmt.Sprintf("request %d of %s arrived and was quarantined without a crash of its own", wk.item.ID, wk.class)}
		}
	}
	return n, broke
}
