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

func members(names string) []Member {
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

// TestMembers runs scripts whose steps have the form "SECOND EVENT ARGUMENTS". In
// a list, "a!" is a node that is leaving. "b@a" is node b at the address of a.
// The number after a node is its incarnation (seen) or the age of the report in
// seconds (leaving, dead).
func TestMembers(t *testing.T) {
	tests := map[string]struct {
		script []string
		at     clock.Millis // s
		want   string
	}{
		"listed":                                 {[]string{"0 list a b"}, 1, "a b me"},
		"empty list is ignored":                  {[]string{"0 list a b", "1 list"}, 2, "a b me"},
		"live node missing from the list":        {[]string{"0 list a b", "1 seen a 1", "2 list b"}, 3, "a b me"},
		"missing from the list and not seen":     {[]string{"0 list a b", "1 seen a 1", "5 list b"}, 6, "b me"},
		"seen before it is listed":               {[]string{"0 list b", "1 seen a 1"}, 2, "a b me"},
		"calls fail":                             {[]string{"0 list a b", "1 fail a", "2 fail a"}, 4, "b me"},
		"calls fail for less than the timeout":   {[]string{"0 list a b", "1 fail a"}, 3, "a b me"},
		"seen again after failed calls":          {[]string{"0 list a b", "1 fail a", "5 seen a 1"}, 6, "a b me"},
		"reported dead":                          {[]string{"0 list a b", "1 dead a"}, 2, "b me"},
		"reported dead, but seen since":          {[]string{"0 list a b", "1 seen a 1", "2 dead a 2"}, 3, "a b me"},
		"reported dead, seen before":             {[]string{"0 list a b", "1 seen a 1", "3 dead a 1"}, 4, "b me"},
		"reported dead long ago":                 {[]string{"0 list a b", "1 dead a"}, 5, "a b me"},
		"own node reported dead":                 {[]string{"0 list a me", "1 dead me"}, 2, "a me"},
		"listed as leaving":                      {[]string{"0 list a! b", "1 seen a 1"}, 2, "a! b me"},
		"own node listed as leaving":             {[]string{"0 list a me!"}, 2, "a me!"},
		"reported as leaving":                    {[]string{"0 list a b", "1 seen a 1", "2 leaving a 5"}, 3, "a! b me"},
		"reported as leaving long ago":           {[]string{"0 list a b", "2 leaving a 5"}, 28, "a b me"},
		"own node reported as leaving":           {[]string{"0 list a me", "2 leaving me"}, 3, "a me!"},
		"reported as leaving, own list is newer": {[]string{"0 list a b", "2 leaving a 5", "3 list a b"}, 4, "a b me"},
		"restart and late message":               {[]string{"0 list a", "1 seen a 1", "2 seen a 2", "3 fail a", "4 seen a 1"}, 6, "me"},
		"mass replacement":                       {[]string{"0 list a b c", "1 seen a 1", "2 seen b 1", "6 list x y z"}, 7, "me x y z"},
		"address reused by another node":         {[]string{"0 list a", "1 list a b@a", "2 seen b@a 1"}, 3, "b me"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(DefaultPolicy(), entry("me"))
			for _, step := range tc.script {
				runStep(r, step)
			}
			qt.Assert(t, names(r.Members(clock.Hour+tc.at*clock.Second)), qt.Equals, tc.want)
		})
	}
}

func runStep(r *Roster, step string) {
	var at, number int
	var event, node string
	_, _ = fmt.Sscanf(step, "%d %s %s %d", &at, &event, &node, &number)
	now := clock.Hour + clock.Millis(at)*clock.Second
	name, addr, hasAddr := strings.Cut(node, "@")
	m := entry(name)
	if hasAddr {
		m.Addr = "ip-" + addr
	}
	switch event {
	case "list":
		_, rest, _ := strings.Cut(step, "list")
		ms := members(rest)
		for i := range ms {
			listedName, listedAddr, ok := strings.Cut(string(ms[i].Node), "@")
			if ok {
				ms[i].Node, ms[i].Addr = ident.Node(listedName), "ip-"+listedAddr
			}
		}
		r.SetListed(now, ms)
	case "seen":
		r.RecordContact(now, Contact{Member: m, Incarnation: ident.Incarnation(number)})
	case "fail":
		r.RecordFailure(now, m.Node)
	case "leaving":
		r.MergeLeaving(now, Departure{Node: m.Node, Age: clock.Millis(number) * clock.Second})
	case "dead":
		r.MergeDead(now, Departure{Node: m.Node, Age: clock.Millis(number) * clock.Second})
	}
}

// TestStaleContact checks that RecordContact reports false for a contact of a
// replaced incarnation.
func TestStaleContact(t *testing.T) {
	c := qt.New(t)
	r := New(DefaultPolicy(), entry("me"))
	for _, tc := range []struct {
		incarnation ident.Incarnation
		want        bool
	}{{1, true}, {2, true}, {1, false}, {2, true}} {
		c.Assert(r.RecordContact(clock.Hour, Contact{Member: entry("a"), Incarnation: tc.incarnation}), qt.Equals, tc.want)
	}
}

// TestProbeTargets checks that in a large deployment no entry calls all others,
// that each entry is called by several others, and that gossip reaches all
// entries in a few rounds.
func TestProbeTargets(t *testing.T) {
	tests := map[string]struct{ entries, calls, rounds int }{
		"three entries": {entries: 3, calls: 2, rounds: 1},
		"nine entries":  {entries: 9, calls: 8, rounds: 1},
		"400 entries":   {entries: 400, calls: 8, rounds: 8},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var all []Member
			for i := range tc.entries {
				all = append(all, entry(fmt.Sprintf("e%03d", i)))
			}
			targets := make(map[ident.Node][]Member)
			called := make(map[ident.Node]int)
			for _, m := range all {
				r := New(DefaultPolicy(), m)
				r.SetListed(clock.Hour, all)
				targets[m.Node] = r.ProbeTargets()
				c.Assert(len(targets[m.Node]), qt.Equals, tc.calls)
				for _, target := range targets[m.Node] {
					called[target.Node]++
				}
			}
			for _, m := range all {
				c.Assert(called[m.Node] >= tc.calls/2, qt.IsTrue, qt.Commentf("%s is called by %d", m.Node, called[m.Node]))
			}
			informed := map[ident.Node]bool{"e000": true}
			for range tc.rounds {
				before := maps.Clone(informed)
				for n := range targets {
					for _, target := range targets[n] {
						if before[n] || before[target.Node] { // a call exchanges gossip both ways
							informed[n], informed[target.Node] = true, true
						}
					}
				}
			}
			c.Assert(len(informed), qt.Equals, tc.entries)
		})
	}
}
