package spread

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

func TestOwnerIsFirstOfTop(t *testing.T) {
	c := qt.New(t)
	var nodes []ident.Node
	for i := range 50 {
		key := fmt.Sprint("round/", i)
		owner, ok := Owner(key, nodes)
		c.Assert(ok, qt.Equals, len(nodes) > 0)
		if ok {
			c.Assert(owner, qt.Equals, Top(key, nodes, 3)[0])
		}
		nodes = append(nodes, ident.Node(fmt.Sprint("entry-", i)))
	}
}

func TestRemovedNodeMovesOnlyItsKeys(t *testing.T) {
	c := qt.New(t)
	nodes := []ident.Node{"a", "b", "c", "d", "e"}
	keyCounts := make(map[ident.Node]int)
	for i := range 1000 {
		key := fmt.Sprint("round/", i)
		before, _ := Owner(key, nodes)
		after, _ := Owner(key, nodes[1:])
		keyCounts[before]++
		c.Assert(before == after || before == "a", qt.IsTrue)
	}
	for _, n := range nodes {
		c.Check(keyCounts[n] > 150 && keyCounts[n] < 250, qt.IsTrue,
			qt.Commentf("%s has %d of 1000 keys", n, keyCounts[n]))
	}
}
