package entry

import (
	"go.opentelemetry.io/otel/metric"

	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/edge/meter"
)

// registerGauges registers the metrics of the entry. The values are computed
// when the metrics are read, so requests have no extra cost.
func (e *Entry) registerGauges(m metric.Meter) error {
	return meter.RegisterGauges(m, []meter.Gauge{
		meter.NewGauge("jujuberamp.entry.waiting", "work that waits for a server", e.waitingItems),
		meter.NewGauge("jujuberamp.entry.granted", "attempts sent to agents, without hedges", e.countGauge(func(c match.Counts) int { return c.Granted })),
		meter.NewGauge("jujuberamp.entry.hedged", "second attempts beside a slow first one", e.countGauge(func(c match.Counts) int { return c.Hedged })),
		meter.NewGauge("jujuberamp.entry.retried", "further attempts after a failure", e.countGauge(func(c match.Counts) int { return c.Retried })),
		meter.NewGauge("jujuberamp.entry.shed", "requests refused on arrival", e.countGauge(func(c match.Counts) int { return c.Shed })),
		meter.NewGauge("jujuberamp.entry.expired", "requests refused after waiting", e.countGauge(func(c match.Counts) int { return c.Expired })),
		meter.NewGauge("jujuberamp.entry.slow", "backend servers that get probes only", e.slowServers),
		meter.NewGauge("jujuberamp.entry.agents", "agents heard of", e.knownAgentCount),
		meter.NewGauge("jujuberamp.entry.inner.bytes", "bytes exchanged with other nodes, both directions", e.InnerBytes),
		meter.NewGauge("jujuberamp.entry.config.offset", "log offset of the configuration in force", func() int64 { return int64(e.config.State().Offset()) }),
		meter.NewGauge("jujuberamp.entry.config.age", "ms since the configuration was known to be the newest, -1 for never", e.configAge),
		meter.NewGauge("jujuberamp.entry.moves", "placement moves that this entry ordered", e.plans.Moves),
		meter.NewGauge("jujuberamp.entry.peers", "entries that take work", func() int64 { return int64(len(e.peers.View().Entries())) }),
	})
}

func (e *Entry) waitingItems() (n int64) {
	e.calls.WithMatcher(func(m *match.Matcher) { n = int64(m.Waiting()) })
	return n
}

func (e *Entry) knownAgentCount() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return int64(len(e.reports))
}

// InnerBytes returns the bytes exchanged with other nodes in both directions.
func (e *Entry) InnerBytes() int64 { return e.server.Bytes() + e.pool.Bytes() }

// countGauge returns a function that reads one of the matcher's counts.
func (e *Entry) countGauge(count func(match.Counts) int) func() int64 {
	return func() (n int64) {
		e.calls.WithMatcher(func(m *match.Matcher) { n = int64(count(m.Counts())) })
		return n
	}
}

// slowServers returns the number of servers that count as slow.
func (e *Entry) slowServers() (n int64) {
	e.calls.WithMatcher(func(m *match.Matcher) {
		for _, h := range m.Health() {
			if h.Slow {
				n++
			}
		}
	})
	return n
}
