// Package speed detects transient slowdowns of an engine from the intervals
// between the events of its streams.
//
// Other workloads on the same hardware slow an engine down for some hundred
// milliseconds at a time. Over a long output these delays add up to more than a
// training step can afford; migrating the rest of the item to another engine
// costs a fraction of them.
//
//  1. The usual event interval is a low quantile of the intervals, so that the
//     slowdowns themselves don't raise it.
//  2. A stream is late if the time since its last event is well above the usual
//     interval, or if the interval before its last event was that long and the
//     event has just arrived.
//  3. The engine is slow if at least half of its streams are late. One late stream
//     among many is no evidence.
//  4. A slow engine counts as slow until the next event of a stream is due. An
//     engine without streams shows no further events, so it counts as slow for
//     the typical duration of a slowdown. Otherwise new items would be assigned
//     to it too early.
//  5. An engine is known to be steady only while one of its streams shows it. An
//     idle engine may be in a slowdown.
//
// # Usage
//
//	stream.Observe(now, interval, true)
//	detector.Add(interval)
//	state := detector.Check(now, streams)
package speed

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	// quantile is the quantile of the event intervals that counts as usual.
	quantile = 0.3
	// stepRatio bounds the share by which one interval changes the estimate of that
	// quantile.
	stepRatio = 0.02
	// lateRatio is the interval, in usual intervals, above which a stream is
	// late. A transient slowdown makes intervals 2.5 times as long.
	lateRatio = 1.6
	// minSamples is the number of intervals below which nothing counts as slow.
	minSamples = 12
	// slowRetention is how long an engine counts as slow after the last check that
	// found it slow; the next event of a stream is due by then.
	slowRetention = 100 * clock.Milli
	// idleSlowRetention is the same for an engine without streams: slowdowns at
	// both example deployments last some 600 ms.
	idleSlowRetention = 600 * clock.Milli
	// usualRiseTime is the time of slow streams after which the estimate of an
	// engine's usual interval may have grown by a factor of e. Servers that are slowed
	// by a fault recover within some ten seconds; one that stays slow for longer counts
	// as slow when it is idle, too.
	usualRiseTime = 30 * clock.Second
	// maxUsualGap bounds the time that counts between two observations: an idle engine
	// shows nothing.
	maxUsualGap = 200 * clock.Milli
)

// State is the current speed of an engine, compared with its usual speed.
type State uint8

// The states.
const (
	Unknown State = iota // no stream shows the speed
	Steady               // as fast as usual
	Slow                 // slower than usual
)

// Detector detects slowdowns of one engine from its streams.
type Detector struct {
	Baseline
	lastSlow clock.Millis // last time that the engine was found slow, 0 for never
}

// Check returns the state of the engine (rules 4 and 5), given its streams in
// progress.
func (d *Detector) Check(now clock.Millis, streams []*Stream) State {
	if d.IsSlow(now, streams) {
		d.lastSlow = now
		return Slow
	}
	since := now - d.lastSlow
	if d.lastSlow > 0 && (since < slowRetention || len(streams) == 0 && since < idleSlowRetention) {
		return Slow
	}
	for _, s := range streams {
		if s.observed && s.interval > 0 && s.interval <= lateRatio*d.interval && float64(now-s.lastEvent) <= lateRatio*d.interval {
			return Steady
		}
	}
	return Unknown
}

// Baseline estimates the usual event interval of an engine and compares streams
// with it.
type Baseline struct {
	interval float64 // ms
	samples  int
}

// Add updates the estimate with an interval in ms (rule 1).
func (b *Baseline) Add(interval float64) {
	b.samples++
	switch {
	case b.samples == 1:
		b.interval = interval
	case interval < b.interval:
		b.interval *= 1 - stepRatio*(1-quantile)
	default:
		b.interval *= 1 + stepRatio*quantile
	}
}

// Known reports whether enough intervals were observed.
func (b *Baseline) Known() bool { return b.samples >= minSamples }

// Interval returns the usual interval in ms, 0 if it is not known.
func (b *Baseline) Interval() float64 { return b.interval }

// Usual estimates the event interval that an engine has while nothing slows it down.
// Engines of one service may differ by their hardware, and an idle one shows nothing:
// what it showed before is the best evidence of how fast it will be.
//
// The estimate follows a [Baseline] down at once, and up only with the time for which
// streams show the longer interval, so that a slow period of some seconds doesn't count
// as the engine's nature.
type Usual struct {
	interval  float64 // ms
	updatedAt clock.Millis
}

// Observe updates the estimate with the current interval of the baseline, in ms; 0 is
// ignored.
func (u *Usual) Observe(now clock.Millis, interval float64) {
	if interval <= 0 {
		return
	}
	if u.interval > 0 {
		shown := min(now-u.updatedAt, maxUsualGap)
		interval = min(interval, u.interval*math.Exp(float64(shown)/float64(usualRiseTime)))
	}
	u.interval, u.updatedAt = interval, now
}

// Interval returns the estimate in ms, 0 if it is not known.
func (u *Usual) Interval() float64 { return u.interval }

// Stream is one stream in progress.
type Stream struct {
	lastEvent clock.Millis
	interval  float64 // ms before the last event, 0 if not known
	observed  bool    // whether any event was observed
}

// Observe records an event and the interval in ms before it. Valid reports
// whether the interval depended on the engine's speed; it does not while the
// engine loads weights, for example.
func (s *Stream) Observe(now clock.Millis, interval float64, valid bool) {
	s.lastEvent, s.observed, s.interval = now, true, 0
	if valid {
		s.interval = interval
	}
}

// SinceLast returns the time since the stream's last event, 0 if there was none.
func (s *Stream) SinceLast(now clock.Millis) clock.Millis {
	if !s.observed {
		return 0
	}
	return now - s.lastEvent
}

// IsSlow reports whether the streams show a slowdown at this moment (rules 2
// and 3).
func (b *Baseline) IsSlow(now clock.Millis, streams []*Stream) bool {
	if !b.Known() {
		return false
	}
	observed, late := 0, 0
	for _, s := range streams {
		if !s.observed {
			continue
		}
		observed++
		since := float64(now - s.lastEvent)
		if since > lateRatio*b.interval || s.interval > lateRatio*b.interval && since < b.interval { // rule 2
			late++
		}
	}
	return late > 0 && 2*late >= observed // rule 3
}
