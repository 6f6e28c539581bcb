package match

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
)

const (
	start = 100 * clock.Second
	svc   = ident.Service("model")
)

func node(i int) ident.Node { return ident.Node(fmt.Sprintf("agent-%02d", i)) }

// idle is a server with four free slots.
func idle(i int) Server {
	return Server{Node: node(i), Boot: 1, Seq: 1, Service: svc, Version: 1, Slots: 4, Zone: "a", Region: "main"}
}

func with(s Server, change func(*Server)) Server {
	change(&s)
	return s
}

// plain is an item that may wait 1 s to start and 10 s to finish.
func plain(id uint64) Item {
	return Item{ID: id, Class: "draft", Service: svc, StartBy: start + clock.Second, FinishBy: start + 10*clock.Second}
}

func items(n int, change func(*Item)) []Item {
	var out []Item
	for i := range n {
		it := plain(uint64(i + 1))
		change(&it)
		out = append(out, it)
	}
	return out
}

func none(*Item) {}

// TestPlace lets items arrive at once and counts the grants of each server
// after some time.
func TestPlace(t *testing.T) {
	policy := DefaultPolicy()
	policy.Zone, policy.Region = "a", "main"
	near, far := idle(1), with(idle(2), func(s *Server) { s.Zone, s.Region = "c", "far" })
	tests := map[string]struct {
		servers []Server
		items   []Item
		after   clock.Millis
		want    map[ident.Node]int
	}{
		"no more than the slots, without a new report": {[]Server{idle(1)}, items(9, none), 0, map[ident.Node]int{node(1): 4}},
		"the work of others takes slots": {
			[]Server{with(idle(1), func(s *Server) { s.Running = 3 })},
			items(9, none), 0,
			map[ident.Node]int{node(1): 1},
		},
		"a later report counts own work once": {
			[]Server{idle(1), with(idle(1), func(s *Server) { s.Seq, s.Running, s.OwnRunning = 2, 2, 2 })},
			items(9, none), 0,
			map[ident.Node]int{node(1): 4},
		},
		"an older report is dropped": {
			[]Server{with(idle(1), func(s *Server) { s.Seq, s.Running = 5, 4 }), idle(1)},
			items(9, none), 0,
			map[ident.Node]int{},
		},
		"even load":         {[]Server{idle(1), idle(2)}, items(4, none), 0, map[ident.Node]int{node(1): 2, node(2): 2}},
		"leaving":           {[]Server{with(idle(1), func(s *Server) { s.Leaving = true })}, items(1, none), 0, map[ident.Node]int{}},
		"loading":           {[]Server{with(idle(1), func(s *Server) { s.Loading = true })}, items(1, none), 0, map[ident.Node]int{}},
		"lease has passed":  {[]Server{idle(1)}, items(9, none), 4 * clock.Second, map[ident.Node]int{node(1): 4}},
		"version too old":   {[]Server{idle(1)}, items(1, func(it *Item) { it.MinVersion = 2 }), 0, map[ident.Node]int{}},
		"another service":   {[]Server{with(idle(1), func(s *Server) { s.Service = "other" })}, items(1, none), 0, map[ident.Node]int{}},
		"avoids its last":   {[]Server{idle(1), idle(2)}, items(3, func(it *Item) { it.Avoid = sets.Of(node(1)) }), 0, map[ident.Node]int{node(2): 3}},
		"only its last one": {[]Server{idle(1)}, items(1, func(it *Item) { it.Avoid = sets.Of(node(1)) }), clock.Second, map[ident.Node]int{node(1): 1}},
		"suspects run alone": {
			[]Server{idle(1), idle(2)},
			items(5, func(it *Item) { it.CrashSuspect = true }), 0,
			map[ident.Node]int{node(1): 1, node(2): 1},
		},
		"one prefix on one server": {
			[]Server{idle(1), idle(2), idle(3), idle(4)},
			items(2, func(it *Item) { it.Prefix = "notice" }), 0,
			map[ident.Node]int{node(2): 2},
		},
		"one prefix on two servers when the first has its share": {
			[]Server{idle(1), idle(2), idle(3), idle(4)},
			items(6, func(it *Item) { it.Prefix = "notice" }), 0,
			map[ident.Node]int{node(2): 3, node(4): 3},
		},
		"other region not before half of the waiting target": {[]Server{near, far}, items(8, none), 400, map[ident.Node]int{node(1): 4}},
		"other region when the target needs it":              {[]Server{near, far}, items(8, none), 600, map[ident.Node]int{node(1): 4, node(2): 4}},
		"other region at once without a server of its own":   {[]Server{far}, items(2, none), 0, map[ident.Node]int{node(2): 2}},
		"other region within the budget of bytes": {
			[]Server{near, far},
			items(8, func(it *Item) { it.Bytes = 4e6 }), 600,
			map[ident.Node]int{node(1): 4, node(2): 2},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := New(policy)
			for _, s := range tc.servers {
				m.Report(start, s)
			}
			for _, it := range tc.items {
				c.Assert(m.Enqueue(start, it), qt.IsNil)
			}
			got := make(map[ident.Node]int)
			for _, now := range []clock.Millis{start, start + tc.after} {
				grants, _ := m.Dispatch(now)
				for _, g := range grants {
					got[g.Node]++
				}
			}
			c.Assert(got, qt.DeepEquals, tc.want)
		})
	}
}

