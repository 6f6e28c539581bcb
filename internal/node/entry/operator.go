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
	for _, en := range e.config.State().ActiveClasses() {
		if !edited[en.Class.Name()] {
			after = append(after, en.Class)
		}
	}
	if n, reason := class.FindConflict(after); n != "" {
		return fault.New(fault.BadDeclaration, "class "+string(n)+": "+reason)
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
	for _, en := range st.ActiveClasses() {
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
	entries := e.config.Audit()
	out := make([]codec.AuditEntry, 0, len(entries))
	for _, en := range entries {
		a := codec.AuditEntry{
			Offset:  int64(en.Offset),
			Author:  string(en.Change.Author),
			Date:    en.Change.Date,
			Comment: en.Change.Comment,
			Verdict: en.Result.Verdict.String(),
			Winner:  string(en.Result.Winner),
		}
		for i, ed := range en.Change.Edits {
			a.Edits = append(a.Edits, auditEdit(ed, en.Result.Previous, i))
		}
		out = append(out, a)
	}
	return out, nil
}

// auditEdit converts edit i of a change. previous holds the class that each edit
// replaced.
func auditEdit(ed record.Edit, previous []record.ActiveClass, i int) codec.AuditEdit {
	out := codec.AuditEdit{Name: string(ed.Name), Base: int64(ed.Base)}
	if !ed.Removed {
		m := record.FromClass(ed.Class)
		out.To = &m
	}
	if i < len(previous) && previous[i].Revision != 0 {
		m := record.FromClass(previous[i].Class)
		out.From = &m
	}
	return out
}
