// Package meter is a go-kit middleware that records the number and duration of calls
// with OpenTelemetry instruments.
//
// # Usage
//
//	m, err := meter.New(metrics.Meter("entry"))
//	ep = m.Wrap("requests")(ep)
//
// The counter jujuberamp.calls and the histogram jujuberamp.call.duration, in seconds,
// have the name of the call and the kind of its fault ("ok" for none) as attributes.
// The code that writes a streamed answer calls [Meter.Record] itself, since the
// endpoint returns before the answer is complete.
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
	calls    metric.Int64Counter
	duration metric.Float64Histogram // in seconds
}

// New creates the instruments.
func New(m metric.Meter) (*Meter, error) {
	calls, err := m.Int64Counter("jujuberamp.calls", metric.WithDescription("calls by name and kind of fault"))
	if err != nil {
		return nil, errors.Wrap(err, "create counter")
	}
	duration, err := m.Float64Histogram("jujuberamp.call.duration", metric.WithUnit("s"),
		metric.WithDescription("time from the call to the whole answer"))
	return &Meter{calls: calls, duration: duration}, errors.Wrap(err, "create histogram")
}

// Wrap returns a middleware that records the calls of an endpoint under a name.
func (m *Meter) Wrap(call string) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, in any) (any, error) {
			startedAt := time.Now()
			out, err := next(ctx, in)
			m.Record(ctx, call, startedAt, err)
			return out, err
		}
	}
}

// Record records one call that started at the given time and has just ended.
func (m *Meter) Record(ctx context.Context, call string, startedAt time.Time, err error) {
	attrs := metric.WithAttributes(attribute.String("call", call), attribute.String("kind", kindOf(err)))
	m.calls.Add(ctx, 1, attrs)
	m.duration.Record(ctx, time.Since(startedAt).Seconds(), attrs)
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

// Gauge is a value that is read only when the metrics are collected, so that it adds
// no cost to requests.
type Gauge struct {
	name        string
	description string
	read        func() int64
}

// NewGauge returns a gauge whose value is the result of read.
func NewGauge(name, description string, read func() int64) Gauge {
	return Gauge{name, description, read}
}

// RegisterGauges registers gauges with a meter.
func RegisterGauges(m metric.Meter, gs []Gauge) error {
	for _, g := range gs {
		_, err := m.Int64ObservableGauge(g.name, metric.WithDescription(g.description),
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