// TestRefuse waits without a free server.
func TestRefuse(t *testing.T) {
	busy := with(idle(1), func(s *Server) { s.Running = 4 })
	tests := map[string]struct {
		servers []Server
		item    func(*Item)
		after   clock.Millis
		want    fault.Kind // empty while it waits
		comes   bool       // the refusal says when to come back
	}{
		"waits":               {[]Server{busy}, none, 9 * clock.Second, "", false},
		"deadline":            {[]Server{busy}, func(it *Item) { it.Deadline = start + 100 }, 100, fault.PastDeadline, false},
		"deadline before":     {[]Server{idle(1)}, func(it *Item) { it.Deadline = start }, 0, fault.PastDeadline, false},
		"lateness target":     {[]Server{busy}, none, 10 * clock.Second, fault.NoBackend, true},
		"lateness, busy":      {[]Server{busy, with(busy, func(s *Server) { s.Seq = 2 })}, none, 10 * clock.Second, fault.Overloaded, true},
		"no server":           {nil, none, 10 * clock.Second, fault.NoBackend, true},
		"rounds never expire": {nil, func(it *Item) { it.Round = true }, clock.Hour, "", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := New(DefaultPolicy())
			it := plain(1)
			tc.item(&it)
			err := m.Enqueue(start, it)
			for i, s := range tc.servers {
				m.Report(start+tc.after*clock.Millis(i), s) // a second report renews the lease
			}
			if err == nil {
				if _, refused := m.Dispatch(start + tc.after); len(refused) > 0 {
					err = refused[0].Err
				}
			}
			if tc.want == "" {
				c.Assert(err, qt.IsNil)
				c.Assert(m.Waiting(), qt.Equals, 1)
				return
			}
			f, ok := fault.As(err)
			c.Assert(ok, qt.IsTrue)
			c.Assert(f.Kind(), qt.Equals, tc.want)
			c.Assert(f.RetryAfter() > 0, qt.Equals, tc.comes)
			c.Assert(m.Waiting(), qt.Equals, 0)
		})
	}
}

func TestQueueIsFull(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	p.MaxQueue = 3
	m := New(p)
	for _, it := range items(3, none) {
		c.Assert(m.Enqueue(start, it), qt.IsNil)
	}
	err := m.Enqueue(start, plain(4))
	f, _ := fault.As(err)
	c.Assert(f.Kind(), qt.Equals, fault.Overloaded)
	c.Assert(f.RetryAfter() >= clock.Second, qt.IsTrue)
	other := plain(5)
	other.Class = "lookup"
	c.Assert(m.Enqueue(start, other), qt.IsNil)
}

