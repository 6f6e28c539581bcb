package invar

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// calendarCalls are the functions and methods that read a calendar time. The others of
// package time, for example Since and Sub, use the steady clock.
var calendarCalls = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "UTC", "Local", "In", "Format", "AppendFormat", "Truncate", "Date", "Clock", "Parse"}

// calendarUses returns the packages that call one of calendarCalls on the result of
// time.Now, and those that call such a function of package time.
func calendarUses(c *qt.C) []string {
	var out []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		c.Assert(err, qt.IsNil)
		dir, err := filepath.Rel(root, filepath.Dir(path))
		c.Assert(err, qt.IsNil)
		ast.Inspect(f, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			method, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || !slices.Contains(calendarCalls, method.Sel.Name) {
				return true
			}
			if readsTime(method.X) && !slices.Contains(out, dir) {
				out = append(out, dir)
			}
			return true
		})
		return nil
	})
	c.Assert(err, qt.IsNil)
	slices.Sort(out)
	return out
}

// readsTime reports whether an expression is package time, or contains a call of time.Now.
func readsTime(x ast.Expr) bool {
	if name, ok := x.(*ast.Ident); ok {
		return name.Name == "time"
	}
	found := false
	ast.Inspect(x, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok && s.Sel.Name == "Now" {
			if name, ok := s.X.(*ast.Ident); ok {
				found = found || name.Name == "time"
			}
		}
		return true
	})
	return found
}

// TestTimeOfDay guards against a decision by the time of day, which jumps on the users' VMs:
// each package that reads it has a row in docs/design/scale.md, which says what it decides.
func TestTimeOfDay(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(filepath.Join(root, "docs/design/scale.md"))
	c.Assert(err, qt.IsNil)
	_, section, ok := strings.Cut(string(page), "\n## Clocks\n")
	c.Assert(ok, qt.IsTrue)
	section, _, _ = strings.Cut(section, "\n## ")
	uses := calendarUses(c)
	c.Check(len(uses) > 0, qt.IsTrue)
	for _, dir := range uses {
		name := strings.TrimPrefix(dir, "internal/")
		c.Check(strings.Contains(section, "`"+name+"`"), qt.IsTrue, qt.Commentf("%s reads the time of day and has no row in docs/design/scale.md, Clocks", name))
	}
}
