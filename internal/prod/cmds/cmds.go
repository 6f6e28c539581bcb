// Package cmds implements the command line of jujuberamp: the commands that run
// an entry or an agent, and the commands for operators.
//
// # Usage
//
//	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// Run returns 0 on success. After an error it prints the error with its remedy
// and returns 1.
package cmds

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

// Run executes one command line and returns the exit status.
func Run(args []string, out, errOut io.Writer) int {
	root := &cobra.Command{
		Use:           "jujuberamp",
		Short:         "Rollout service for reinforcement learning",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(entryCmd(), agentCmd(), checkCmd(), planCmd(), applyCmd(), showCmd(), auditCmd(),
		statusCmd(), explainCmd(), quarantineCmd(), replayCmd(), siteCmd())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(errOut, "jujuberamp:", err)
		if _, ok := fault.As(err); !ok && !errors.Is(err, errOutcomeViolated) {
			fmt.Fprintln(errOut, "See \"jujuberamp --help\".")
		}
		return 1
	}
	return 0
}

// oneArg returns a check that a command has exactly one argument. The error
// describes the argument with what.
func oneArg(what string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) == 1 {
			return nil
		}
		return errors.Errorf("give %s and nothing else: %s", what, cmd.UseLine())
	}
}
