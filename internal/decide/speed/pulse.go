// Package speed notices the moments in which an engine is slower than usual,
// from the spans between the events of its streams.
//
// Unseen neighbours slow an engine for some hundred milliseconds at a time.
// Over a long text this adds up to more than a step can spare; a text that goes
// on elsewhere loses a fraction of it.
//
//  1. What is usual is a low quantile of the spans, so that the slow moments
//     themselves don't raise it.
//  2. A stream is late if its next event has been due for a while, or if the
//     last one took as long and came just now.
//  3. The engine is slow at this moment if at least half of its streams are
//     late. A single stream may be late by itself.
//  4. It counts as slow until the next event of a stream is due; an engine that
//     all streams have left shows nothing any more, so it counts as slow for as
//     long as such a moment lasts. Otherwise the next text would go there.
//  5. An engine is known to be steady only while a stream shows it. One that
//     runs nothing may be slow at this moment.
//
// # Usage
//
//	stream.Event(now, span, true)
//	engine.Add(span)
//	moment := engine.Look(now, streams)
package speed

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

const (
	// quantile of the spans that counts as usual.
	quantile = 0.3
	// step is how far one span moves it, as a share.
	step = 0.02
	// lateBy is the span, in usual ones, from which a stream is late. A slow
	// moment makes spans 2.5 times as long.
	lateBy = 1.6
	// fewest events before anything counts as usual.
	fewest = 12
	// slowFor is how long an engine counts as slow after it was seen so: the
	// next event of a stream is due by then.
	slowFor = 100 * clock.Milli
	// leftFor is the same for an engine without streams: what slows engines at
	// both deployments lasts some 600 ms.
	leftFor = 600 * clock.Milli
)

// State is how an engine is at a moment.
type State uint8

// The moments.
const (
	Unknown State = iota // no stream shows it
	Steady               // as fast as usual
	Slow                 // slower than usual
)

// Detector judges one engine from its streams.
type Detector struct {
	Baseline
	slowAt clock.Millis // when it was last seen slow, 0 for never
}

// Check returns how the engine is now; it applies rules 4 and 5.
func (e *Detector) Check(now clock.Millis, streams []*Stream) State {
	if e.IsSlow(now, streams) {
		e.slowAt = now
		return Slow
	}
	since := now - e.slowAt
	if e.slowAt > 0 && (since < slowFor || len(streams) == 0 && since < leftFor) {
		return Slow
	}
	for _, s := range streams {
		if s.known && s.span > 0 && s.span <= lateBy*e.span && float64(now-s.at) <= lateBy*e.span {
			return Steady
		}
	}
	return Unknown
}

// Baseline is the usual span between two events of a stream.
type Baseline struct {
	span  float64 // ms
	count int
}

// Add takes in a span in ms; it applies rule 1.
func (u *Baseline) Add(span float64) {
	u.count++
	switch {
	case u.count == 1:
		u.span = span
	case span < u.span:
		u.span *= 1 - step*(1-quantile)
	default:
		u.span *= 1 + step*quantile
	}
}

// Interval returns the usual span in ms, 0 if none is known.
func (u *Baseline) Interval() float64 { return u.span }

// Stream is one stream in progress.
type Stream struct {
	at    clock.Millis // of the last event
	span  float64      // before it, 0 if not known
	known bool
}

// Observe takes in an event and the span before it; known tells that the span
// says something of the engine's pace.
func (s *Stream) Observe(now clock.Millis, span float64, known bool) {
	s.at, s.known, s.span = now, true, 0
	if known {
		s.span = span
	}
}

// SinceLast returns the time since the stream's last event, if that says something
// of the engine's pace, and 0 otherwise.
func (s *Stream) SinceLast(now clock.Millis) clock.Millis {
	if !s.known {
		return 0
	}
	return now - s.at
}

// IsSlow reports whether the engine is slower than usual at this moment.
func (u *Baseline) IsSlow(now clock.Millis, streams []*Stream) bool {
	if u.count < fewest {
		return false
	}
	shown, late := 0, 0
	for _, s := range streams {
		if !s.known {
			continue
		}
		shown++
		since := float64(now - s.at)
		if since > lateBy*u.span || s.span > lateBy*u.span && since < u.span { // rule 2
			late++
		}
	}
	return late > 0 && 2*late >= shown // rule 3
}
