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

// Do executes the work and returns its complete answer or an error. The tokens
// passed to sink are a prefix of the answer; with an error, the returned answer
// contains that prefix.
func (d *Dispatcher) Do(ctx context.Context, w Work, sink Sink) (Answer, error) {
	startedAt := d.params.Clock.Now()
	workID := d.recordArrival(startedAt, w)
	ans, err := d.runRequest(ctx, w, sink)
	d.recordEnd(startedAt, workID, w, ans, err)
	return ans, err
}

// recordArrival records the arrival of work and returns its ID in the trace.
func (d *Dispatcher) recordArrival(now clock.Millis, w Work) uint64 {
	if d.params.Trace == nil {
		return 0
	}
	e := trace.Event{
		At:      now,
		Kind:    trace.Arrive,
		WorkID:  d.params.Trace.NextWorkID(),
		Node:    d.params.Node,
		Class:   w.Class.Name(),
		Service: w.Class.Service(),
		// The ID under which crash suspects are recorded.
		Request:    ident.Request(crash.Fingerprint(w.Class.Name(), w.Body)),
		Prefix:     trace.Hash(w.Prefix),
		Round:      ident.Round(w.Sample.Round),
		Ordinal:    w.Sample.Ordinal,
		MinVersion: ident.Version(w.Sample.Floor),
	}
	if w.Deadline > 0 {
		e.TimeLeft = max(1, w.Deadline-now)
	}
	d.params.Trace.Record(e)
	return e.WorkID
}

// recordEnd records the result of work.
func (d *Dispatcher) recordEnd(startedAt clock.Millis, workID uint64, w Work, ans Answer, err error) {
	now := d.params.Clock.Now()
	e := trace.Event{
		At:     now,
		Kind:   trace.Finish,
		WorkID: workID,
		Class:  w.Class.Name(),
		Node:   ans.Node,
		Tokens: len(ans.Tokens),
		Took:   now - startedAt,
	}
	if f, ok := fault.As(err); ok {
		e.Fault = f.Kind()
		if f.Outcome() == fault.NotRun {
			e.Kind = trace.Refuse
		}
	}
	d.params.Trace.Record(e)
}

// recordGrant records which server the matcher chose.
func (d *Dispatcher) recordGrant(now clock.Millis, g match.Grant) {
	d.params.Trace.Record(trace.Event{At: now, Kind: trace.Grant, ItemID: g.Item, Node: g.Node})
}
