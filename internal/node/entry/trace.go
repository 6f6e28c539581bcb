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

// A report is written to the trace if it differs from the last one written of
// its node, and at least once in reportEvery.
const (
	reportEvery = clock.Second
	rateChange  = 0.25 // share of the rate that counts as a difference
)

// written remembers the last report of each node in the trace.
type written struct {
	mu   sync.Mutex
	last map[ident.Node]trace.Event
	seen map[ident.Node]string // newest crash
}

// recordReport writes an agent's report and the crashes that it tells of.
func (e *Entry) recordReport(a *wire.ReportArgs) {
	if e.p.Trace == nil {
		return
	}
	ev := trace.Event{
		At:          e.p.Clock.Now(),
		Kind:        trace.Report,
		Node:        ident.Node(a.Hello.Node),
		Zone:        ident.Zone(a.Zone),
		Region:      ident.Region(a.Region),
		Service:     ident.Service(a.Hosted.Service),
		Version:     ident.Version(a.Hosted.Version),
		Call:        a.Hosted.Call,
		Loading:     a.Hosted.Loading,
		Leaving:     a.Leaving,
		Running:     a.Running,
		Slots:       a.Slots,
		Rate:        math.Round(a.Rate),
		TimeToFirst: clock.Millis(a.First),
	}
	w := &e.written
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last == nil {
		w.last = make(map[ident.Node]trace.Event)
		w.seen = make(map[ident.Node]string)
	}
	if n := len(a.Crashes); n > 0 && a.Crashes[n-1].ID != w.seen[ev.Node] {
		w.seen[ev.Node] = a.Crashes[n-1].ID
		e.p.Trace.Record(crashOf(ev, a.Crashes[n-1]))
	}
	if differs(w.last[ev.Node], ev) {
		w.last[ev.Node] = ev
		e.p.Trace.Record(ev)
	}
}

func crashOf(r trace.Event, c wire.Crash) trace.Event {
	ev := trace.Event{At: r.At, Kind: trace.Crash, Node: r.Node}
	for _, s := range c.Requests {
		ev.Suspects = append(ev.Suspects, ident.Request(s))
	}
	return ev
}

// differs reports whether a report is worth a line after an older one.
func differs(old, now trace.Event) bool {
	if now.At-old.At >= reportEvery || math.Abs(now.Rate-old.Rate) > rateChange*old.Rate {
		return true
	}
	old.At, old.Running, old.Rate, old.TimeToFirst = now.At, now.Running, now.Rate, now.TimeToFirst
	return old.Service != now.Service || old.Version != now.Version || old.Loading != now.Loading ||
		old.Leaving != now.Leaving || old.Slots != now.Slots
}

func (e *Entry) record(ev trace.Event) {
	ev.At, ev.Node = e.p.Clock.Now(), e.p.Node
	e.p.Trace.Record(ev)
}

func (e *Entry) recordOpen(s round.Spec) {
	e.record(trace.Event{Kind: trace.RoundOpen, Round: s.ID, Class: s.Class, Service: s.Model, Version: s.Version, Groups: len(s.Prompts), Samples: s.SamplesPerGroup})
}

// recordRead writes a read that handed over samples.
func (e *Entry) recordRead(id ident.Round, asked ident.Version, samples int) {
	if samples > 0 {
		e.record(trace.Event{Kind: trace.RoundRead, Round: id, Version: asked, Samples: samples})
	}
}
