package pick

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
)

var place = Locality{Zone: "n1", Regions: map[string]string{"n1": "n", "n2": "n", "s1": "s"}}

func servers() []*fleet.Server {
	return []*fleet.Server{{ID: "near", Zone: "n1", Slots: 2}, {ID: "zone", Zone: "n2", Slots: 2}, {ID: "region", Zone: "s1", Slots: 2}}
}

func TestChoose(t *testing.T) {
	end := func(b *Balancer, id string, took clock.Millis, o Outcome) {
		b.Start(id)
		b.End(1000, id, took, o)
	}
	tests := map[string]struct {
		book  func(b *Balancer)
		tried map[string]bool
		now   clock.Millis
		want  string
	}{
		"the nearest":                     {now: 1000, want: "near"},
		"not one that was tried":          {tried: map[string]bool{"near": true}, now: 1000, want: "zone"},
		"a loaded one is left out":        {book: func(b *Balancer) { b.Start("near"); b.Start("near") }, now: 1000, want: "zone"},
		"a failed one is left out":        {book: func(b *Balancer) { end(b, "near", 5, Failed) }, now: 1100, want: "zone"},
		"tried again after a while":       {book: func(b *Balancer) { end(b, "near", 5, Failed) }, now: 1200, want: "near"},
		"longer after more failures":      {book: func(b *Balancer) { end(b, "near", 5, Failed); end(b, "near", 5, Failed) }, now: 1200, want: "zone"},
		"all failed means none is left":   {book: func(b *Balancer) { end(b, "near", 5, Failed); end(b, "zone", 5, Failed); end(b, "region", 5, Failed) }, now: 1010, want: "near"},
		"a slow one is left out":          {book: func(b *Balancer) { end(b, "near", 300, Served); end(b, "zone", 20, Served) }, now: 1010, want: "zone"},
		"a slow one is forgotten":         {book: func(b *Balancer) { end(b, "near", 300, Served); end(b, "zone", 20, Served) }, now: 20000, want: "near"},
		"a refusal is no lasting failure": {book: func(b *Balancer) { end(b, "near", 5, Refused); end(b, "near", 5, Refused) }, now: 1200, want: "near"},
		"none":                            {tried: map[string]bool{"near": true, "zone": true, "region": true}, now: 1000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(place)
			if test.book != nil {
				test.book(b)
			}
			got := ""
			if s := b.Choose(test.now, servers(), test.tried); s != nil {
				got = s.ID
			}
			qt.New(t).Check(got, qt.Equals, test.want)
		})
	}
}

func TestLeavingServerGetsNothing(t *testing.T) {
	c := qt.New(t)
	ss := servers()
	ss[0].Leaving = true
	c.Check(New(place).Choose(0, ss, nil).ID, qt.Equals, "zone")
	c.Check(New(place).Choose(0, nil, nil), qt.IsNil)
}
