package agent

import (
	"go.opentelemetry.io/otel/metric"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/meter"
)

// Ready returns nil if the agent admits work, and the reason otherwise.
func (a *Agent) Ready() error {
	a.mu.Lock()
	leaving := a.isLeaving()
	a.mu.Unlock()
	switch {
	case leaving:
		return fault.New(fault.Leaving, "agent "+string(a.p.Node)+" is leaving")
	case a.status.Load().Boot == 0:
		return fault.New(fault.NotReady, "the backend server beside agent "+string(a.p.Node)+" does not answer")
	}
	return nil
}

// registerGauges registers the metrics of the agent.
func (a *Agent) registerGauges(m metric.Meter) error {
	return meter.RegisterGauges(m, []meter.Gauge{
		meter.NewGauge("jujuberamp.agent.running", "work in progress", func() int64 { return int64(a.newReport().Running) }),
		meter.NewGauge("jujuberamp.agent.kept", "answers kept, running ones included", a.keptJobs),
		meter.NewGauge("jujuberamp.agent.version", "version of the weights loaded", func() int64 { return int64(a.status.Load().Version) }),
		meter.NewGauge("jujuberamp.agent.crashes", "crashes of the backend server remembered", func() int64 { return int64(a.crashes.total.Load()) }),
		meter.NewGauge("jujuberamp.agent.inner.bytes", "bytes exchanged with other nodes, both directions", a.InnerBytes),
		meter.NewGauge("jujuberamp.agent.config.offset", "log offset of the configuration known", func() int64 { return a.config.Load().Offset }),
	})
}

func (a *Agent) keptJobs() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.jobs))
}

// InnerBytes returns the bytes exchanged with other nodes in both directions.
func (a *Agent) InnerBytes() int64 { return a.server.Bytes() + a.pool.Bytes() }

// ConfigOffset returns the log offset of the newest configuration that the
// agent has received.
func (a *Agent) ConfigOffset() ident.Offset { return ident.Offset(a.config.Load().Offset) }
