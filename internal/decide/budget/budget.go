// Package budget holds budgets: a share of requests that may be repeated, and
// a rate of bytes that may cross a link.
//
// A budget of a share can't amplify overload, since it fills only with first
// attempts: n of them allow at most n times the share, plus a small initial
// amount.
//
// # Usage
//
//	b := spend.NewShare(0.1, 10)
//	b.Earn()            // for each first attempt
//	if b.Take() { ... } // for each further one
//
//	m := spend.NewMeter(1e6, 2e6)
//	if m.Take(now, bytes) { ... }
package budget

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

// Ratio allows a share of extra attempts.
type Ratio struct {
	share float64
	limit float64
	left  float64
}

// NewRatio returns a budget that begins full: limit is the most it saves up.
func NewRatio(share, limit float64) *Ratio { return &Ratio{share: share, limit: limit, left: limit} }

// Deposit notes a first attempt.
func (s *Ratio) Deposit() { s.left = min(s.limit, s.left+s.share) }

// Withdraw pays for an extra attempt; false if the budget is spent.
func (s *Ratio) Withdraw() bool {
	if s.left < 1 {
		return false
	}
	s.left--
	return true
}

// Bucket allows a rate of bytes.
type Bucket struct {
	rate  float64 // bytes/s
	limit float64 // bytes saved up at most
	left  float64
	at    clock.Millis
}

// NewBucket returns a meter that begins full.
func NewBucket(rate, limit float64) *Bucket { return &Bucket{rate: rate, limit: limit, left: limit} }

// SetRate changes the rate from now on; what was saved up beyond the new limit
// is lost.
func (m *Bucket) SetRate(rate, limit float64) {
	m.rate, m.limit = rate, limit
	m.left = min(m.left, limit)
}

// Take pays for some bytes; false if they exceed what is left.
func (m *Bucket) Take(now clock.Millis, bytes int) bool {
	if now > m.at {
		m.left = min(m.limit, m.left+m.rate*(now-m.at).Seconds())
		m.at = now
	}
	if m.left < float64(bytes) {
		return false
	}
	m.left -= float64(bytes)
	return true
}
