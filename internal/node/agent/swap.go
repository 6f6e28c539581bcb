package agent

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// errInterrupted cancels open segments before a load order is executed.
var errInterrupted = errors.New("interrupted by a load order")

// loadLock separates segments from load orders: several segments may use the
// engine at once, but a load order is executed alone.
type loadLock struct {
	mu          sync.Mutex
	changed     *sync.Cond
	segments    map[*context.CancelCauseFunc]struct{}
	loading     bool   // an order is in progress or waits for segments to end, or the engine is not stable yet
	unreachable bool   // loading is set and the engine doesn't answer
	started     uint64 // number of load orders started
}

func (l *loadLock) init() {
	l.changed = sync.NewCond(&l.mu)
	l.segments = make(map[*context.CancelCauseFunc]struct{})
	l.loading = true // until the engine's status is stable
}

// acquire waits until no order is in progress. It returns the context of
// the segment and a function that ends it.
func (l *loadLock) acquire(parent context.Context) (context.Context, func(), error) {
	stop := context.AfterFunc(parent, l.notifyWaiters)
	defer stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.loading {
		if err := parent.Err(); err != nil {
			return nil, nil, errors.Wrap(err, "wait for a load order to end")
		}
		if l.unreachable {
			return nil, nil, fault.New(fault.NoBackend, "the engine does not answer")
		}
		l.changed.Wait()
	}
	ctx, cancel := context.WithCancelCause(parent)
	k := &cancel
	l.segments[k] = struct{}{}
	return ctx, func() { l.release(k) }, nil
}

// notifyWaiters wakes all waiting goroutines. The lock ensures that no wakeup is
// lost between a goroutine's check of its condition and its call of Wait.
func (l *loadLock) notifyWaiters() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changed.Broadcast()
}

func (l *loadLock) release(k *context.CancelCauseFunc) {
	(*k)(nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.segments, k)
	l.changed.Broadcast()
}

// beginLoad cancels all segments and waits until they have ended. It returns
// false if another order is already in progress.
func (l *loadLock) beginLoad() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loading {
		return false
	}
	l.loading = true
	for k := range l.segments {
		(*k)(errInterrupted)
	}
	for len(l.segments) > 0 {
		l.changed.Wait()
	}
	l.started++
	return true
}

func (l *loadLock) endLoad() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loading, l.unreachable = false, false
	l.changed.Broadcast()
}

// setUnreachable records whether the engine is unreachable. While it is, segments
// that wait for a load order to end fail.
func (l *loadLock) setUnreachable(unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = unreachable
	l.changed.Broadcast()
}

// ordersStarted returns the number of load orders started so far.
func (l *loadLock) ordersStarted() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started
}

func (l *loadLock) isLoading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loading
}

const (
	// loadTimeout bounds one load order. If the engine is still loading after
	// that, the agent polls the engine's status until the load has ended.
	loadTimeout            = 2 * clock.Minute
	stabilityCheckInterval = 100 * clock.Milli
)

// startupStabilityChecks is the number of consecutive equal statuses of the
// engine that a new agent requires before it starts work. An order of the
// previous agent that is still in transit would show as a change.
const startupStabilityChecks = 3

// executeOrder executes one load order. It checks for a stale order before the
// transfer of the weights, after the transfer, and after all segments have
// ended. This way a late order can't restore an old version, and a version that
// would be replaced at once is not loaded.
func (a *Agent) executeOrder(o plat.Order) error {
	if a.p.Engine == nil {
		return fault.New(fault.BadRequest, "agent "+string(a.p.Node)+" has no engine")
	}
	if err := a.checkOrder(o); err != nil {
		return err
	}
	if err := a.p.Weights.AcquireTransfer(a.ctx, o.Model, o.Version); err != nil {
		return err
	}
	if err := a.checkOrder(o); err != nil {
		return err
	}
	if !a.loads.beginLoad() {
		return fault.New(fault.Overloaded, "another order is running").WithRetryAfter(clock.Second)
	}
	if err := a.checkOrder(o); err != nil {
		a.loads.endLoad()
		return err
	}
	o.Fence = max(o.Fence, a.fence.highest())
	ctx, cancel := context.WithTimeout(a.ctx, loadTimeout.Duration())
	defer cancel()
	if err := a.p.Engine.Load(ctx, o); err != nil {
		go a.awaitStableEngine(1)
		return errors.Wrap(err, "load weights")
	}
	a.awaitStableEngine(1)
	return nil
}

// checkOrder refuses a stale order. An order without a fencing token may only
// load a newer version of the model that the engine hosts. An order with a
// fencing token may also change the model; its token must not be lower than any
// token seen before.
func (a *Agent) checkOrder(o plat.Order) error {
	st := a.status.Load()
	if st.Model == o.Model && o.Version <= st.Version {
		return fault.New(fault.StaleOrder, "the engine already holds this or a newer version")
	}
	if o.Fence == 0 {
		if st.Model != o.Model {
			return fault.New(fault.StaleOrder, "the engine hosts another model; only the placement's holder moves it")
		}
		if a.announced.newest(o.Model) > o.Version {
			return fault.New(fault.StaleOrder, "a newer version was announced meanwhile")
		}
		return nil
	}
	return a.fence.admit(o.Fence)
}

// announcedVersions holds the newest announced version of each model, as
// reported by entries.
type announcedVersions struct {
	mu       sync.Mutex
	versions map[ident.Service]ident.Version
}

func (n *announcedVersions) merge(vs []wire.Announced) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.versions == nil {
		n.versions = make(map[ident.Service]ident.Version)
	}
	for _, v := range vs {
		m := ident.Service(v.Model)
		n.versions[m] = max(n.versions[m], ident.Version(v.Version))
	}
}

func (n *announcedVersions) newest(m ident.Service) ident.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.versions[m]
}

// awaitStableEngine waits until the engine has reported the same status, without
// a load in progress, in the given number of consecutive checks. Then segments
// may begin. A failed or lost order, or an order of a previous agent, thus can't
// take effect while later work runs.
func (a *Agent) awaitStableEngine(checks int) {
	var last plat.Status
	for same := 0; ; {
		st, err := a.p.Engine.Status(a.ctx)
		a.loads.setUnreachable(err != nil)
		switch {
		case err != nil || st.Loading:
			same = 0
		case same > 0 && (st.Boot != last.Boot || st.Model != last.Model || st.Version != last.Version):
			same = 1
		default:
			same++
		}
		if same >= checks {
			a.status.Store(&st)
			a.loads.endLoad()
			return
		}
		last = st
		if !clock.Sleep(a.ctx, stabilityCheckInterval) {
			return
		}
	}
}

// Order executes a load order as part of the inner protocol. It returns when
// the order has ended.
func (s *service) Order(args *wire.OrderArgs, reply *wire.Ack) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	o := plat.Order{
		Model:   ident.Service(args.Model),
		Version: ident.Version(args.Version),
		Fence:   ident.Offset(args.Fence),
	}
	err := s.a.executeOrder(o)
	s.a.recordOrder(o, err)
	if err != nil {
		s.a.p.Log.Warn().Err(err).Str("model", args.Model).Uint64("version", args.Version).Msg("agent: load order failed")
	}
	reply.Fault = wire.ToFault(err)
	return nil
}
