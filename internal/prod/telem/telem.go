// Package telem sets up the logs and metrics of a process.
//
// # Usage
//
//	log := telem.Logger(os.Stderr, "info", "entry")
//	m, err := telem.NewMetrics()
//	http.Handle("/metrics", m.Handler())
//
// Each log line carries the fixed prefix of its part in the field "part", so
// that one part can be followed with a text search.
package telem

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Lines of several processes are compared by their time, so it has milliseconds.
func init() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" }

// NewLogger returns the log of one program at a level; an unknown level is info.
// The parts of a program add their prefix.
func NewLogger(w io.Writer, level, program string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("program", program).Logger()
}

// Bounds of a log, in lines a second. The first is twice the lines of a node
// that takes ten times its share of the requests of docs/CAPACITY.md.
const (
	lines    = 400
	warnings = 100
)

// RateLimited returns a log that drops the lines beyond a rate and tells of each
// one dropped. Warnings have a rate of their own, so that requests don't
// displace them.
func RateLimited(l zerolog.Logger, dropped func()) zerolog.Logger {
	return l.Sample(&bound{
		lines:    zerolog.BurstSampler{Burst: lines, Period: time.Second},
		warnings: zerolog.BurstSampler{Burst: warnings, Period: time.Second},
		dropped:  dropped,
	})
}

type bound struct {
	lines    zerolog.BurstSampler
	warnings zerolog.BurstSampler
	dropped  func()
}

// Sample implements [zerolog.Sampler].
func (b *bound) Sample(l zerolog.Level) bool {
	rate := &b.lines
	if l >= zerolog.WarnLevel {
		rate = &b.warnings
	}
	if rate.Sample(l) {
		return true
	}
	b.dropped()
	return false
}

// Metrics are the metrics of one process.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() (*Metrics, error) {
	reg := prometheus.NewRegistry()
	exp, err := otelprom.New(otelprom.WithRegisterer(reg))
	if err != nil {
		return nil, errors.Wrap(err, "metrics exporter")
	}
	return &Metrics{registry: reg, provider: sdk.NewMeterProvider(sdk.WithReader(exp))}, nil
}

// Meter returns the source of a part's instruments.
func (m *Metrics) Meter(part string) metric.Meter { return m.provider.Meter("jujuberamp/" + part) }

// ProbeHandler serves /metrics, /healthz and /readyz of a process that serves nothing
// else over HTTP.
func (m *Metrics) ProbeHandler(ready func() error) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// Handler serves the metrics as Prometheus text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
