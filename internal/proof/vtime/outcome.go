package vtime

import (
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

// Outcome is what a run gave. Only requests that arrived between the warm-up
// and the end count.
type Outcome struct {
	s               Scenario
	Latencies       [][]clock.Millis // by kind: from arrival to the whole answer
	Arrived         []int            // by kind
	Refused         []int            // by kind, as not run
	NoRetryAfter    int              // refusals for overload without a time to come back
	Hedges          int
	Retries         int
	Rejected        int     // refused by an agent
	MaxConcurrent   int     // work at one engine at once
	CompletedTokens float64 // tokens of whole answers
	ExtraTokens     float64 // tokens of other attempts of the same requests
	GoodTokens      float64 // tokens of answers within the lateness target, ended between warm-up and end
	Unfinished      int     // requests without an end
}

func newOutcome(s Scenario) *Outcome {
	n := len(s.Kinds)
	return &Outcome{s: s, Latencies: make([][]clock.Millis, n), Arrived: make([]int, n), Refused: make([]int, n)}
}

func (o *Outcome) counts(wk *work) bool { return wk.arrived >= o.s.WarmUp }

func (o *Outcome) arrived(wk *work) {
	if o.counts(wk) {
		o.Arrived[wk.kind]++
	}
}

func (o *Outcome) started(a *attempt) {
	if !o.counts(a.w) {
		return
	}
	if a.hedge {
		o.Hedges++
	}
	if a.w.item.Retry {
		o.Retries++
	}
}

func (o *Outcome) mostAt(n int) { o.MaxConcurrent = max(o.MaxConcurrent, n) }

func (o *Outcome) made(a *attempt, tokens int, whole bool) {
	switch {
	case !o.counts(a.w):
	case whole:
		o.CompletedTokens += float64(tokens)
	default:
		o.ExtraTokens += float64(tokens)
	}
}

// refused counts a refusal as an answer at the lateness target, so that
// refusing work can't improve a quantile.
func (o *Outcome) refused(wk *work, f *fault.Fault) {
	if !o.counts(wk) {
		return
	}
	o.Refused[wk.kind]++
	o.Latencies[wk.kind] = append(o.Latencies[wk.kind], o.s.Kinds[wk.kind].Lateness)
	if f.Kind() == fault.Overloaded && f.RetryAfter() == 0 {
		o.NoRetryAfter++
	}
}

func (o *Outcome) finished(wk *work, now clock.Millis) {
	took := now - wk.arrived
	if now >= o.s.WarmUp && now < o.s.Duration && took <= o.s.Kinds[wk.kind].Lateness {
		o.GoodTokens += float64(wk.tokens)
	}
	if o.counts(wk) {
		o.Latencies[wk.kind] = append(o.Latencies[wk.kind], took)
	}
}

// Quantile returns a quantile of the time to the whole answer of a kind.
func (o *Outcome) Quantile(kind int, q float64) clock.Millis {
	vs := slices.Clone(o.Latencies[kind])
	if len(vs) == 0 {
		return 0
	}
	slices.Sort(vs)
	return vs[min(len(vs)-1, int(q*float64(len(vs))))]
}

// Goodput returns the tokens/s of answers within their lateness target.
func (o *Outcome) Goodput() float64 { return o.GoodTokens / (o.s.Duration - o.s.WarmUp).Seconds() }

// ExtraShare returns the extra work as a share of the work that was needed.
func (o *Outcome) ExtraShare() float64 { return o.ExtraTokens / max(1, o.CompletedTokens) }

// RefusedShare returns the requests refused as not run, as a share of all.
func (o *Outcome) RefusedShare() float64 {
	refused, arrived := 0, 0
	for k := range o.Arrived {
		refused += o.Refused[k]
		arrived += o.Arrived[k]
	}
	return float64(refused) / float64(max(1, arrived))
}
