package roster

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

func entry(n string) Member { return Member{Node: ident.Node(n), Entry: true, Addr: "ip-" + n} }

func list(names string) []Member {
	var out []Member
	for _, n := range strings.Fields(names) {
		m := entry(strings.TrimSuffix(n, "!"))
		m.Leaving = strings.HasSuffix(n, "!")
		out = append(out, m)
	}
	return out
}

func names(ms []Member) string {
	var out []string
	for _, m := range ms {
		s := string(m.Node)
		if m.Leaving {
			s += "!"
		}
		out = append(out, s)
	}
	return strings.Join(out, " ")
}

// TestMembers runs scripts, one event a step: "SECOND EVENT ARGUMENTS".
func TestMembers(t *testing.T) {
	tests := map[string]struct {
		script []string
		at     clock.Millis // s
		want   string
	}{
		"listed":                      {[]string{"0 list a b"}, 1, "a b me"},
		"empty list is not believed":  {[]string{"0 list a b", "1 list"}, 2, "a b me"},
		"list forgets a live node":    {[]string{"0 list a b", "1 heard a 1", "2 list b"}, 3, "a b me"},
		"list forgets a silent node":  {[]string{"0 list a b", "1 heard a 1", "5 list b"}, 6, "b me"},
		"heard before it is listed":   {[]string{"0 list b", "1 heard a 1"}, 2, "a b me"},
		"does not answer":             {[]string{"0 list a b", "1 fail a", "2 fail a"}, 4, "b me"},
		"does not answer for a while": {[]string{"0 list a b", "1 fail a"}, 3, "a b me"},
		"answers again":               {[]string{"0 list a b", "1 fail a", "5 heard a 1"}, 6, "a b me"},
		"told dead":                   {[]string{"0 list a b", "1 told a"}, 2, "b me"},
		"told dead, but heard":        {[]string{"0 list a b", "1 heard a 1", "2 told a 2"}, 3, "a b me"},
		"told dead, heard before":     {[]string{"0 list a b", "1 heard a 1", "3 told a 1"}, 4, "b me"},
		"told dead, long ago":         {[]string{"0 list a b", "1 told a"}, 5, "a b me"},
		"told dead, of oneself":       {[]string{"0 list a me", "1 told me"}, 2, "a me"},
		"list says it leaves":         {[]string{"0 list a! b", "1 heard a 1"}, 2, "a! b me"},
		"list tells oneself to leave": {[]string{"0 list a me!"}, 2, "a me!"},
		"told that it leaves":         {[]string{"0 list a b", "1 heard a 1", "2 going a 5"}, 3, "a! b me"},
		"told that it left, long ago": {[]string{"0 list a b", "2 going a 5"}, 28, "a b me"},
		"told that oneself leaves":    {[]string{"0 list a me", "2 going me"}, 3, "a me!"},
		"own list is newer":           {[]string{"0 list a b", "2 going a 5", "3 list a b"}, 4, "a b me"},
		"restart and late message":    {[]string{"0 list a", "1 heard a 1", "2 heard a 2", "3 fail a", "4 heard a 1"}, 6, "me"},
		"mass replacement":            {[]string{"0 list a b c", "1 heard a 1", "2 heard b 1", "6 list x y z"}, 7, "me x y z"},
		"address taken over":          {[]string{"0 list a", "1 list a b@a", "2 heard b@a 1"}, 3, "b me"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(DefaultPolicy(), entry("me"))
			for _, step := range tc.script {
				play(r, step)
			}
			qt.Assert(t, names(r.Members(clock.Hour+tc.at*clock.Second)), qt.Equals, tc.want)
		})
	}
}

func play(r *Roster, step string) {
	var at, boot int
	var event, node string
	_, _ = fmt.Sscanf(step, "%d %s %s %d", &at, &event, &node, &boot)
	now := clock.Hour + clock.Millis(at)*clock.Second
	name, addr, moved := strings.Cut(node, "@")
	m := entry(name)
	if moved {
		m.Addr = "ip-" + addr
	}
	switch event {
	case "list":
		_, rest, _ := strings.Cut(step, "list")
		ms := list(rest)
		for i := range ms {
			n, a, ok := strings.Cut(string(ms[i].Node), "@")
			if ok {
				ms[i].Node, ms[i].Addr = ident.Node(n), "ip-"+a
			}
		}
		r.SetListed(now, ms)
	case "heard":
		r.RecordContact(now, Contact{Member: m, Boot: ident.Incarnation(boot)})
	case "fail":
		r.RecordFailure(now, m.Node)
	case "going":
		r.MergeLeaving(now, Departure{Node: m.Node, Age: clock.Millis(boot) * clock.Second})
	case "told":
		r.MergeDead(now, Departure{Node: m.Node, Age: clock.Millis(boot) * clock.Second})
	}
}

// TestReplaced shows the caller that a contact is of a replaced process.
func TestReplaced(t *testing.T) {
	c := qt.New(t)
	r := New(DefaultPolicy(), entry("me"))
	for _, tc := range []struct {
		boot ident.Incarnation
		want bool
	}{{1, true}, {2, true}, {1, false}, {2, true}} {
		c.Assert(r.RecordContact(clock.Hour, Contact{Member: entry("a"), Boot: tc.boot}), qt.Equals, tc.want)
	}
}

// TestWatch checks that in a large deployment nobody calls everybody, each
// entry is called by several others, and news reach all in a few rounds.
func TestWatch(t *testing.T) {
	tests := map[string]struct{ entries, calls, rounds int }{
		"three entries": {entries: 3, calls: 2, rounds: 1},
		"nine entries":  {entries: 9, calls: 8, rounds: 1},
		"target":        {entries: 400, calls: 8, rounds: 8},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var all []Member
			for i := range tc.entries {
				all = append(all, entry(fmt.Sprintf("e%03d", i)))
			}
			watch := make(map[ident.Node][]Member)
			called := make(map[ident.Node]int)
			for _, m := range all {
				r := New(DefaultPolicy(), m)
				r.SetListed(clock.Hour, all)
				watch[m.Node] = r.ProbeTargets()
				c.Assert(len(watch[m.Node]), qt.Equals, tc.calls)
				for _, w := range watch[m.Node] {
					called[w.Node]++
				}
			}
			for _, m := range all {
				c.Assert(called[m.Node] >= tc.calls/2, qt.IsTrue, qt.Commentf("%s is called by %d", m.Node, called[m.Node]))
			}
			knows := map[ident.Node]bool{"e000": true}
			for range tc.rounds {
				before := maps.Clone(knows)
				for n := range watch {
					for _, w := range watch[n] {
						if before[n] || before[w.Node] { // a call carries news both ways
							knows[n], knows[w.Node] = true, true
						}
					}
				}
			}
			c.Assert(len(knows), qt.Equals, tc.entries)
		})
	}
}
