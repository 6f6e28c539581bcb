package roles

import (
	"context"
	"io"
	"net/http"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/dial"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/relay"
	"github.com/jujuberamp/jujuberamp/internal/node/side"
	"github.com/jujuberamp/jujuberamp/platform"
)

// lookEach is how often a stopping agent looks whether its runs have ended.
const lookEach = 50 * clock.Milli

// RunAgent runs the agent beside one model engine until a channel is closed, and
// then finishes what is in progress.
func RunAgent(stop <-chan struct{}, path string, out io.Writer) error {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	b, err := start(ctx, "agent", path, out)
	if err != nil {
		return err
	}
	defer b.close()
	boot := b.boot.Load()
	if boot.EngineAddr == "" {
		return fault.New(fault.BadSetting, "the settings name no engine on this VM; run the agent beside an engine only")
	}
	loads := side.NewLoadLimiter(boot.Node, b.store, b.writer, b.clock, b.log)
	engines := platform.NewBackendClient(dial.NewTransport(engineConns, 0))
	a := side.New(side.Params{
		Node: boot.Node, EngineAddr: boot.EngineAddr, Conf: b.conf, Sender: engines, DecodeEvents: platform.ReadEvents, EngineControl: engines,
		LoadLimiter: loads,
		Clock:       b.clock, Log: b.log, Count: b.count,
	})
	mux := http.NewServeMux()
	mux.Handle(relay.Prefix, relay.Handler(b.direct, b.log))
	mux.Handle(runs.RunPath, a)
	mux.HandleFunc("GET "+runs.StatePath, a.ServeState)
	if err := b.serveInner(mux); err != nil {
		return err
	}
	go b.conf.Run(ctx, b.store)
	go func() {
		// What an earlier process was in for is over.
		if err := loads.Release(ctx); err != nil {
			b.log.Warn().Err(err).Msg("roles: the start is not told to the gate for loads")
		}
		a.ManageWeights(ctx)
	}()
	go a.MonitorPace(ctx)

	<-stop
	b.log.Info().Int("running", a.Running()).Msg("roles: stopping, no more runs")
	a.StopAccepting()
	over := b.clock.Now() + clock.Millis(drainShare*float64(boot.GracePeriod))
	for a.Running() > 0 && b.clock.Now() < over {
		clock.Sleep(ctx, lookEach)
	}
	b.log.Info().Int("cut", a.Running()).Msg("roles: stopped")
	return nil
}
