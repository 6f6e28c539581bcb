package vtime

import (
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

// Outcome holds the results of a run. Unless a field says otherwise, only
// requests that arrived after the warm-up are counted.
type Outcome struct {
	scenario        Scenario
	Latencies       [][]clock.Millis // by kind: from arrival to the complete answer
	Arrived         []int            // by kind
	Refused         []int            // by kind: requests that ended without an answer
	NoRetryAfter    int              // overload refusals without a retry-after time
	Hedges          int
	Retries         int
	Rejected        int     // attempts refused by agents, those of the warm-up included
	MaxConcurrent   int     // largest number of concurrent attempts on one engine, in the whole run
	CompletedTokens float64 // tokens of complete answers
	ExtraTokens     float64 // tokens of attempts that ended without a complete answer
	GoodTokens      float64 // tokens of answers within the lateness target that ended between warm-up and end
	Unfinished      int     // requests that had not ended when the run stopped
}

func newOutcome(s Scenario) *Outcome {
	n := len(s.Kinds)
	return &Outcome{scenario: s, Latencies: make([][]clock.Millis, n), Arrived: make([]int, n), Refused: make([]int, n)}
}

// isCounted reports whether a request arrived after the warm-up.
func (o *Outcome) isCounted(req *request) bool { return req.arrivedAt >= o.scenario.WarmUp }

// recordArrival counts a request that arrived.
func (o *Outcome) recordArrival(req *request) {
	if o.isCounted(req) {
		o.Arrived[req.kind]++
	}
}

// recordStart counts an attempt as a hedge or a retry if it is one.
func (o *Outcome) recordStart(a *attempt) {
	if !o.isCounted(a.request) {
		return
	}
	if a.hedge {
		o.Hedges++
	}
	if a.request.item.Retry {
		o.Retries++
	}
}

// recordConcurrency updates MaxConcurrent with the number of attempts that run on
// one engine.
func (o *Outcome) recordConcurrency(n int) { o.MaxConcurrent = max(o.MaxConcurrent, n) }

// recordTokens counts the tokens that an ended attempt generated.
func (o *Outcome) recordTokens(a *attempt, tokens int, complete bool) {
	switch {
	case !o.isCounted(a.request):
	case complete:
		o.CompletedTokens += float64(tokens)
	default:
		o.ExtraTokens += float64(tokens)
	}
}

// recordRefusal counts a refused request. Its latency is the lateness target, so
// refusing work can't improve a quantile.
func (o *Outcome) recordRefusal(req *request, f *fault.Fault) {
	if !o.isCounted(req) {
		return
	}
	o.Refused[req.kind]++
	o.Latencies[req.kind] = append(o.Latencies[req.kind], o.scenario.Kinds[req.kind].Lateness)
	if f.Kind() == fault.Overloaded && f.RetryAfter() == 0 {
		o.NoRetryAfter++
	}
}

// recordCompletion records the latency of a complete answer.
func (o *Outcome) recordCompletion(req *request, now clock.Millis) {
	took := now - req.arrivedAt
	if now >= o.scenario.WarmUp && now < o.scenario.Duration && took <= o.scenario.Kinds[req.kind].Lateness {
		o.GoodTokens += float64(req.tokens)
	}
	if o.isCounted(req) {
		o.Latencies[req.kind] = append(o.Latencies[req.kind], took)
	}
}

// Quantile returns a quantile of a kind's latencies.
func (o *Outcome) Quantile(kind int, q float64) clock.Millis {
	vs := slices.Clone(o.Latencies[kind])
	if len(vs) == 0 {
		return 0
	}
	slices.Sort(vs)
	return vs[min(len(vs)-1, int(q*float64(len(vs))))]
}

// Goodput returns the tokens/s of answers within their lateness targets.
func (o *Outcome) Goodput() float64 {
	return o.GoodTokens / (o.scenario.Duration - o.scenario.WarmUp).Seconds()
}

// ExtraShare returns the tokens of extra attempts as a share of the tokens of
// complete answers.
func (o *Outcome) ExtraShare() float64 { return o.ExtraTokens / max(1, o.CompletedTokens) }

// RefusedShare returns the refused requests as a share of all requests.
func (o *Outcome) RefusedShare() float64 {
	refused, arrived := 0, 0
	for k := range o.Arrived {
		refused += o.Refused[k]
		arrived += o.Arrived[k]
	}
	return float64(refused) / float64(max(1, arrived))
}
