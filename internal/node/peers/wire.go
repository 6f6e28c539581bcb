package peers

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// FromWire converts dead or leaving nodes from their wire form.
func FromWire(ds []wire.Dead) []roster.Departure {
	var out []roster.Departure
	for _, d := range ds {
		out = append(out, roster.Departure{Node: ident.Node(d.Node), Age: clock.Millis(d.Age)})
	}
	return out
}

// ToWire converts dead or leaving nodes to their wire form.
func ToWire(ds []roster.Departure) []wire.Dead {
	var out []wire.Dead
	for _, d := range ds {
		out = append(out, wire.Dead{Node: string(d.Node), Age: int64(d.Age)})
	}
	return out
}