func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	m := New(DefaultPolicy())
	const first = 200
	for _, it := range items(first, none) {
		c.Assert(m.Enqueue(start, it), qt.IsNil)
	}
	paid := 0
	for i := range first {
		it := plain(uint64(1000 + i))
		it.Retry = true
		if m.Enqueue(start, it) == nil {
			paid++
		}
	}
	c.Assert(paid <= first/10+retrySaved, qt.IsTrue, qt.Commentf("%d", paid))
	moved := plain(5000)
	moved.Retry, moved.Requeued = true, true
	c.Assert(m.Enqueue(start, moved), qt.IsNil, qt.Commentf("what was refused as not run costs nothing"))
}

// TestClosed looks how long a server gets nothing after an attempt ended.
func TestClosed(t *testing.T) {
	tests := map[string]struct {
		res    Result
		reboot bool
		wait   clock.Millis
		open   bool
	}{
		"served":                 {Result{Outcome: Served}, false, 0, true},
		"dropped":                {Result{Outcome: Canceled}, false, 0, true},
		"refused":                {Result{Outcome: Refused, RetryAfter: 500}, false, 499, false},
		"refused, later":         {Result{Outcome: Refused, RetryAfter: 500}, false, 500, true},
		"failed":                 {Result{Outcome: Failed}, false, 200, false},
		"failed, later":          {Result{Outcome: Failed}, false, 250, true},
		"failed, then restarted": {Result{Outcome: Failed}, true, 0, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := New(DefaultPolicy())
			m.Report(start, idle(1))
			c.Assert(m.Enqueue(start, plain(1)), qt.IsNil)
			m.Dispatch(start)
			m.Finish(start, 1, node(1), tc.res)
			m.Finish(start, 1, node(1), tc.res) // a late answer changes nothing
			if tc.reboot {
				m.Report(start, with(idle(1), func(s *Server) { s.Boot = 2 }))
			}
			c.Assert(m.Enqueue(start, plain(2)), qt.IsNil)
			grants, _ := m.Dispatch(start + tc.wait)
			c.Assert(len(grants) == 1, qt.Equals, tc.open)
		})
	}
}

// TestEntryPaused lets an entry do nothing for 20 s: nothing is sent by what
// was known before, and the slots of the work in progress are freed once.
func TestEntryPaused(t *testing.T) {
	c := qt.New(t)
	m := New(DefaultPolicy())
	m.Report(start, idle(1))
	for _, it := range items(4, none) {
		c.Assert(m.Enqueue(start, it), qt.IsNil)
	}
	m.Dispatch(start)
	late := start + 20*clock.Second
	it := plain(9)
	it.FinishBy = late + 10*clock.Second
	c.Assert(m.Enqueue(late, it), qt.IsNil)
	grants, _ := m.Dispatch(late)
	c.Assert(grants, qt.HasLen, 0)
	for id := range uint64(4) {
		m.Finish(late, id+1, node(1), Result{Outcome: Served})
	}
	m.Report(late, with(idle(1), func(s *Server) { s.Seq = 50 }))
	grants, _ = m.Dispatch(late)
	c.Assert(grants, qt.HasLen, 1)
	c.Assert(m.Health()[0].InFlight, qt.Equals, 1)
}

// TestCreditOfDeadEntry lets an entry die with work in progress. Credits are
// never handed out, so the others have them again with the next report.
func TestCreditOfDeadEntry(t *testing.T) {
	c := qt.New(t)
	m := New(DefaultPolicy())
	m.Report(start, with(idle(1), func(s *Server) { s.Running = 4 }))
	c.Assert(m.Enqueue(start, plain(1)), qt.IsNil)
	grants, _ := m.Dispatch(start)
	c.Assert(grants, qt.HasLen, 0)
	m.Report(start+500, with(idle(1), func(s *Server) { s.Seq, s.Running = 2, 0 }))
	grants, _ = m.Dispatch(start + 500)
	c.Assert(grants, qt.HasLen, 1)
}

