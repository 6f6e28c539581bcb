package work

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/decide/sched"
	"github.com/jujuberamp/jujuberamp/internal/decide/share"
)

const (
	// mostMoves bounds how often one item moves: an engine has a slow moment
	// about once in four seconds, the longest items take eight.
	mostMoves = 8
	// stayFor is how long an item stays after a move, so that it does not
	// wander between engines that are both slow.
	stayFor = 250 * clock.Milli
)

// route returns the route of a job and the service that runs its items.
func (w *Worker) route(j *job) (*router.Route, string) {
	cfg := w.Conf.Config()
	if cfg == nil {
		return nil, ""
	}
	r := cfg.Find(j.host, j.path)
	if r == nil || r.Kind != router.Rollout {
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
	var wants []sched.Item
	taken := make(map[string][]*sched.Engine)    // the seats of each engine
	shares := make(map[string]map[string]string) // of each service
	pace := 0.0
	for _, j := range all {
		p := w.prepare(now, view, j, shares)
		if p == nil {
			continue
		}
		for _, s := range p.plan.Engines() {
			taken[s.ID] = append(taken[s.ID], s)
		}
		pace = max(pace, p.plan.MedianInterval())
		for _, want := range j.wants(now, p.stride) {
			want.JobIndex, want.AcceptedAt, want.DueAfter = len(works), j.at, p.route.DueAfter
			wants = append(wants, want)
		}
		works = append(works, p)
	}
	sched.Sort(wants, pace)
	for _, want := range wants {
		p := works[want.JobIndex]
		s := p.plan.Best(want)
		if s == nil {
			p.waiting++
			continue
		}
		for _, same := range taken[s.ID] {
			same.Running++
		}
		st := &p.job.state[want.Index]
		st.phase, st.cur = running, nil
		st.cur = w.launch(p.job, want.Index, p.route, p.byID[s.ID])
	}
	for _, p := range works {
		if p.waiting == 0 && !p.route.SingleVersion {
			w.move(p, now)
		}
	}
}

// planned is a job in one look.
type planned struct {
	job     *job
	route   *router.Route
	plan    *sched.Pool
	byID    map[string]*fleet.Server
	stride  int // tokens of one event
	waiting int // items that found no seat
}

// last returns the events that the longest item of the job still lacks.
func (p *planned) last() float64 {
	out := 0.0
	for i := range p.job.state {
		if st := &p.job.state[i]; st.phase == waiting || st.phase == running {
			out = max(out, sched.Remaining(p.job.items[i].LengthHint/p.stride, st.made()))
		}
	}
	return out
}

// prepare returns the view of a job, nil if it can't go on now. The shares of a
// service are worked out for the first of its jobs.
func (w *Worker) prepare(now clock.Millis, view *fleet.View, j *job, shares map[string]map[string]string) *planned {
	r, service := w.route(j)
	if r == nil {
		return nil
	}
	if r.Retention > 0 && now-j.at > r.Retention {
		w.expire(j)
		return nil
	}
	p := &planned{job: j, route: r, stride: 1}
	var models []string
	if s := w.Conf.Config().Service(service); s != nil {
		models, p.stride = s.Models, max(1, s.TokensPerEvent)
	}
	engines := view.ByService(service)
	if shares[service] == nil {
		shares[service] = share.Assign(engines, models, w.Conf.Demand())
	}
	p.plan, p.byID = w.plan(now, engines, shares[service], j)
	if w.ask(j, p.plan, p.byID, now) {
		return nil // The answers make the worker look again.
	}
	return p
}

// plan lists the engines that can run a job's items.
func (w *Worker) plan(now clock.Millis, engines []*fleet.Server, shares map[string]string, j *job) (*sched.Pool, map[string]*fleet.Server) {
	byID := make(map[string]*fleet.Server)
	var ss []*sched.Engine
	for _, s := range engines {
		if s.Leaving || shares[s.ID] != j.model && s.LoadedVersions[j.model] < j.min {
			continue
		}
		e := w.engine(s)
		slots := e.slots
		if slots == 0 {
			slots = s.Slots
		}
		sure := now-e.at <= sureFor
		ss = append(ss, &sched.Engine{
			ID: s.ID, Running: e.open + e.others, Slots: slots, EventInterval: e.pace, RoundTrip: w.Locality.RoundTrip(s.Zone),
			SlowNow:     now < e.hiccup,
			SteadyNow:   e.steady && sure,
			Fresh:       sure,
			CoolingDown: now < e.cool || now < e.old[j.model] || e.loading && now-e.at < loadFor,
		})
		byID[s.ID] = s
	}
	return sched.New(ss), byID
}

// move starts the rest of items at faster engines that are free.
func (w *Worker) move(p *planned, now clock.Millis) {
	j := p.job
	last := p.last()
	for i := range j.state {
		st := &j.state[i]
		if st.cur == nil || st.next != nil || st.moves >= mostMoves || now < st.stay {
			continue
		}
		s := p.plan.Engine(st.cur.server.ID)
		if s == nil {
			continue
		}
		at := *s
		at.SlowNow = at.SlowNow || st.cur.stalled
		to := p.plan.MoveTarget(&at, j.items[i].LengthHint/p.stride, st.made(), last)
		if to == nil {
			continue
		}
		if !to.Fresh {
			w.refresh(p.byID[to.ID], j.model, now) // The answer makes the worker look again.
			continue
		}
		to.Running++ // Taken in this look.
		st.moves++
		st.stay = now + stayFor
		st.next = w.launch(j, i, p.route, p.byID[to.ID])
	}
}
