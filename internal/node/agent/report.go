package agent

import (
	"context"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/peers"
)

// watch asks the backend server for its state.
func (a *Agent) watch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.p.ReportInterval.Duration())
	defer cancel()
	if a.p.Plain != nil {
		a.watchPlain(ctx)
		return
	}
	ms := a.marks()
	st, err := a.p.Engine.Status(ctx)
	if err != nil {
		a.status.Store(&plat.Status{})
		return
	}
	a.status.Store(&st)
	a.confirm(ms, st)
}

func (a *Agent) watchPlain(ctx context.Context) {
	boot, err := a.p.Plain.Incarnation(ctx)
	if err != nil {
		a.status.Store(&plat.Status{})
		return
	}
	a.status.Store(&plat.Status{Boot: boot, Model: a.p.Service})
}

// report sends the lease and the load to the entries nearest to this agent.
func (a *Agent) report(ctx context.Context) {
	args := a.state()
	var wg sync.WaitGroup
	for _, m := range a.peers.Nearest(ident.Service(args.Hosted.Service), a.p.ReportFanout) {
		wg.Go(func() { a.reportTo(ctx, m, args) })
	}
	wg.Wait()
}

func (a *Agent) reportTo(ctx context.Context, m roster.Member, args wire.ReportArgs) {
	args.Yours = a.given(m.Node)
	ctx, cancel := context.WithTimeout(ctx, a.p.ReportInterval.Duration())
	defer cancel()
	for range 2 {
		var reply wire.ReportReply
		if err := a.pool.Call(ctx, m.Addr, "Entry.Report", &args, &reply); err != nil {
			a.p.Log.Debug().Err(err).Str("entry", string(m.Node)).Msg("Report failed.")
			return
		}
		a.fences.learn(ident.Offset(reply.Fence))
		a.learn(reply.Config)
		a.peers.MergeLeaving(peers.FromWire(reply.Going))
		a.announced.learn(reply.Versions)
		if !reply.Behind {
			return
		}
		args.Ahead = *a.config.Load() // the entry can't read the log and asks for it
	}
}

// learn keeps the newest configuration that an entry gave; an older one never
// replaces it.
func (a *Agent) learn(sn wire.Snapshot) {
	for {
		old := a.config.Load()
		if sn.Offset <= old.Offset || a.config.CompareAndSwap(old, &sn) {
			return
		}
	}
}

// isLeaving reports whether the agent refuses new work: it is shutting down,
// or the platform's list says that its VM leaves. The lock is held.
func (a *Agent) isLeaving() bool {
	return a.leaving || a.peers.View().IsLeaving(a.p.Node)
}

// given returns how much of the work in progress an entry gave.
func (a *Agent) given(entry ident.Node) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, j := range a.jobs {
		if j.entry == entry && !j.isDone() {
			n++
		}
	}
	return n
}

// state returns the report of this moment.
func (a *Agent) state() wire.ReportArgs {
	st := a.status.Load()
	rate, first := a.speed.get()
	a.mu.Lock()
	open, leaving := a.limit.InUse(), a.isLeaving()
	a.mu.Unlock()
	return wire.ReportArgs{
		Hello:  a.hello(),
		Addr:   a.Addr(),
		Zone:   string(a.p.Zone),
		Region: string(a.p.Region),
		Seq:    a.seq.Add(1),
		Hosted: wire.Hosted{
			Service: string(st.Model),
			Call:    a.p.Plain != nil,
			Version: uint64(st.Version),
			Loading: st.Loading || a.swap.isClosed(),
		},
		Running: open,
		Slots:   a.p.Slots,
		Rate:    rate,
		First:   int64(first),
		Leaving: leaving,
		Config:  a.config.Load().Offset,
		Crashes: a.crashes.list(a.p.Clock.Now()),
		Going:   peers.ToWire(a.peers.RecentlyLeaving()),
	}
}

// speed is the agent's own measure of the engine's progress.
type speed struct {
	mu    sync.Mutex
	rate  float64      // tokens/s of one stream, smoothed
	first clock.Millis // to the first token, smoothed
}

// smoothing is the weight of a new measurement.
const smoothing = 0.2

// smooth takes in a new value; the first one counts whole.
func smooth(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + smoothing*(v-old)
}

type rateMeter struct {
	s       *speed
	began   clock.Millis
	firstAt clock.Millis
	lastAt  clock.Millis
}

func (s *speed) begin(now clock.Millis) *rateMeter { return &rateMeter{s: s, began: now} }

func (m *rateMeter) add(now clock.Millis, tokens int) {
	s := m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.firstAt == 0 {
		m.firstAt, m.lastAt = now, now
		s.first = clock.Millis(smooth(float64(s.first), float64(now-m.began)))
		return
	}
	if now > m.lastAt && tokens > 0 {
		r := float64(tokens) / (now - m.lastAt).Seconds()
		s.rate = smooth(s.rate, r)
		m.lastAt = now
	}
}

func (s *speed) get() (rate float64, first clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rate, s.first
}
