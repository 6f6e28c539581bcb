package cmds

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/jujuberamp/jujuberamp/internal/prod/roles"
	"github.com/jujuberamp/jujuberamp/platform"
)

// siteCmd returns the command whose subcommands run an entry or an agent that uses
// the protocols of package platform (docs/design/platform.md). The commands of
// entryCmd and agentCmd use those of internal/edge/client instead.
func siteCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "site",
		Short: "Run a role on the users' platform",
		Long:  "Run a role on the users' platform, with the settings file that " + platform.SettingsVar + " names.",
	}
	addRole := func(name, short string, run func(<-chan struct{}, string, io.Writer) error) *cobra.Command {
		role := &cobra.Command{
			Use: name, Short: short, Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				return run(roles.StopSignal(), os.Getenv(platform.SettingsVar), c.OutOrStdout())
			},
		}
		cmd.AddCommand(role)
		return role
	}
	opts := roles.DefaultEntryOptions()
	entry := addRole("entry", "Serve clients, trainers and their jobs", func(stop <-chan struct{}, path string, out io.Writer) error {
		return opts.Run(stop, path, out)
	})
	entry.Flags().Float64Var(&opts.LatenessWorth, "lateness-worth", opts.LatenessWorth,
		"seconds of one server that a job may cost to be one second less late, where the platform runs servers on order")
	addRole("agent", "Run items and give orders at the engine on this VM", roles.RunAgent)
	return cmd
}
