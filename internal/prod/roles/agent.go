package roles

import (
	"context"
	"io"
	"net/http"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/dial"
	"github.com/jujuberamp/jujuberamp/internal/inner/grant"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/relay"
	"github.com/jujuberamp/jujuberamp/internal/node/side"
	"github.com/jujuberamp/jujuberamp/platform"
)

// drainPollInterval is the interval at which a stopping agent checks whether its runs
// have ended.
const drainPollInterval = 50 * clock.Milli

// RunAgent runs the agent of the model engine on this VM until stop is closed. It then
// waits for the runs in progress, for at most drainShare of the grace period.
func RunAgent(stop <-chan struct{}, path string, out io.Writer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, err := start(ctx, "agent", path, out)
	if err != nil {
		return err
	}
	defer p.close()
	settings := p.settings.Load()
	if settings.EngineAddr == "" {
		return fault.New(fault.BadSetting, "the settings name no engine on this VM; run the agent only on VMs with an engine")
	}
	limiter := side.NewLoadLimiter(settings.Node, p.store, p.writer, p.clock, p.log)
	client := platform.NewBackendClient(dial.NewTransport(idleConnsPerServer, 0))
	agent := side.New(side.Params{
		Node: settings.Node, Incarnation: p.self.Boot, EngineAddr: settings.EngineAddr, EndBound: settings.EndBound, Conf: p.conf, Sender: client,
		DecodeEvents: platform.ReadEvents, EngineControl: client, LoadLimiter: limiter,
		Clock: p.clock, Log: p.log, Count: p.countEvent,
	})
	mux := http.NewServeMux()
	mux.Handle(relay.Prefix, relay.Handler(p.directStore, p.log))
	mux.Handle(runs.RunPath, agent)
	mux.Handle(grant.Path, grant.Handler(agent.Grant, p.log))
	mux.HandleFunc("GET "+runs.StatePath, agent.ServeState)
	if err := p.serveInner(mux); err != nil {
		return err
	}
	go p.conf.Run(ctx, p.store)
	go func() {
		// An earlier process on this node may have ended while it held the limiter.
		if err := limiter.Release(ctx); err != nil {
			p.log.Warn().Err(err).Msg("roles: load limiter not released at the start")
		}
		agent.ManageWeights(ctx)
	}()
	go agent.MonitorSpeed(ctx)

	<-stop
	p.log.Info().Int("running", agent.Running()).Msg("roles: stopping, no longer accepting runs")
	agent.StopAccepting()
	deadline := p.clock.Now() + clock.Millis(drainShare*float64(settings.GracePeriod))
	for agent.Running() > 0 && p.clock.Now() < deadline {
		clock.Sleep(ctx, drainPollInterval)
	}
	p.log.Info().Int("cut", agent.Running()).Msg("roles: stopped")
	return nil
}
