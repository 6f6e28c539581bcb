package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/decl"
	"github.com/jujuberamp/jujuberamp/internal/edge/opcli"
)

// tokenVar is the environment variable with the operator's token. The token is
// not a flag, so that it does not appear on a command line.
const tokenVar = "JUJUBERAMP_TOKEN"

// entryURL is the URL of an entry at its own VM.
const entryURL = "http://127.0.0.1:7400"

// entryFlags holds the flags of the commands that call an entry.
type entryFlags struct {
	entries []string
	timeout time.Duration
	json    bool
}

// addTo adds the flags to a command. The URL is that of the entry that is asked by default.
func (f *entryFlags) addTo(cmd *cobra.Command, url string) *cobra.Command {
	cmd.Flags().StringSliceVar(&f.entries, "entry", []string{url}, "URLs of entries; the next one is asked if one can't be reached")
	cmd.Flags().DurationVar(&f.timeout, "wait", 30*time.Second, "how long to wait for the answer")
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON")
	return cmd
}

func (f *entryFlags) client() (*opcli.Client, error) {
	token := os.Getenv(tokenVar)
	if token == "" {
		return nil, fault.New(fault.Unauthorized, "environment variable "+tokenVar+" is empty")
	}
	return opcli.New(token, f.entries...), nil
}

func (f *entryFlags) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), f.timeout)
}

func printJSON(w io.Writer, m any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(m)
}

func checkCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "check DIR",
		Short: "Check the declarations in a directory, without a connection",
		Args:  oneArg("the directory of the declarations"),
		RunE: func(cmd *cobra.Command, args []string) error {
			classes, err := decl.ReadDir(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d classes are valid.\n", len(classes))
			return nil
		},
	}
}

// queryCmd returns a command that fetches a value from an entry and prints it.
func queryCmd[Out any](use, short string, fetch func(*opcli.Client, context.Context) (Out, error), show func(io.Writer, Out)) *cobra.Command {
	f := &entryFlags{}
	return f.addTo(&cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return query(cmd, f, fetch, show) },
	}, entryURL)
}

func showCmd() *cobra.Command {
	return queryCmd("show", "Show the classes in force", (*opcli.Client).Config, printConfig)
}

func printConfig(w io.Writer, cfg codec.Config) {
	for _, c := range cfg.Classes {
		fmt.Fprintf(w, "%-20s %-7s %-16s lateness %dms waiting %dms (revision %d by %s)\n",
			c.Class.Name, c.Class.Kind, c.Class.Service, c.Class.LatenessMS, c.Class.WaitingMS, c.Revision, c.Author)
	}
}

func auditCmd() *cobra.Command {
	return queryCmd("audit", "List who changed what, when, from which revision", (*opcli.Client).Audit,
		func(w io.Writer, entries []codec.AuditEntry) {
			for _, e := range entries {
				printAudit(w, e)
			}
		})
}

func printAudit(w io.Writer, l codec.AuditEntry) {
	verdict := l.Verdict
	if l.Winner != "" {
		verdict += " with " + l.Winner
	}
	fmt.Fprintf(w, "%d %s %s %s %q\n", l.Offset, l.Date, l.Author, verdict, l.Comment)
	for _, e := range l.Edits {
		printDiff(w, e.Name, e.Base, e.From, e.To)
	}
}

func statusCmd() *cobra.Command {
	return queryCmd("status", "Show the nodes, their revisions and whether the log is read", (*opcli.Client).Overview, printStatus)
}

func printStatus(w io.Writer, s opcli.Overview) {
	fmt.Fprintf(w, "%s ready=%t revision=%d known to be the newest %dms ago\n", s.Entry.Node, s.Entry.Ready, s.Entry.Offset, s.Entry.FreshMS)
	for _, o := range s.Entry.Outages {
		fmt.Fprintf(w, "outage: %s\n", o)
	}
	for _, l := range s.Entry.Leases {
		fmt.Fprintf(w, "lease: %s held by %s, fencing number %d\n", l.Name, orNone(l.Holder), l.Fence)
	}
	for _, n := range s.Nodes {
		fmt.Fprintf(w, "  %-6s %-14s %-8s revision=%-6d %-16s version=%d heard %dms ago live=%t leaving=%t\n",
			n.Role, n.Node, n.Zone, n.Offset, n.Service, n.Version, n.LastSeenMS, n.Live, n.Leaving)
	}
}

// query fetches a value from an entry and prints it, as JSON if the flag is set.
func query[Out any](cmd *cobra.Command, f *entryFlags, fetch func(*opcli.Client, context.Context) (Out, error), show func(io.Writer, Out)) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	ctx, cancel := f.context()
	defer cancel()
	return queryWith(ctx, cmd, c, f.json, fetch, show)
}

// queryWith fetches a value and prints it, as JSON if asked to.
func queryWith[Out any](
	ctx context.Context, cmd *cobra.Command, c *opcli.Client, asJSON bool,
	fetch func(*opcli.Client, context.Context) (Out, error), show func(io.Writer, Out),
) error {
	out, err := fetch(c, ctx)
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(cmd.OutOrStdout(), out)
	}
	show(cmd.OutOrStdout(), out)
	return nil
}
