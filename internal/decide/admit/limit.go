package admit

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	// A limit is reconsidered once this many requests were answered, so that the mean of
	// response times of unlike requests says something, but not more often than the interval.
	limitSamples  = 48
	limitInterval = 100 * clock.Milli
	// Times at the server, as multiples of the usual one: up to the first there is no queue,
	// beyond the second there is.
	freeFactor   = 1.15
	queuedFactor = 1.4
	// Factors by which a limit is reduced at a sign of overload, and by which it grows
	// while it is used and no queue shows.
	limitDecrease = 0.85
	limitIncrease = 1.1
	// From this multiple of the usual time on, the limit is tested: it is reduced to a share.
	// If the times don't fall below a share of what they were, the server is slow.
	slowFactor   = 2.0
	slowTest     = 0.7
	slowExpected = 0.85
	// spareRequests wait at a server, so that no slot is idle while the next request
	// is on its way.
	spareRequests = 1
	// Bound of a limit as a multiple of the slots that the server states, beyond which it
	// queues requests by its own statement.
	maxLimitFactor = 1.5
	// Weights of a shorter and of a longer time in the usual one. A longer one counts only
	// within the stated slots, since it may come from a queue beyond them.
	usualWeight = 0.3
	slowWeight  = 0.1
	// recoverInterval is the time without a refusal after which a reduced limit grows, however
	// few requests were answered.
	recoverInterval = 300 * clock.Milli
	// settled is how many mean times after there were too many requests in flight responses
	// say something about the limit again.
	settled = 2
	// maxTravelShare bounds the part of a response time that is taken for time on the way.
	maxTravelShare = 0.75
	travelWeight   = 0.05 // of one response
)

// limiter adapts the number of requests that run at a server at once. It starts just
// above the slots that the server states.
//
// A refusal reduces the limit. Longer times at the server are the sign of a queue: they
// reduce a limit above the stated slots, and make one within them be tested. If the reduced
// limit does not shorten the times, the server is slow rather than overloaded: the limit
// returns to where it was, and these times count as usual.
type limiter struct {
	limit     float64
	slots     int
	usual     float64 // ms, mean time at the server without a queue, 0 if not known
	before    float64 // limit before a test, 0 if there is none
	slow      float64 // ms, mean time at the server before a test
	travel    float64 // share of response times that is spent on the way
	sum       Shown   // since the last change
	long      bool    // the last mean time was long enough for a test
	mean      float64 // ms, last mean time at the server
	changedAt clock.Millis
}

func newLimiter(now clock.Millis, slots int) *limiter {
	l := &limiter{slots: max(1, slots), changedAt: now}
	l.limit = l.base()
	return l
}

// base returns the limit by what the server states.
func (l *limiter) base() float64 { return float64(l.slots + spareRequests) }

// places returns how many requests may be in flight, with those on their way.
func (l *limiter) places() float64 { return l.limit / (1 - l.travel) }

// observe adds what one entry reports. InFlight is the number of requests of all entries,
// and leased the number that may be in flight.
func (l *limiter) observe(now clock.Millis, s Shown, inFlight int, leased float64) {
	if s.Served > 0 && s.Took > 0 {
		travel := min(maxTravelShare, float64(s.Travel)/float64(s.Took))
		l.travel += min(1, travelWeight*float64(s.Served)) * (travel - l.travel)
	}
	l.sum.Served += s.Served
	l.sum.Took += s.Took
	l.sum.Travel += s.Travel
	l.sum.Refused += s.Refused
	if float64(inFlight) > leased+1 {
		// Requests beyond the limit are no sign that it is too high.
		l.sum, l.changedAt = Shown{}, now+max(limitInterval, settled*clock.Millis(l.mean))
	}
	if now-l.changedAt < limitInterval {
		return
	}
	switch {
	case l.sum.Refused > 0 && l.sum.Refused*limitSamples >= l.sum.Served:
		l.limit, l.before = max(1, l.limit*limitDecrease), 0
	case l.sum.Served < limitSamples:
		if l.before > 0 || l.limit >= l.base() || now-l.changedAt < recoverInterval {
			return
		}
		l.limit = min(l.base(), l.limit+1)
	default:
		l.mean = float64(l.sum.Took-l.sum.Travel) / float64(l.sum.Served)
		l.adapt(l.mean, inFlight)
	}
	l.sum, l.changedAt = Shown{}, now
}

// adapt changes the limit by the mean time at the server.
func (l *limiter) adapt(mean float64, inFlight int) {
	switch {
	case l.usual == 0:
		l.usual = mean
	case l.before > 0: // This was a test.
		if mean > slowExpected*l.slow {
			l.limit, l.usual = l.before, mean
		}
		l.before = 0
	case mean > queuedFactor*l.usual && l.limit > l.base():
		l.limit = max(l.base(), l.limit*limitDecrease)
	case mean > slowFactor*l.usual && !l.long:
		l.long = true // One mean may include requests from before.
	case mean > slowFactor*l.usual:
		l.long = false
		l.before, l.slow = l.limit, mean
		l.limit = max(1, l.limit*slowTest)
	default:
		l.long = false
		if l.usual += usualWeight * min(0, mean-l.usual); l.limit <= l.base() {
			l.usual += slowWeight * max(0, mean-l.usual)
		}
		switch {
		case l.limit < l.base():
			l.limit = min(l.base(), l.limit+1)
		case mean <= freeFactor*l.usual && float64(inFlight) >= math.Floor(l.places()):
			l.limit = min(maxLimitFactor*float64(l.slots), l.limit*limitIncrease)
		}
	}
}
