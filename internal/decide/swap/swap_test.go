package swap

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/proof/prop"
)

// fleet builds servers of one zone from letters: o holds the old version, n the
// new one, l loads, f failed lately, x leaves.
func fleet(zone ident.Zone, states string) []Server {
	var out []Server
	for i, r := range states {
		s := Server{Node: ident.Node(fmt.Sprintf("%s-%d", zone, i)), Zone: zone, Version: 1}
		switch r {
		case 'n':
			s.Version = 2
		case 'l':
			s.Loading = true
		case 'f':
			s.NotBefore = 2 * clock.Minute
		case 'x':
			s.Leaving = true
		}
		out = append(out, s)
	}
	return out
}

func TestNext(t *testing.T) {
	tests := map[string]struct {
		zones map[ident.Zone]string
		want  int
	}{
		"half of a zone at once":            {zones: map[ident.Zone]string{"a": "oooo"}, want: 2},
		"one of a zone of two":              {zones: map[ident.Zone]string{"a": "oo"}, want: 1},
		"the rest waits for those loading":  {zones: map[ident.Zone]string{"a": "lloo"}, want: 0},
		"a lone server is not spared":       {zones: map[ident.Zone]string{"a": "o"}, want: 1},
		"zones of one server take turns":    {zones: map[ident.Zone]string{"a": "o", "b": "o", "c": "o"}, want: 1},
		"the newest version is left alone":  {zones: map[ident.Zone]string{"a": "nnnn"}, want: 0},
		"one that failed lately waits":      {zones: map[ident.Zone]string{"a": "fffo"}, want: 1},
		"one that leaves is not ordered":    {zones: map[ident.Zone]string{"a": "xxxo"}, want: 1},
		"half of the servers that are left": {zones: map[ident.Zone]string{"a": "oooxxx"}, want: 1},
		"each zone has its share":           {zones: map[ident.Zone]string{"a": "oooo", "b": "oo"}, want: 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var view []Server
			for z, s := range tc.zones {
				view = append(view, fleet(z, s)...)
			}
			got := 0
			for _, g := range Groups(DefaultPolicy(), view) {
				got += len(Next(clock.Minute, DefaultPolicy(), 2, g))
			}
			qt.New(t).Assert(got, qt.Equals, tc.want)
		})
	}
}

// TestLoad runs decisions until every server holds the target, with failures,
// and looks that capacity stayed in each zone.
func TestLoad(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		p := DefaultPolicy()
		p.GroupSize = rapid.IntRange(2, 64).Draw(t, "size")
		var view []Server
		for z := range rapid.IntRange(1, 4).Draw(t, "zones") {
			n := rapid.IntRange(1, 90).Draw(t, "servers")
			for i := range n {
				view = append(view, Server{Node: ident.Node(fmt.Sprintf("%d-%d", z, i)), Zone: ident.Zone(fmt.Sprint(z)), Version: 1})
			}
		}
		failing := rapid.SliceOfN(rapid.Bool(), 64, 64).Draw(t, "failing")
		failures := make(map[ident.Node]int)
		now := clock.Minute
		for step := 0; !allHold(view, 2); step++ {
			if step > 2000 {
				t.Fatalf("not done after %s", now-clock.Minute)
			}
			ordered := decide(now, p, view)
			checkCapacity(t, view)
			for i, n := range ordered {
				s := &view[n]
				s.Loading = false
				if failing[(step+i)%len(failing)] && failures[s.Node] < 3 {
					failures[s.Node]++
					s.NotBefore = now + RetryDelay(p, s.Node, failures[s.Node], 0)
					continue
				}
				s.Version = 2
			}
			now += 100 * clock.Milli
		}
	})
}

func decide(now clock.Millis, p Policy, view []Server) []int {
	index := make(map[ident.Node]int)
	for i, s := range view {
		index[s.Node] = i
	}
	var out []int
	for _, g := range Groups(p, view) {
		for _, n := range Next(now, p, 2, g) {
			view[index[n]].Loading = true
			out = append(out, index[n])
		}
	}
	return out
}

func allHold(view []Server, v ident.Version) bool {
	for _, s := range view {
		if s.Version < v {
			return false
		}
	}
	return true
}

func checkCapacity(t *rapid.T, view []Server) {
	serving := make(map[ident.Zone]int)
	size := make(map[ident.Zone]int)
	all := 0
	for _, s := range view {
		size[s.Zone]++
		if !s.Loading {
			serving[s.Zone]++
			all++
		}
	}
	for z, n := range size {
		if n > 1 && serving[z] == 0 {
			t.Fatalf("zone %s of %d servers has none in service", z, n)
		}
	}
	if len(view) > 1 && all == 0 {
		t.Fatalf("no server of %d is in service", len(view))
	}
}

func TestWait(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	spread := make(map[clock.Millis]bool)
	for i := range 100 {
		n := ident.Node(fmt.Sprint("agent-", i))
		for f := 1; f < 100; f++ {
			w := RetryDelay(p, n, f, 0)
			c.Assert(w >= p.RetryDelay/2 && w <= p.MaxRetryDelay, qt.IsTrue, qt.Commentf("failure %d: %s", f, w))
		}
		spread[RetryDelay(p, n, 10, 0)] = true
	}
	c.Assert(len(spread) > 20, qt.IsTrue, qt.Commentf("waits of different servers: %d", len(spread)))
	c.Assert(RetryDelay(p, "a", 1, clock.Minute), qt.Equals, clock.Minute)
}

// BenchmarkAnnounce decides all waves of one announcement and reports the
// orders that it takes.
func BenchmarkAnnounce(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3900} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			base := make([]Server, n)
			for i := range base {
				base[i] = Server{Node: ident.Node(fmt.Sprint("agent-", i)), Zone: ident.Zone(fmt.Sprint("zone-", i%13)), Version: 1}
			}
			view := make([]Server, n)
			orders, waves := 0, 0
			for b.Loop() {
				copy(view, base)
				orders, waves = 0, 0
				for !allHold(view, 2) {
					ordered := decide(clock.Minute, DefaultPolicy(), view)
					orders += len(ordered)
					waves++
					for _, i := range ordered {
						view[i].Loading, view[i].Version = false, 2
					}
				}
			}
			b.ReportMetric(float64(orders), "orders")
			b.ReportMetric(float64(waves), "waves")
		})
	}
}
