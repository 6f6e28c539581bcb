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

// errGuaranteeViolated is returned if a guarantee was violated or never checked.
// The printed report names it.
var errGuaranteeViolated = errors.New("a promise was broken or never tested; the report names it")

// Main runs the rampdemo command and returns its exit status.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var opts Options
	cmd := &cobra.Command{
		Use:           "rampdemo",
		Short:         "Run a whole deployment on loopback and report which promises it kept",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			if err := opts.check(); err != nil {
				return err
			}
			held, err := Run(ctx, opts, out)
			if ctx.Err() != nil {
				return errors.New("interrupted; run it again without the interrupt for a verdict")
			}
			if err == nil && !held {
				return errGuaranteeViolated
			}
			return err
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&opts.Entries, "entries", 3, "entries, 1 to 20")
	flags.IntVar(&opts.Engines, "engines", 9, "model engines, 1 to 100")
	flags.IntVar(&opts.Apps, "apps", 3, "servers of the plain service, 1 to 50")
	flags.Uint64Var(&opts.Seed, "seed", 1, "seed of all random choices")
	flags.BoolVar(&opts.Faults, "faults", false, "let engines, an entry, the log and answers fail meanwhile")
	flags.StringVar(&opts.Scene, "scene", defaultScene, "another load with its own faults: "+sceneNames())
	flags.StringVar(&opts.Trace, "trace", "", "file for the trace of all entries, which \"jujuberamp replay\" reads")
	flags.BoolVar(&opts.Verbose, "verbose", false, "print the nodes' logs")
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(errOut)
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(errOut, "rampdemo:", err)
		return 1
	}
	return 0
}

// Upper limits of the flags.
const (
	maxEntries = 20
	maxEngines = 100
	maxApps    = 50
)

// check returns an error if a flag is out of range or the scene is unknown.
func (o Options) check() error {
	for _, f := range []struct {
		name         string
		value, limit int
	}{
		{"--entries", o.Entries, maxEntries},
		{"--engines", o.Engines, maxEngines},
		{"--apps", o.Apps, maxApps},
	} {
		if f.value < 1 || f.value > f.limit {
			return errors.Errorf("%s %d is out of range; give a number from 1 to %d", f.name, f.value, f.limit)
		}
	}
	return o.checkScene()
}
