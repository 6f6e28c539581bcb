package cmds

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/decl"
	"github.com/jujuberamp/jujuberamp/internal/edge/opcli"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// plan is the difference between declarations and what is in force.
type plan struct {
	want  []class.Class
	cfg   codec.Config
	edits []codec.Edit
}

// makePlan reads the declarations and compares them with what is in force.
func makePlan(ctx context.Context, c *opcli.Client, dir string) (plan, error) {
	want, err := decl.ReadDir(dir)
	if err != nil {
		return plan{}, err
	}
	cfg, err := c.Config(ctx)
	if err != nil {
		return plan{}, err
	}
	return plan{want, cfg, difference(cfg, want)}, nil
}

func (p plan) inForce(name string) (codec.Class, bool) {
	for _, c := range p.cfg.Classes {
		if c.Class.Name == name {
			return c, true
		}
	}
	return codec.Class{}, false
}

// difference returns the edits that lead from what is in force to what is
// declared.
func difference(cfg codec.Config, want []class.Class) []codec.Edit {
	out := []codec.Edit{}
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
		base := old.Revision
		if !ok {
			base = cfg.Removed[m.Name]
		}
		out = append(out, codec.Edit{Name: m.Name, Base: base, Class: &m})
	}
	for _, c := range cfg.Classes {
		if _, gone := inForce[c.Class.Name]; gone {
			out = append(out, codec.Edit{Name: c.Class.Name, Base: c.Revision, Removed: true})
		}
	}
	return out
}

func (p plan) print(w io.Writer) {
	for _, e := range p.edits {
		var from *record.ClassMsg
		if c, ok := p.inForce(e.Name); ok {
			from = &c.Class
		}
		printDiff(w, e.Name, e.Base, from, e.Class)
	}
	if len(p.edits) == 0 {
		fmt.Fprintln(w, "No change: the declarations are in force.")
	}
}

// printDiff prints one class with the keys that differ.
func printDiff(w io.Writer, name string, base int64, from, to *record.ClassMsg) {
	switch {
	case to == nil:
		fmt.Fprintf(w, "- %s (from revision %d)\n", name, base)
		return
	case from == nil:
		fmt.Fprintf(w, "+ %s\n", name)
	default:
		fmt.Fprintf(w, "~ %s (from revision %d)\n", name, base)
	}
	old := keys(from)
	for i, k := range keys(to) {
		switch {
		case from == nil && k.value != "":
			fmt.Fprintf(w, "    %s: %s\n", k.name, k.value)
		case from != nil && k != old[i]:
			fmt.Fprintf(w, "    %s: %s -> %s\n", k.name, orNone(old[i].value), orNone(k.value))
		}
	}
}

func orNone(v string) string {
	if v == "" {
		return "none"
	}
	return v
}

// keyValue is one key of a class as it stands in a file.
type keyValue struct{ name, value string }

func keys(m *record.ClassMsg) []keyValue {
	if m == nil {
		return nil
	}
	number := func(n int64) string {
		if n == 0 {
			return ""
		}
		return fmt.Sprint(n)
	}
	return []keyValue{
		{"kind", m.Kind},
		{"service", m.Service},
		{"lateness", clock.Millis(m.LatenessMS).String()},
		{"waiting", clock.Millis(m.WaitingMS).String()},
		{"staleness-versions", number(int64(m.Staleness))},
		{"scorer", m.Scorer},
		{"max-tokens", number(int64(m.MaxTokens))},
	}
}

func planCmd() *cobra.Command {
	t := &target{}
	return t.add(&cobra.Command{
		Use:   "plan DIR",
		Short: "Print the difference between the declarations and what is in force",
		Args:  oneArg("the directory of the declarations"),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := t.context()
			defer cancel()
			c, err := t.client()
			if err != nil {
				return err
			}
			p, err := makePlan(ctx, c, args[0])
			if err != nil {
				return err
			}
			if t.json {
				return printJSON(cmd.OutOrStdout(), p.edits)
			}
			p.print(cmd.OutOrStdout())
			return nil
		},
	})
}

func applyCmd() *cobra.Command {
	t := &target{}
	var comment string
	cmd := t.add(&cobra.Command{
		Use:   "apply DIR",
		Short: "Publish the declarations and wait until they are in force on every live node",
		Long: "Publish the declarations and wait until they are in force on every live node.\n\n" +
			"It is safe to run apply again after it was interrupted: what is in force already is not changed again.",
		Args: oneArg("the directory of the declarations"),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := t.context()
			defer cancel()
			c, err := t.client()
			if err != nil {
				return err
			}
			return apply(ctx, c, args[0], comment, cmd.OutOrStdout())
		},
	})
	cmd.Flags().StringVar(&comment, "comment", "", "why, for the audit trail")
	return cmd
}

func apply(ctx context.Context, c *opcli.Client, dir, comment string, w io.Writer) error {
	p, err := makePlan(ctx, c, dir)
	if err != nil {
		return err
	}
	p.print(w)
	rev := p.newest()
	if len(p.edits) > 0 {
		done, err := publish(ctx, c, codec.Change{Comment: comment, Edits: p.edits})
		if err != nil {
			return err
		}
		rev = done.Revision
		fmt.Fprintf(w, "Accepted as revision %d.\n", rev)
	}
	return await(ctx, c, rev, w)
}

// newest returns the newest revision of the classes in force.
func (p plan) newest() int64 {
	rev := int64(0)
	for _, c := range p.cfg.Classes {
		rev = max(rev, c.Revision)
	}
	return rev
}

// tryAgain is the time between tries and between looks at the nodes.
const tryAgain = 200 * time.Millisecond

// publish sends a change until its outcome is known. The edits name the
// revisions that the plan saw, so that a second try after a lost answer finds
// them in force, or finds who won.
func publish(ctx context.Context, c *opcli.Client, ch codec.Change) (codec.ChangeReply, error) {
	for {
		done, err := c.Change(ctx, ch)
		f, ok := fault.As(err)
		open := err != nil && (!ok || f.Outcome() == fault.Unknown || f.Kind() == fault.NotReady || f.Kind() == fault.Overloaded)
		if !open {
			return done, err
		}
		select {
		case <-ctx.Done():
			return done, fault.Wrap(fault.OutcomeUnknown, err, "it is not known whether the change was accepted; run apply again, which changes nothing twice")
		case <-time.After(tryAgain):
		}
	}
}

// await waits until a revision is in force on every live node.
func await(ctx context.Context, c *opcli.Client, rev int64, w io.Writer) error {
	began := time.Now()
	for {
		ns, err := c.Nodes(ctx)
		late, live := lagging(ns, rev)
		if err == nil && len(late) == 0 {
			fmt.Fprintf(w, "In force on all %d live nodes after %s.\n", live, time.Since(began).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			if err != nil && len(ns.Nodes) == 0 {
				return fault.Wrap(fault.NotReady, err, fmt.Sprintf("revision %d is accepted and stays; which nodes have it is not known", rev))
			}
			return fault.New(fault.NotReady, fmt.Sprintf("revision %d is accepted and stays, but is not in force yet on %s; run status to follow them",
				rev, strings.Join(late, ", ")))
		case <-time.After(tryAgain):
		}
	}
}

// lagging names the live nodes on which a revision is not in force.
func lagging(ns codec.Nodes, rev int64) (late []string, live int) {
	for _, n := range ns.Nodes {
		if !n.Live {
			continue
		}
		live++
		if n.Offset < rev {
			late = append(late, fmt.Sprintf("%s %s (revision %d)", n.Role, n.Node, n.Offset))
		}
	}
	return late, live
}
