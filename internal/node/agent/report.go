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

// refreshStatus asks the backend server for its status and stores the reply. An
// engine's status also proves the versions of tokens generated before the call.
func (a *Agent) refreshStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.p.ReportInterval.Duration())
	defer cancel()
	if a.p.Plain != nil {
		a.refreshPlainStatus(ctx)
		return
	}
	positions := a.segmentPositions()
	st, err := a.p.Engine.Status(ctx)
	if err != nil {
		a.status.Store(&plat.Status{})
		return
	}
	a.status.Store(&st)
	a.confirmPositions(positions, st)
}

func (a *Agent) refreshPlainStatus(ctx context.Context) {
	boot, err := a.p.Plain.Incarnation(ctx)
	if err != nil {
		a.status.Store(&plat.Status{})
		return
	}
	a.status.Store(&plat.Status{Boot: boot, Model: a.p.Service})
}

// report sends the agent's status and load to the nearest entries. Each report
// also serves as a heartbeat.
func (a *Agent) report(ctx context.Context) {
	args := a.newReport()
	var wg sync.WaitGroup
	for _, m := range a.peers.Nearest(ident.Service(args.Hosted.Service), a.p.ReportFanout) {
		wg.Go(func() { a.reportTo(ctx, m, args) })
	}
	wg.Wait()
}

func (a *Agent) reportTo(ctx context.Context, m roster.Member, args wire.ReportArgs) {
	args.Yours = a.runningFrom(m.Node)
	ctx, cancel := context.WithTimeout(ctx, a.p.ReportInterval.Duration())
	defer cancel()
	for range 2 {
		var reply wire.ReportReply
		if err := a.pool.Call(ctx, m.Addr, "Entry.Report", &args, &reply); err != nil {
			a.p.Log.Debug().Err(err).Str("entry", string(m.Node)).Msg("agent: report failed")
			return
		}
		a.fence.observe(ident.Offset(reply.Fence))
		a.mergeConfig(reply.Config)
		a.peers.MergeLeaving(peers.FromWire(reply.Going))
		a.announced.merge(reply.Versions)
		if !reply.Behind {
			return
		}
		args.Ahead = *a.config.Load() // the entry can't read the log and asks for the configuration
	}
}

// mergeConfig stores a configuration from an entry if its offset is higher than
// that of the current one.
func (a *Agent) mergeConfig(sn wire.Snapshot) {
	for {
		old := a.config.Load()
		if sn.Offset <= old.Offset || a.config.CompareAndSwap(old, &sn) {
			return
		}
	}
}

// isLeaving reports whether the agent refuses new work: the agent is shutting
// down, or the VM list marks its VM as leaving. The caller must hold a.mu.
func (a *Agent) isLeaving() bool {
	return a.leaving || a.peers.View().IsLeaving(a.p.Node)
}

// runningFrom returns the number of jobs in progress that an entry submitted.
func (a *Agent) runningFrom(entry ident.Node) int {
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

// newReport returns a report of the current state with the next sequence number.
func (a *Agent) newReport() wire.ReportArgs {
	st := a.status.Load()
	rate, ttft := a.throughput.get()
	a.mu.Lock()
	running, leaving := a.limiter.InUse(), a.isLeaving()
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
			Loading: st.Loading || a.loads.isLoading(),
		},
		Running: running,
		Slots:   a.p.Slots,
		Rate:    rate,
		First:   int64(ttft),
		Leaving: leaving,
		Config:  a.config.Load().Offset,
		Crashes: a.crashes.toReport(a.p.Clock.Now()),
		Going:   peers.ToWire(a.peers.RecentlyLeaving()),
	}
}

// throughputEstimate holds moving averages of the engine's speed, as measured by
// the agent.
type throughputEstimate struct {
	mu        sync.Mutex
	tokenRate float64      // tokens/s of one stream, moving average
	ttft      clock.Millis // time to first token, moving average
}

// ewmaWeight is the weight of a new measurement in a moving average.
const ewmaWeight = 0.2

// ewma returns the moving average after a new value. The first value becomes the
// average.
func ewma(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + ewmaWeight*(v-old)
}

// rateMeter measures the speed of one stream.
type rateMeter struct {
	estimate     *throughputEstimate
	startedAt    clock.Millis
	firstTokenAt clock.Millis
	lastTokenAt  clock.Millis
}

func (s *throughputEstimate) startMeter(now clock.Millis) *rateMeter {
	return &rateMeter{estimate: s, startedAt: now}
}

// record updates the estimate after a chunk of tokens arrived.
func (m *rateMeter) record(now clock.Millis, tokens int) {
	s := m.estimate
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.firstTokenAt == 0 {
		m.firstTokenAt, m.lastTokenAt = now, now
		s.ttft = clock.Millis(ewma(float64(s.ttft), float64(now-m.startedAt)))
		return
	}
	if now > m.lastTokenAt && tokens > 0 {
		r := float64(tokens) / (now - m.lastTokenAt).Seconds()
		s.tokenRate = ewma(s.tokenRate, r)
		m.lastTokenAt = now
	}
}

func (s *throughputEstimate) get() (rate float64, ttft clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokenRate, s.ttft
}
