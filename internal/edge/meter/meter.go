// Package meter counts and times the calls of an edge with OpenTelemetry
// instruments, as a go-kit middleware.
//
// # Usage
//
//	m, err := meter.New(metrics.Meter("entry"))
//	ep = m.Wrap("requests")(ep)
//
// Calls are counted in jujuberamp.calls by call and kind of fault ("ok" for
// none) and timed in jujuberamp.call.duration, in seconds. A streamed answer
// is counted by its writer with [Meter.Note], since its endpoint returns
// before the answer is whole.
package meter

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

// Meter holds the instruments of one process.
type Meter struct {
	calls metric.Int64Counter
	took  metric.Float64Histogram
}

// New creates the instruments.
func New(m metric.Meter) (*Meter, error) {
	calls, err := m.Int64Counter("jujuberamp.calls", metric.WithDescription("calls by name and kind of fault"))
	if err != nil {
		return nil, errors.Wrap(err, "create counter")
	}
	took, err := m.Float64Histogram("jujuberamp.call.duration", metric.WithUnit("s"),
		metric.WithDescription("time from the call to the whole answer"))
	return &Meter{calls: calls, took: took}, errors.Wrap(err, "create histogram")
}

// Wrap counts and times the calls of an endpoint.
func (m *Meter) Wrap(call string) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, in any) (any, error) {
			began := time.Now()
			out, err := next(ctx, in)
			m.Record(ctx, call, began, err)
			return out, err
		}
	}
}

// Record counts one call that began at an instant and ended now.
func (m *Meter) Record(ctx context.Context, call string, began time.Time, err error) {
	at := metric.WithAttributes(attribute.String("call", call), attribute.String("kind", kindOf(err)))
	m.calls.Add(ctx, 1, at)
	m.took.Record(ctx, time.Since(began).Seconds(), at)
}

func kindOf(err error) string {
	if err == nil {
		return "ok"
	}
	if f, ok := fault.As(err); ok {
		return string(f.Kind())
	}
	return string(fault.Internal)
}

// Gauge is a value that is read when the metrics are asked for, so that it
// costs a request nothing.
type Gauge struct {
	name string
	doc  string
	read func() int64
}

// NewGauge returns a gauge under a name, with a text for its reader.
func NewGauge(name, doc string, read func() int64) Gauge { return Gauge{name, doc, read} }

// RegisterGauges registers gauges.
func RegisterGauges(m metric.Meter, gs []Gauge) error {
	for _, g := range gs {
		_, err := m.Int64ObservableGauge(g.name, metric.WithDescription(g.doc),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(g.read())
				return nil
			}))
		if err != nil {
			return errors.Wrapf(err, "create gauge %s", g.name)
		}
	}
	return nil
}
