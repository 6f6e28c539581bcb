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

// plan holds the declared classes, the configuration in force and the edits that
// make the configuration match the declarations.
type plan struct {
	declared []class.Class
	current  codec.Config
	edits    []codec.Edit
}

// makePlan reads the declarations in a directory and compares them with the
// configuration in force.
func makePlan(ctx context.Context, c *opcli.Client, dir string) (plan, error) {
	declared, err := decl.ReadDir(dir)
	if err != nil {
		return plan{}, err
	}
	current, err := c.Config(ctx)
	if err != nil {
		return plan{}, err
	}
	return plan{declared, current, diffClasses(current, declared)}, nil
}

// classInForce returns the class with a name from the configuration in force.
func (p plan) classInForce(name string) (codec.Class, bool) {
	for _, c := range p.current.Classes {
		if c.Class.Name == name {
			return c, true
		}
	}
	return codec.Class{}, false
}

// diffClasses returns the edits that turn the configuration in force into the
// declared classes.
func diffClasses(current codec.Config, declared []class.Class) []codec.Edit {
	edits := []codec.Edit{}
	unmatched := make(map[string]codec.Class, len(current.Classes))
	for _, c := range current.Classes {
		unmatched[c.Class.Name] = c
	}
	for _, c := range declared {
		m := record.FromClass(c)
		old, ok := unmatched[m.Name]
		delete(unmatched, m.Name)
		if ok && old.Class == m {
			continue
		}
		base := old.Revision
		if !ok {
			base = current.Removed[m.Name]
		}
		edits = append(edits, codec.Edit{Name: m.Name, Base: base, Class: &m})
	}
	for _, c := range current.Classes {
		if _, undeclared := unmatched[c.Class.Name]; undeclared {
			edits = append(edits, codec.Edit{Name: c.Class.Name, Base: c.Revision, Removed: true})
		}
	}
	return edits
}

func (p plan) print(w io.Writer) {
	for _, e := range p.edits {
		var from *record.ClassMsg
		if c, ok := p.classInForce(e.Name); ok {
			from = &c.Class
		}
		printDiff(w, e.Name, e.Base, from, e.Class)
	}
	if len(p.edits) == 0 {
		fmt.Fprintln(w, "No change: the declarations are in force.")
	}
}

// printDiff prints the change of one class: added, removed, or changed with the
// keys that differ.
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
	old := classFields(from)
	for i, k := range classFields(to) {
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

// keyValue is one key of a class with its value as written in a declaration.
type keyValue struct{ name, value string }

// classFields returns all keys of a class in the order in which they are printed.
// A key that is not set has an empty value.
func classFields(m *record.ClassMsg) []keyValue {
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
	f := &entryFlags{}
	return f.addTo(&cobra.Command{
		Use:   "plan DIR",
		Short: "Print the difference between the declarations and what is in force",
		Args:  oneArg("the directory of the declarations"),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := f.context()
			defer cancel()
			c, err := f.client()
			if err != nil {
				return err
			}
			p, err := makePlan(ctx, c, args[0])
			if err != nil {
				return err
			}
			if f.json {
				return printJSON(cmd.OutOrStdout(), p.edits)
			}
			p.print(cmd.OutOrStdout())
			return nil
		},
	}, entryURL)
}

func applyCmd() *cobra.Command {
	f := &entryFlags{}
	var comment string
	cmd := f.addTo(&cobra.Command{
		Use:   "apply DIR",
		Short: "Publish the declarations and wait until they are in force on every live node",
		Long: "Publish the declarations and wait until they are in force on every live node.\n\n" +
			"It is safe to run apply again after it was interrupted: what is in force already is not changed again.",
		Args: oneArg("the directory of the declarations"),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := f.context()
			defer cancel()
			c, err := f.client()
			if err != nil {
				return err
			}
			return apply(ctx, c, args[0], comment, cmd.OutOrStdout())
		},
	}, entryURL)
	cmd.Flags().StringVar(&comment, "comment", "", "why, for the audit trail")
	return cmd
}

func apply(ctx context.Context, c *opcli.Client, dir, comment string, w io.Writer) error {
	p, err := makePlan(ctx, c, dir)
	if err != nil {
		return err
	}
	p.print(w)
	rev := p.newestRevision()
	if len(p.edits) > 0 {
		reply, err := publish(ctx, c, codec.Change{Comment: comment, Edits: p.edits})
		if err != nil {
			return err
		}
		rev = reply.Revision
		fmt.Fprintf(w, "Accepted as revision %d.\n", rev)
	}
	return awaitInForce(ctx, c, rev, w)
}

// newestRevision returns the newest revision of the classes in force.
func (p plan) newestRevision() int64 {
	rev := int64(0)
	for _, c := range p.current.Classes {
		rev = max(rev, c.Revision)
	}
	return rev
}

// retryInterval is the interval between attempts to publish a change, and between
// queries of the node list.
const retryInterval = 200 * time.Millisecond

// publish sends a change until its outcome is known. Each edit names the revision
// on which the plan is based. A retry after a lost answer is therefore either
// reported as already in force, or refused with the name of the operator whose
// change was accepted first.
func publish(ctx context.Context, c *opcli.Client, ch codec.Change) (codec.ChangeReply, error) {
	for {
		reply, err := c.Change(ctx, ch)
		f, ok := fault.As(err)
		unknown := err != nil && (!ok || f.Outcome() == fault.Unknown ||
			f.Kind() == fault.NotReady || f.Kind() == fault.Overloaded)
		if !unknown {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return reply, fault.Wrap(fault.OutcomeUnknown, err, "it is not known whether the change was accepted; run apply again, which changes nothing twice")
		case <-time.After(retryInterval):
		}
	}
}

// awaitInForce waits until a revision is in force on every live node.
func awaitInForce(ctx context.Context, c *opcli.Client, rev int64, w io.Writer) error {
	startedAt := time.Now()
	for {
		ns, err := c.Nodes(ctx)
		lagging, live := laggingNodes(ns, rev)
		if err == nil && len(lagging) == 0 {
			fmt.Fprintf(w, "In force on all %d live nodes after %s.\n", live, time.Since(startedAt).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			if err != nil && len(ns.Nodes) == 0 {
				return fault.Wrap(fault.NotReady, err, fmt.Sprintf("revision %d is accepted and stays; which nodes have it is not known", rev))
			}
			return fault.New(fault.NotReady, fmt.Sprintf("revision %d is accepted and stays, but is not in force yet on %s; run status to follow them",
				rev, strings.Join(lagging, ", ")))
		case <-time.After(retryInterval):
		}
	}
}

// laggingNodes lists the live nodes on which a revision is not yet in force, and
// counts the live nodes.
func laggingNodes(ns codec.Nodes, rev int64) (lagging []string, live int) {
	for _, n := range ns.Nodes {
		if !n.Live {
			continue
		}
		live++
		if n.Offset < rev {
			lagging = append(lagging, fmt.Sprintf("%s %s (revision %d)", n.Role, n.Node, n.Offset))
		}
	}
	return lagging, live
}
