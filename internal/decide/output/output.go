// Package output decides whether what engines sent for an item can be its output. An
// engine in trouble may send events without end, or events of no answer at all, and each
// of them looks like an event of the item.
//
//  1. An event has at least one token. An output with more events than the item may have
//     tokens contains a faulty answer.
//  2. The operator states how many tokens an event of a service has. An output with more
//     events than that allows counts as faulty too, until maxOverruns answers were longer:
//     events may have fewer tokens than stated. From then on rule 1 alone holds for an
//     answer that is in progress or ended as it should.
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

// maxOverruns is the number of answers to an item after which the stated number of tokens
// in an event counts as refuted (rule 2): more than the engines that are in trouble at once.
const maxOverruns = 3

// Part is what one run has added to an output. Parts are in the order of the output.
type Part struct {
	Engine string // ID of the engine, empty if it is not known
	Events int
	Bytes  int // of its text, with a line feed for each event
}

// Limits bounds the output of an item.
type Limits struct {
	tokens       int // that an output may have, 0 if not known
	statedEvents int // that these tokens make by the operator's statement
	bytes        int // that a result may have, 0 for no limit
}

// NewLimits returns the limits of an item that may have a number of tokens, 0 if that is
// not known, and whose result may have maxBytes bytes, 0 for no limit.
func NewLimits(tokens, tokensPerEvent, maxBytes int) Limits {
	perEvent := max(1, tokensPerEvent)
	return Limits{tokens: tokens, statedEvents: (tokens + perEvent - 1) / perEvent, bytes: maxBytes}
}

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
	last := parts[len(parts)-1].Engine
	switch {
	case l.tokens > 0 && events > l.tokens:
		return Blame(parts, last, fmt.Sprintf("the output has %d events; the item may have %d tokens", events, l.tokens)), true
	case l.tokens > 0 && events > l.statedEvents && overruns < maxOverruns:
		f := Blame(parts, last, fmt.Sprintf("the output has %d events; %d tokens make %d of this service", events, l.tokens, l.statedEvents))
		f.Overrun = true
		return f, true
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
	f := Defect{Engine: engine, Reason: reason}
	for _, p := range parts {
		if p.Engine == engine || p.Engine == "" {
			break
		}
		f.Keep += p.Events
	}
	return f
}
