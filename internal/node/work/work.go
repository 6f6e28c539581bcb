// Package work makes the results of the jobs that a node owns: it gives their
// items to the agents beside the engines, has finished texts scored, and
// stores them.
//
// # Usage
//
//	w := work.New(work.Params{...})
//	go w.Run(ctx)
package work

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/lots"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/seats"
	"github.com/jujuberamp/jujuberamp/internal/decide/share"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/decide/table"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
	"github.com/jujuberamp/jujuberamp/internal/node/jobs"
)

const (
	// lookEach is how often items are given out when nothing else happens.
	lookEach = 100 * clock.Milli
	// takeEach is how often a node tries to take over one job.
	takeEach = clock.Second
	// lostLeast runs that reached no agent, and none heard of for lostFor, tell
	// that this node is cut off from the agents; it tries again after unfitFor.
	lostLeast = 3
	lostFor   = 1500 * clock.Milli
	unfitFor  = 4 * clock.Second
	// coolFor is how long an engine that refused gets nothing.
	coolFor = 150 * clock.Milli
	// breakFirst is the pause before an item whose run broke off goes again;
	// it doubles, so that an item which crashes engines crashes few.
	breakFirst = 50 * clock.Milli
	breakMost  = 4 * clock.Second
	// Ways there and back; see package pick.
	sameRegion  = 3 * clock.Milli
	otherRegion = 25 * clock.Milli
)

// Params are what a worker needs.
type Params struct {
	Self  lots.Node
	Board *jobs.Board
	Front *front.Front
	Conf  *conf.Follower
	Place pick.Place
	Port  int // of the agents
	HTTP  http.RoundTripper
	Clock clock.Clock
	Log   zerolog.Logger
	Count func(name, label string)
}

// Worker makes results.
type Worker struct {
	Params
	http *http.Client
	wake chan struct{}

	mu      sync.Mutex
	specs   map[string][]lots.Item // of jobs accepted here and not begun
	jobs    map[string]*job
	engines map[string]*engine
	takes   map[string]clock.Millis
	leaving bool
	reached clock.Millis // when an agent was heard of last
	lost    int          // runs since then that reached no agent
	unfit   clock.Millis // until when this node counts as cut off from the agents
}

// engine is what the worker knows of an engine.
type engine struct {
	open    int // runs from here
	others  int // runs of other nodes, as of the last frame
	slots   int
	pace    float64
	at      clock.Millis // when its agent was heard of last
	asked   clock.Millis // when its agent was asked for its state last
	hiccup  clock.Millis // until when it counts as slower than usual
	loading bool
	cool    clock.Millis
	old     map[string]clock.Millis // models of which it has no usable version until then
}

// New returns a worker.
func New(p Params) *Worker {
	if p.Count == nil {
		p.Count = func(string, string) {}
	}
	return &Worker{
		Params: p, http: &http.Client{Transport: p.HTTP}, wake: make(chan struct{}, 1),
		specs: make(map[string][]lots.Item), jobs: make(map[string]*job), engines: make(map[string]*engine),
		takes: make(map[string]clock.Millis),
	}
}

// Keep holds the items of a job that is being accepted here, so that they need
// not be read from the store.
func (w *Worker) Keep(s *lots.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[s.ID] = s.Items
}

// Drop forgets the items of a job that was not accepted here.
func (w *Worker) Drop(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.specs, id)
}

// Wake makes the worker look again.
func (w *Worker) Wake() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run works until the context ends.
func (w *Worker) Run(ctx context.Context) {
	go clock.Every(ctx, lookEach, w.Wake)
	changed := w.Board.Changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			changed = w.Board.Changed()
		case <-w.wake:
		}
		w.fit()
		w.keep(ctx)
		w.look(ctx)
		w.assign()
	}
}

