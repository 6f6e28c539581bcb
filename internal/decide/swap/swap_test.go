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

func init() { prop.Cases(3000) }

// makeServers returns servers of one zone, one for each letter: o has the old
// version, n the new version, l is loading, f failed recently, x is leaving.
func makeServers(zone ident.Zone, states string) []Server {
	var out []Server
	for i, state := range states {
		s := Server{Node: ident.Node(fmt.Sprintf("%s-%d", zone, i)), Zone: zone, Version: 1}
		switch state {
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
		"half of a zone at once":                   {zones: map[ident.Zone]string{"a": "oooo"}, want: 2},
		"one server in a zone of two":              {zones: map[ident.Zone]string{"a": "oo"}, want: 1},
		"others wait while half is loading":        {zones: map[ident.Zone]string{"a": "lloo"}, want: 0},
		"the only server of a model":               {zones: map[ident.Zone]string{"a": "o"}, want: 1},
		"zones with one server load in turn":       {zones: map[ident.Zone]string{"a": "o", "b": "o", "c": "o"}, want: 1},
		"servers that have the target version":     {zones: map[ident.Zone]string{"a": "nnnn"}, want: 0},
		"servers that failed recently wait":        {zones: map[ident.Zone]string{"a": "fffo"}, want: 1},
		"leaving servers are not ordered":          {zones: map[ident.Zone]string{"a": "xxxo"}, want: 1},
		"half of the servers that are not leaving": {zones: map[ident.Zone]string{"a": "oooxxx"}, want: 1},
		"each zone has its share":                  {zones: map[ident.Zone]string{"a": "oooo", "b": "oo"}, want: 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var servers []Server
			for z, s := range tc.zones {
				servers = append(servers, makeServers(z, s)...)
			}
			got := 0
			for _, g := range Groups(DefaultPolicy(), servers) {
				got += len(Next(clock.Minute, DefaultPolicy(), 2, g))
			}
			qt.New(t).Assert(got, qt.Equals, tc.want)
		})
	}
}

// TestLoad rolls out a version to all servers, with failing orders, and checks
// that each zone with two or more servers always has one in service.
func TestLoad(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		p := DefaultPolicy()
		p.GroupSize = rapid.IntRange(2, 64).Draw(t, "size")
		var servers []Server
		for z := range rapid.IntRange(1, 4).Draw(t, "zones") {
			n := rapid.IntRange(1, 90).Draw(t, "servers")
			for i := range n {
				servers = append(servers, Server{Node: ident.Node(fmt.Sprintf("%d-%d", z, i)), Zone: ident.Zone(fmt.Sprint(z)), Version: 1})
			}
		}
		failing := rapid.SliceOfN(rapid.Bool(), 64, 64).Draw(t, "failing")
		failures := make(map[ident.Node]int)
		now := clock.Minute
		for step := 0; !allAtVersion(servers, 2); step++ {
			if step > 2000 {
				t.Fatalf("not done after %s", now-clock.Minute)
			}
			ordered := orderNext(now, p, servers)
			checkCapacity(t, servers)
			for i, n := range ordered {
				s := &servers[n]
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

func orderNext(now clock.Millis, p Policy, servers []Server) []int {
	index := make(map[ident.Node]int)
	for i, s := range servers {
		index[s.Node] = i
	}
	var out []int
	for _, g := range Groups(p, servers) {
		for _, n := range Next(now, p, 2, g) {
			servers[index[n]].Loading = true
			out = append(out, index[n])
		}
	}
	return out
}

func allAtVersion(servers []Server, v ident.Version) bool {
	for _, s := range servers {
		if s.Version < v {
			return false
		}
	}
	return true
}

func checkCapacity(t *rapid.T, servers []Server) {
	serving := make(map[ident.Zone]int)
	size := make(map[ident.Zone]int)
	all := 0
	for _, s := range servers {
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
	if len(servers) > 1 && all == 0 {
		t.Fatalf("no server of %d is in service", len(servers))
	}
}

func TestRetryDelay(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	delays := make(map[clock.Millis]bool)
	for i := range 100 {
		n := ident.Node(fmt.Sprint("agent-", i))
		for f := 1; f < 100; f++ {
			w := RetryDelay(p, n, f, 0)
			c.Assert(w >= p.RetryDelay/2 && w <= p.MaxRetryDelay, qt.IsTrue, qt.Commentf("failure %d: %s", f, w))
		}
		delays[RetryDelay(p, n, 10, 0)] = true
	}
	c.Assert(len(delays) > 20, qt.IsTrue, qt.Commentf("distinct delays of 100 servers: %d", len(delays)))
	c.Assert(RetryDelay(p, "a", 1, clock.Minute), qt.Equals, clock.Minute)
}

// BenchmarkAnnounce computes all waves of load orders after one announcement and
// reports the numbers of orders and waves.
func BenchmarkAnnounce(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3900} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			base := make([]Server, n)
			for i := range base {
				base[i] = Server{Node: ident.Node(fmt.Sprint("agent-", i)), Zone: ident.Zone(fmt.Sprint("zone-", i%13)), Version: 1}
			}
			servers := make([]Server, n)
			orders, waves := 0, 0
			for b.Loop() {
				copy(servers, base)
				orders, waves = 0, 0
				for !allAtVersion(servers, 2) {
					ordered := orderNext(clock.Minute, DefaultPolicy(), servers)
					orders += len(ordered)
					waves++
					for _, i := range ordered {
						servers[i].Loading, servers[i].Version = false, 2
					}
				}
			}
			b.ReportMetric(float64(orders), "orders")
			b.ReportMetric(float64(waves), "waves")
		})
	}
}
