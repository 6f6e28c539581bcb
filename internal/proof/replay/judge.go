package replay

import (
	"fmt"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

// Verdict is one stated outcome as kept or broken.
type Verdict struct {
	Outcome      Outcome
	Passed       bool
	Observations int    // observations
	Violation    string // the event that broke it
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

// rule tells which keys an outcome takes and how it is judged. The judge
// returns how many observations there were and the event that broke the
// outcome, if one did.
type rule struct {
	doc      string
	class    bool
	quantile bool
	limit    string // key of the limit, empty for none
	judge    func(*Result, Outcome) (tested int, broke *event)
}

// rules is the table of outcomes.
var rules = map[string]rule{
	"sample-once":     {doc: "each sample of each round comes exactly once", judge: (*Result).sampleOnce},
	"fresh-sample":    {doc: "no sample is older than its class's bound", judge: (*Result).freshSample},
	"round-whole":     {doc: "each round is whole in time", limit: keySpan, judge: (*Result).roundWhole},
	"trainer-idle":    {doc: "share of a trainer's time spent waiting", limit: keyShare, judge: (*Result).trainerIdle},
	"staleness":       {doc: "versions that samples are behind", quantile: true, limit: keyVersions, judge: (*Result).staleness},
	"lateness":        {doc: "from arrival to the whole answer", class: true, quantile: true, limit: keySpan, judge: (*Result).lateness},
	"waiting":         {doc: "from arrival to the start", class: true, quantile: true, limit: keySpan, judge: (*Result).waiting},
	"refused":         {doc: "share of requests without an answer", class: true, limit: keyShare, judge: (*Result).refused},
	"deadline":        {doc: "no work starts after its deadline", judge: (*Result).deadline},
	"leaving-idle":    {doc: "a leaving server gets no work after a time", limit: keySpan, judge: (*Result).leavingIdle},
	"lease":           {doc: "a server gets work only as long after its last report", limit: keySpan, judge: (*Result).lease},
	"admitted":        {doc: "share of grants that the agent has to refuse", limit: keyShare, judge: (*Result).admitted},
	"swap-done":       {doc: "from an announcement to the last server", limit: keySpan, judge: (*Result).swapDone},
	"zone-serves":     {doc: "a zone with two servers of a model keeps one in service", judge: (*Result).zoneServes},
	"claim-once":      {doc: "one claim of a key may run, and none after it ran", judge: (*Result).claimOnce},
	"quarantine":      {doc: "servers that a request crashes until it is refused", limit: keyCrashes, judge: (*Result).quarantined},
	"innocent":        {doc: "no request is quarantined for what another one did", judge: (*Result).innocent},
	"config-stands":   {doc: "an accepted change stays in force", judge: (*Result).configStands},
	"config-advances": {doc: "the configuration's offset never falls", judge: (*Result).configAdvances},
}

// Evaluate compares the result with stated outcomes. An outcome without a single
// observation counts as broken, since it could not fail.
func (r *Result) Evaluate(want []Outcome) []Verdict {
	var out []Verdict
	for _, o := range want {
		n, broke := rules[o.Name].judge(r, o)
		v := Verdict{Outcome: o, Passed: broke == nil && n > 0, Observations: n}
		switch {
		case broke != nil:
			v.Violation = fmt.Sprintf("at %.3f s %s", broke.at.Seconds(), broke.what)
		case n == 0:
			v.Violation = "the trace holds nothing that tests it"
		}
		out = append(out, v)
	}
	return out
}

// Help lists the outcomes with the keys that each takes.
func Help() string {
	var b strings.Builder
	for _, n := range Names() {
		r := rules[n]
		keys := []string{}
		if r.class {
			keys = append(keys, keyClass)
		}
		if r.quantile {
			keys = append(keys, keyQuantile)
		}
		if r.limit != "" {
			keys = append(keys, r.limit)
		}
		fmt.Fprintf(&b, "  %-16s %s", n, r.doc)
		if len(keys) > 0 {
			fmt.Fprintf(&b, " (%s)", strings.Join(keys, ", "))
		}
		b.WriteString("\n")
	}
	return b.String()
}

func (r *Result) sampleOnce(Outcome) (n int, broke *event) {
	for _, p := range r.rounds {
		for i := range p.spec.Total() {
			n++
			if p.got[i] != 1 && broke == nil {
				broke = &event{r.stamp(p.opened), fmt.Sprintf("round %s opened, whose ordinal %d came %d times", p.spec.ID, i, p.got[i])}
			}
		}
	}
	return n, broke
}

func (r *Result) freshSample(Outcome) (int, *event) {
	for _, g := range r.given {
		if g.oldest+g.bound < g.asked {
			return len(r.given), &event{g.at, fmt.Sprintf("ordinal %d of %s was handed over, made by version %d for %d", g.ordinal, g.round.spec.ID, g.oldest, g.asked)}
		}
	}
	return len(r.given), nil
}

func (r *Result) roundWhole(o Outcome) (int, *event) {
	for _, p := range r.rounds {
		switch {
		case p.whole == 0:
			return len(r.rounds), &event{r.stamp(p.opened), fmt.Sprintf("round %s opened and was never whole", p.spec.ID)}
		case p.whole-p.opened > o.MaxTime:
			return len(r.rounds), &event{r.stamp(p.whole), fmt.Sprintf("round %s was whole after %s", p.spec.ID, p.whole-p.opened)}
		}
	}
	return len(r.rounds), nil
}

// idle returns the share of the trainers' time spent waiting.
func (r *Result) idle() (share float64, longest *player) {
	var wait, busy clock.Millis
	for _, p := range r.rounds {
		busy += p.worked
		if p.whole == 0 {
			return 1, p
		}
		took := p.whole - p.opened
		wait += took
		if longest == nil || took > longest.whole-longest.opened {
			longest = p
		}
	}
	return float64(wait) / max(1, float64(wait+busy)), longest
}

func (r *Result) trainerIdle(o Outcome) (int, *event) {
	share, p := r.idle()
	if len(r.rounds) == 0 || share <= o.MaxShare {
		return len(r.rounds), nil
	}
	return len(r.rounds), &event{r.stamp(p.opened), fmt.Sprintf("round %s opened, the longest wait; trainers were idle for %.2f of their time", p.spec.ID, share)}
}

// ages returns how many versions each sample was behind.
func (r *Result) ages() []int {
	out := make([]int, 0, len(r.given))
	for _, g := range r.given {
		out = append(out, g.age())
	}
	return out
}

func (g given) age() int {
	if g.oldest >= g.asked {
		return 0
	}
	return int(g.asked - g.oldest)
}

func (r *Result) staleness(o Outcome) (int, *event) {
	got := quantile(r.ages(), o.Quantile, 0)
	if got <= int(o.MaxVersions) {
		return len(r.given), nil
	}
	for _, g := range r.given {
		if g.age() >= got {
			return len(r.given), &event{g.at, fmt.Sprintf("ordinal %d of %s was %d versions behind, and so is the quantile", g.ordinal, g.round.spec.ID, got)}
		}
	}
	return len(r.given), nil
}

// spans measures the works of a class; work without an end counts as endless.
func (r *Result) spans(o Outcome, of func(*work) clock.Millis) (int, *event) {
	var all []clock.Millis
	var worst *work
	for _, wk := range r.works {
		if wk.class != o.Class {
			continue
		}
		d := of(wk)
		all = append(all, d)
		if d > o.MaxTime && (worst == nil || d > of(worst)) {
			worst = wk
		}
	}
	n := len(all)
	got := quantile(all, o.Quantile, 0)
	if got <= o.MaxTime || worst == nil {
		return n, nil
	}
	text := got.String()
	if got == clock.Never {
		text = "never reached"
	}
	return n, &event{r.stamp(worst.arrived), fmt.Sprintf("request %d of %s arrived, the worst of those beyond the limit; the quantile is %s", worst.item.ID, o.Class, text)}
}

func (r *Result) lateness(o Outcome) (int, *event) {
	return r.spans(o, (*work).took)
}

// took returns the time to the whole answer; a request without one took for
// ever.
func (wk *work) took() clock.Millis {
	if wk.ended == 0 || wk.refused != "" {
		return clock.Never
	}
	return wk.ended - wk.arrived
}

func (r *Result) waiting(o Outcome) (int, *event) {
	return r.spans(o, (*work).waited)
}

// waited returns the time to the first grant.
func (wk *work) waited() clock.Millis {
	if wk.granted == 0 {
		return clock.Never
	}
	return wk.granted - wk.arrived
}

func (r *Result) refused(o Outcome) (int, *event) {
	n, bad := 0, 0
	var first *work
	for _, wk := range r.works {
		if wk.class != o.Class {
			continue
		}
		n++
		if wk.refused == "" && wk.ended > 0 {
			continue
		}
		bad++
		if first == nil {
			first = wk
		}
	}
	if first == nil || float64(bad) <= o.MaxShare*float64(n) {
		return n, nil
	}
	why := first.refused
	if why == "" {
		why = fault.OutcomeUnknown
	}
	return n, &event{r.stamp(first.arrived), fmt.Sprintf("request %d of %s arrived, the first of %d without an answer: %s", first.item.ID, o.Class, bad, why)}
}

func (r *Result) deadline(Outcome) (n int, broke *event) {
	for _, g := range r.grants {
		if g.work == nil || g.work.item.Deadline == 0 {
			continue
		}
		n++
		if late := g.at - g.work.item.Deadline; late > 0 && broke == nil {
			broke = &event{r.stamp(g.at), fmt.Sprintf("request %d of %s started %s after its deadline", g.work.item.ID, g.work.class, late)}
		}
	}
	return n, broke
}

func (r *Result) leavingIdle(o Outcome) (n int, broke *event) {
	for _, g := range r.grants {
		n++
		if g.left > 0 && g.at-g.left > o.MaxTime && broke == nil {
			broke = &event{r.stamp(g.at), fmt.Sprintf("%s got work %s after it said that it leaves", g.node, g.at-g.left)}
		}
	}
	return n, broke
}

func (r *Result) lease(o Outcome) (int, *event) {
	for _, g := range r.grants {
		if g.at-g.heard > o.MaxTime {
			return len(r.grants), &event{r.stamp(g.at), fmt.Sprintf("%s got work %s after its last report", g.node, g.at-g.heard)}
		}
	}
	return len(r.grants), nil
}

func (r *Result) admitted(o Outcome) (int, *event) {
	bad := 0
	var first *granted
	for i, g := range r.grants {
		if !g.bounced {
			continue
		}
		bad++
		if first == nil {
			first = &r.grants[i]
		}
	}
	if first == nil || float64(bad) <= o.MaxShare*float64(len(r.grants)) {
		return len(r.grants), nil
	}
	return len(r.grants), &event{r.stamp(first.at), fmt.Sprintf("%s refused a grant, the first of %d", first.node, bad)}
}

func (r *Result) swapDone(o Outcome) (int, *event) {
	for i, s := range r.swaps {
		if r.isOvertaken(i) {
			continue
		}
		switch {
		case s.done == 0:
			return len(r.swaps), &event{r.stamp(s.at), fmt.Sprintf("version %d of %s was announced and never held by all", s.version, s.service)}
		case s.done-s.at > o.MaxTime:
			return len(r.swaps), &event{r.stamp(s.done), fmt.Sprintf("the last server held version %d of %s %s after the announcement", s.version, s.service, s.done-s.at)}
		}
	}
	return len(r.swaps), nil
}

// isOvertaken reports whether a newer version came before all servers held
// this one, so that loading it everywhere would have been in vain.
func (r *Result) isOvertaken(i int) bool {
	s := r.swaps[i]
	for _, o := range r.swaps[i+1:] {
		if o.service == s.service && (s.done == 0 || o.at < s.done) {
			return true
		}
	}
	return false
}

func (r *Result) zoneServes(Outcome) (int, *event) {
	if len(r.dark) > 0 {
		return len(r.swaps), &r.dark[0]
	}
	return len(r.swaps), nil
}

func (r *Result) configStands(Outcome) (int, *event) {
	for _, s := range r.config {
		if s.missing {
			return len(r.config), &event{s.at, fmt.Sprintf("the record at offset %d left class %s without its accepted change", s.offset, s.class)}
		}
	}
	return len(r.config), nil
}

func (r *Result) configAdvances(Outcome) (int, *event) {
	for _, s := range r.config {
		if s.fell {
			return len(r.config), &event{s.at, fmt.Sprintf("the configuration fell back to offset %d", s.offset)}
		}
	}
	return len(r.config), nil
}
