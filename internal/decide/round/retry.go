package round

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

// Bounds of the wait between attempts. The wait is doubled at most maxDoublings
// times.
const (
	minBackoff   = 100 * clock.Milli
	maxBackoff   = 5 * clock.Second
	maxDoublings = 6
)

// Backoff returns the wait after a number of failed attempts. It doubles up to
// a bound. A jitter that depends on the ordinal keeps many ordinals from being
// retried at the same time.
func Backoff(attempts, ordinal int) clock.Millis {
	w := min(maxBackoff, minBackoff<<min(max(0, attempts-1), maxDoublings))
	const shares = 16
	// The jitter is given by the top 4 bits of a multiplicative hash.
	return w/2 + w/2*clock.Millis(uint32(ordinal)*2654435761>>28)/shares
}
