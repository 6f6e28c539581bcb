package match

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/hist"
)

// classStats holds the measurements of one class of work, for answers of one
// size group.
type classStats struct {
	name          ident.Class
	sizeGroup     int
	waiting       int
	suspects      int            // of the waiting items, those that are crash suspects
	runTimes      hist.Histogram // of served attempts
	medianRunTime clock.Millis   // 0 before it is known
	meanTokens    float64        // length of an answer, as a moving average
	recentStarts  float64        // with exponential decay by startTimeConstant
	lastStart     clock.Millis
	firstStart    clock.Millis
}

// startTimeConstant is the time constant of the count of recent starts.
const startTimeConstant = 4 * clock.Second

func (p *pool) statsFor(n ident.Class, size int) *classStats {
	for _, cs := range p.classes {
		if cs.name == n && cs.sizeGroup == size {
			return cs
		}
	}
	cs := &classStats{name: n, sizeGroup: size}
	p.classes = append(p.classes, cs)
	return cs
}

// estimatedRunTime returns the median run time, or a default before it is known.
func (cs *classStats) estimatedRunTime() clock.Millis {
	if cs.medianRunTime > 0 {
		return cs.medianRunTime
	}
	return defaultRunTime
}

// tokenWeight is the EWMA weight of a new answer's length.
const tokenWeight = 0.1

// recordServed records the run time and length of a complete answer.
func (cs *classStats) recordServed(took clock.Millis, tokens int) {
	cs.runTimes.Add(took)
	cs.medianRunTime, _ = cs.runTimes.Quantile(0.5)
	if cs.meanTokens == 0 {
		cs.meanTokens = float64(tokens)
	}
	cs.meanTokens += tokenWeight * (float64(tokens) - cs.meanTokens)
}

func (cs *classStats) recordStart(now clock.Millis) {
	if cs.firstStart == 0 {
		cs.firstStart = now
	}
	cs.recentStarts = cs.recentStarts*decay(now-cs.lastStart, startTimeConstant) + 1
	cs.lastStart = now
}

// countWaiting adds an item to the waiting ones, or removes it with n = -1.
func (cs *classStats) countWaiting(it *Item, n int) {
	cs.waiting += n
	if it.CrashSuspect {
		cs.suspects += n
	}
}

// ahead returns the number of waiting items that an item may have to wait for. Crash
// suspects wait for each other, and other items pass them (rule 12).
func (cs *classStats) ahead(it *Item) int {
	if it.CrashSuspect {
		return cs.waiting
	}
	return cs.waiting - cs.suspects
}

// predictedWait estimates how long an item that arrives now will wait, from
// the number of waiting items and the rate of recent starts. It returns 0 until
// a second after the first start, because the rate is not known before.
func (cs *classStats) predictedWait(now clock.Millis, it *Item) clock.Millis {
	age := now - cs.firstStart
	if cs.firstStart == 0 || age < clock.Second {
		return 0
	}
	window := startTimeConstant.Seconds() * (1 - decay(age, startTimeConstant))
	rate := max(cs.recentStarts*decay(now-cs.lastStart, startTimeConstant)/window, 0.1)
	return clock.Millis(float64(cs.ahead(it)) / rate * float64(clock.Second))
}

// decay returns the factor of an exponential decay over the elapsed time.
func decay(elapsed, timeConstant clock.Millis) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}
