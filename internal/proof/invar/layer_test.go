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

// ranks orders the areas; a package imports only its own rank or a lower one.
// A package listed by its path stands apart from its area: the records of the
// log and the events of a trace are values that lower areas share.
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

// rank returns the rank of a package by the longest path listed.
func rank(pkg string) (int, bool) {
	for p := pkg; p != "."; p = filepath.Dir(p) {
		if r, ok := ranks[p]; ok {
			return r, true
		}
	}
	return 0, false
}

// Decisions stay free of whatever does I/O for them.
func isPure(pkg, imported string) bool {
	return !strings.HasPrefix(pkg, "internal/decide") ||
		(!strings.HasPrefix(imported, "internal/inner") || imported == "internal/inner/record")
}

func TestImportsPointDown(t *testing.T) {
	c := qt.New(t)
	seen := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		rel, err := filepath.Rel(root, filepath.Dir(path))
		c.Assert(err, qt.IsNil)
		from, ok := rank(rel)
		c.Check(ok, qt.IsTrue, qt.Commentf("%s has no rank; add its area to the table", rel))
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		c.Assert(err, qt.IsNil)
		for _, im := range f.Imports {
			name, err := strconv.Unquote(im.Path.Value)
			c.Assert(err, qt.IsNil)
			to, inside := strings.CutPrefix(name, module)
			if !inside {
				continue
			}
			seen++
			r, ok := rank(to)
			c.Check(ok && r <= from && isPure(rel, to), qt.IsTrue, qt.Commentf("%s imports %s, which stands above it", path, to))
		}
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(seen > 0, qt.IsTrue)
}
