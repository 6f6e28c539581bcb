package budget

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/proof/prop"
)

func init() { prop.Cases(20000) }

// TestRatioIsNeverExceeded makes random deposits and withdrawals.
func TestRatioIsNeverExceeded(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		ratio := NewRatio(share, 10)
		deposits, withdrawals := 0, 0
		for _, take := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "take") {
			if !take {
				ratio.Deposit()
				deposits++
				continue
			}
			if ratio.Withdraw() {
				withdrawals++
			}
			if float64(withdrawals) > 10+share*float64(deposits)+1e-6 {
				t.Fatalf("%d withdrawals, %d deposits", withdrawals, deposits)
			}
		}
	})
}

// TestBucketIsNeverExceeded takes random amounts. The time may stay the same or
// go back.
func TestBucketIsNeverExceeded(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		bucket := NewBucket(1000, 2000)
		now, latest, sent := clock.Second, clock.Second, 0
		for range rapid.IntRange(0, 200).Draw(t, "n") {
			now += clock.Millis(rapid.IntRange(-50, 200).Draw(t, "passed"))
			latest = max(latest, now)
			bytes := rapid.IntRange(0, 3000).Draw(t, "bytes")
			if bucket.Withdraw(now, bytes) {
				sent += bytes
			}
			if float64(sent) > 2000+1000*latest.Seconds() {
				t.Fatalf("%d bytes by %v", sent, latest)
			}
		}
	})
}

// TestSetRate halves the rate and the burst of a full bucket, as when a second
// entry starts to share the link.
func TestSetRate(t *testing.T) {
	c := qt.New(t)
	bucket := NewBucket(1000, 2000)
	bucket.SetRate(500, 1000)
	c.Assert(bucket.Withdraw(0, 1001), qt.IsFalse)
	c.Assert(bucket.Withdraw(0, 1000), qt.IsTrue)
	c.Assert(bucket.Withdraw(clock.Second, 501), qt.IsFalse)
	c.Assert(bucket.Withdraw(clock.Second, 500), qt.IsTrue)
}
