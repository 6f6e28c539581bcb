package spread

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

func TestFirstIsTheTopOne(t *testing.T) {
	c := qt.New(t)
	var ns []ident.Node
	for i := range 50 {
		key := fmt.Sprint("round/", i)
		first, ok := Owner(key, ns)
		c.Assert(ok, qt.Equals, len(ns) > 0)
		if ok {
			c.Assert(first, qt.Equals, Top(key, ns, 3)[0])
		}
		ns = append(ns, ident.Node(fmt.Sprint("entry-", i)))
	}
}

func TestALostNodeMovesOnlyItsKeys(t *testing.T) {
	c := qt.New(t)
	ns := []ident.Node{"a", "b", "c", "d", "e"}
	had := make(map[ident.Node]int)
	for i := range 1000 {
		key := fmt.Sprint("round/", i)
		before, _ := Owner(key, ns)
		after, _ := Owner(key, ns[1:])
		had[before]++
		c.Assert(before == after || before == "a", qt.IsTrue)
	}
	for _, n := range ns {
		c.Check(had[n] > 150 && had[n] < 250, qt.IsTrue, qt.Commentf("%s has %d of 1000 keys", n, had[n]))
	}
}
