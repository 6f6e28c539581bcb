package demo

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// errBroken makes the exit status 1; the report has told the rest.
var errBroken = errors.New("a promise was broken or never tested; the report names it")

// Main runs the command line of the demonstration and returns the exit
// status.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var o Options
	cmd := &cobra.Command{
		Use:           "rampdemo",
		Short:         "Run a whole deployment on loopback and report which promises it kept",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			if err := o.check(); err != nil {
				return err
			}
			ok, err := Run(ctx, o, out)
			if ctx.Err() != nil {
				return errors.New("interrupted; run it again without the interrupt for a verdict")
			}
			if err == nil && !ok {
				return errBroken
			}
			return err
		},
	}
	f := cmd.Flags()
	f.IntVar(&o.Entries, "entries", 3, "entries, 1 to 20")
	f.IntVar(&o.Engines, "engines", 9, "model engines, 1 to 100")
	f.IntVar(&o.Apps, "apps", 3, "servers of the plain service, 1 to 50")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of all random choices")
	f.BoolVar(&o.Faults, "faults", false, "let engines, an entry, the log and answers fail meanwhile")
	f.StringVar(&o.Scenario, "scene", standardScene, "another load with its own faults: "+sceneNames())
	f.StringVar(&o.Trace, "trace", "", "file for the trace of all entries, which \"jujuberamp replay\" reads")
	f.BoolVar(&o.Verbose, "verbose", false, "print the nodes' logs")
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(errOut)
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(errOut, "rampdemo:", err)
		return 1
	}
	return 0
}

// limits of the flags.
const (
	maxEntries = 20
	maxEngines = 100
	maxApps    = 50
)

func (o Options) check() error {
	for _, f := range []struct {
		name      string
		got, most int
	}{
		{"--entries", o.Entries, maxEntries},
		{"--engines", o.Engines, maxEngines},
		{"--apps", o.Apps, maxApps},
	} {
		if f.got < 1 || f.got > f.most {
			return errors.Errorf("%s %d is out of range; give a number from 1 to %d", f.name, f.got, f.most)
		}
	}
	return o.checkScene()
}
