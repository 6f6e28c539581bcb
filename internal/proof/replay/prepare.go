package replay

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

// facts are what a trace tells beyond the order of its events.
type facts struct {
	lengths  map[uint64]int               // tokens of a piece of work
	samples  map[ident.Round]map[int]int  // tokens by ordinal
	usual    map[ident.Class]int          // median tokens of a class
	callFor  map[ident.Class]clock.Millis // time of a call of a plain service
	rate     float64                      // tokens/s of one stream, the median of all reports
	swapFor  clock.Millis
	failing  map[ident.Node]span // when loads failed
	gaps     map[ident.Round]clock.Millis
	poison   map[ident.Request]bool // requests that crash servers
	announce map[announced]bool     // versions that a round brings
}

type announced struct {
	service ident.Service
	version ident.Version
}

type span struct{ from, to clock.Millis }

func (s span) has(t clock.Millis) bool { return s.from > 0 && s.from <= t && t <= s.to }

// Defaults for traces that do not tell.
const (
	usualRate   = 400 // tokens/s
	usualTokens = 32
	usualSwap   = 300 * clock.Milli
	usualCall   = 5 * clock.Milli
)

// median returns the middle of a list, or def if it is empty.
func median[T cmp.Ordered](vs []T, def T) T { return quantile(vs, 0.5, def) }

// quantile returns a quantile of a list, or def if it is empty. It sorts the
// list.
func quantile[T cmp.Ordered](vs []T, q float64, def T) T {
	if len(vs) == 0 {
		return def
	}
	slices.Sort(vs)
	return vs[min(len(vs)-1, int(q*float64(len(vs))))]
}

// gather reads the facts of a trace.
func gather(t trace.Trace) facts {
	f := facts{
		lengths:  make(map[uint64]int),
		samples:  make(map[ident.Round]map[int]int),
		usual:    make(map[ident.Class]int),
		callFor:  make(map[ident.Class]clock.Millis),
		failing:  make(map[ident.Node]span),
		gaps:     make(map[ident.Round]clock.Millis),
		poison:   make(map[ident.Request]bool),
		announce: make(map[announced]bool),
	}
	f.work(t)
	f.crashes(t)
	f.servers(t)
	f.trainers(t)
	return f
}

// work gathers the lengths of answers and the times of calls.
func (f *facts) work(t trace.Trace) {
	from := make(map[uint64]trace.Event)
	tokens := make(map[ident.Class][]int)
	calls := make(map[ident.Class][]clock.Millis)
	for _, e := range t.Events {
		switch {
		case e.Kind == trace.Arrive:
			from[e.WorkID] = e
		case e.Kind == trace.Finish && e.Fault == "":
			f.lengths[e.WorkID] = e.Tokens
			f.sample(from[e.WorkID], e.Tokens)
			if e.Tokens > 0 {
				tokens[e.Class] = append(tokens[e.Class], e.Tokens)
				continue
			}
			calls[e.Class] = append(calls[e.Class], e.Took)
		}
	}
	for c, ns := range tokens {
		f.usual[c] = median(ns, usualTokens)
	}
	for c, ts := range calls {
		f.callFor[c] = max(1, quantile(ts, 0.1, usualCall)) // The fast ones did not wait.
	}
}

func (f *facts) sample(a trace.Event, tokens int) {
	if a.Round == "" {
		return
	}
	if f.samples[a.Round] == nil {
		f.samples[a.Round] = make(map[int]int)
	}
	f.samples[a.Round][a.Ordinal] = tokens
}

// tokensOf returns the length of a sample.
func (f *facts) tokensOf(r ident.Round, c ident.Class, ordinal int) int {
	if n := f.samples[r][ordinal]; n > 0 {
		return n
	}
	return f.usualOf(c)
}

func (f *facts) usualOf(c ident.Class) int {
	if n := f.usual[c]; n > 0 {
		return n
	}
	return usualTokens
}

// servers gathers the speed of the engines and of their loads.
func (f *facts) servers(t trace.Trace) {
	began := make(map[ident.Node]clock.Millis)
	var loads []clock.Millis
	var rates []float64
	for _, e := range t.Events {
		switch {
		case e.Kind == trace.Report && !e.Call:
			if e.Rate > 0 {
				rates = append(rates, e.Rate)
			}
			switch {
			case e.Loading && began[e.Node] == 0:
				began[e.Node] = e.At
			case !e.Loading && began[e.Node] > 0:
				loads = append(loads, e.At-began[e.Node])
				began[e.Node] = 0
			}
		case e.Kind == trace.Swap && e.Fault != "":
			s := f.failing[e.Node]
			if s.from == 0 {
				s.from = e.At
			}
			s.to = e.At
			f.failing[e.Node] = s
		}
	}
	f.rate = median(rates, usualRate)
	f.swapFor = median(loads, usualSwap)
}

// trainers gathers how long after a round its trainer opened the next one.
func (f *facts) trainers(t trace.Trace) {
	ended := make(map[ident.Caller]clock.Millis)
	opened := make(map[ident.Round]bool)
	for _, e := range t.Events {
		who := trainerOf(e.Round)
		switch {
		case e.Kind == trace.RoundRead, e.Kind == trace.RoundEnd:
			ended[who] = e.At
		case e.Kind == trace.RoundOpen && !opened[e.Round]:
			opened[e.Round] = true
			f.announce[announced{e.Service, e.Version}] = true
			if at, ok := ended[who]; ok {
				f.gaps[e.Round] = e.At - at
			}
		}
	}
}
