// Package output decides whether what engines sent for an item can be its output. An
// engine in trouble may send events without end, or events of no answer at all, and each
// of them looks like an event of the item.
//
//  1. An event has at least one token. An output with more events than the item may have
//     tokens contains a faulty answer.
//  2. The operator states how many tokens an event of a service has, and a token has few
//     bytes. An output with more events than its tokens make, or with larger ones, counts as
//     faulty too, until MaxOverruns answers were so: the events may have fewer tokens than
//     stated, or longer ones. From then on the other rules alone hold for an answer that is
//     in progress or ended as it should.
//  3. An output that is larger than a result may be contains a faulty answer.
//  4. At fault is the engine whose answer exceeds the number of events, or that sent most
//     of an output that is too large. All from its first event on is dropped: it may have
//     sent several parts of the output, and the others go on behind them.
//  5. A part whose engine is not known counts as one of the engine at fault.
//
// # Usage
//
//	limits := output.NewLimits(item.MaxOutputTokens(), tokensPerEvent, maxBytes)
//	if defect, ok := limits.Judge(parts, overruns); ok {
//		events = events[:defect.Keep]
//	}
package output

import "fmt"

const (
	// MaxOverruns is the number of answers to an item after which rule 2 no longer holds
	// for it: more than the engines that are usually in trouble at once.
	MaxOverruns = 3
	// maxTokenBytes is the size of a token that is still plausible: the longest ones of
	// common vocabularies have a few hundred bytes.
	maxTokenBytes = 4 << 10
)

// Part is what one run has added to an output. Parts are in the order of the output.
type Part struct {
	Engine string // ID of the engine, empty if it is not known
	Events int
	Bytes  int // of its text, with a line feed for each event
}

// Limits bounds the output of an item.
type Limits struct {
	tokens   int // that an output may have, 0 if not known
	perEvent int // tokens in an event by the operator's statement
	bytes    int // that a result may have, 0 for no limit
}

// NewLimits returns the limits of an item that may have a number of tokens, 0 if that is
// not known, and whose result may have maxBytes bytes, 0 for no limit.
func NewLimits(tokens, tokensPerEvent, maxBytes int) Limits {
	return Limits{tokens: tokens, perEvent: max(1, tokensPerEvent), bytes: maxBytes}
}

// statedEvents returns the number of events that the tokens of the output make (rule 2).
func (l Limits) statedEvents() int { return (l.tokens + l.perEvent - 1) / l.perEvent }

// Defect is a faulty answer in an output.
type Defect struct {
	Engine  string // at fault, empty if it is not known
	Keep    int    // number of events before its first one
	Reason  string // for logs and clients
	Overrun bool   // by rule 2 alone
}

// Judge returns the faulty answer that an output contains, or false if there is none.
// Overruns is the number of answers to this item that had a [Defect.Overrun]; it is 0 for
// an output whose last answer broke off.
func (l Limits) Judge(parts []Part, overruns int) (Defect, bool) {
	if len(parts) == 0 {
		return Defect{}, false
	}
	events, bytes := 0, -1 // There is no line feed behind the last event.
	for _, p := range parts {
		events, bytes = events+p.Events, bytes+p.Bytes
	}
	last := parts[len(parts)-1]
	switch {
	case l.tokens > 0 && events > l.tokens:
		return Blame(parts, last.Engine, fmt.Sprintf("the output has %d events; the item may have %d tokens", events, l.tokens)), true
	case l.tokens > 0 && events > l.statedEvents() && overruns < MaxOverruns:
		d := Blame(parts, last.Engine, fmt.Sprintf("the output has %d events; %d tokens make %d of this service", events, l.tokens, l.statedEvents()))
		d.Overrun = true
		return d, true
	case last.Bytes > last.Events*(l.perEvent*maxTokenBytes+1) && overruns < MaxOverruns:
		d := Blame(parts, last.Engine, fmt.Sprintf("the output has %d events of %d bytes; an event of this service has %d tokens", last.Events, last.Bytes, l.perEvent))
		d.Overrun = true
		return d, true
	case l.bytes > 0 && bytes > l.bytes:
		return TooLarge(parts, bytes, l.bytes), true
	}
	return Defect{}, false
}

// TooLarge returns the fault of an output that is larger than a result may be (rule 3).
func TooLarge(parts []Part, bytes, limit int) Defect {
	sent := make(map[string]int)
	largest := ""
	for _, p := range parts {
		if sent[p.Engine] += p.Bytes; sent[p.Engine] > sent[largest] {
			largest = p.Engine
		}
	}
	return Blame(parts, largest, fmt.Sprintf("the output has %d bytes or more; a result may have %d", bytes, limit))
}

// Blame returns the fault of an output to which an engine gave a faulty answer (rules 4
// and 5).
func Blame(parts []Part, engine, reason string) Defect {
	d := Defect{Engine: engine, Reason: reason}
	for _, p := range parts {
		if p.Engine == engine || p.Engine == "" {
			break
		}
		d.Keep += p.Events
	}
	return d
}
