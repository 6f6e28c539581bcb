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

func init() { prop.Cases(20000) }

var (
	nodeA = Node{Name: "a", Boot: "1"}
	nodeB = Node{Name: "b", Boot: "1"}
)

func accept(job string, n Node, items ...string) Accept {
	return Accept{JobID: job, ItemIDs: items, Node: n}
}

func apply(x *Index, recs ...Record) {
	for _, r := range recs {
		x.Apply(clock.Second, x.NextOffset(), r)
	}
}

func TestApply(t *testing.T) {
	twoItems := accept("j", nodeA, "x", "y")
	tests := map[string]struct {
		recs    []Record
		want    []int  // items in the order of their results
		givenUp []bool // whether each of these items was given up
		open    bool
		owner   Node
	}{
		"accepted":                         {recs: []Record{twoItems}, open: true, owner: nodeA},
		"duplicate accept keeps the owner": {recs: []Record{twoItems, accept("j", nodeB, "x", "y")}, open: true, owner: nodeA},
		"results in record order":          {recs: []Record{twoItems, Done{JobID: "j", Item: 1}, Done{JobID: "j"}}, want: []int{1, 0}, givenUp: []bool{false, false}, owner: nodeA},
		"first result counts":              {recs: []Record{twoItems, Done{JobID: "j", Item: 1, GivenUp: true}, Done{JobID: "j", Item: 1}}, want: []int{1}, givenUp: []bool{true}, open: true, owner: nodeA},
		"no result after the end":          {recs: []Record{twoItems, Done{JobID: "j"}, End{JobID: "j"}, Done{JobID: "j", Item: 1}}, want: []int{0}, givenUp: []bool{false}, owner: nodeA},
		"item out of range":                {recs: []Record{twoItems, Done{JobID: "j", Item: 2}, Done{JobID: "j", Item: -1}}, open: true, owner: nodeA},
		"unknown job":                      {recs: []Record{twoItems, Done{JobID: "k"}, End{JobID: "k"}, Takeover{JobID: "k", Node: nodeB}}, open: true, owner: nodeA},
		"takeover":                         {recs: []Record{twoItems, Takeover{JobID: "j", Node: nodeB}}, open: true, owner: nodeB},
		"no takeover after the end":        {recs: []Record{twoItems, End{JobID: "j"}, Takeover{JobID: "j", Node: nodeB}}, owner: nodeA},
		"job without items":                {recs: []Record{accept("j", nodeB), twoItems}, open: true, owner: nodeA},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			x := New()
			apply(x, test.recs...)
			j := x.Job("j")
			var got []int
			var givenUp []bool
			for _, r := range j.Results {
				got, givenUp = append(got, r.Item), append(givenUp, r.GivenUp)
				c.Check(j.HasResult(r.Item), qt.IsTrue)
			}
			c.Check(got, qt.DeepEquals, test.want)
			c.Check(givenUp, qt.DeepEquals, test.givenUp)
			c.Check(j.IsOpen(), qt.Equals, test.open)
			c.Check(j.Owner, qt.Equals, test.owner)
		})
	}
}

func TestIsLive(t *testing.T) {
	const timeout = 2 * clock.Second
	tests := map[string]struct {
		heartbeats []Heartbeat
		now        clock.Millis
		want       bool
	}{
		"no heartbeat":      {now: clock.Second},
		"recent heartbeat":  {heartbeats: []Heartbeat{{Node: nodeA}}, now: 2 * clock.Second, want: true},
		"heartbeat too old": {heartbeats: []Heartbeat{{Node: nodeA}}, now: 4 * clock.Second},
		"leaving":           {heartbeats: []Heartbeat{{Node: nodeA}, {Node: nodeA, Leaving: true}}, now: clock.Second},
		"newer incarnation": {heartbeats: []Heartbeat{{Node: nodeA}, {Node: Node{Name: "a", Boot: "2"}}}, now: clock.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			x := New()
			for _, h := range test.heartbeats {
				x.ApplyHeartbeat(0, h)
			}
			c.Check(x.IsLive(test.now, timeout, nodeA), qt.Equals, test.want)
		})
	}
}

