// Package pace judges by measured progress whether a server is slow.
//
// The measure is the rate of one stream: tokens, or finished calls of a plain
// service, per second of a stream's running time, with a short memory. The
// time to the first token is the second measure. Both are compared with the
// median of the peers, never with a fixed figure, so that a change that slows
// all servers ejects none.
//
//  1. A server with too little measured time is judged by what its agent has
//     measured, or not at all.
//  2. A stream that has shown nothing for longer than the memory counts with
//     its silent time, so that a stopped server is seen without an answer.
//  3. A server is slow below a share of the median rate, or above a multiple
//     of the median time to the first token.
//  4. Hysteresis keeps a server near the bound from switching on each change:
//     the bounds of a slow server are closer to the median.
//  5. If more than half would be slow, none is.
//
// # Usage
//
//	var s pace.Stream
//	p.Begin(now, &s)
//	p.Progress(now, &s, tokens)
//	p.End(&s)
//	pace.Judge(now, []*pace.Pace{p, ...})
//	if p.Slow() { ... }
package pace

import (
	"math"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

const (
	memory     = 250 * clock.Milli
	enough     = 100 * clock.Milli // of measured stream time
	slowRate   = 0.45              // of the median, below which a server is slow
	goodRate   = 0.7               // of the median, above which a slow one has recovered
	slowFirst  = 4.0               // times the median time to the first token
	goodFirst  = 2.0
	firstFloor = 250 * clock.Milli // a time to the first token below this is never slow
	firstShare = 0.3               // weight of a new time to the first token
	leastPeers = 3
)

// Tracker is the measured progress of one server.
type Tracker struct {
	tokens  float64 // recent
	busy    float64 // recent stream time, ms
	at      clock.Millis
	streams int     // that have shown their first token
	shown   float64 // sum of the instants of their latest progress
	first   float64 // ms to the first token
	told    float64 // tokens/ms of one stream by the server's agent
	toldOf  float64 // ms to the first token by the server's agent
	slow    bool
}

// Stream is one piece of work in progress.
type Stream struct {
	last  clock.Millis
	shown bool
}

// Slow reports the last judgement.
func (p *Tracker) Slow() bool { return p.slow }

// Begin notes that a stream was started.
func (p *Tracker) Begin(now clock.Millis, s *Stream) { s.last = now }

// ObserveTokens takes in tokens that a stream has shown.
func (p *Tracker) ObserveTokens(now clock.Millis, s *Stream, tokens int) {
	if tokens <= 0 {
		return
	}
	spent := float64(now - s.last)
	if !s.shown {
		// The first tokens came after a wait and reading the prompt.
		s.shown = true
		p.streams++
		p.shown += float64(now)
		p.addFirst(spent)
		s.last = now
		return
	}
	p.shown += spent
	s.last = now
	p.add(now, float64(tokens), spent)
}

// ObserveBatch takes in tokens of a stream that shows them rarely and many at once,
// so that its silence means nothing.
func (p *Tracker) ObserveBatch(now clock.Millis, s *Stream, tokens int) {
	if spent := now - s.last; spent > 0 && tokens > 0 {
		p.add(now, float64(tokens), float64(spent))
		s.last = now
	}
}

// ObserveCall takes in a call that shows nothing until it is whole.
func (p *Tracker) ObserveCall(now clock.Millis, s *Stream) {
	p.add(now, 1, float64(max(1, now-s.last)))
}

// SetReported takes in what the server's agent has measured: tokens/s of one
// stream and the time to the first token; 0 is not known.
func (p *Tracker) SetReported(rate float64, first clock.Millis) {
	p.told, p.toldOf = rate/float64(clock.Second), float64(first)
}

// End forgets a stream.
func (p *Tracker) End(s *Stream) {
	if s.shown {
		p.streams--
		p.shown -= float64(s.last)
	}
	s.shown = false
}

func (p *Tracker) addFirst(spent float64) {
	if p.first == 0 {
		p.first = spent
		return
	}
	p.first += firstShare * (spent - p.first)
}

func (p *Tracker) add(now clock.Millis, tokens, busy float64) {
	fade := math.Exp(-float64(now-p.at) / float64(memory))
	p.tokens = p.tokens*fade + tokens
	p.busy = p.busy*fade + busy
	p.at = now
}

// rate returns tokens/ms of one stream; false if it can't be told.
func (p *Tracker) rate(now clock.Millis) (float64, bool) {
	silent := 0.0
	if p.streams > 0 {
		silent = float64(p.streams)*float64(now) - p.shown - float64(p.streams)*float64(memory) // rule 2
	}
	busy := p.busy + max(0, silent)
	if busy < float64(enough) { // rule 1
		return p.told, p.told > 0
	}
	return p.tokens / busy, true
}

// firstToken returns ms to the first token; 0 if it can't be told.
func (p *Tracker) firstToken() float64 {
	if p.first > 0 {
		return p.first
	}
	return p.toldOf
}

// DetectSlow decides anew which of some peers are slow.
func DetectSlow(now clock.Millis, peers []*Tracker) {
	rates := make([]float64, 0, len(peers))
	firsts := make([]float64, 0, len(peers))
	for _, p := range peers {
		if r, ok := p.rate(now); ok {
			rates = append(rates, r)
		}
		if f := p.firstToken(); f > 0 {
			firsts = append(firsts, f)
		}
	}
	midRate, midFirst := median(rates), median(firsts)
	slow := 0
	next := make([]bool, len(peers))
	for i, p := range peers {
		next[i] = p.looksSlow(now, midRate, midFirst)
		if next[i] {
			slow++
		}
	}
	for i, p := range peers {
		p.slow = next[i] && 2*slow <= len(peers) // rule 5
	}
}

// looksSlow applies rules 3 and 4. A server that can't be measured keeps its
// state.
func (p *Tracker) looksSlow(now clock.Millis, midRate, midFirst float64) bool {
	share, times := slowRate, slowFirst
	if p.slow {
		share, times = goodRate, goodFirst // rule 4
	}
	first := p.firstToken()
	late := midFirst > 0 && first > float64(firstFloor) && first > times*midFirst
	r, ok := p.rate(now)
	if !ok || midRate == 0 {
		return p.slow || late
	}
	return r < share*midRate || late
}

// median returns the middle value, 0 if there are too few.
func median(vs []float64) float64 {
	if len(vs) < leastPeers {
		return 0
	}
	slices.Sort(vs)
	return vs[len(vs)/2]
}
