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

// tokenVar names the environment variable with the operator's token, so that
// it does not stand on a command line.
const tokenVar = "JUJUBERAMP_TOKEN"

// target are the flags that name an entry.
type target struct {
	entries []string
	wait    time.Duration
	json    bool
}

func (t *target) add(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringSliceVar(&t.entries, "entry", []string{"http://127.0.0.1:7400"}, "URLs of entries; the next one is asked if one can't be reached")
	cmd.Flags().DurationVar(&t.wait, "wait", 30*time.Second, "how long to wait for the answer")
	cmd.Flags().BoolVar(&t.json, "json", false, "print JSON")
	return cmd
}

func (t *target) client() (*opcli.Client, error) {
	tok := os.Getenv(tokenVar)
	if tok == "" {
		return nil, fault.New(fault.Unauthorized, "environment variable "+tokenVar+" is empty")
	}
	return opcli.New(tok, t.entries...), nil
}

func (t *target) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), t.wait)
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
			cs, err := decl.ReadDir(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d classes are valid.\n", len(cs))
			return nil
		},
	}
}

// queryCmd returns a command that asks an entry and prints the answer.
func queryCmd[Out any](use, short string, ask func(*opcli.Client, context.Context) (Out, error), show func(io.Writer, Out)) *cobra.Command {
	t := &target{}
	return t.add(&cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return query(cmd, t, ask, show) },
	})
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
		func(w io.Writer, lines []codec.AuditEntry) {
			for _, l := range lines {
				printAudit(w, l)
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

// query asks an entry and prints the answer.
func query[Out any](cmd *cobra.Command, t *target, ask func(*opcli.Client, context.Context) (Out, error), show func(io.Writer, Out)) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	ctx, cancel := t.context()
	defer cancel()
	out, err := ask(c, ctx)
	if err != nil {
		return err
	}
	if t.json {
		return printJSON(cmd.OutOrStdout(), out)
	}
	show(cmd.OutOrStdout(), out)
	return nil
}