// fit tells the other nodes when this one reaches no agent, so that they go on
// with its jobs.
func (w *Worker) fit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	was := w.unfit > 0
	switch {
	case w.lost >= lostLeast && now-w.reached >= lostFor:
		w.unfit, w.lost = now+unfitFor, 0
	case was && now >= w.unfit:
		w.unfit = 0
	}
	if is := w.unfit > 0; is != was {
		w.Log.Warn().Bool("fit", !is).Int64("silent-ms", int64(now-w.reached)).Msg("work: the agents' reach changed")
		w.Board.SetFit(!is)
	}
}

// Busy returns the number of items in progress.
func (w *Worker) Busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, j := range w.jobs {
		n += j.busy()
	}
	return n
}

// Stop gives no more items out; those in progress go on until the context of
// Run ends.
func (w *Worker) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// look compares the jobs at hand with the index.
func (w *Worker) look(ctx context.Context) {
	var begin []*lots.Job
	var take []string
	w.Board.View(func(ix *lots.Index, fresh bool) {
		now := w.Clock.Now()
		w.mu.Lock()
		defer w.mu.Unlock()
		alive := nodes(ix.Alive(now, jobs.SilentFor))
		ix.Jobs(func(j *lots.Job) {
			mine := j.Owner == w.Self && j.Open()
			if r := w.jobs[j.Job]; r != nil {
				r.update(j)
				if !mine {
					w.Log.Info().Str("job", j.Job).Bool("open", j.Open()).Str("owner", j.Owner.Name).Msg("work: job left")
					r.cancel()
					delete(w.jobs, j.Job)
				}
				return
			}
			if mine && !w.leaving {
				r := newJob(ctx, j)
				w.jobs[j.Job] = r
				if its := w.specs[j.Job]; its != nil {
					delete(w.specs, j.Job)
					r.start(w.Clock.Now(), its)
					w.Log.Info().Str("job", j.Job).Int("items", len(its)).Msg("work: job begun")
				} else {
					c := *j
					begin = append(begin, &c)
				}
				return
			}
			if !j.Open() {
				delete(w.specs, j.Job)
				delete(w.takes, j.Job)
				return
			}
			if fresh && !w.leaving && !ix.Works(now, jobs.SilentFor, j.Owner) && now-w.takes[j.Job] >= takeEach {
				if n, ok := spread.First(j.Job, alive); ok && string(n) == w.Self.Name {
					w.takes[j.Job] = now
					take = append(take, j.Job)
				}
			}
		})
	})
	for _, j := range begin {
		go w.load(ctx, j)
	}
	for _, id := range take {
		go w.take(ctx, id)
	}
}

func nodes(names []string) []ident.Node {
	out := make([]ident.Node, len(names))
	for i, n := range names {
		out[i] = ident.Node(n)
	}
	return out
}

func (w *Worker) take(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, jobs.SilentFor.Duration())
	defer cancel()
	err := w.Board.Take(ctx, id)
	w.Log.Info().Str("job", id).Err(err).Msg("work: taking a job over, its owner is silent or leaves")
}

