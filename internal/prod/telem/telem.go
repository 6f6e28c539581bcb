// Package telem sets up the logs and metrics of a process.
//
// # Usage
//
//	log := telem.NewLogger(os.Stderr, "info", "entry")
//	m, err := telem.NewMetrics()
//	http.Handle("/metrics", m.Handler())
//
// Callers name their component in each log line, in the field "part" or as a prefix of
// the message, so that a text search finds the lines of one component.
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

// Timestamps have milliseconds, so that the lines of several processes can be put in
// order.
func init() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" }

// NewLogger returns a logger that adds the program's name to each line and drops lines
// below the level. An unknown level counts as info.
func NewLogger(w io.Writer, level, program string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("program", program).Logger()
}

// Rate limits of a log. maxLinesPerSecond is twice the rate at which a node writes lines
// when it serves ten times its share of the requests in docs/CAPACITY.md.
const (
	maxLinesPerSecond    = 400
	maxWarningsPerSecond = 100
)

// RateLimited returns a logger that drops lines beyond a rate and calls dropped for
// each of them. Warnings and errors have a separate rate, so that lines about requests
// don't displace them.
func RateLimited(l zerolog.Logger, dropped func()) zerolog.Logger {
	return l.Sample(&rateSampler{
		lines:    zerolog.BurstSampler{Burst: maxLinesPerSecond, Period: time.Second},
		warnings: zerolog.BurstSampler{Burst: maxWarningsPerSecond, Period: time.Second},
		dropped:  dropped,
	})
}

// rateSampler limits the rate of log lines.
type rateSampler struct {
	lines    zerolog.BurstSampler
	warnings zerolog.BurstSampler
	dropped  func()
}

// Sample implements [zerolog.Sampler].
func (b *rateSampler) Sample(level zerolog.Level) bool {
	sampler := &b.lines
	if level >= zerolog.WarnLevel {
		sampler = &b.warnings
	}
	if sampler.Sample(level) {
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

// Meter returns the meter with which a component creates its instruments.
func (m *Metrics) Meter(component string) metric.Meter {
	return m.provider.Meter("jujuberamp/" + component)
}

// ProbeHandler returns a handler of /metrics, /healthz and /readyz, for a process that
// serves nothing else over HTTP. The process is ready while ready returns nil.
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

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
