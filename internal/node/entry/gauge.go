package entry

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/metric"

	"github.com/jujuberamp/jujuberamp/internal/decide/match"
)

// gauges shows the state of the entry in its metrics. The values are read
// when the metrics are asked for, so that nothing is added to a request.
func (e *Entry) gauges(m metric.Meter) error {
	for _, g := range []struct {
		name, doc string
		read      func() int64
	}{
		{"jujuberamp.entry.waiting", "work that waits for a server", e.waiting},
		{"jujuberamp.entry.agents", "agents heard of", e.agents},
		{"jujuberamp.entry.config.offset", "log offset of the configuration in force", func() int64 { return int64(e.config.State().Offset()) }},
		{"jujuberamp.entry.config.age", "ms since the log was read to its end", func() int64 { return int64(e.p.Clock.Now() - e.config.Fresh()) }},
		{"jujuberamp.entry.moves", "placement moves that this entry ordered", e.plans.Moves},
		{"jujuberamp.entry.peers", "entries that take work", func() int64 { return int64(len(e.peers.View().Entries())) }},
	} {
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

func (e *Entry) waiting() (n int64) {
	e.calls.Servers(func(m *match.Matcher) { n = int64(m.Waiting()) })
	return n
}

func (e *Entry) agents() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return int64(len(e.nodes))
}
