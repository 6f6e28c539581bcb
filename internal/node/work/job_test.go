package work

import (
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/decide/lots"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
)

func texts(prefix string, n int) []runs.Event {
	var out []runs.Event
	for i := range n {
		out = append(out, runs.Event{Version: 1, Data: []byte(prefix + string(rune('0'+i)))})
	}
	return out
}

func joined(evs []runs.Event) string {
	var out []string
	for _, e := range evs {
		out = append(out, string(e.Data))
	}
	return strings.Join(out, " ")
}

// A text goes on after the event for which its next run was asked: what the
// slower run has made since then is dropped, so that pieces of two runs are
// never joined elsewhere.
func TestAdopt(t *testing.T) {
	nop := func() {}
	tests := map[string]struct {
		held int // before the current attempt
		cur  int // events of the current attempt when the next one is asked
		more int // events that come until the next one begins
		next int // events of the next attempt
		want string
	}{
		"nothing held":            {0, 0, 0, 2, "n0 n1"},
		"at once":                 {0, 2, 0, 2, "c0 c1 n0 n1"},
		"the slower one went on":  {0, 2, 3, 1, "c0 c1 n0"},
		"after an earlier resume": {2, 1, 2, 2, "h0 h1 c0 n0 n1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			st := &item{held: texts("h", test.held)}
			st.cur = &attempt{cancel: nop, from: st.made()}
			all := texts("c", test.cur+test.more)
			st.cur.events = append(st.cur.events, all[:test.cur]...)
			st.next = &attempt{cancel: nop, from: st.made()}
			st.cur.events = append(st.cur.events, all[test.cur:]...)
			st.adopt()
			st.cur.events = append(st.cur.events, texts("n", test.next)...)
			c.Check(st.made(), qt.Equals, test.held+test.cur+test.next)
			st.settle()
			c.Check(joined(st.held), qt.Equals, test.want)
		})
	}
}

func TestVersionOfTheLastEvent(t *testing.T) {
	c := qt.New(t)
	st := &item{}
	c.Check(st.version(), qt.Equals, int64(0))
	st.held = []runs.Event{{Version: 3}, {Version: 4}}
	c.Check(st.version(), qt.Equals, int64(4))
	st.cur = &attempt{from: 2}
	c.Check(st.version(), qt.Equals, int64(4))
	st.cur.events = []runs.Event{{Version: 5}}
	c.Check(st.version(), qt.Equals, int64(5))
}

// A result that another node has listed ends the item's runs here.
func TestListedElsewhere(t *testing.T) {
	c := qt.New(t)
	ix := lots.New()
	ix.Apply(1, 0, lots.Accept{Job: "j", Items: []string{"a", "b"}})
	j := newJob(context.Background(), ix.Job("j"))
	j.start(1, make([]lots.Item, 2))
	stopped := false
	j.state[1] = item{phase: running, cur: &attempt{cancel: func() { stopped = true }}}
	ix.Apply(1, 1, lots.Done{Job: "j", Item: 1})
	j.update(ix.Job("j"))
	c.Check(stopped, qt.IsTrue)
	c.Check(j.busy(), qt.Equals, 0)
	c.Check(j.wants(1, 1), qt.HasLen, 1)
}

func TestMovedEngines(t *testing.T) {
	c := qt.New(t)
	c.Check(moved(map[string]int{"a": 6, "b": 3}, map[string]int{"a": 5, "b": 4}), qt.Equals, 1)
	c.Check(moved(map[string]int{"a": 3}, map[string]int{"a": 3}), qt.Equals, 0)
}
