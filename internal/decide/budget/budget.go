// Package budget implements two kinds of budget: one limits retries or hedges
// to a share of the first attempts, the other is a token bucket that limits the
// bytes sent over a link.
//
// Retries within a budget can't amplify an overload, because only first
// attempts add to the budget: n of them allow at most n times the share of
// extra attempts, plus a small initial amount.
//
// # Usage
//
//	r := budget.NewRatio(0.1, 10)
//	r.Deposit()              // for each first attempt
//	if r.Withdraw() { ... }  // for each retry
//
//	b := budget.NewBucket(1e6, 2e6)
//	if b.Withdraw(now, bytes) { ... }
package budget

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

// Ratio limits extra attempts to a share of the first attempts.
type Ratio struct {
	share   float64
	burst   float64
	balance float64
}

// NewRatio returns a full budget. The balance never exceeds burst.
func NewRatio(share, burst float64) *Ratio { return &Ratio{share: share, burst: burst, balance: burst} }

// Deposit adds the share of one first attempt.
func (r *Ratio) Deposit() { r.balance = min(r.burst, r.balance+r.share) }

// Withdraw takes one extra attempt from the budget. It returns false if the
// balance is below one.
func (r *Ratio) Withdraw() bool {
	if r.balance < 1 {
		return false
	}
	r.balance--
	return true
}

// Bucket is a token bucket that limits a rate of bytes.
type Bucket struct {
	rate      float64 // bytes/s
	burst     float64 // bytes, upper bound of the balance
	balance   float64
	updatedAt clock.Millis
}

// NewBucket returns a full bucket.
func NewBucket(rate, burst float64) *Bucket { return &Bucket{rate: rate, burst: burst, balance: burst} }

// SetRate changes the rate and the burst. A balance beyond the new burst is
// lost.
func (b *Bucket) SetRate(rate, burst float64) {
	b.rate, b.burst = rate, burst
	b.balance = min(b.balance, burst)
}

// Withdraw withdraws a number of bytes. It returns false, and withdraws nothing, if
// the balance is too low.
func (b *Bucket) Withdraw(now clock.Millis, bytes int) bool {
	if now > b.updatedAt {
		b.balance = min(b.burst, b.balance+b.rate*(now-b.updatedAt).Seconds())
		b.updatedAt = now
	}
	if b.balance < float64(bytes) {
		return false
	}
	b.balance -= float64(bytes)
	return true
}
