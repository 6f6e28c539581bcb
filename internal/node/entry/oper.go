package entry

import (
	"cmp"
	"context"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// Change implements [httpd.Service].
func (e *Entry) Change(ctx context.Context, who ident.Caller, m codec.Change) (codec.Changed, error) {
	c := record.Change{Author: who, Comment: m.Comment}
	if len(m.Edits) == 0 {
		return codec.Changed{}, fault.New(fault.BadRequest, "edits must not be empty")
	}
	for _, em := range m.Edits {
		ed := record.Edit{Name: ident.Class(em.Name), Base: ident.Offset(em.Base), Removed: em.Removed}
		if (em.Class == nil) != em.Removed {
			return codec.Changed{}, fault.New(fault.BadRequest, "edit of "+em.Name+" must either hold a class or remove it")
		}
		if em.Class != nil {
			cl, err := record.ToClass(*em.Class)
			if err != nil {
				return codec.Changed{}, err
			}
			ed.Class = cl
		}
		c.Edits = append(c.Edits, ed)
	}
	rev, err := e.config.Change(ctx, c)
	return codec.Changed{Revision: int64(rev)}, err
}

// Config implements [httpd.Service].
func (e *Entry) Config(context.Context) (codec.Config, error) {
	st := e.config.State()
	out := codec.Config{Offset: int64(st.Offset())}
	for _, en := range st.Entries() {
		out.Classes = append(out.Classes, codec.Class{
			Class:    record.FromClass(en.Class),
			Revision: int64(en.Revision),
			Author:   string(en.Author),
		})
	}
	return out, nil
}

// Audit implements [httpd.Service].
func (e *Entry) Audit(context.Context) ([]codec.Audit, error) {
	lines := e.config.Audit()
	out := make([]codec.Audit, 0, len(lines))
	for _, l := range lines {
		a := codec.Audit{Offset: int64(l.Offset), Author: string(l.Author), Comment: l.Comment, Verdict: l.Verdict.String()}
		for _, ed := range l.Edits {
			em := codec.Edit{Name: string(ed.Name), Base: int64(ed.Base), Removed: ed.Removed}
			if !ed.Removed {
				cm := record.FromClass(ed.Class)
				em.Class = &cm
			}
			a.Edits = append(a.Edits, em)
		}
		out = append(out, a)
	}
	return out, nil
}

// Status implements [httpd.Service].
func (e *Entry) Status(context.Context) (codec.EntryStatus, error) {
	now := e.p.Clock.Now()
	out := codec.EntryStatus{
		Node:    string(e.p.Node),
		Ready:   e.Ready() == nil,
		Offset:  int64(e.config.State().Offset()),
		FreshMS: int64(now - e.config.Fresh()),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for n, r := range e.nodes {
		out.Nodes = append(out.Nodes, codec.NodeStatus{
			Node:    string(n),
			Role:    string(plat.RoleAgent),
			Zone:    r.Zone,
			Service: r.Hosted.Service,
			Version: r.Hosted.Version,
			Offset:  r.Config,
			HeardMS: int64(now - e.heard[n]),
			Leaving: r.Leaving,
		})
	}
	slices.SortFunc(out.Nodes, func(a, b codec.NodeStatus) int { return cmp.Compare(a.Node, b.Node) })
	return out, nil
}
