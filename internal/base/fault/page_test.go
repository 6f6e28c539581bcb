package fault

import (
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOperatorsPage compares the operators' page with the table of kinds: each
// kind must have a section with its outcome, and each section a kind.
func TestOperatorsPage(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/ops/requests.md")
	c.Assert(err, qt.IsNil)
	got := make(map[Kind]string)
	for _, m := range regexp.MustCompile(`### (\S+)\n\nOutcome: (\S+)\.\n`).FindAllStringSubmatch(string(page), -1) {
		got[Kind(m[1])] = m[2]
	}
	want := make(map[Kind]string)
	for k, i := range Kinds() {
		want[k] = i.Outcome.String()
	}
	c.Assert(got, qt.DeepEquals, want)
}
