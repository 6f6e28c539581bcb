package match

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/hist"
)

// class is what was measured of a class of work with answers of one size.
type class struct {
	name    ident.Class
	size    int
	waiting int
	took    hist.Histogram // running times
	mid     clock.Millis   // median running time; 0 before it is known
	tokens  float64        // of an answer, smoothed
	starts  float64        // recent, see startMemory
	at      clock.Millis
	since   clock.Millis
}

// startMemory is the time over which starts are counted.
const startMemory = 4 * clock.Second

func (p *pool) class(n ident.Class, size int) *class {
	for _, c := range p.classes {
		if c.name == n && c.size == size {
			return c
		}
	}
	c := &class{name: n, size: size}
	p.classes = append(p.classes, c)
	return c
}

// estimate returns the usual running time.
func (c *class) estimate() clock.Millis {
	if c.mid > 0 {
		return c.mid
	}
	return firstGuess
}

// tokenShare is the weight of a new answer's length.
const tokenShare = 0.1

// ended takes in a whole answer.
func (c *class) ended(took clock.Millis, tokens int) {
	c.took.Add(took)
	c.mid, _ = c.took.Quantile(0.5)
	if c.tokens == 0 {
		c.tokens = float64(tokens)
	}
	c.tokens += tokenShare * (float64(tokens) - c.tokens)
}

func (c *class) started(now clock.Millis) {
	if c.since == 0 {
		c.since = now
	}
	c.starts = c.starts*fade(now-c.at, startMemory) + 1
	c.at = now
}

// wait predicts how long an item that arrives now will wait, by how many wait
// and how many were started lately. It is 0 while too little is known.
func (c *class) wait(now clock.Millis) clock.Millis {
	age := now - c.since
	if c.since == 0 || age < clock.Second {
		return 0
	}
	span := startMemory.Seconds() * (1 - fade(age, startMemory))
	rate := max(c.starts*fade(now-c.at, startMemory)/span, 0.1)
	return clock.Millis(float64(c.waiting) / rate * float64(clock.Second))
}

func fade(d, memory clock.Millis) float64 { return math.Exp(-float64(d) / float64(memory)) }
