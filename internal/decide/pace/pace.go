// Package pace detects slow servers by comparing their measured progress.
//
// The first measure is the rate of one stream: the tokens, or the finished
// calls of a plain service, per second of stream time, with exponential decay.
// The second measure is the time to first token (TTFT). Both are compared with
// the median of all servers rather than with a fixed value, so that a change
// that slows all servers excludes none of them.
//
//  1. If the stream time is too short for a rate, the rate measured by the
//     server's agent is used. Without either, the rate is not compared.
//  2. The time since the last tokens of a stream counts as stream time, as far
//     as it exceeds the time constant. So a stopped server is detected without
//     waiting for its next tokens.
//  3. A server is slow if its rate is below a share of the median, or its TTFT
//     above a multiple of the median.
//  4. There is hysteresis: the bounds for a server that is already slow are
//     closer to the median, so that its state doesn't change too often.
//  5. If more than half of the servers would be slow, none is.
//
// # Usage
//
//	var s pace.Stream
//	tracker.Begin(now, &s)
//	tracker.ObserveTokens(now, &s, tokens)
//	tracker.End(&s)
//	pace.DetectSlow(now, []*pace.Tracker{tracker, ...})
//	if tracker.Slow() { ... }
package pace

import (
	"math"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	timeConstant       = 250 * clock.Milli // of the decay of tokens and stream time, see also rule 2
	minStreamTime      = 100 * clock.Milli // below this stream time the rate is not known
	slowRateRatio      = 0.45              // of the median rate; a server below is slow
	recoveredRateRatio = 0.7               // of the median rate; a slow server stays slow below
	slowTTFTRatio      = 4.0               // of the median TTFT; a server above is slow
	recoveredTTFTRatio = 2.0               // of the median TTFT; a slow server stays slow above
	minSlowTTFT        = 250 * clock.Milli // a TTFT up to this is never slow
	ttftWeight         = 0.3               // EWMA weight of a new TTFT
	minMedianValues    = 3                 // with fewer values there is no median
)

// Tracker measures the progress of one server.
type Tracker struct {
	tokens          float64 // with exponential decay
	streamTime      float64 // ms, with exponential decay
	updatedAt       clock.Millis
	streams         int     // active streams that have produced tokens
	lastProgressSum float64 // sum of the lastProgress of these streams
	meanTTFT        float64 // ms, moving average
	reportedRate    float64 // tokens/ms of one stream, measured by the agent; 0 if not known
	reportedTTFT    float64 // ms, measured by the agent; 0 if not known
	slow            bool
}

// Stream is the progress of one attempt on a server.
type Stream struct {
	lastProgress clock.Millis
	hasTokens    bool
}

// Slow reports whether the last DetectSlow found the server slow.
func (p *Tracker) Slow() bool { return p.slow }

// Begin records the start of a stream.
func (p *Tracker) Begin(now clock.Millis, s *Stream) { s.lastProgress = now }

// ObserveTokens records tokens that a stream has produced.
func (p *Tracker) ObserveTokens(now clock.Millis, s *Stream, tokens int) {
	if tokens <= 0 {
		return
	}
	elapsed := float64(now - s.lastProgress)
	if !s.hasTokens {
		// The time until the first tokens includes queueing and prefill, so it
		// counts for the TTFT and not for the rate.
		s.hasTokens = true
		p.streams++
		p.lastProgressSum += float64(now)
		p.recordTTFT(elapsed)
		s.lastProgress = now
		return
	}
	p.lastProgressSum += elapsed
	s.lastProgress = now
	p.record(now, float64(tokens), elapsed)
}

// ObserveBatch records tokens of a stream that reports them rarely and in large
// batches. Long intervals without tokens are normal for such a stream and don't
// count by rule 2.
func (p *Tracker) ObserveBatch(now clock.Millis, s *Stream, tokens int) {
	if elapsed := now - s.lastProgress; elapsed > 0 && tokens > 0 {
		p.record(now, float64(tokens), float64(elapsed))
		s.lastProgress = now
	}
}

