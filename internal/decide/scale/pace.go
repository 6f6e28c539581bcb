package scale

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	// paceSpan is the time over which the pace of a service is averaged: several items.
	paceSpan = 20 * clock.Second
	// minPaceDone is the number of results, averaged as above, from which the pace counts.
	minPaceDone = 3
)

// Pace measures the usual time of an item of a service, from how many run and how many end.
// By Little's law that is the time for which items ran, divided by the number that ended.
type Pace struct {
	at   clock.Millis
	ran  float64 // milliseconds, averaged
	done float64 // items, averaged
}

// Observe takes the number of items that run now, and that have ended since the last call.
func (p *Pace) Observe(now clock.Millis, running, ended int) {
	if p.at > 0 {
		passed := float64(now - p.at)
		keep := math.Exp(-passed / float64(paceSpan))
		p.ran = p.ran*keep + passed*float64(running)
		p.done = p.done*keep + float64(ended)
	}
	p.at = now
}

// ItemTime returns the usual time of an item, 0 if it is not known.
func (p *Pace) ItemTime() clock.Millis {
	if p.done < minPaceDone {
		return 0
	}
	return clock.Millis(p.ran / p.done)
}
