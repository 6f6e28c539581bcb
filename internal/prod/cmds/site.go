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
	addRole := func(name, short string, run func(<-chan struct{}, string, io.Writer) error) {
		cmd.AddCommand(&cobra.Command{
			Use: name, Short: short, Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				return run(roles.StopSignal(), os.Getenv(platform.SettingsVar), c.OutOrStdout())
			},
		})
	}
	addRole("entry", "Serve clients, trainers and their jobs", roles.RunEntry)
	addRole("agent", "Run items and give orders at the engine on this VM", roles.RunAgent)
	return cmd
}
