package invar

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	root   = "../../.." // of the module
	module = "github.com/jujuberamp/jujuberamp/"
)

// ranks orders the areas of the repository. A package may import only packages of
// the same or a lower rank. A package with its own entry has another rank than its
// area: log records and trace events are plain values, which import no decisions.
var ranks = map[string]int{
	"internal/base":         0,
	"internal/inner/record": 1,
	"internal/inner/trace":  1,
	"internal/decide":       2,
	"internal/inner":        2,
	"internal/edge":         3,
	"internal/node":         4,
	"internal/stand":        5,
	"trainer":               5,
	"platform":              5,
	"internal/prod":         6,
	"internal/proof":        6,
	"cmd":                   7,
}

// rank returns the rank of the longest listed path that contains a package.
func rank(pkg string) (int, bool) {
	for p := pkg; p != "."; p = filepath.Dir(p) {
		if r, ok := ranks[p]; ok {
			return r, true
		}
	}
	return 0, false
}

// isAllowedForDecisions reports whether the rule for internal/decide allows an
// import: decisions do no I/O, so they import nothing from internal/inner but the
// log records. Packages outside internal/decide are always allowed.
func isAllowedForDecisions(pkg, imported string) bool {
	return !strings.HasPrefix(pkg, "internal/decide") ||
		(!strings.HasPrefix(imported, "internal/inner") || imported == "internal/inner/record")
}

// TestImportsPointDown checks the imports of all packages against their ranks.
func TestImportsPointDown(t *testing.T) {
	c := qt.New(t)
	checked := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		rel, err := filepath.Rel(root, filepath.Dir(path))
		c.Assert(err, qt.IsNil)
		ownRank, ok := rank(rel)
		c.Check(ok, qt.IsTrue, qt.Commentf("%s has no rank; add its area to ranks", rel))
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		c.Assert(err, qt.IsNil)
		for _, im := range f.Imports {
			name, err := strconv.Unquote(im.Path.Value)
			c.Assert(err, qt.IsNil)
			imported, internal := strings.CutPrefix(name, module)
			if !internal {
				continue
			}
			checked++
			r, ok := rank(imported)
			c.Check(ok && r <= ownRank && isAllowedForDecisions(rel, imported), qt.IsTrue,
				qt.Commentf("%s may not import %s: it has no rank or a higher one, or the rule for internal/decide forbids it", path, imported))
		}
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(checked > 0, qt.IsTrue)
}
