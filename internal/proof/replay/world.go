package replay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/ledger"
	"github.com/jujuberamp/jujuberamp/internal/decide/limit"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/proof/vtime"
)

// work is one request of a caller, or one sample of a round.
type work struct {
	item    match.Item
	request ident.Request // as suspects of a crash are named
	class   ident.Class
	service ident.Service
	prefix  string
	tokens  int
	arrived clock.Millis
	granted clock.Millis // first grant, 0 for none
	ended   clock.Millis // 0 if it never ended
	refused fault.Kind   // empty for none
	crashed int          // servers that it crashed
	tries   int
	player  *player // nil for a caller's
	ordinal int
	gen     int // of the round's state
	entry   ident.Node
	runs    []*run
}

// world is the state of one replay.
type world struct {
	*vtime.Loop
	o       Options
	t       trace.Trace
	facts   facts
	start   clock.Millis // instant of the first event in virtual time
	classes map[ident.Class]class.Class
	ledger  Ledger
	crashes Crashes
	streams map[ident.Service]*stream // of claims
	match   Matcher
	servers map[ident.Node]*server
	nodes   []*server // in order of appearance
	works   map[uint64]*work
	nextID  uint64
	rounds  map[ident.Round]*player
	last    map[ident.Caller]*player
	targets map[ident.Service]ident.Version
	stands  map[ident.Class]record.ActiveClass // accepted changes
	gone    map[ident.Node]bool                // entries that stopped
	res     *Result
}

func newWorld(t trace.Trace, o Options) *world {
	w := &world{
		Loop:    vtime.NewLoop(),
		o:       o,
		t:       t,
		facts:   gather(t),
		classes: make(map[ident.Class]class.Class),
		ledger:  o.Decisions.Ledger(),
		crashes: o.Decisions.Crash(),
		match:   o.Decisions.Match(),
		streams: make(map[ident.Service]*stream),
		servers: make(map[ident.Node]*server),
		works:   make(map[uint64]*work),
		rounds:  make(map[ident.Round]*player),
		last:    make(map[ident.Caller]*player),
		targets: make(map[ident.Service]ident.Version),
		stands:  make(map[ident.Class]record.ActiveClass),
		gone:    make(map[ident.Node]bool),
		res:     &Result{},
	}
	w.start = w.Now()
	w.res.poison = w.facts.poison
	w.res.shift = t.Events[0].At - w.start
	for _, c := range o.Classes {
		w.classes[c.Name()] = c
	}
	return w
}

const (
	tick   = 50 * clock.Milli
	after  = 2 * clock.Minute // time given to work that is left at the end
	maxTry = 6
)

// recorded returns the present instant as the trace counts it.
func (w *world) recorded() clock.Millis { return w.res.stamp(w.Now()) }

// play runs the whole trace and what is left at its end.
func (w *world) play() {
	first := w.t.Events[0].At
	for _, e := range w.t.Events {
		w.At(w.start+e.At-first, func() { w.take(e) })
	}
	stop := w.Every(tick, w.tick)
	end := w.start + w.t.Events[len(w.t.Events)-1].At - first
	w.Loop.Run(end)
	for limit := end + after; w.isBusy() && w.Now() < limit; {
		w.keepAlive()
		w.Loop.Run(w.Now() + tick)
	}
	stop()
}

// keepAlive lets the servers that were alive at the end report on.
func (w *world) keepAlive() {
	for _, s := range w.nodes {
		if w.Now()-s.heard <= silentAfter {
			s.heard = w.Now()
		}
	}
}

func (w *world) isBusy() bool {
	return len(w.works) > 0 || slices.ContainsFunc(w.res.rounds, func(p *player) bool { return p.whole == 0 })
}

// take plays one event.
func (w *world) take(e trace.Event) {
	switch e.Kind {
	case trace.Report:
		w.hear(e)
	case trace.Crash:
		w.recordedCrash(e)
	case trace.Arrive:
		if e.Round == "" {
			w.arrive(e)
		}
	case trace.RoundOpen:
		w.recordedOpen(e)
	case trace.Announce:
		if !w.facts.announce[announced{e.Service, e.Version}] {
			w.announce(e.Service, e.Version)
		}
	case trace.Config:
		w.record(e)
	case trace.Claim:
		w.claim(e)
	case trace.Stop:
		w.lose(e.Node)
	}
	w.decide()
}

func (w *world) tick() {
	w.tellAll()
	w.showAll()
	for _, m := range sortedKeys(w.targets) {
		for _, n := range w.o.Decisions.Swap(w.Now(), w.targets[m], w.view(m)) {
			w.load(w.servers[n], w.targets[m])
		}
	}
	for _, p := range w.res.rounds {
		w.startSamples(p)
	}
	w.decide()
}

// record plays a record of the configuration.
func (w *world) record(e trace.Event) {
	r, err := record.Decode(e.Data)
	before := w.ledger.Offset()
	if err != nil || e.Offset <= before { // Each entry of a deployment writes it.
		return
	}
	res := w.ledger.Apply(e.Offset, r)
	st := standing{at: w.recorded(), offset: w.ledger.Offset(), fell: w.ledger.Offset() < before}
	if res.Verdict == ledger.Accepted && r.Change != nil {
		for _, ed := range r.Change.Edits {
			st.class = ed.Name
			delete(w.stands, ed.Name)
			if !ed.Removed {
				w.stands[ed.Name] = record.ActiveClass{Class: ed.Class, Revision: e.Offset, Author: r.Change.Author}
			}
		}
	}
	for n, want := range w.stands {
		got, ok := w.ledger.Find(n)
		if !ok || got.Class != want.Class {
			st.missing, st.class = true, n
		}
		if w.o.Classes == nil {
			w.classes[n] = want.Class
		}
	}
	w.res.config = append(w.res.config, st)
}