// ObserveCall records a finished call that produces nothing until it is
// complete.
func (p *Tracker) ObserveCall(now clock.Millis, s *Stream) {
	p.record(now, 1, float64(max(1, now-s.lastProgress)))
}

// SetReported sets what the server's agent has measured: the tokens/s of one
// stream and the TTFT. Zero means not known.
func (p *Tracker) SetReported(rate float64, ttft clock.Millis) {
	p.reportedRate, p.reportedTTFT = rate/float64(clock.Second), float64(ttft)
}

// End removes a stream.
func (p *Tracker) End(s *Stream) {
	if s.hasTokens {
		p.streams--
		p.lastProgressSum -= float64(s.lastProgress)
	}
	s.hasTokens = false
}

func (p *Tracker) recordTTFT(elapsed float64) {
	if p.meanTTFT == 0 {
		p.meanTTFT = elapsed
		return
	}
	p.meanTTFT += ttftWeight * (elapsed - p.meanTTFT)
}

func (p *Tracker) record(now clock.Millis, tokens, streamTime float64) {
	decay := math.Exp(-float64(now-p.updatedAt) / float64(timeConstant))
	p.tokens = p.tokens*decay + tokens
	p.streamTime = p.streamTime*decay + streamTime
	p.updatedAt = now
}

// rate returns the tokens/ms of one stream, or false if the rate is not known.
func (p *Tracker) rate(now clock.Millis) (float64, bool) {
	idle := 0.0
	if p.streams > 0 {
		idle = float64(p.streams)*float64(now) - p.lastProgressSum -
			float64(p.streams)*float64(timeConstant) // rule 2
	}
	streamTime := p.streamTime + max(0, idle)
	if streamTime < float64(minStreamTime) { // rule 1
		return p.reportedRate, p.reportedRate > 0
	}
	return p.tokens / streamTime, true
}

// ttft returns the TTFT in ms, or 0 if it is not known.
func (p *Tracker) ttft() float64 {
	if p.meanTTFT > 0 {
		return p.meanTTFT
	}
	return p.reportedTTFT
}

// DetectSlow updates which of the servers are slow.
func DetectSlow(now clock.Millis, trackers []*Tracker) {
	rates := make([]float64, 0, len(trackers))
	ttfts := make([]float64, 0, len(trackers))
	for _, p := range trackers {
		if r, ok := p.rate(now); ok {
			rates = append(rates, r)
		}
		if t := p.ttft(); t > 0 {
			ttfts = append(ttfts, t)
		}
	}
	medianRate, medianTTFT := median(rates), median(ttfts)
	slowCount := 0
	outOfBounds := make([]bool, len(trackers))
	for i, p := range trackers {
		outOfBounds[i] = p.isOutOfBounds(now, medianRate, medianTTFT)
		if outOfBounds[i] {
			slowCount++
		}
	}
	for i, p := range trackers {
		p.slow = outOfBounds[i] && 2*slowCount <= len(trackers) // rule 5
	}
}

// isOutOfBounds reports whether the server is slow by rules 3 and 4. A server
// without a known rate remains in its state, unless its TTFT is too high.
func (p *Tracker) isOutOfBounds(now clock.Millis, medianRate, medianTTFT float64) bool {
	rateRatio, ttftRatio := slowRateRatio, slowTTFTRatio
	if p.slow {
		rateRatio, ttftRatio = recoveredRateRatio, recoveredTTFTRatio // rule 4
	}
	ttft := p.ttft()
	ttftTooHigh := medianTTFT > 0 && ttft > float64(minSlowTTFT) && ttft > ttftRatio*medianTTFT
	r, ok := p.rate(now)
	if !ok || medianRate == 0 {
		return p.slow || ttftTooHigh
	}
	return r < rateRatio*medianRate || ttftTooHigh
}

// median returns the median, or 0 if there are fewer than minMedianValues.
func median(vs []float64) float64 {
	if len(vs) < minMedianValues {
		return 0
	}
	slices.Sort(vs)
	return vs[len(vs)/2]
}
