package replay

import (
	"strconv"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/limit"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/stand/batch"
)

// Limits of the model of a server.
const (
	slowShare   = 0.7                // of the median rate, from which on a server is not slow
	silentAfter = 1200 * clock.Milli // a trace tells of a live agent once a second
	reportEvery = 250 * clock.Milli
	prefixes    = 64
	prefill     = 50_000 // prompt bytes/s
)

// server is one backend server with its agent.
type server struct {
	node    ident.Node
	zone    ident.Zone
	region  ident.Region
	service ident.Service
	call    bool
	slots   int
	version ident.Version
	rate    float64 // last reported
	loading bool
	down    bool
	fails   int          // failed loads in a row
	after   clock.Millis // no order before this instant
	leaving clock.Millis // instant at which it said so
	heard   clock.Millis // last line in the trace
	told    clock.Millis // last report to the matcher
	seq     uint64
	boot    ident.Incarnation
	wake    uint64
	core    *batch.Engine
	lim     *limit.Limiter
	jobs    map[string]*run
}

// run is one attempt at a server.
type run struct {
	w       *work
	s       *server
	grant   match.Grant
	started ident.Version // version that made the first token
	ask     limit.Request
	shown   int // tokens that the matcher knows of
}

func (r *run) id() string { return strconv.FormatUint(r.w.item.ID, 10) + "/" + string(r.s.node) }

func (w *world) serverOf(e trace.Event) *server {
	s, ok := w.servers[e.Node]
	if !ok {
		s = &server{node: e.Node, zone: e.Zone, region: e.Region, call: e.Call, version: e.Version, boot: 1, lim: limit.New(max(1, e.Slots)), jobs: make(map[string]*run)}
		w.servers[e.Node] = s
		w.nodes = append(w.nodes, s)
	}
	return s
}

// hear takes in a recorded report.
func (w *world) hear(e trace.Event) {
	s := w.serverOf(e)
	s.heard = w.Now()
	if e.Leaving && s.leaving == 0 {
		s.leaving = w.Now()
	}
	s.slots = max(s.slots, e.Slots)
	if e.Service == "" {
		return
	}
	if s.service == "" {
		s.service = e.Service
		s.core = batch.New(batch.Params{Slots: max(1, s.slots), Rate: w.facts.rate, Knee: max(1, s.slots), PrefillRate: prefill, CachedPrefixes: prefixes})
	}
	if s.down {
		s.down, s.version = false, e.Version
		s.boot++
	}
	if e.Rate > 0 {
		s.rate = e.Rate
		w.settle(s)
		s.core.SetSpeed(w.speedOf(s))
		w.plan(s)
	}
	w.tell(s)
}

// speedOf returns the speed of a server beside the median of its peers. A
// stream is slower too when many share a server, but then it is so everywhere;
// only what lies well below the peers counts as slow.
func (w *world) speedOf(s *server) float64 {
	var rates []float64
	for _, o := range w.nodes {
		if o.service == s.service && o.rate > 0 {
			rates = append(rates, o.rate)
		}
	}
	share := s.rate / median(rates, s.rate)
	if share >= slowShare {
		return 1
	}
	return share
}

// tell reports the state of the model's server to the matcher.
func (w *world) tell(s *server) {
	s.told = w.Now()
	s.seq++
	sv := match.Server{
		Node:       s.node,
		Zone:       s.zone,
		Region:     s.region,
		Service:    s.service,
		Version:    s.version,
		Loading:    s.loading,
		Leaving:    s.leaving > 0,
		Slots:      s.slots,
		Running:    len(s.jobs),
		OwnRunning: len(s.jobs),
		Boot:       s.boot,
		Seq:        s.seq,
	}
	if s.down {
		sv.Service = ""
	}
	w.match.Report(w.Now(), sv)
}

// tellAll reports for every server that the trace shows as heard.
func (w *world) tellAll() {
	for _, s := range w.nodes {
		if s.service != "" && w.Now()-s.heard <= silentAfter && w.Now()-s.told >= reportEvery {
			w.tell(s)
		}
	}
}

// begin starts an attempt, unless the server has no room.
func (w *world) begin(r *run) bool {
	s := r.s
	if s.down || s.lim.Admit(w.Now(), s.node, r.ask, reportEvery) != nil {
		return false
	}
	r.started = s.version
	s.jobs[r.id()] = r
	if s.call {
		w.After(w.callFor(r.w.class), func() { w.done(r) })
		return true
	}
	w.settle(s)
	w.poison(r)
	s.core.Add(w.Now(), batch.Job{ID: r.id(), Prefix: r.w.prefix, Tokens: max(1, r.w.tokens), Priority: r.grant.Priority})
	w.plan(s)
	return true
}

func (w *world) callFor(c ident.Class) clock.Millis {
	if t, ok := w.facts.callFor[c]; ok {
		return t
	}
	return usualCall
}

// settle brings an engine up to now.
func (w *world) settle(s *server) {
	if s.core == nil || s.call {
		return
	}
	for _, id := range s.core.Advance(w.Now()) {
		if r, ok := s.jobs[id]; ok {
			w.done(r)
		}
	}
}

// plan wakes up when the engine's next job finishes.
func (w *world) plan(s *server) {
	s.wake++
	mine := s.wake
	at := s.core.NextFinish()
	if at == clock.Never {
		return
	}
	w.At(at, func() {
		if s.wake == mine {
			w.settle(s)
			w.plan(s)
		}
	})
}

// done ends an attempt with a whole answer, once.
func (w *world) done(r *run) {
	if r.s.jobs[r.id()] == r {
		w.show(r, r.w.tokens)
		w.ended(r, match.Result{Outcome: match.Served})
	}
}

// show tells the matcher how many tokens an attempt has shown.
func (w *world) show(r *run, made int) {
	if made > r.shown {
		w.match.Progress(w.Now(), r.w.item.ID, r.s.node, made-r.shown)
		r.shown = made
	}
}

// showAll tells the progress of everything that runs.
func (w *world) showAll() {
	for _, s := range w.nodes {
		w.settle(s)
		for _, r := range sortedRuns(s) {
			if !s.call {
				w.show(r, s.core.TokensGenerated(r.id()))
			}
		}
	}
}

// view returns the servers of a model as the swap decision sees them.
func (w *world) view(m ident.Service) []swap.Server {
	var out []swap.Server
	for _, s := range w.nodes {
		if s.service == m && !s.call && !s.down && w.Now()-s.heard <= silentAfter && s.leaving == 0 {
			out = append(out, swap.Server{Node: s.node, Zone: s.zone, Version: s.version, Loading: s.loading, NotBefore: s.after})
		}
	}
	return out
}

// load swaps the weights of a server. The work there waits and goes on.
func (w *world) load(s *server, v ident.Version) {
	w.settle(s)
	s.loading = true
	s.core.SetHalted(true)
	w.tell(s)
	w.noteDark(s)
	boot := s.boot
	w.After(w.facts.swapFor, func() {
		w.settle(s)
		s.core.SetHalted(false)
		s.loading = false
		switch {
		case s.boot != boot || s.down:
		case w.facts.failing[s.node].has(w.recorded()):
			s.fails++
			s.after = w.Now() + swap.RetryDelay(swap.DefaultPolicy(), s.node, s.fails, 0)
		default:
			s.version, s.fails = v, 0
		}
		w.plan(s)
		w.tell(s)
		w.noteSwap()
	})
}
