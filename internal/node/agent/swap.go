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

// errSwap interrupts runs of tokens before a swap.
var errSwap = errors.New("swap of weights")

// swapper keeps runs of tokens and orders to the engine apart: runs share it,
// an order has it alone.
type swapper struct {
	mu     sync.Mutex
	free   *sync.Cond
	runs   map[*context.CancelCauseFunc]struct{}
	closed bool // an order runs or waits for the runs to end
	lost   bool // closed, and the engine does not answer
	given  uint64
}

func (s *swapper) init() {
	s.free = sync.NewCond(&s.mu)
	s.runs = make(map[*context.CancelCauseFunc]struct{})
	s.closed = true // until the engine has settled
}

// enter waits until no order runs and returns the context of one run.
func (s *swapper) enter(parent context.Context) (context.Context, func(), error) {
	stop := context.AfterFunc(parent, s.wake)
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.closed {
		if err := parent.Err(); err != nil {
			return nil, nil, errors.Wrap(err, "wait for a swap")
		}
		if s.lost {
			return nil, nil, fault.New(fault.NoBackend, "the engine does not answer")
		}
		s.free.Wait()
	}
	ctx, cancel := context.WithCancelCause(parent)
	k := &cancel
	s.runs[k] = struct{}{}
	return ctx, func() { s.leave(k) }, nil
}

// wake lets those who wait look again. The lock keeps it from falling between
// their look and their wait.
func (s *swapper) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free.Broadcast()
}

func (s *swapper) leave(k *context.CancelCauseFunc) {
	(*k)(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, k)
	s.free.Broadcast()
}

// begin interrupts all runs and waits until they have ended. It refuses a
// second order beside the first.
func (s *swapper) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.closed = true
	for k := range s.runs {
		(*k)(errSwap)
	}
	for len(s.runs) > 0 {
		s.free.Wait()
	}
	s.given++
	return true
}

func (s *swapper) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed, s.lost = false, false
	s.free.Broadcast()
}

// setLost tells those who wait for the end of an order whether the engine
// answers.
func (s *swapper) setLost(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = on
	s.free.Broadcast()
}

func (s *swapper) orders() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.given
}

func (s *swapper) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// maxSwap bounds one order; an engine that is still loading then is asked for
// its state until it has ended.
const (
	maxSwap  = 2 * clock.Minute
	settleIn = 100 * clock.Milli
)

// settleLooks is how often in a row a new agent has to find the engine in the
// same state before it takes over, so that an order of its predecessor that is
// still on its way shows.
const settleLooks = 3

// order carries out one order to load a version. It refuses what is out of
// date before the transfer, after it, and after the wait for the runs, so that
// a late order can't bring back an old version, and none is loaded that would
// be replaced at once.
func (a *Agent) order(o plat.Order) error {
	if a.p.Engine == nil {
		return fault.New(fault.BadRequest, "agent "+string(a.p.Node)+" has no engine")
	}
	if err := a.mayOrder(o); err != nil {
		return err
	}
	if err := a.p.Weights.AcquireTransfer(a.ctx, o.Model, o.Version); err != nil {
		return err
	}
	if err := a.mayOrder(o); err != nil {
		return err
	}
	if !a.swap.begin() {
		return fault.New(fault.Overloaded, "another order is running").WithRetryAfter(clock.Second)
	}
	if err := a.mayOrder(o); err != nil {
		a.swap.end()
		return err
	}
	o.Fence = max(o.Fence, a.fences.highest())
	ctx, cancel := context.WithTimeout(a.ctx, maxSwap.Duration())
	defer cancel()
	if err := a.p.Engine.Load(ctx, o); err != nil {
		go a.settle(1)
		return errors.Wrap(err, "load weights")
	}
	a.settle(1)
	return nil
}

// mayOrder refuses an order that is out of date. An order without a fencing
// number changes the version of the model that the engine hosts, and only to a
// newer one. An order with one may change the model; it must not be older than
// any that was seen.
func (a *Agent) mayOrder(o plat.Order) error {
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
	return a.fences.admit(o.Fence)
}

// announced is what entries told this agent of the versions of models.
type announced struct {
	mu       sync.Mutex
	versions map[ident.Service]ident.Version
}

func (n *announced) learn(vs []wire.Announced) {
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

func (n *announced) newest(m ident.Service) ident.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.versions[m]
}

// settle waits until the engine says so many times in a row that no order is
// running and that its state is the same, so that a failed or lost order, or
// one of an earlier agent, can't take effect beside later work. Then it lets
// runs begin.
func (a *Agent) settle(looks int) {
	var last plat.Status
	for same := 0; ; {
		st, err := a.p.Engine.Status(a.ctx)
		a.swap.setLost(err != nil)
		switch {
		case err != nil || st.Loading:
			same = 0
		case same > 0 && (st.Boot != last.Boot || st.Model != last.Model || st.Version != last.Version):
			same = 1
		default:
			same++
		}
		if same >= looks {
			a.status.Store(&st)
			a.swap.end()
			return
		}
		last = st
		if !clock.Sleep(a.ctx, settleIn) {
			return
		}
	}
}

// Order implements the inner protocol. It returns when the order has ended.
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
	err := s.a.order(o)
	s.a.recordOrder(o, err)
	if err != nil {
		s.a.p.Log.Warn().Err(err).Str("model", args.Model).Uint64("version", args.Version).Msg("Order failed.")
	}
	reply.Fault = wire.ToFault(err)
	return nil
}