// arrive plays the arrival of a caller's request.
func (w *world) arrive(e trace.Event) {
	tokens, ok := w.facts.lengths[e.WorkID]
	if !ok {
		tokens = w.facts.usualOf(e.Class)
	}
	wk := &work{request: e.Request, class: e.Class, service: e.Service, prefix: e.Prefix, tokens: tokens, entry: e.Node}
	if e.TimeLeft > 0 {
		wk.item.Deadline = w.Now() + e.TimeLeft
	}
	w.res.works = append(w.res.works, wk)
	w.offer(wk)
}

// offer puts a piece of work into its queue for the first time.
func (w *world) offer(wk *work) {
	w.nextID++
	wk.arrived = w.Now()
	wk.item.ID = w.nextID
	wk.item.StartBy = w.Now() + clock.Minute
	fit(wk, w.classes[wk.class])
	w.works[wk.item.ID] = wk
	w.queue(wk)
}

func (w *world) queue(wk *work) {
	if w.quarantine(wk) {
		return
	}
	if err := w.match.Enqueue(w.Now(), wk.item); err != nil {
		w.refuse(wk, err)
	}
}

func (w *world) refuse(wk *work, err error) {
	wk.refused = fault.KindOf(err)
	wk.ended = w.Now()
	delete(w.works, wk.item.ID)
	if wk.player != nil {
		w.sampleFailed(wk)
	}
}

// decide carries out what the matcher decides.
func (w *world) decide() {
	grants, refused := w.match.Dispatch(w.Now())
	for _, r := range refused {
		if wk, ok := w.works[r.Item]; ok {
			w.refuse(wk, r.Err)
		}
	}
	for _, g := range grants {
		if wk, ok := w.works[g.Item]; ok {
			w.grant(wk, g)
		}
	}
}

func (w *world) grant(wk *work, g match.Grant) {
	s := w.servers[g.Node]
	r := &run{w: wk, s: s, grant: g, ask: limit.Request{Short: g.Short, CrashSuspect: wk.item.CrashSuspect}}
	note := granted{at: w.Now(), node: g.Node, left: s.leaving, heard: s.told}
	if wk.player == nil {
		note.work = wk
	}
	if wk.granted == 0 {
		wk.granted = w.Now()
	}
	wk.runs = append(wk.runs, r)
	note.bounced = !w.begin(r)
	w.res.grants = append(w.res.grants, note)
	if note.bounced {
		w.After(1, func() { w.ended(r, match.Result{Outcome: match.Refused, RetryAfter: reportEvery}) })
	}
}

// ended takes in the end of an attempt; other attempts of the same work end
// with the first whole answer.
func (w *world) ended(r *run, res match.Result) {
	wk := r.w
	if r.s.jobs[r.id()] == r {
		delete(r.s.jobs, r.id())
		r.s.lim.Release(w.Now(), r.ask)
	}
	wk.runs = slices.DeleteFunc(wk.runs, func(o *run) bool { return o == r })
	w.match.Finish(w.Now(), wk.item.ID, r.s.node, res)
	if w.works[wk.item.ID] != wk {
		return
	}
	switch {
	case res.Outcome == match.Served:
		w.served(wk, r)
	case len(wk.runs) > 0:
	case res.Outcome == match.Failed && wk.tries >= maxTry:
		w.refuse(wk, fault.New(fault.BackendCrashed, "every attempt failed"))
	default:
		wk.tries++
		again(wk, r, res)
		w.queue(wk)
	}
	w.At(w.Now(), w.decide)
}

func (w *world) served(wk *work, r *run) {
	wk.ended = w.Now()
	w.crashes.Clear(string(wk.request))
	delete(w.works, wk.item.ID)
	for _, o := range slices.Clone(wk.runs) {
		w.end(o)
	}
	if wk.player != nil {
		w.sampleDone(wk, r)
	}
}

// end gives an attempt up.
func (w *world) end(r *run) {
	r.s.core.Cancel(r.id())
	w.ended(r, match.Result{Outcome: match.Canceled})
}

// lose plays the end of an entry: its work ends without an answer.
func (w *world) lose(n ident.Node) {
	if w.isLast(n) {
		return
	}
	w.gone[n] = true
	for _, id := range sortedKeys(w.works) {
		wk := w.works[id]
		if wk.entry != n {
			continue
		}
		delete(w.works, id)
		wk.ended, wk.refused = w.Now(), fault.OutcomeUnknown
		for _, r := range slices.Clone(wk.runs) {
			w.end(r)
		}
	}
}

// isLast reports whether a stop belongs to the end of the recording.
func (w *world) isLast(n ident.Node) bool {
	for _, e := range w.t.Events {
		if e.Kind == trace.Arrive && e.At > w.recorded() {
			return false
		}
	}
	return n != ""
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func sortedRuns(s *server) []*run {
	out := slices.Collect(maps.Values(s.jobs))
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.w.item.ID, b.w.item.ID) })
	return out
}
