package agent

import (
	"sync"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/claim"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

const (
	atMostOnceTimeout  = 2 * clock.Minute // of one execution of at-most-once work
	claimRetention     = clock.Hour       // longer than the validity of any key
	maxClaims          = 200_000
	unseenClaimTimeout = 300 * clock.Milli // how long Settle waits for a Submit that is still in transit
)

// claimTable ensures that at-most-once work is started at most once. Its lock
// is not held while the work runs.
type claimTable struct {
	mu      sync.Mutex
	guard   *claim.Guard
	changed chan struct{} // closed and replaced at each change
}

func newClaimTable(boot ident.Incarnation) *claimTable {
	return &claimTable{
		guard:   claim.NewGuard(boot, claimRetention, maxClaims),
		changed: make(chan struct{}),
	}
}

func claimRef(c wire.Claim) claim.Ref {
	return claim.Ref{
		Stream:      c.Stream,
		Offset:      ident.Offset(c.Offset),
		Key:         c.Key,
		Incarnation: ident.Incarnation(c.Boot),
	}
}

func (c *claimTable) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *claimTable) start(now clock.Millis, m wire.Claim) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.notify()
	return c.guard.Start(now, claimRef(m))
}

// finish records the outcome of a started claim.
func (c *claimTable) finish(now clock.Millis, m wire.Claim, body []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.notify()
	stage, detail := claim.Done, ""
	if err != nil {
		stage, detail = claim.Unknown, err.Error()
	}
	if f, ok := fault.As(err); ok && f.Outcome() == fault.NotRun {
		stage = claim.Refused
	}
	c.guard.Finish(now, claimRef(m), stage, body, detail)
}

func (c *claimTable) lookup(m wire.Claim) (claim.Status, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Lookup(claimRef(m)), c.changed
}

func (c *claimTable) settle(now clock.Millis, m wire.Claim) claim.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Settle(now, claimRef(m))
}

func (c *claimTable) prune(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.Prune(now)
}

// submit admits a job. At-most-once work starts its claim first. If the agent
// then refuses the job, the claim is permanently refused.
func (a *Agent) submit(entry ident.Node, m wire.Job) error {
	if !m.Once {
		return a.admit(entry, m)
	}
	if m.Claim.Stream == "" || m.Claim.Offset <= 0 || m.Claim.Key == "" {
		return fault.New(fault.BadRequest, "work that may run once needs a claim")
	}
	now := a.p.Clock.Now()
	if err := a.claims.start(now, m.Claim); err != nil {
		return err
	}
	m.Left = int64(atMostOnceTimeout) // An earlier timeout would leave the outcome unknown.
	if err := a.admit(entry, m); err != nil {
		a.claims.finish(now, m.Claim, nil, err)
		return err
	}
	return nil
}

// Settle returns the state of a claim as part of the inner protocol. It waits up
// to args.Wait for running work to end. A claim that was never submitted is
// refused after unseenClaimTimeout, so that a later Submit is refused too.
func (s *service) Settle(args *wire.SettleArgs, reply *wire.SettleReply) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	wait := min(clock.Millis(args.Wait), maxWait)
	grace := time.NewTimer(min(unseenClaimTimeout, wait).Duration())
	defer grace.Stop()
	timeout := time.NewTimer(wait.Duration())
	defer timeout.Stop()
	for {
		st, changed := s.a.claims.lookup(args.Claim)
		if st.Stage != claim.Unseen && st.Stage != claim.Running {
			break
		}
		expired := timeout.C
		if st.Stage == claim.Unseen {
			expired = grace.C
		}
		select {
		case <-changed:
			continue
		case <-expired:
		case <-s.a.ctx.Done():
			reply.Fault = wire.ToFault(fault.Wrap(fault.OutcomeUnknown, errStopped, "agent "+string(s.a.p.Node)))
			return nil
		}
		break
	}
	st := s.a.claims.settle(s.a.p.Clock.Now(), args.Claim)
	reply.State, reply.Body, reply.Detail = string(st.Stage), st.Body, st.Detail
	return nil
}
