package round

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

// Waits between tries.
const (
	firstWait = 100 * clock.Milli
	longWait  = 5 * clock.Second
	maxShift  = 6
)

// Backoff returns how long to wait after a number of failed tries: it doubles
// up to a bound, and an ordinal's own share of it keeps many from trying at
// the same moment.
func Backoff(tries, ordinal int) clock.Millis {
	w := min(longWait, firstWait<<min(max(0, tries-1), maxShift))
	const shares = 16
	return w/2 + w/2*clock.Millis(uint32(ordinal)*2654435761>>28)/shares
}
