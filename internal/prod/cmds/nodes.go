package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
	"github.com/jujuberamp/jujuberamp/internal/edge/client"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/node/agent"
	"github.com/jujuberamp/jujuberamp/internal/node/entry"
	"github.com/jujuberamp/jujuberamp/internal/prod/setup"
	"github.com/jujuberamp/jujuberamp/internal/prod/telem"
)

// node is an entry or an agent, which serves until it is shut down.
type node interface {
	Run(ctx context.Context)
	Shutdown(ctx context.Context) error
}

// nodeCmd returns the command that runs a node of a role.
func nodeCmd(role setup.Role, short string, build func(*setup.Settings, zerolog.Logger) (node, error)) *cobra.Command {
	var file string
	var printSettings bool
	cmd := &cobra.Command{
		Use:   string(role) + " --settings FILE",
		Short: short,
		Long:  short + ".\n\nSettings:\n" + setup.Help(role),
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := setup.Load(file, role)
			if err != nil {
				return err
			}
			if printSettings {
				fmt.Fprint(cmd.OutOrStdout(), s.Format())
				return nil
			}
			log := telem.NewLogger(cmd.ErrOrStderr(), s.LogLevel(), string(role))
			n, err := build(s, log)
			if err != nil {
				return err
			}
			return serve(n, s.DrainTimeout()+s.DrainDelay(), log)
		},
	}
	cmd.Flags().StringVar(&file, "settings", string(role)+".toml", "settings file")
	cmd.Flags().BoolVar(&printSettings, "print-settings", false, "print the settings in force and exit")
	return cmd
}

// serve runs a node until an interrupt or a termination signal, then shuts it
// down. The shutdown waits up to a timeout for requests in progress.
func serve(n node, shutdownTimeout clock.Millis, log zerolog.Logger) error {
	sig, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	go n.Run(runCtx)
	log.Info().Msg("cmds: started")
	<-sig.Done()
	stop() // A second signal ends the process at once.
	log.Info().Msg("cmds: shutting down")
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout.Duration())
	defer cancel()
	return n.Shutdown(ctx)
}

func entryCmd() *cobra.Command {
	return nodeCmd(setup.RoleEntry, "Run an entry, which callers, trainers and operators reach", buildEntry)
}

func buildEntry(s *setup.Settings, log zerolog.Logger) (node, error) {
	m, err := telem.NewMetrics()
	if err != nil {
		return nil, err
	}
	rec, err := openTrace(s, setup.RoleEntry)
	if err != nil {
		return nil, err
	}
	policy := match.DefaultPolicy()
	policy.LivenessTimeout = s.LivenessTimeout()
	policy.Seed = uint64(ident.NewIncarnation()) // Entries must not all choose the same servers.
	e, err := entry.New(entry.Params{
		Node:             s.Node(),
		Zone:             s.Zone(),
		Region:           s.Region(),
		HTTPAddr:         s.HTTPListen(),
		InnerAddr:        s.InnerListen(),
		Key:              s.InnerKey(),
		Tokens:           s.Tokens(),
		PollInterval:     s.VMPollInterval(),
		DrainDelay:       s.DrainDelay(),
		MaxConfigAge:     s.MaxConfigAge(),
		SnapshotInterval: s.SnapshotInterval(),
		AppendRate:       s.LogAppendRate(),
		CrossRegionRate:  s.CrossRegionRate(),
		Roster:           roster.Policy{LivenessTimeout: s.LivenessTimeout(), Fanout: s.PeerFanout()},
		Policy:           policy,
		Swap:             swap.DefaultPolicy(),
		Clock:            clock.NewSystem(),
		Log:              log,
		Meter:            m.Meter("entry"),
		Metrics:          m.Handler(),
		Trace:            rec,
		Source:           client.NewLog(s.LogURL()),
		VMs:              client.NewVMs(s.VMsURL()),
		Scorer:           scorerLookup(s),
	})
	return tracedNode{e, rec}, errors.Wrap(err, "start entry")
}

// scorerLookup returns a function that returns the client of a scoring service.
func scorerLookup(s *setup.Settings) func(ident.Service) (plat.Scorer, error) {
	return func(n ident.Service) (plat.Scorer, error) {
		u, ok := s.Scorer(n)
		if !ok {
			return nil, fault.New(fault.NotFound, "scoring service "+string(n)+" has no [[scorer]] table in the settings")
		}
		return client.NewScorer(u), nil
	}
}

func agentCmd() *cobra.Command {
	return nodeCmd(setup.RoleAgent, "Run the agent beside one backend server", buildAgent)
}

func buildAgent(s *setup.Settings, log zerolog.Logger) (node, error) {
	m, err := telem.NewMetrics()
	if err != nil {
		return nil, err
	}
	rec, err := openTrace(s, setup.RoleAgent)
	if err != nil {
		return nil, err
	}
	p := agent.Params{
		Trace:           rec,
		Node:            s.Node(),
		Zone:            s.Zone(),
		Region:          s.Region(),
		InnerAddr:       s.InnerListen(),
		Key:             s.InnerKey(),
		Slots:           s.Slots(),
		Service:         s.PlainName(),
		ReportInterval:  s.ReportInterval(),
		PollInterval:    s.VMPollInterval(),
		ReportFanout:    s.ReportFanout(),
		AnswerRetention: s.AnswerRetention(),
		Clock:           clock.NewSystem(),
		Log:             log,
		Meter:           m.Meter("agent"),
		VMs:             client.NewVMs(s.VMsURL()),
	}
	if s.EngineURL() != "" {
		p.Engine = client.NewEngine(s.EngineURL())
		p.Weights = client.NewWeights(s.WeightsURL())
	} else {
		p.Plain = client.NewPlain(s.PlainURL())
	}
	a, err := agent.New(p)
	if err != nil {
		return nil, errors.WithMessage(err, "start agent")
	}
	ln, err := net.Listen("tcp", s.ProbeListen())
	if err != nil {
		a.Close()
		return nil, fault.Wrap(fault.BadSetting, err, "probe-listen")
	}
	srv := &http.Server{Handler: m.ProbeHandler(a.Ready), ReadHeaderTimeout: probeHeaderTimeout}
	go func() { _ = srv.Serve(ln) }() // Runs until the process exits.
	return a, nil
}

// probeHeaderTimeout limits the time in which a health probe must send its request
// header.
const probeHeaderTimeout = 5 * time.Second
