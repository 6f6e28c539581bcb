package joblog

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/proof/prop"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

var (
	nodeA = Node{Name: "a", Boot: "1"}
	nodeB = Node{Name: "b", Boot: "1"}
)

func accept(job string, n Node, items ...string) Accept {
	return Accept{JobID: job, ItemIDs: items, Node: n}
}

func apply(x *Index, recs ...Record) {
	for _, r := range recs {
		x.Apply(clock.Second, x.Next(), r)
	}
}

func TestApply(t *testing.T) {
	two := accept("j", nodeA, "x", "y")
	tests := map[string]struct {
		recs  []Record
		want  []int // items in the order of their places
		dead  []bool
		open  bool
		owner Node
	}{
		"accepted":                     {recs: []Record{two}, open: true, owner: nodeA},
		"repeat keeps the first owner": {recs: []Record{two, accept("j", nodeB, "x", "y")}, open: true, owner: nodeA},
		"order of records":             {recs: []Record{two, Done{JobID: "j", Item: 1}, Done{JobID: "j"}}, want: []int{1, 0}, dead: []bool{false, false}, owner: nodeA},
		"first result counts":          {recs: []Record{two, Done{JobID: "j", Item: 1, GivenUp: true}, Done{JobID: "j", Item: 1}}, want: []int{1}, dead: []bool{true}, open: true, owner: nodeA},
		"no result after the end":      {recs: []Record{two, Done{JobID: "j"}, End{JobID: "j"}, Done{JobID: "j", Item: 1}}, want: []int{0}, dead: []bool{false}, owner: nodeA},
		"item out of range":            {recs: []Record{two, Done{JobID: "j", Item: 2}, Done{JobID: "j", Item: -1}}, open: true, owner: nodeA},
		"unknown job":                  {recs: []Record{two, Done{JobID: "k"}, End{JobID: "k"}, Takeover{JobID: "k", Node: nodeB}}, open: true, owner: nodeA},
		"taken over":                   {recs: []Record{two, Takeover{JobID: "j", Node: nodeB}}, open: true, owner: nodeB},
		"not taken over after the end": {recs: []Record{two, End{JobID: "j"}, Takeover{JobID: "j", Node: nodeB}}, owner: nodeA},
		"job without items":            {recs: []Record{accept("j", nodeB), two}, open: true, owner: nodeA},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			x := New()
			apply(x, test.recs...)
			j := x.Job("j")
			var got []int
			var dead []bool
			for _, r := range j.Results {
				got, dead = append(got, r.Item), append(dead, r.GivenUp)
				c.Check(j.HasResult(r.Item), qt.IsTrue)
			}
			c.Check(got, qt.DeepEquals, test.want)
			c.Check(dead, qt.DeepEquals, test.dead)
			c.Check(j.IsOpen(), qt.Equals, test.open)
			c.Check(j.Owner, qt.Equals, test.owner)
		})
	}
}

func TestWorks(t *testing.T) {
	const within = 2 * clock.Second
	tests := map[string]struct {
		beats []Heartbeat
		now   clock.Millis
		want  bool
	}{
		"never heard of":  {now: clock.Second},
		"heard just now":  {beats: []Heartbeat{{Node: nodeA}}, now: 2 * clock.Second, want: true},
		"silent too long": {beats: []Heartbeat{{Node: nodeA}}, now: 4 * clock.Second},
		"leaves":          {beats: []Heartbeat{{Node: nodeA}, {Node: nodeA, Leaving: true}}, now: clock.Second},
		"started again":   {beats: []Heartbeat{{Node: nodeA}, {Node: Node{Name: "a", Boot: "2"}}}, now: clock.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			x := New()
			for _, b := range test.beats {
				apply(x, b)
			}
			c.Check(x.IsLive(test.now, within, nodeA), qt.Equals, test.want)
		})
	}
}

func TestQuietIsNoSignOfDeath(t *testing.T) {
	c := qt.New(t)
	x := New()
	apply(x, Heartbeat{Node: nodeA})
	x.MarkAllSeen(9 * clock.Second) // The store was away for eight seconds.
	c.Check(x.IsLive(10*clock.Second, 2*clock.Second, nodeA), qt.IsTrue)
	c.Check(x.LiveNodes(10*clock.Second, 2*clock.Second), qt.DeepEquals, []string{"a"})
}

func TestForgetKeepsOpenJobs(t *testing.T) {
	c := qt.New(t)
	x := New()
	apply(x, accept("open", nodeA, "x"), accept("ended", nodeA, "x"), End{JobID: "ended"})
	c.Check(x.Forget(2*clock.Second), qt.Equals, 1)
	c.Check(x.Job("open"), qt.IsNotNil)
	c.Check(x.Job("ended"), qt.IsNil)
}

