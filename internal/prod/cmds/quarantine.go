package cmds

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/opcli"
)

// quarantineCmd returns the command that lists the quarantined requests. Its
// subcommand "lift" releases one of them.
func quarantineCmd() *cobra.Command {
	cmd := queryCmd("quarantine", "List the requests that are refused because they crash servers",
		(*opcli.Client).Quarantine, printQuarantine)
	cmd.AddCommand(liftCmd())
	return cmd
}

func printQuarantine(w io.Writer, qs []codec.QuarantinedRequest) {
	for _, q := range qs {
		fmt.Fprintf(w, "%s crashed %s\n", q.Request, strings.Join(q.Crashes, ", "))
	}
	if len(qs) == 0 {
		fmt.Fprintln(w, "No request is quarantined.")
	}
}

func liftCmd() *cobra.Command {
	f := &entryFlags{}
	return f.addTo(&cobra.Command{
		Use:   "lift REQUEST",
		Short: "Let a quarantined request run again, on every entry",
		Args:  oneArg("the request"),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			ctx, cancel := f.context()
			defer cancel()
			if err := c.Lift(ctx, args[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "Lifted; new crashes count anew.")
			return nil
		},
	}, entryURL)
}
