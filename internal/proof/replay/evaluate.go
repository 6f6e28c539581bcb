package replay

import (
	"fmt"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

// Verdict is the result of one expected outcome.
type Verdict struct {
	Outcome      Outcome
	Passed       bool
	Observations int    // number of values or events that were checked
	Violation    string // why the outcome did not pass, empty if it passed
}

// String returns the verdict as one line.
func (v Verdict) String() string {
	word := "kept  "
	if !v.Passed {
		word = "BROKEN"
	}
	s := fmt.Sprintf("%s  %s (%d tested)", word, v.Outcome, v.Observations)
	if v.Violation != "" {
		s += ": " + v.Violation
	}
	return s
}

// outcomeRule defines which keys an outcome takes and how it is evaluated. The
// function evaluate returns the number of observations and the event that
// violated the outcome, nil if none did.
type outcomeRule struct {
	doc         string
	hasClass    bool
	hasQuantile bool
	limitKey    string // key of the outcome's limit, empty for none
	evaluate    func(*Result, Outcome) (observations int, found *violation)
}

// outcomeRules holds the rule of each outcome by its name.
var outcomeRules = map[string]outcomeRule{
	"sample-once":     {doc: "each sample of each round comes exactly once", evaluate: (*Result).sampleOnce},
	"fresh-sample":    {doc: "no sample is older than its class's bound", evaluate: (*Result).freshSample},
	"round-whole":     {doc: "each round is whole in time", limitKey: keyMaxTime, evaluate: (*Result).roundWhole},
	"trainer-idle":    {doc: "share of a trainer's time spent waiting", limitKey: keyMaxShare, evaluate: (*Result).trainerIdle},
	"staleness":       {doc: "versions that samples are behind", hasQuantile: true, limitKey: keyMaxVersions, evaluate: (*Result).staleness},
	"lateness":        {doc: "from arrival to the whole answer", hasClass: true, hasQuantile: true, limitKey: keyMaxTime, evaluate: (*Result).lateness},
	"waiting":         {doc: "from arrival to the start", hasClass: true, hasQuantile: true, limitKey: keyMaxTime, evaluate: (*Result).waiting},
	"refused":         {doc: "share of requests without an answer", hasClass: true, limitKey: keyMaxShare, evaluate: (*Result).refused},
	"deadline":        {doc: "no work starts after its deadline", evaluate: (*Result).deadline},
	"leaving-idle":    {doc: "a leaving server gets no work after a time", limitKey: keyMaxTime, evaluate: (*Result).leavingIdle},
	"lease":           {doc: "a server gets work only as long after its last report", limitKey: keyMaxTime, evaluate: (*Result).lease},
	"admitted":        {doc: "share of grants that the agent has to refuse", limitKey: keyMaxShare, evaluate: (*Result).admitted},
	"swap-done":       {doc: "from an announcement to the last server", limitKey: keyMaxTime, evaluate: (*Result).swapDone},
	"zone-serves":     {doc: "a zone with two servers of a model keeps one in service", evaluate: (*Result).zoneServes},
	"claim-once":      {doc: "one claim of a key may run, and none after it ran", evaluate: (*Result).claimOnce},
	"quarantine":      {doc: "servers that a request crashes until it is refused", limitKey: keyMaxCrashes, evaluate: (*Result).quarantined},
	"innocent":        {doc: "no request is quarantined for what another one did", evaluate: (*Result).innocent},
	"config-stands":   {doc: "an accepted change stays in force", evaluate: (*Result).configStands},
	"config-advances": {doc: "the configuration's offset never falls", evaluate: (*Result).configAdvances},
}

// Evaluate compares the result with the expected outcomes. An outcome without
// observations does not pass, since such a trace tests nothing.
func (r *Result) Evaluate(want []Outcome) []Verdict {
	var out []Verdict
	for _, o := range want {
		n, found := outcomeRules[o.Name].evaluate(r, o)
		v := Verdict{Outcome: o, Passed: found == nil && n > 0, Observations: n}
		switch {
		case found != nil:
			v.Violation = fmt.Sprintf("at %.3f s %s", found.at.Seconds(), found.description)
		case n == 0:
			v.Violation = "the trace holds nothing that tests it"
		}
		out = append(out, v)
	}
	return out
}

// Help returns a list of all outcomes with the keys that each takes.
func Help() string {
	var b strings.Builder
	for _, n := range Names() {
		r := outcomeRules[n]
		keys := []string{}
		if r.hasClass {
			keys = append(keys, keyClass)
		}
		if r.hasQuantile {
			keys = append(keys, keyQuantile)
		}
		if r.limitKey != "" {
			keys = append(keys, r.limitKey)
		}
		fmt.Fprintf(&b, "  %-16s %s", n, r.doc)
		if len(keys) > 0 {
			fmt.Fprintf(&b, " (%s)", strings.Join(keys, ", "))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// sampleOnce checks that each sample was delivered exactly once.
func (r *Result) sampleOnce(Outcome) (n int, found *violation) {
	for _, rd := range r.rounds {
		for i := range rd.spec.Total() {
			n++
			if rd.deliveryCounts[i] != 1 && found == nil {
				found = &violation{r.traceTime(rd.openedAt), fmt.Sprintf("round %s opened, whose ordinal %d came %d times", rd.spec.ID, i, rd.deliveryCounts[i])}
			}
		}
	}
	return n, found
}

// freshSample checks that no delivered sample was older than its class's
// staleness bound allows.
func (r *Result) freshSample(Outcome) (int, *violation) {
	for _, d := range r.deliveries {
		if d.oldestVersion+d.stalenessBound < d.roundVersion {
			return len(r.deliveries), &violation{d.at, fmt.Sprintf("ordinal %d of %s was handed over, made by version %d for %d", d.ordinal, d.round.spec.ID, d.oldestVersion, d.roundVersion)}
		}
	}
	return len(r.deliveries), nil
}

// roundWhole checks that each round was completed in time.
func (r *Result) roundWhole(o Outcome) (int, *violation) {
	for _, rd := range r.rounds {
		switch {
		case rd.completedAt == 0:
			return len(r.rounds), &violation{r.traceTime(rd.openedAt), fmt.Sprintf("round %s opened and was never whole", rd.spec.ID)}
		case rd.completedAt-rd.openedAt > o.MaxTime:
			return len(r.rounds), &violation{r.traceTime(rd.completedAt), fmt.Sprintf("round %s was whole after %s", rd.spec.ID, rd.completedAt-rd.openedAt)}
		}
	}
	return len(r.rounds), nil
}

// idleShare returns the share of the trainers' time spent waiting for rounds,
// and the round with the longest wait. The share is 1 if a round is incomplete.
func (r *Result) idleShare() (share float64, longest *replayedRound) {
	var waited, trained clock.Millis
	for _, rd := range r.rounds {
		trained += rd.trainerTime
		if rd.completedAt == 0 {
			return 1, rd
		}
		took := rd.completedAt - rd.openedAt
		waited += took
		if longest == nil || took > longest.completedAt-longest.openedAt {
			longest = rd
		}
	}
	return float64(waited) / max(1, float64(waited+trained)), longest
}

// trainerIdle compares the trainers' idle share with the limit.
func (r *Result) trainerIdle(o Outcome) (int, *violation) {
	share, rd := r.idleShare()
	if len(r.rounds) == 0 || share <= o.MaxShare {
		return len(r.rounds), nil
	}
	return len(r.rounds), &violation{r.traceTime(rd.openedAt), fmt.Sprintf("round %s opened, the longest wait; trainers were idle for %.2f of their time", rd.spec.ID, share)}
}

// sampleStaleness returns by how many versions each delivered sample was behind
// the version of its round.
func (r *Result) sampleStaleness() []int {
	out := make([]int, 0, len(r.deliveries))
	for _, d := range r.deliveries {
		out = append(out, d.versionsBehind())
	}
	return out
}

// versionsBehind returns by how many versions the sample was behind the version
// of its round.
func (d delivery) versionsBehind() int {
	if d.oldestVersion >= d.roundVersion {
		return 0
	}
	return int(d.roundVersion - d.oldestVersion)
}

// staleness compares a quantile of the staleness of samples with the limit.
func (r *Result) staleness(o Outcome) (int, *violation) {
	got := quantile(r.sampleStaleness(), o.Quantile, 0)
	if got <= int(o.MaxVersions) {
		return len(r.deliveries), nil
	}
	for _, d := range r.deliveries {
		if d.versionsBehind() >= got {
			return len(r.deliveries), &violation{d.at, fmt.Sprintf("ordinal %d of %s was %d versions behind, and so is the quantile", d.ordinal, d.round.spec.ID, got)}
		}
	}
	return len(r.deliveries), nil
}

// evaluateDurations compares a quantile of a duration with the outcome's
// limit, over all requests of its class. Requests without the measured event
// have the duration [clock.Never].
func (r *Result) evaluateDurations(o Outcome, measure func(*workItem) clock.Millis) (int, *violation) {
	var durations []clock.Millis
	var worst *workItem
	for _, work := range r.requests {
		if work.class != o.Class {
			continue
		}
		d := measure(work)
		durations = append(durations, d)
		if d > o.MaxTime && (worst == nil || d > measure(worst)) {
			worst = work
		}
	}
	n := len(durations)
	value := quantile(durations, o.Quantile, 0)
	if value <= o.MaxTime || worst == nil {
		return n, nil
	}
	text := value.String()
	if value == clock.Never {
		text = "never reached"
	}
	return n, &violation{r.traceTime(worst.arrivedAt), fmt.Sprintf("request %d of %s arrived, the worst of those beyond the limit; the quantile is %s", worst.item.ID, o.Class, text)}
}

// lateness compares a quantile of the latency of a class with the limit.
func (r *Result) lateness(o Outcome) (int, *violation) {
	return r.evaluateDurations(o, (*workItem).latency)
}

// latency returns the time from arrival to the complete answer, or
// [clock.Never] if there was none.
func (work *workItem) latency() clock.Millis {
	if work.endedAt == 0 || work.failure != "" {
		return clock.Never
	}
	return work.endedAt - work.arrivedAt
}

// waiting compares a quantile of the waiting time of a class with the limit.
func (r *Result) waiting(o Outcome) (int, *violation) {
	return r.evaluateDurations(o, (*workItem).waitingTime)
}

// waitingTime returns the time from arrival to the first grant, or
// [clock.Never] if there was none.
func (work *workItem) waitingTime() clock.Millis {
	if work.grantedAt == 0 {
		return clock.Never
	}
	return work.grantedAt - work.arrivedAt
}

// refused compares the share of requests without an answer with the limit.
func (r *Result) refused(o Outcome) (int, *violation) {
	n, failed := 0, 0
	var first *workItem
	for _, work := range r.requests {
		if work.class != o.Class {
			continue
		}
		n++
		if work.failure == "" && work.endedAt > 0 {
			continue
		}
		failed++
		if first == nil {
			first = work
		}
	}
	if first == nil || float64(failed) <= o.MaxShare*float64(n) {
		return n, nil
	}
	why := first.failure
	if why == "" {
		why = fault.OutcomeUnknown
	}
	return n, &violation{r.traceTime(first.arrivedAt), fmt.Sprintf("request %d of %s arrived, the first of %d without an answer: %s", first.item.ID, o.Class, failed, why)}
}

// deadline checks that no request started after its deadline.
func (r *Result) deadline(Outcome) (n int, found *violation) {
	for _, g := range r.grants {
		if g.work == nil || g.work.item.Deadline == 0 {
			continue
		}
		n++
		if late := g.at - g.work.item.Deadline; late > 0 && found == nil {
			found = &violation{r.traceTime(g.at), fmt.Sprintf("request %d of %s started %s after its deadline", g.work.item.ID, g.work.class, late)}
		}
	}
	return n, found
}

// leavingIdle checks that leaving servers got no work after the time allowed.
func (r *Result) leavingIdle(o Outcome) (n int, found *violation) {
	for _, g := range r.grants {
		n++
		if g.leavingSince > 0 && g.at-g.leavingSince > o.MaxTime && found == nil {
			found = &violation{r.traceTime(g.at), fmt.Sprintf("%s got work %s after it said that it leaves", g.node, g.at-g.leavingSince)}
		}
	}
	return n, found
}

// lease checks that no server got work too long after its last report.
func (r *Result) lease(o Outcome) (int, *violation) {
	for _, g := range r.grants {
		if g.at-g.lastReport > o.MaxTime {
			return len(r.grants), &violation{r.traceTime(g.at), fmt.Sprintf("%s got work %s after its last report", g.node, g.at-g.lastReport)}
		}
	}
	return len(r.grants), nil
}

// admitted compares the share of grants that agents refused with the limit.
func (r *Result) admitted(o Outcome) (int, *violation) {
	rejected := 0
	var first *grantRecord
	for i, g := range r.grants {
		if !g.rejected {
			continue
		}
		rejected++
		if first == nil {
			first = &r.grants[i]
		}
	}
	if first == nil || float64(rejected) <= o.MaxShare*float64(len(r.grants)) {
		return len(r.grants), nil
	}
	return len(r.grants), &violation{r.traceTime(first.at), fmt.Sprintf("%s refused a grant, the first of %d", first.node, rejected)}
}

// swapDone checks that all servers loaded each announced version in time.
func (r *Result) swapDone(o Outcome) (int, *violation) {
	for i, a := range r.announcements {
		if r.isSuperseded(i) {
			continue
		}
		switch {
		case a.completedAt == 0:
			return len(r.announcements), &violation{r.traceTime(a.announcedAt), fmt.Sprintf("version %d of %s was announced and never held by all", a.version, a.service)}
		case a.completedAt-a.announcedAt > o.MaxTime:
			return len(r.announcements), &violation{r.traceTime(a.completedAt), fmt.Sprintf("the last server held version %d of %s %s after the announcement", a.version, a.service, a.completedAt-a.announcedAt)}
		}
	}
	return len(r.announcements), nil
}

// isSuperseded reports whether a newer version was announced before all servers
// had loaded this one. Loading the older version everywhere is then useless.
func (r *Result) isSuperseded(i int) bool {
	a := r.announcements[i]
	for _, later := range r.announcements[i+1:] {
		if later.service == a.service && (a.completedAt == 0 || later.announcedAt < a.completedAt) {
			return true
		}
	}
	return false
}

// zoneServes checks that no zone was without a serving server.
func (r *Result) zoneServes(Outcome) (int, *violation) {
	if len(r.zoneOutages) > 0 {
		return len(r.announcements), &r.zoneOutages[0]
	}
	return len(r.announcements), nil
}

// configStands checks that accepted changes stayed in force.
func (r *Result) configStands(Outcome) (int, *violation) {
	for _, c := range r.configChecks {
		if c.missing {
			return len(r.configChecks), &violation{c.at, fmt.Sprintf("the record at offset %d left class %s without its accepted change", c.offset, c.class)}
		}
	}
	return len(r.configChecks), nil
}

// configAdvances checks that the configuration's offset never decreased.
func (r *Result) configAdvances(Outcome) (int, *violation) {
	for _, c := range r.configChecks {
		if c.decreased {
			return len(r.configChecks), &violation{c.at, fmt.Sprintf("the configuration fell back to offset %d", c.offset)}
		}
	}
	return len(r.configChecks), nil
}
