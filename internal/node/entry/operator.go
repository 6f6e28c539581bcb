package entry

import (
	"context"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// Change implements [httpd.Service].
func (e *Entry) Change(ctx context.Context, who ident.Caller, m codec.Change) (codec.ChangeReply, error) {
	c := record.Change{Author: who, Date: time.Now().UTC().Format(time.RFC3339), Comment: m.Comment}
	if len(m.Edits) == 0 {
		return codec.ChangeReply{}, fault.New(fault.BadRequest, "edits must not be empty")
	}
	for _, em := range m.Edits {
		ed := record.Edit{Name: ident.Class(em.Name), Base: ident.Offset(em.Base), Removed: em.Removed}
		if (em.Class == nil) != em.Removed {
			return codec.ChangeReply{}, fault.New(fault.BadRequest, "edit of "+em.Name+" must either hold a class or remove it")
		}
		if em.Class != nil {
			cl, err := record.ToClass(*em.Class)
			if err != nil {
				return codec.ChangeReply{}, err
			}
			ed.Class = cl
		}
		c.Edits = append(c.Edits, ed)
	}
	if err := e.checkConflicts(c); err != nil {
		return codec.ChangeReply{}, err
	}
	rev, err := e.config.Change(ctx, c)
	return codec.ChangeReply{Revision: int64(rev)}, err
}

// checkConflicts refuses a change after which two classes would conflict, given
// the classes that this entry knows.
func (e *Entry) checkConflicts(c record.Change) error {
	edited := make(map[ident.Class]bool)
	var after []class.Class
	for _, ed := range c.Edits {
		edited[ed.Name] = true
		if !ed.Removed {
			after = append(after, ed.Class)
		}
	}
	for _, en := range e.config.State().Entries() {
		if !edited[en.Class.Name()] {
			after = append(after, en.Class)
		}
	}
	if n, what := class.FindConflict(after); n != "" {
		return fault.New(fault.BadDeclaration, "class "+string(n)+": "+what)
	}
	return nil
}

// Config implements [httpd.Service].
func (e *Entry) Config(context.Context) (codec.Config, error) {
	st := e.config.State()
	out := codec.Config{Offset: int64(st.Offset()), Removed: make(map[string]int64)}
	for _, t := range st.Snapshot().Removed {
		out.Removed[string(t.Name)] = int64(t.Revision)
	}
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
func (e *Entry) Audit(context.Context) ([]codec.AuditEntry, error) {
	lines := e.config.Audit()
	out := make([]codec.AuditEntry, 0, len(lines))
	for _, l := range lines {
		a := codec.AuditEntry{
			Offset:  int64(l.Offset),
			Author:  string(l.Change.Author),
			Date:    l.Change.Date,
			Comment: l.Change.Comment,
			Verdict: l.Result.Verdict.String(),
			Winner:  string(l.Result.Winner),
		}
		for i, ed := range l.Change.Edits {
			a.Edits = append(a.Edits, auditEdit(ed, l.Result.Previous, i))
		}
		out = append(out, a)
	}
	return out, nil
}

func auditEdit(ed record.Edit, from []record.ActiveClass, i int) codec.AuditEdit {
	out := codec.AuditEdit{Name: string(ed.Name), Base: int64(ed.Base)}
	if !ed.Removed {
		m := record.FromClass(ed.Class)
		out.To = &m
	}
	if i < len(from) && from[i].Revision != 0 {
		m := record.FromClass(from[i].Class)
		out.From = &m
	}
	return out
}