func TestStoreOutageIsNoNodeFailure(t *testing.T) {
	c := qt.New(t)
	x := New()
	x.ApplyHeartbeat(0, Heartbeat{Node: nodeA})
	x.MarkAllSeen(9 * clock.Second) // after a store outage of eight seconds
	c.Check(x.IsLive(10*clock.Second, 2*clock.Second, nodeA), qt.IsTrue)
	c.Check(x.LiveNodes(10*clock.Second, 2*clock.Second, 5*clock.Second), qt.DeepEquals, []string{"a"})
}

// Nobody must count as dead because heartbeats were not read for a while.
func TestGapBetweenReadsIsNoNodeFailure(t *testing.T) {
	tests := map[string]struct {
		readAt clock.Millis // after the heartbeat at 1 s and a read at 1 s
		want   bool
	}{
		"read often":    {2 * clock.Second, false},
		"read in a gap": {9 * clock.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := New()
			x.ApplyHeartbeat(clock.Second, Heartbeat{Node: nodeA})
			x.HeartbeatsRead(clock.Second, 1500)
			x.HeartbeatsRead(test.readAt, 1500)
			qt.Check(t, x.IsLive(test.readAt+1500, 2*clock.Second, nodeA), qt.Equals, test.want)
		})
	}
}

// A node that owns no job sends few heartbeats and counts as alive for longer, but not
// once it owns a job.
func TestIdleNode(t *testing.T) {
	tests := map[string]struct {
		records []Record
		now     clock.Millis
		want    []string
	}{
		"idle":                         {now: 4 * clock.Second, want: []string{"a"}},
		"idle for too long":            {now: 6 * clock.Second},
		"accepted a job":               {[]Record{accept("j", nodeA, "x")}, 2 * clock.Second, []string{"a"}},
		"accepted a job, then silent":  {[]Record{accept("j", nodeA, "x")}, 4 * clock.Second, nil},
		"took a job over, then silent": {[]Record{accept("j", nodeB, "x"), Takeover{JobID: "j", Node: nodeA}}, 4 * clock.Second, nil},
		"another node's job":           {[]Record{accept("j", nodeB, "x")}, 4 * clock.Second, []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := New()
			x.ApplyHeartbeat(0, Heartbeat{Node: nodeA, Idle: true})
			apply(x, test.records...)
			qt.Check(t, x.LiveNodes(test.now, 2*clock.Second, 5*clock.Second), qt.DeepEquals, test.want)
		})
	}
}

func TestForgetKeepsOpenJobs(t *testing.T) {
	c := qt.New(t)
	x := New()
	apply(x, accept("open", nodeA, "x"), accept("ended", nodeA, "x"), End{JobID: "ended"})
	c.Check(x.Prune(2*clock.Second), qt.Equals, 1)
	c.Check(x.Job("open"), qt.IsNotNil)
	c.Check(x.Job("ended"), qt.IsNil)
}

