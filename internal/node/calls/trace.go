package calls

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

// Do runs the work to a whole answer or an error. What sink received is a
// prefix of the answer; after an error the answer holds that prefix.
func (c *Dispatcher) Do(ctx context.Context, w Work, sink Sink) (Answer, error) {
	began := c.p.Clock.Now()
	work := c.recordArrival(began, w)
	ans, err := c.run(ctx, w, sink)
	c.recordEnd(began, work, w, ans, err)
	return ans, err
}

// recordArrival writes the arrival of a piece of work and returns its name in
// the trace.
func (c *Dispatcher) recordArrival(now clock.Millis, w Work) uint64 {
	if c.p.Trace == nil {
		return 0
	}
	e := trace.Event{
		At:         now,
		Kind:       trace.Arrive,
		WorkID:     c.p.Trace.NextWork(),
		Node:       c.p.Node,
		Class:      w.Class.Name(),
		Service:    w.Class.Service(),
		Request:    ident.Request(crash.Fingerprint(w.Class.Name(), w.Body)), // as suspects of a crash are named
		Prefix:     trace.Hash(w.Prefix),
		Round:      ident.Round(w.Sample.Round),
		Ordinal:    w.Sample.Ordinal,
		MinVersion: ident.Version(w.Sample.Floor),
	}
	if w.Deadline > 0 {
		e.TimeLeft = max(1, w.Deadline-now)
	}
	c.p.Trace.Record(e)
	return e.WorkID
}

// recordEnd writes how a piece of work ended.
func (c *Dispatcher) recordEnd(began clock.Millis, work uint64, w Work, ans Answer, err error) {
	now := c.p.Clock.Now()
	e := trace.Event{
		At:     now,
		Kind:   trace.Finish,
		WorkID: work,
		Class:  w.Class.Name(),
		Node:   ans.Node,
		Tokens: len(ans.Tokens),
		Took:   now - began,
	}
	if f, ok := fault.As(err); ok {
		e.Fault = f.Kind()
		if f.Outcome() == fault.NotRun {
			e.Kind = trace.Refuse
		}
	}
	c.p.Trace.Record(e)
}

// recordGrant writes which server the matcher chose.
func (c *Dispatcher) recordGrant(now clock.Millis, g match.Grant) {
	c.p.Trace.Record(trace.Event{At: now, Kind: trace.Grant, ItemID: g.Item, Node: g.Node})
}
