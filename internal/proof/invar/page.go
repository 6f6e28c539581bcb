package invar

import (
	"fmt"
	"strings"
)

// pageHeader is the head of docs/PROMISES.md.
const pageHeader = `# Promises

Each row is a line of "What must always hold", the packages that keep it and
the tests that attack it. The table is data in internal/proof/invar; the report
of rampdemo counts the same promises from outside. A test compares this page
with the data and looks up each package and test that it names; after a change
of the table run

    go test ./internal/proof/invar -run TestPage -update

`

// Page returns the content of docs/PROMISES.md.
func Page() string {
	var b strings.Builder
	b.WriteString(pageHeader)
	for _, g := range Table {
		fmt.Fprintf(&b, "## %s\n\n%s.\n\n", g.ID, strings.ToUpper(g.Text[:1])+g.Text[1:])
		b.WriteString("Kept by:\n\n")
		for _, k := range g.Packages {
			fmt.Fprintf(&b, "- %s\n", k)
		}
		b.WriteString("\nAttacked by:\n\n")
		for _, t := range g.Tests {
			fmt.Fprintf(&b, "- %s\n", t)
		}
		b.WriteString("\n")
	}
	return strings.TrimRight(b.String(), "\n") + "\n"
}