func TestForgetServers(t *testing.T) {
	c := qt.New(t)
	m := New(DefaultPolicy())
	m.Report(start, idle(1))
	m.Dispatch(start + forgetAfter + 1)
	c.Assert(m.Health(), qt.HasLen, 0)
}

// TestRegionCutOff lets the reports of the entry's own region stop. Work goes
// to the other region at once, and comes back with the reports.
func TestRegionCutOff(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	p.Zone, p.Region = "a", "main"
	m := New(p)
	far := with(idle(2), func(s *Server) { s.Zone, s.Region = "c", "far" })
	at := func(now clock.Millis, id uint64) ident.Node {
		it := plain(id)
		it.StartBy, it.FinishBy = now+clock.Second, now+10*clock.Second
		c.Assert(m.Enqueue(now, it), qt.IsNil)
		grants, _ := m.Dispatch(now)
		c.Assert(grants, qt.HasLen, 1)
		return grants[0].Node
	}
	m.Report(start, idle(1))
	m.Report(start, far)
	c.Assert(at(start, 1), qt.Equals, node(1))
	cut := start + 4*clock.Second
	m.Report(cut, with(far, func(s *Server) { s.Seq = 2 }))
	m.Finish(cut, 1, node(1), Result{Outcome: Failed})
	c.Assert(at(cut, 2), qt.Equals, node(2))
	m.Report(cut+clock.Second, with(idle(1), func(s *Server) { s.Seq = 2 }))
	c.Assert(at(cut+clock.Second, 3), qt.Equals, node(1))
}

// TestLong runs work of one or two classes until their lengths are known, and
// looks which of the next ones may use the slots kept for short work.
func TestLong(t *testing.T) {
	type kind struct {
		class  ident.Class
		tokens int // bound of the answer
		took   clock.Millis
	}
	tests := map[string]struct {
		a, b   kind
		shorts [2]bool
	}{
		"two classes":                {kind{"a", 0, 100}, kind{"b", 0, 3000}, [2]bool{true, false}},
		"two classes, about as long": {kind{"a", 0, 100}, kind{"b", 0, 300}, [2]bool{true, true}},
		"one class, bounds tell":     {kind{"a", 40, 100}, kind{"a", 1200, 3000}, [2]bool{true, false}},
		"one class, nothing tells":   {kind{"a", 0, 100}, kind{"a", 0, 3000}, [2]bool{true, true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := New(DefaultPolicy())
			now, id := start, uint64(0)
			run := func(k kind, end bool) (isShort bool) {
				id++
				it := plain(id)
				it.Class, it.MaxTokens = k.class, k.tokens
				it.StartBy, it.FinishBy = now+clock.Second, now+10*clock.Second
				m.Report(now, with(idle(1), func(s *Server) { s.Seq, s.Slots = id, 16 }))
				c.Assert(m.Enqueue(now, it), qt.IsNil)
				grants, _ := m.Dispatch(now)
				c.Assert(grants, qt.HasLen, 1)
				if end {
					m.Finish(now+k.took, id, node(1), Result{Outcome: Served})
				}
				return grants[0].Short
			}
			for range 20 {
				run(tc.a, true)
				run(tc.b, true)
				now += 100
			}
			c.Assert([2]bool{run(tc.a, false), run(tc.b, false)}, qt.Equals, tc.shorts)
			c.Assert(m.pools[svc].inflight[short] > 0, qt.IsTrue)
			m.Dispatch(now + clock.Minute) // rule 5: what still runs is long
			c.Assert(m.pools[svc].inflight, qt.Equals, [bands]int{0, 2, 0})
		})
	}
}