// load reads the items of a job from the store.
func (w *Worker) load(ctx context.Context, j *lots.Job) {
	its, err := w.Board.Items(ctx, j)
	var texts map[int][]runs.Event
	if err == nil {
		texts = w.kept(ctx, j.Job)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.jobs[j.Job]
	if r == nil {
		return
	}
	if err != nil {
		w.Log.Warn().Str("job", j.Job).Err(err).Msg("work: items can't be read, tried again")
		delete(w.jobs, j.Job) // The next look begins anew.
		return
	}
	r.start(w.Clock.Now(), its)
	for i, evs := range texts {
		if st := &r.state[i]; st.phase == waiting && len(evs) > len(st.held) {
			st.held, st.kept = evs, len(evs)
		}
	}
	w.Log.Info().Str("job", j.Job).Int("items", len(its)).Int("listed", len(j.Results)).Int("texts", len(texts)).Msg("work: job begun from the store")
	w.Wake()
}

func (w *Worker) engine(s *fleet.Server) *engine {
	e := w.engines[s.ID]
	if e == nil {
		e = &engine{slots: s.Slots, old: make(map[string]clock.Millis)}
		w.engines[s.ID] = e
	}
	return e
}

// route returns the route of a job and the service that runs its items.
func (w *Worker) route(j *job) (*table.Route, string) {
	cfg := w.Conf.Config()
	if cfg == nil {
		return nil, ""
	}
	r := cfg.Find(j.host, j.path)
	if r == nil || r.Kind != table.Rollout {
		return nil, ""
	}
	return r, r.Pick(0)
}

// assign gives waiting items to engines.
func (w *Worker) assign() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		return
	}
	now := w.Clock.Now()
	view := w.Conf.Servers()
	w.forget(view)
	all := make([]*job, 0, len(w.jobs))
	for _, j := range w.jobs {
		if j.items != nil {
			all = append(all, j)
		}
	}
	slices.SortFunc(all, func(a, b *job) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	var works []*planned
	var wants []seats.Want
	taken := make(map[string][]*seats.Seat) // the seats of each engine
	pace := 0.0
	for _, j := range all {
		p := w.prepare(now, view, j)
		if p == nil {
			continue
		}
		for _, s := range p.plan.Seats() {
			taken[s.ID] = append(taken[s.ID], s)
		}
		pace = max(pace, p.plan.Pace())
		for _, want := range j.wants(now, p.stride) {
			want.Job, want.At, want.Due = len(works), j.at, p.route.Due
			wants = append(wants, want)
		}
		works = append(works, p)
	}
	seats.Sort(wants, pace)
	for _, want := range wants {
		p := works[want.Job]
		s := p.plan.Best(want)
		if s == nil {
			p.waiting++
			continue
		}
		for _, same := range taken[s.ID] {
			same.Open++
		}
		st := &p.job.state[want.Item]
		st.phase, st.cur = running, nil
		st.cur = w.launch(p.job, want.Item, p.route, p.byID[s.ID])
	}
	for _, p := range works {
		if p.waiting == 0 && !p.route.OneModel {
			w.move(p, now)
		}
	}
}

// planned is a job in one look.
type planned struct {
	job     *job
	route   *table.Route
	plan    *seats.Plan
	byID    map[string]*fleet.Server
	stride  int // tokens of one event
	waiting int // items that found no seat
}

// prepare returns the view of a job, nil if it can't go on now.
func (w *Worker) prepare(now clock.Millis, view *fleet.View, j *job) *planned {
	r, service := w.route(j)
	if r == nil {
		return nil
	}
	p := &planned{job: j, route: r, stride: 1}
	p.plan, p.byID = w.plan(now, view, service, j)
	if w.ask(j, p.plan, p.byID, now) {
		return nil // The answers make the worker look again.
	}
	if s := w.Conf.Config().Service(service); s != nil {
		p.stride = max(1, s.Stride)
	}
	return p
}

// plan lists the engines that can run a job's items.
func (w *Worker) plan(now clock.Millis, view *fleet.View, service string, j *job) (*seats.Plan, map[string]*fleet.Server) {
	engines := view.Of(service)
	var models []string
	if s := w.Conf.Config().Service(service); s != nil {
		models = s.Models
	}
	shares := share.Out(engines, models, w.Conf.Demand())
	byID := make(map[string]*fleet.Server)
	var ss []*seats.Seat
	for _, s := range engines {
		if s.Leaving || shares[s.ID] != j.model && s.Loaded[j.model] < j.min {
			continue
		}
		e := w.engine(s)
		slots := e.slots
		if slots == 0 {
			slots = s.Slots
		}
		ss = append(ss, &seats.Seat{
			ID: s.ID, Open: e.open + e.others, Slots: slots, Pace: e.pace, Far: w.far(s.Zone),
			Hiccup: now < e.hiccup,
			Sure:   now-e.at <= sureFor,
			Cool:   now < e.cool || now < e.old[j.model] || e.loading && now-e.at < loadFor,
		})
		byID[s.ID] = s
	}
	return seats.New(ss), byID
}

