package zones

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

// Link is the declared cost of traffic from this zone to others.
type Link struct {
	RoundTrip clock.Millis // used until response times of the zone are measured
	PerKB     float64      // ms of a caller's time that 1,024 bytes are worth
}

// Costs are the links to other zones.
type Costs struct {
	SameRegion  Link
	OtherRegion Link
}

// DefaultCosts are the costs if the settings declare none. Zones of a region are within some
// tens of kilometers of each other, regions within some hundreds. A caller who fetches 50 kB
// would wait 10 ms longer for them to stay in the zone, and 50 ms to stay in the region.
var DefaultCosts = Costs{
	SameRegion:  Link{RoundTrip: 3 * clock.Milli, PerKB: 0.2},
	OtherRegion: Link{RoundTrip: 25 * clock.Milli, PerKB: 1},
}

// Locality is the zone of this node, the region of each zone and the cost of leaving.
type Locality struct {
	Zone    string
	Regions map[string]string // by zone
	Costs   Costs             // [DefaultCosts] if empty
}

// Link returns the link to a zone. It costs nothing within this zone.
func (l Locality) Link(zone string) Link {
	costs := l.Costs
	if costs == (Costs{}) {
		costs = DefaultCosts
	}
	switch {
	case zone == l.Zone:
		return Link{}
	case l.Regions[zone] == l.Regions[l.Zone]:
		return costs.SameRegion
	}
	return costs.OtherRegion
}

// RoundTrip returns the declared round-trip time to a zone.
func (l Locality) RoundTrip(zone string) clock.Millis { return l.Link(zone).RoundTrip }

// PricePerKB returns what 1,024 bytes to or from a zone are worth, in ms of a caller's time.
// It is 0 if no costs are declared.
func (l Locality) PricePerKB(zone string) float64 {
	if l.Costs == (Costs{}) {
		return 0
	}
	return l.Link(zone).PerKB
}

// price returns what a round trip with the given traffic is worth, in ms.
func (l Link) price(kb float64) float64 { return l.PerKB * kb }
