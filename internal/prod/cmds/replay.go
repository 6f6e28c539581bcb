package cmds

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/decl"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/proof/replay"
)

// errOutcomeViolated is returned after a report with a violated outcome. The
// report names the event, so Run adds no hint about the help text.
var errOutcomeViolated = errors.New("an outcome was broken; the report names the event")

func replayCmd() *cobra.Command {
	var expect, declare string
	cmd := &cobra.Command{
		Use:   "replay TRACE --expect OUTCOMES.toml",
		Short: "Replay a trace in virtual time and judge it by stated outcomes",
		Long: `Replay a trace against the decisions of this program, in virtual time, and
judge the result by stated outcomes. The exit status is 1 if one was broken.

An entry writes a trace when its setting trace-file is set; "rampdemo --trace"
writes one of all its entries. A trace may be compressed with gzip.

With --declare the declarations in a directory take the place of the targets in
the trace, which shows what other targets would have done.

The file of outcomes holds [[outcome]] tables with a name and the keys of that
outcome:

    [[outcome]]
    name = "lateness"
    class = "live-draft"
    quantile = 0.99
    at-most = "2s"

Outcomes, with their keys:
` + replay.Help(),
		Args: oneArg("the trace"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runReplay(cmd.OutOrStdout(), args[0], expect, declare)
		},
	}
	cmd.Flags().StringVar(&expect, "expect", "", "file of stated outcomes")
	cmd.Flags().StringVar(&declare, "declare", "", "directory of declarations with other targets")
	return cmd
}

func runReplay(w io.Writer, file, expect, declare string) error {
	var want []replay.Outcome
	var err error
	if expect != "" {
		if want, err = replay.ReadOutcomes(expect); err != nil {
			return err
		}
	}
	o := replay.Options{Decisions: replay.ProductDecisions()}
	if declare != "" {
		if o.Classes, err = decl.ReadDir(declare); err != nil {
			return err
		}
	}
	t, err := readTrace(file)
	if err != nil {
		return err
	}
	res, err := replay.Run(t, o)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "Replayed %d events of %s, %s of its time in %s: %.0f times faster.\n\n%s",
		len(t.Events), t.Header.Node, res.Duration, res.WallTime.Round(1000), res.Speed(), res.Summary())
	return printVerdicts(w, res.Evaluate(want))
}

func printVerdicts(w io.Writer, vs []replay.Verdict) error {
	passed := 0
	for i, v := range vs {
		if i == 0 {
			fmt.Fprintln(w)
		}
		fmt.Fprintln(w, v)
		if v.Passed {
			passed++
		}
	}
	if len(vs) > 0 {
		fmt.Fprintf(w, "outcomes kept: %d of %d\n", passed, len(vs))
	}
	if passed < len(vs) {
		return errOutcomeViolated
	}
	return nil
}

// gzipMagic holds the first bytes of a gzip file.
var gzipMagic = []byte{0x1f, 0x8b}

// readTrace reads a trace, which may be compressed with gzip.
func readTrace(file string) (trace.Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return trace.Trace{}, fault.Wrap(fault.NoFile, err, "trace can't be read")
	}
	defer func() { _ = f.Close() }()
	r := bufio.NewReader(f)
	if head, _ := r.Peek(len(gzipMagic)); bytes.Equal(head, gzipMagic) {
		z, err := gzip.NewReader(r)
		if err != nil {
			return trace.Trace{}, fault.Wrap(fault.BadTrace, err, "trace can't be unpacked")
		}
		t, err := trace.Read(z)
		return t, errors.WithMessage(err, file)
	}
	t, err := trace.Read(r)
	return t, errors.WithMessage(err, file)
}