// Appends may be repeated, come late and in any order, owners may change, and
// readers may read the same record again: all that read the same log list the
// same results, each item once, and a place never changes.
func TestSameListForEveryReader(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		items := []string{"x", "y", "z"}
		record := rapid.Custom(func(t *rapid.T) Record {
			job := rapid.SampledFrom([]string{"j", "k"}).Draw(t, "job")
			node := rapid.SampledFrom([]Node{nodeA, nodeB}).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0, 1:
				return accept(job, node, items...)
			case 2:
				return Takeover{JobID: job, Node: node}
			case 3:
				return End{JobID: job}
			case 4:
				return Heartbeat{Node: node}
			default:
				return Done{
					JobID: job, Item: rapid.IntRange(0, 2).Draw(t, "item"),
					TextAt: Location{Offset: rapid.Int64Range(0, 99).Draw(t, "offset")}, GivenUp: rapid.Bool().Draw(t, "dead"),
				}
			}
		})
		log := rapid.SliceOfN(record, 0, 40).Draw(t, "log")
		steady := New()
		seen := make(map[string][]Result)
		for off, r := range log {
			steady.Apply(clock.Millis(off), int64(off), r)
			steady.EachJob(func(j *Job) {
				before := seen[j.JobID]
				if len(j.Results) < len(before) || fmt.Sprint(j.Results[:len(before)]) != fmt.Sprint(before) {
					t.Fatalf("results of %s changed from %v to %v", j.JobID, before, j.Results)
				}
				seen[j.JobID] = append([]Result(nil), j.Results...)
				once := make(map[int]bool)
				for _, res := range j.Results {
					if once[res.Item] {
						t.Fatalf("item %d of %s is listed twice", res.Item, j.JobID)
					}
					once[res.Item] = true
				}
			})
		}
		// Another reader reads in pages that overlap.
		paged := New()
		for paged.Next() < int64(len(log)) {
			from := max(0, paged.Next()-rapid.Int64Range(0, 5).Draw(t, "back"))
			to := min(int64(len(log)), paged.Next()+rapid.Int64Range(1, 7).Draw(t, "page"))
			for off := from; off < to; off++ {
				paged.Apply(clock.Millis(off), off, log[off])
			}
		}
		steady.EachJob(func(j *Job) {
			o := paged.Job(j.JobID)
			if o == nil || fmt.Sprint(o.Results) != fmt.Sprint(j.Results) || o.Owner != j.Owner || o.Ended != j.Ended {
				t.Fatalf("two readers differ on %s: %+v and %+v", j.JobID, j, o)
			}
		})
		// A node that starts later finds that the store has dropped the first
		// records. Jobs of which it has all are the same there.
		cut := rapid.Int64Range(0, int64(len(log))).Draw(t, "cut")
		late := New()
		for off := range log {
			late.Skip(cut)
			late.Apply(clock.Millis(off), int64(off), log[off])
		}
		steady.EachJob(func(j *Job) {
			first := slices.IndexFunc(log, func(r Record) bool { a, ok := r.(Accept); return ok && a.JobID == j.JobID })
			if o := late.Job(j.JobID); int64(first) >= cut && (o == nil || fmt.Sprint(o.Results) != fmt.Sprint(j.Results) || o.Owner != j.Owner || o.Ended != j.Ended) {
				t.Fatalf("a reader from %d on differs on %s: %+v and %+v", cut, j.JobID, j, o)
			}
		})
	})
}

func TestPart(t *testing.T) {
	two := accept("j", nodeA, "x", "y")
	tests := map[string]struct {
		recs []Record
		want int // events of the first item's stored text
	}{
		"none":                {[]Record{two}, 0},
		"longest counts":      {[]Record{two, Checkpoint{JobID: "j", Events: 40}, Checkpoint{JobID: "j", Events: 90}, Checkpoint{JobID: "j", Events: 60}}, 90},
		"another item":        {[]Record{two, Checkpoint{JobID: "j", Item: 1, Events: 40}}, 0},
		"out of range":        {[]Record{two, Checkpoint{JobID: "j", Item: 2, Events: 40}, Checkpoint{JobID: "k", Events: 40}}, 0},
		"listed":              {[]Record{two, Checkpoint{JobID: "j", Events: 40}, Done{JobID: "j"}}, 0},
		"after it was listed": {[]Record{two, Done{JobID: "j"}, Checkpoint{JobID: "j", Events: 40}}, 0},
		"after the end":       {[]Record{two, End{JobID: "j"}, Checkpoint{JobID: "j", Events: 40}}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			x := New()
			apply(x, test.recs...)
			p, ok := x.Job("j").Checkpoint(0)
			c.Check(ok, qt.Equals, test.want > 0)
			if ok {
				c.Check(p.Events, qt.Equals, test.want)
			}
		})
	}
}
