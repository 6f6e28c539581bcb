package work

import (
	"context"
	"net"
	"strconv"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/sched"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
)

const (
	// lostLeast runs that reached no agent, and none heard of for lostFor, tell
	// that this node is cut off from the agents; it tries again after unfitFor.
	lostLeast = 3
	lostFor   = 1500 * clock.Milli
	unfitFor  = 4 * clock.Second
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

// engine is what the worker knows of an engine.
type engine struct {
	open    int // runs from here
	others  int // runs of other nodes, as of the last frame
	slots   int
	pace    float64
	at      clock.Millis // when its agent was heard of last
	asked   clock.Millis // when its agent was asked for its state last
	hiccup  clock.Millis // until when it counts as slower than usual
	steady  bool         // its streams showed that it was not
	loading bool
	cool    clock.Millis
	old     map[string]clock.Millis // models of which it has no usable version until then
}

func (w *Worker) engine(s *fleet.Server) *engine {
	e := w.engines[s.ID]
	if e == nil {
		e = &engine{slots: s.Slots, old: make(map[string]clock.Millis)}
		w.engines[s.ID] = e
	}
	return e
}

// heard takes in what an agent says of its engine.
func (w *Worker) heard(s *fleet.Server, f *runs.Frame) {
	e := w.engine(s)
	now := w.Clock.Now()
	w.reached, w.lost = now, 0
	e.others, e.slots, e.at = max(0, f.Running-e.open), f.Slots, now
	e.pace = f.Pace
	if f.Hiccup != (now < e.hiccup) {
		w.Wake()
	}
	e.hiccup = 0
	if f.Hiccup {
		e.hiccup = now + hiccupFor
	}
	e.steady, e.loading = f.Steady, f.Loading
}

// ask asks the agents of which nothing was heard lately for their state. It
// reports whether a job that has just begun should wait for the answers.
func (w *Worker) ask(j *job, plan *sched.Pool, byID map[string]*fleet.Server, now clock.Millis) bool {
	unheard := false
	for _, seat := range plan.Engines() {
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
	f, err := runs.FetchState(ctx, w.http, w.agentAddr(s), model)
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
		w.Jobs.SetHealthy(!is)
	}
}

func (w *Worker) agentAddr(s *fleet.Server) string {
	host, _, err := net.SplitHostPort(s.Addr)
	if err != nil {
		host = s.Addr // Dialing it fails with an error that is logged.
	}
	return net.JoinHostPort(host, strconv.Itoa(w.AgentPort))
}