func (w *Worker) far(zone string) clock.Millis {
	switch {
	case zone == w.Place.Zone:
		return 0
	case w.Place.Regions[zone] == w.Place.Regions[w.Place.Zone]:
		return sameRegion
	}
	return otherRegion
}

// ask asks the agents of which nothing was heard lately for their state. It
// reports whether a job that has just begun should wait for the answers.
func (w *Worker) ask(j *job, plan *seats.Plan, byID map[string]*fleet.Server, now clock.Millis) bool {
	unheard := false
	for _, seat := range plan.Seats() {
		s := byID[seat.ID]
		e := w.engine(s)
		if now-e.at < fresh {
			continue
		}
		unheard = true
		w.refresh(s, j.model, now)
	}
	return unheard && now-j.begun < askFor
}

// refresh asks an agent for its state, unless it was asked just now.
func (w *Worker) refresh(s *fleet.Server, model string, now clock.Millis) {
	if e := w.engine(s); now-e.asked >= askFor {
		e.asked = now
		go w.fetch(s, model)
	}
}

// fetch reads an agent's state.
func (w *Worker) fetch(s *fleet.Server, model string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchFor.Duration())
	defer cancel()
	f, err := runs.State(ctx, w.http, w.agentAddr(s), model)
	if err != nil {
		w.Log.Info().Str("engine", s.ID).Str("addr", s.Addr).Err(err).Msg("work: agent does not tell its state")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard(s, f)
	w.Wake()
}

// forget drops engines that are gone.
func (w *Worker) forget(v *fleet.View) {
	for id, e := range w.engines {
		if e.open == 0 && v.ByID(id) == nil {
			delete(w.engines, id)
		}
	}
}

// move starts the rest of items at faster engines that are free.
func (w *Worker) move(p *planned, now clock.Millis) {
	j := p.job
	for i := range j.state {
		st := &j.state[i]
		if st.cur == nil || st.next != nil || st.moves >= mostMoves || now < st.stay {
			continue
		}
		s := p.plan.Seat(st.cur.server.ID)
		if s == nil {
			continue
		}
		at := *s
		at.Hiccup = at.Hiccup || st.cur.stalled
		to := p.plan.Move(&at, j.items[i].Hint/p.stride, st.made())
		if to == nil {
			continue
		}
		if !to.Sure {
			w.refresh(p.byID[to.ID], j.model, now) // The answer makes the worker look again.
			continue
		}
		to.Open++ // Taken in this look.
		st.moves++
		st.stay = now + stayFor
		st.next = w.launch(j, i, p.route, p.byID[to.ID])
	}
}

const (
	// mostMoves bounds how often one item moves: an engine has a slow moment
	// about once in four seconds, the longest items take eight.
	mostMoves = 8
	// stayFor is how long an item stays after a move, so that it does not
	// wander between engines that are both slow.
	stayFor = 250 * clock.Milli
	// fresh is how long what an agent said holds for new items, sureFor for a
	// move, which costs more where the engine is slow as well.
	fresh   = 250 * clock.Milli
	sureFor = 100 * clock.Milli
	// askFor is how long a job waits at its begin to learn which engines are
	// free: a way to another region and back.
	askFor = 40 * clock.Milli
	// fetchFor bounds the read of an agent's state.
	fetchFor = 500 * clock.Milli
	// loadFor is how long an engine that said that it loads is passed over.
	loadFor = clock.Second
	// hiccupFor is how long an engine counts as slower than usual after it said
	// so; its agent says so again while it lasts.
	hiccupFor = 600 * clock.Milli
)

func (w *Worker) agentAddr(s *fleet.Server) string {
	host, _, err := net.SplitHostPort(s.Addr)
	if err != nil {
		host = s.Addr // Dialing it fails with an error that is logged.
	}
	return net.JoinHostPort(host, strconv.Itoa(w.Port))
}
