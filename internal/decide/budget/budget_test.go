package budget

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/proof/prop"
)

// TestShareIsNeverExceeded earns and takes at random.
func TestShareIsNeverExceeded(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		s := NewRatio(share, 10)
		earned, taken := 0, 0
		for _, take := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "take") {
			if !take {
				s.Deposit()
				earned++
				continue
			}
			if s.Withdraw() {
				taken++
			}
			if float64(taken) > 10+share*float64(earned)+1e-6 {
				t.Fatalf("%d taken, %d earned", taken, earned)
			}
		}
	})
}

// TestMeterIsNeverExceeded sends at random; time may stand still or go back.
func TestMeterIsNeverExceeded(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		m := NewBucket(1000, 2000)
		now, latest, sent := clock.Second, clock.Second, 0
		for range rapid.IntRange(0, 200).Draw(t, "n") {
			now += clock.Millis(rapid.IntRange(-50, 200).Draw(t, "passed"))
			latest = max(latest, now)
			bytes := rapid.IntRange(0, 3000).Draw(t, "bytes")
			if m.Take(now, bytes) {
				sent += bytes
			}
			if float64(sent) > 2000+1000*latest.Seconds() {
				t.Fatalf("%d bytes by %v", sent, latest)
			}
		}
	})
}

// TestSetRate halves the rate while some is saved up, as a second entry comes.
func TestSetRate(t *testing.T) {
	c := qt.New(t)
	m := NewBucket(1000, 2000)
	m.SetRate(500, 1000)
	c.Assert(m.Take(0, 1001), qt.IsFalse)
	c.Assert(m.Take(0, 1000), qt.IsTrue)
	c.Assert(m.Take(clock.Second, 501), qt.IsFalse)
	c.Assert(m.Take(clock.Second, 500), qt.IsTrue)
}
