package invar

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "rewrite docs/PROMISES.md from the table")

// TestPageAgreesWithTable compares docs/PROMISES.md with the table.
func TestPageAgreesWithTable(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(root, "docs", "PROMISES.md")
	if *update {
		c.Assert(os.WriteFile(file, []byte(Page()), 0o644), qt.IsNil)
	}
	got, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, Page())
}

// TestTableNamesWhatExists checks that the packages and tests in the table exist.
func TestTableNamesWhatExists(t *testing.T) {
	for _, g := range Table {
		t.Run(string(g.ID), func(t *testing.T) {
			c := qt.New(t)
			c.Assert(g.Packages, qt.Not(qt.HasLen), 0)
			c.Assert(g.Tests, qt.Not(qt.HasLen), 0)
			for _, k := range g.Packages {
				files, err := filepath.Glob(filepath.Join(root, k, "*.go"))
				c.Assert(err, qt.IsNil)
				c.Check(files, qt.Not(qt.HasLen), 0, qt.Commentf("package %s", k))
			}
			for _, name := range g.Tests {
				c.Check(hasTest(c, name), qt.IsTrue, qt.Commentf("test %s", name))
			}
		})
	}
}

// hasTest reports whether a test exists. Its name has the form
// "path/of/the/package TestName".
func hasTest(c *qt.C, name string) bool {
	pkg, test, ok := strings.Cut(name, " ")
	c.Assert(ok, qt.IsTrue, qt.Commentf("%q", name))
	files, err := filepath.Glob(filepath.Join(root, pkg, "*_test.go"))
	c.Assert(err, qt.IsNil)
	for _, f := range files {
		b, err := os.ReadFile(f)
		c.Assert(err, qt.IsNil)
		if strings.Contains(string(b), "\nfunc "+test+"(") {
			return true
		}
	}
	return false
}
