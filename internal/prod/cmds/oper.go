package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/decl"
	"github.com/jujuberamp/jujuberamp/internal/edge/opcli"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// tokenVar names the environment variable with the operator's token, so that
// it does not stand on a command line.
const tokenVar = "JUJUBERAMP_TOKEN"

// target are the flags that name an entry.
type target struct {
	entry string
	wait  time.Duration
	json  bool
}

func (t *target) add(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&t.entry, "entry", "http://127.0.0.1:7400", "URL of an entry")
	cmd.Flags().DurationVar(&t.wait, "wait", 30*time.Second, "how long to wait for the answer")
	cmd.Flags().BoolVar(&t.json, "json", false, "print JSON")
	return cmd
}

func (t *target) client() (*opcli.Client, error) {
	tok := os.Getenv(tokenVar)
	if tok == "" {
		return nil, fault.New(fault.Unauthorized, "environment variable "+tokenVar+" is empty")
	}
	return opcli.New(t.entry, tok), nil
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
		Args:  cobra.ExactArgs(1),
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

// difference returns the edits that lead from what is in force to what is
// declared.
func difference(cfg codec.Config, want []class.Class) []codec.Edit {
	var out []codec.Edit
	inForce := make(map[string]codec.Class, len(cfg.Classes))
	for _, c := range cfg.Classes {
		inForce[c.Class.Name] = c
	}
	for _, c := range want {
		m := record.FromClass(c)
		old, ok := inForce[m.Name]
		delete(inForce, m.Name)
		if ok && old.Class == m {
			continue
		}
		out = append(out, codec.Edit{Name: m.Name, Base: old.Revision, Class: &m})
	}
	for _, c := range cfg.Classes {
		if _, gone := inForce[c.Class.Name]; gone {
			out = append(out, codec.Edit{Name: c.Class.Name, Base: c.Revision, Removed: true})
		}
	}
	return out
}

func printEdits(w io.Writer, edits []codec.Edit) {
	for _, e := range edits {
		switch {
		case e.Removed:
			fmt.Fprintf(w, "- %s (revision %d)\n", e.Name, e.Base)
		case e.Base == 0:
			fmt.Fprintf(w, "+ %s\n", e.Name)
		default:
			fmt.Fprintf(w, "~ %s (revision %d)\n", e.Name, e.Base)
		}
	}
	if len(edits) == 0 {
		fmt.Fprintln(w, "No change: the declarations are in force.")
	}
}

// plan reads the declarations and compares them with what is in force.
func plan(ctx context.Context, t *target, dir string) ([]codec.Edit, *opcli.Client, error) {
	want, err := decl.ReadDir(dir)
	if err != nil {
		return nil, nil, err
	}
	c, err := t.client()
	if err != nil {
		return nil, nil, err
	}
	cfg, err := c.Config(ctx)
	if err != nil {
		return nil, nil, err
	}
	return difference(cfg, want), c, nil
}

func planCmd() *cobra.Command {
	t := &target{}
	return t.add(&cobra.Command{
		Use:   "plan DIR",
		Short: "Print the difference between the declarations and what is in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := t.context()
			defer cancel()
			edits, _, err := plan(ctx, t, args[0])
			if err != nil {
				return err
			}
			if t.json {
				return printJSON(cmd.OutOrStdout(), edits)
			}
			printEdits(cmd.OutOrStdout(), edits)
			return nil
		},
	})
}

func applyCmd() *cobra.Command {
	t := &target{}
	var comment string
	cmd := t.add(&cobra.Command{
		Use:   "apply DIR",
		Short: "Publish the declarations and wait until they are in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := t.context()
			defer cancel()
			edits, c, err := plan(ctx, t, args[0])
			if err != nil {
				return err
			}
			printEdits(cmd.OutOrStdout(), edits)
			if len(edits) == 0 {
				return nil
			}
			done, err := c.Change(ctx, codec.Change{Comment: comment, Edits: edits})
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "Accepted as revision %d.\n", done.Revision)
			return nil
		},
	})
	cmd.Flags().StringVar(&comment, "comment", "", "why, for the audit trail")
	return cmd
}

func showCmd() *cobra.Command {
	t := &target{}
	return t.add(&cobra.Command{
		Use:   "show",
		Short: "Show the classes in force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return query(cmd, t, (*opcli.Client).Config, func(w io.Writer, cfg codec.Config) {
				for _, c := range cfg.Classes {
					fmt.Fprintf(w, "%-20s %-7s %-16s lateness %dms waiting %dms (revision %d by %s)\n",
						c.Class.Name, c.Class.Kind, c.Class.Service, c.Class.LatenessMS, c.Class.WaitingMS, c.Revision, c.Author)
				}
			})
		},
	})
}

func auditCmd() *cobra.Command {
	t := &target{}
	return t.add(&cobra.Command{
		Use:   "audit",
		Short: "List who changed what, when, from which revision",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return query(cmd, t, (*opcli.Client).Audit, func(w io.Writer, lines []codec.Audit) {
				for _, l := range lines {
					fmt.Fprintf(w, "%d %s %s %q\n", l.Offset, l.Author, l.Verdict, l.Comment)
					printEdits(w, l.Edits)
				}
			})
		},
	})
}

func statusCmd() *cobra.Command {
	t := &target{}
	return t.add(&cobra.Command{
		Use:   "status",
		Short: "Show the nodes, their revisions and whether the log is read",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return query(cmd, t, (*opcli.Client).Status, func(w io.Writer, s codec.EntryStatus) {
				fmt.Fprintf(w, "%s ready=%t offset=%d log read %dms ago\n", s.Node, s.Ready, s.Offset, s.FreshMS)
				for _, n := range s.Nodes {
					fmt.Fprintf(w, "  %-12s %-6s %-8s %-16s version=%d offset=%d heard %dms ago leaving=%t\n",
						n.Node, n.Role, n.Zone, n.Service, n.Version, n.Offset, n.HeardMS, n.Leaving)
				}
			})
		},
	})
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
