package agent

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

func (a *Agent) record(e trace.Event) {
	e.At = a.p.Clock.Now()
	a.p.Trace.Record(e)
}

// recordJob records a trace event of one attempt.
func (a *Agent) recordJob(k trace.Kind, m wire.Job, err error) {
	a.record(trace.Event{
		Kind:       k,
		Node:       a.p.Node,
		Class:      ident.Class(m.Class),
		Service:    ident.Service(m.Service),
		Request:    ident.Request(m.Request),
		Prefix:     trace.Hash(m.Prefix),
		TimeLeft:   clock.Millis(m.Left),
		Round:      ident.Round(m.Sample.Round),
		Ordinal:    m.Sample.Ordinal,
		MinVersion: ident.Version(m.Sample.Floor),
		Fault:      fault.KindOf(err),
	})
}

// recordAdmit records whether an attempt was admitted.
func (a *Agent) recordAdmit(m wire.Job, err error) {
	if err != nil {
		a.recordJob(trace.Refuse, m, err)
		return
	}
	a.recordJob(trace.Arrive, m, nil)
}

// recordOrder records the result of a load order.
func (a *Agent) recordOrder(o plat.Order, err error) {
	a.record(trace.Event{
		Kind:    trace.Swap,
		Node:    a.p.Node,
		Service: o.Model,
		Version: o.Version,
		Offset:  o.Fence,
		Fault:   fault.KindOf(err),
	})
}