// TestSameListForEveryReader checks on random logs, with duplicate and late
// records and changes of owner, that all readers of a log have the same results
// in the same order, also if they read records twice or start late. Each item
// has at most one result, and a result never moves in the list.
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
				return Checkpoint{JobID: job, Item: rapid.IntRange(0, 2).Draw(t, "item"), Events: rapid.IntRange(1, 9).Draw(t, "events")}
			default:
				return Done{
					JobID: job, Item: rapid.IntRange(0, 2).Draw(t, "item"),
					OutputAt: Location{Offset: rapid.Int64Range(0, 99).Draw(t, "offset")}, GivenUp: rapid.Bool().Draw(t, "given up"),
				}
			}
		})
		log := rapid.SliceOfN(record, 0, 40).Draw(t, "log")
		reference := New()
		seen := make(map[string][]Result)
		for off, r := range log {
			reference.Apply(clock.Millis(off), int64(off), r)
			reference.EachJob(func(j *Job) {
				before := seen[j.JobID] // results after the previous record
				if len(j.Results) < len(before) || fmt.Sprint(j.Results[:len(before)]) != fmt.Sprint(before) {
					t.Fatalf("results of %s changed from %v to %v", j.JobID, before, j.Results)
				}
				seen[j.JobID] = append([]Result(nil), j.Results...)
				hasResult := make(map[int]bool)
				for _, res := range j.Results {
					if hasResult[res.Item] {
						t.Fatalf("item %d of %s has two results", res.Item, j.JobID)
					}
					hasResult[res.Item] = true
				}
			})
		}
		// A second reader reads overlapping pages, so it sees records twice.
		paged := New()
		for paged.NextOffset() < int64(len(log)) {
			from := max(0, paged.NextOffset()-rapid.Int64Range(0, 5).Draw(t, "back"))
			to := min(int64(len(log)), paged.NextOffset()+rapid.Int64Range(1, 7).Draw(t, "page"))
			for off := from; off < to; off++ {
				paged.Apply(clock.Millis(off), off, log[off])
			}
		}
		reference.EachJob(func(j *Job) {
			other := paged.Job(j.JobID)
			if other == nil || fmt.Sprint(other.Results) != fmt.Sprint(j.Results) ||
				other.Owner != j.Owner || other.Ended != j.Ended {
				t.Fatalf("two readers differ on %s: %+v and %+v", j.JobID, j, other)
			}
		})
		// A node that starts late cannot read the first records, which the store
		// has removed. It agrees on the jobs whose records it can all read.
		cut := rapid.Int64Range(0, int64(len(log))).Draw(t, "cut")
		late := New()
		for off := range log {
			late.Skip(cut)
			late.Apply(clock.Millis(off), int64(off), log[off])
		}
		reference.EachJob(func(j *Job) {
			first := slices.IndexFunc(log, func(r Record) bool { a, ok := r.(Accept); return ok && a.JobID == j.JobID })
			if other := late.Job(j.JobID); int64(first) >= cut &&
				(other == nil || fmt.Sprint(other.Results) != fmt.Sprint(j.Results) ||
					other.Owner != j.Owner || other.Ended != j.Ended) {
				t.Fatalf("a reader from offset %d differs on %s: %+v and %+v", cut, j.JobID, j, other)
			}
		})
	})
}

func TestCheckpoint(t *testing.T) {
	twoItems := accept("j", nodeA, "x", "y")
	tests := map[string]struct {
		recs []Record
		want int // events in the checkpoint of item 0, 0 for none
	}{
		"none":                                {[]Record{twoItems}, 0},
		"longest checkpoint counts":           {[]Record{twoItems, Checkpoint{JobID: "j", Events: 40}, Checkpoint{JobID: "j", Events: 90}, Checkpoint{JobID: "j", Events: 60}}, 90},
		"dropped":                             {[]Record{twoItems, Checkpoint{JobID: "j", Events: 40}, Checkpoint{JobID: "j"}}, 0},
		"shorter one after a dropped one":     {[]Record{twoItems, Checkpoint{JobID: "j", Events: 90}, Checkpoint{JobID: "j"}, Checkpoint{JobID: "j", Events: 40}}, 40},
		"one of another item is dropped":      {[]Record{twoItems, Checkpoint{JobID: "j", Events: 40}, Checkpoint{JobID: "j", Item: 1}}, 40},
		"checkpoint of another item":          {[]Record{twoItems, Checkpoint{JobID: "j", Item: 1, Events: 40}}, 0},
		"item out of range or unknown job":    {[]Record{twoItems, Checkpoint{JobID: "j", Item: 2, Events: 40}, Checkpoint{JobID: "k", Events: 40}}, 0},
		"result after the checkpoint":         {[]Record{twoItems, Checkpoint{JobID: "j", Events: 40}, Done{JobID: "j"}}, 0},
		"checkpoint after the result":         {[]Record{twoItems, Done{JobID: "j"}, Checkpoint{JobID: "j", Events: 40}}, 0},
		"checkpoint after the end of the job": {[]Record{twoItems, End{JobID: "j"}, Checkpoint{JobID: "j", Events: 40}}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			x := New()
			apply(x, test.recs...)
			cp, ok := x.Job("j").Checkpoint(0)
			c.Check(ok, qt.Equals, test.want > 0)
			if ok {
				c.Check(cp.Events, qt.Equals, test.want)
			}
		})
	}
}
