package entry

import (
	"math"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// A report is recorded in the trace if its token rate, service, version, slots or
// state differ from the last recorded report of its node, or if that report is at
// least traceReportInterval old.
const (
	traceReportInterval = clock.Second
	minRateChange       = 0.25 // relative change of the token rate that counts as a difference
)

// tracedReports holds the last recorded report of each node.
type tracedReports struct {
	mu        sync.Mutex
	last      map[ident.Node]trace.Event
	lastCrash map[ident.Node]string // ID of the newest recorded crash
}

// traceReport records an agent's report and its newest crash in the trace.
func (e *Entry) traceReport(a *wire.ReportArgs) {
	if e.p.Trace == nil {
		return
	}
	ev := trace.Event{
		At:               e.p.Clock.Now(),
		Kind:             trace.Report,
		Node:             ident.Node(a.Hello.Node),
		Zone:             ident.Zone(a.Zone),
		Region:           ident.Region(a.Region),
		Service:          ident.Service(a.Hosted.Service),
		Version:          ident.Version(a.Hosted.Version),
		Call:             a.Hosted.Call,
		Loading:          a.Hosted.Loading,
		Leaving:          a.Leaving,
		Running:          a.Running,
		Slots:            a.Slots,
		Rate:             math.Round(a.Rate),
		TimeToFirstToken: clock.Millis(a.First),
	}
	t := &e.traced
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last == nil {
		t.last = make(map[ident.Node]trace.Event)
		t.lastCrash = make(map[ident.Node]string)
	}
	if n := len(a.Crashes); n > 0 && a.Crashes[n-1].ID != t.lastCrash[ev.Node] {
		t.lastCrash[ev.Node] = a.Crashes[n-1].ID
		e.p.Trace.Record(crashEvent(ev, a.Crashes[n-1]))
	}
	if isWorthRecording(t.last[ev.Node], ev) {
		t.last[ev.Node] = ev
		e.p.Trace.Record(ev)
	}
}

func crashEvent(r trace.Event, c wire.Crash) trace.Event {
	ev := trace.Event{At: r.At, Kind: trace.Crash, Node: r.Node}
	for _, s := range c.Requests {
		ev.Suspects = append(ev.Suspects, ident.Request(s))
	}
	return ev
}

// isWorthRecording reports whether a report is recorded, given the last recorded
// one of its node.
func isWorthRecording(old, now trace.Event) bool {
	if now.At-old.At >= traceReportInterval || math.Abs(now.Rate-old.Rate) > minRateChange*old.Rate {
		return true
	}
	old.At, old.Running, old.Rate, old.TimeToFirstToken = now.At, now.Running, now.Rate, now.TimeToFirstToken
	return old.Service != now.Service || old.Version != now.Version || old.Loading != now.Loading ||
		old.Leaving != now.Leaving || old.Slots != now.Slots
}

func (e *Entry) traceEvent(ev trace.Event) {
	ev.At, ev.Node = e.p.Clock.Now(), e.p.Node
	e.p.Trace.Record(ev)
}

func (e *Entry) traceOpen(s round.Spec) {
	e.traceEvent(trace.Event{
		Kind:    trace.RoundOpen,
		Round:   s.ID,
		Class:   s.Class,
		Service: s.Model,
		Version: s.Version,
		Groups:  len(s.Prompts),
		Samples: s.SamplesPerGroup,
	})
}

// traceRead records a read that returned samples.
func (e *Entry) traceRead(id ident.Round, asked ident.Version, samples int) {
	if samples > 0 {
		e.traceEvent(trace.Event{Kind: trace.RoundRead, Round: id, Version: asked, Samples: samples})
	}
}
