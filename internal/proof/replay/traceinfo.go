package replay

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

// traceInfo holds figures that are computed from a whole trace before the
// replay.
type traceInfo struct {
	workTokens       map[uint64]int               // answer lengths by work ID
	sampleTokens     map[ident.Round]map[int]int  // answer lengths by round and ordinal
	medianTokens     map[ident.Class]int          // median answer lengths
	callDurations    map[ident.Class]clock.Millis // of calls to plain services
	tokenRate        float64                      // tokens/s of one stream, the median over all reports
	loadDuration     clock.Millis                 // of one load of weights, the median over all loads
	loadFailures     map[ident.Node]interval      // from the first to the last failed load
	trainerTimes     map[ident.Round]clock.Millis // from the end of the trainer's previous round to this round
	crashingRequests map[ident.Request]bool       // requests that crash servers
	announcedByRound map[serviceVersion]bool      // versions for which a round was opened
}

// serviceVersion is one weight version of a model.
type serviceVersion struct {
	service ident.Service
	version ident.Version
}

// interval is a closed interval of trace time.
type interval struct{ start, end clock.Millis }

// contains reports whether t is in the interval. The zero interval contains no
// moment.
func (s interval) contains(t clock.Millis) bool { return s.start > 0 && s.start <= t && t <= s.end }

// Defaults for figures that a trace does not contain.
const (
	defaultTokenRate    = 400 // tokens/s
	defaultTokens       = 32
	defaultLoadDuration = 300 * clock.Milli
	defaultCallDuration = 5 * clock.Milli
)

// median returns the median of a list, or def if the list is empty. It sorts
// the list.
func median[T cmp.Ordered](vs []T, def T) T { return quantile(vs, 0.5, def) }

// quantile returns a quantile of a list, or def if the list is empty. It sorts
// the list.
func quantile[T cmp.Ordered](vs []T, q float64, def T) T {
	if len(vs) == 0 {
		return def
	}
	slices.Sort(vs)
	return vs[min(len(vs)-1, int(q*float64(len(vs))))]
}

// analyze computes the figures of a trace.
func analyze(t trace.Trace) traceInfo {
	info := traceInfo{
		workTokens:       make(map[uint64]int),
		sampleTokens:     make(map[ident.Round]map[int]int),
		medianTokens:     make(map[ident.Class]int),
		callDurations:    make(map[ident.Class]clock.Millis),
		loadFailures:     make(map[ident.Node]interval),
		trainerTimes:     make(map[ident.Round]clock.Millis),
		crashingRequests: make(map[ident.Request]bool),
		announcedByRound: make(map[serviceVersion]bool),
	}
	info.analyzeWork(t)
	info.findCrashingRequests(t)
	info.analyzeServers(t)
	info.analyzeTrainers(t)
	return info
}

// analyzeWork computes the lengths of answers and the durations of calls. The
// duration for a class is the 10th percentile of its calls, since the slower
// calls may include time in a queue.
func (info *traceInfo) analyzeWork(t trace.Trace) {
	arrivals := make(map[uint64]trace.Event)
	tokens := make(map[ident.Class][]int)
	calls := make(map[ident.Class][]clock.Millis)
	for _, e := range t.Events {
		switch {
		case e.Kind == trace.Arrive:
			arrivals[e.WorkID] = e
		case e.Kind == trace.Finish && e.Fault == "":
			info.workTokens[e.WorkID] = e.Tokens
			info.addSample(arrivals[e.WorkID], e.Tokens)
			if e.Tokens > 0 {
				tokens[e.Class] = append(tokens[e.Class], e.Tokens)
				continue
			}
			calls[e.Class] = append(calls[e.Class], e.Took)
		}
	}
	for c, lengths := range tokens {
		info.medianTokens[c] = median(lengths, defaultTokens)
	}
	for c, durations := range calls {
		info.callDurations[c] = max(1, quantile(durations, 0.1, defaultCallDuration))
	}
}

// addSample records the length of a sample. Arrivals that do not belong to a
// round are ignored.
func (info *traceInfo) addSample(arrival trace.Event, tokens int) {
	if arrival.Round == "" {
		return
	}
	if info.sampleTokens[arrival.Round] == nil {
		info.sampleTokens[arrival.Round] = make(map[int]int)
	}
	info.sampleTokens[arrival.Round][arrival.Ordinal] = tokens
}

// tokensOfSample returns the length of a sample, or the median of its class if
// the trace does not contain the sample.
func (info *traceInfo) tokensOfSample(r ident.Round, c ident.Class, ordinal int) int {
	if n := info.sampleTokens[r][ordinal]; n > 0 {
		return n
	}
	return info.tokensOfClass(c)
}

// tokensOfClass returns the median answer length of a class.
func (info *traceInfo) tokensOfClass(c ident.Class) int {
	if n := info.medianTokens[c]; n > 0 {
		return n
	}
	return defaultTokens
}

// analyzeServers computes the engines' token rate, the duration of loads and
// the intervals in which loads failed.
func (info *traceInfo) analyzeServers(t trace.Trace) {
	loadingSince := make(map[ident.Node]clock.Millis)
	var loads []clock.Millis
	var rates []float64
	for _, e := range t.Events {
		switch {
		case e.Kind == trace.Report && !e.Call:
			if e.Rate > 0 {
				rates = append(rates, e.Rate)
			}
			switch {
			case e.Loading && loadingSince[e.Node] == 0:
				loadingSince[e.Node] = e.At
			case !e.Loading && loadingSince[e.Node] > 0:
				loads = append(loads, e.At-loadingSince[e.Node])
				loadingSince[e.Node] = 0
			}
		case e.Kind == trace.Swap && e.Fault != "":
			failures := info.loadFailures[e.Node]
			if failures.start == 0 {
				failures.start = e.At
			}
			failures.end = e.At
			info.loadFailures[e.Node] = failures
		}
	}
	info.tokenRate = median(rates, defaultTokenRate)
	info.loadDuration = median(loads, defaultLoadDuration)
}

// analyzeTrainers computes the time from the end of a round to the opening of
// its trainer's next round, and the versions for which rounds were opened.
func (info *traceInfo) analyzeTrainers(t trace.Trace) {
	ended := make(map[ident.Caller]clock.Millis)
	opened := make(map[ident.Round]bool)
	for _, e := range t.Events {
		trainer := trainerOf(e.Round)
		switch {
		case e.Kind == trace.RoundRead, e.Kind == trace.RoundEnd:
			ended[trainer] = e.At
		case e.Kind == trace.RoundOpen && !opened[e.Round]:
			opened[e.Round] = true
			info.announcedByRound[serviceVersion{e.Service, e.Version}] = true
			if at, ok := ended[trainer]; ok {
				info.trainerTimes[e.Round] = e.At - at
			}
		}
	}
}
