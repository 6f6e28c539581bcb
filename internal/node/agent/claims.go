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
	onceFor    = 2 * clock.Minute // bound of one run of work that may run once
	claimKeep  = clock.Hour       // longer than any key is admitted
	maxClaims  = 200_000
	claimGrace = 300 * clock.Milli // for a send that is on its way
)

// claims guards the work that may run at most once. Its lock is held only
// while a decision is made.
type claims struct {
	mu      sync.Mutex
	guard   *claim.Guard
	changed chan struct{} // closed and replaced with each change
}

func newClaims(boot ident.Incarnation) *claims {
	return &claims{guard: claim.NewGuard(boot, claimKeep, maxClaims), changed: make(chan struct{})}
}

func refOf(c wire.Claim) claim.Ref {
	return claim.Ref{Stream: c.Stream, Offset: ident.Offset(c.Offset), Key: c.Key, Boot: ident.Incarnation(c.Boot)}
}

func (c *claims) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *claims) start(now clock.Millis, m wire.Claim) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.signal()
	return c.guard.Start(now, refOf(m))
}

// end notes how a started claim ended.
func (c *claims) end(now clock.Millis, m wire.Claim, body []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.signal()
	stage, detail := claim.Done, ""
	if err != nil {
		stage, detail = claim.Unknown, err.Error()
	}
	if f, ok := fault.As(err); ok && f.Outcome() == fault.NotRun {
		stage = claim.Refused
	}
	c.guard.Finish(now, refOf(m), stage, body, detail)
}

func (c *claims) look(m wire.Claim) (claim.Status, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Lookup(refOf(m)), c.changed
}

func (c *claims) settle(now clock.Millis, m wire.Claim) claim.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Settle(now, refOf(m))
}

func (c *claims) forget(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.Prune(now)
}

// submit admits a job. Work that may run once passes the guard first; if it is
// not admitted then, its claim is refused for good.
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
	m.Left = int64(onceFor) // Ending it earlier would make its outcome unknown.
	if err := a.admit(entry, m); err != nil {
		a.claims.end(now, m.Claim, nil, err)
		return err
	}
	return nil
}

// Settle implements the inner protocol. It waits a moment for a send that is
// on its way, and up to the given span for a run to end.
func (s *service) Settle(args *wire.SettleArgs, reply *wire.SettleReply) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	wait := min(clock.Millis(args.Wait), maxWait)
	grace := time.NewTimer(min(claimGrace, wait).Duration())
	defer grace.Stop()
	end := time.NewTimer(wait.Duration())
	defer end.Stop()
	for {
		e, changed := s.a.claims.look(args.Claim)
		if e.Stage != claim.Unseen && e.Stage != claim.Running {
			break
		}
		over := end.C
		if e.Stage == claim.Unseen {
			over = grace.C
		}
		select {
		case <-changed:
			continue
		case <-over:
		case <-s.a.ctx.Done():
			reply.Fault = wire.ToFault(fault.Wrap(fault.OutcomeUnknown, errStopped, "agent "+string(s.a.p.Node)))
			return nil
		}
		break
	}
	e := s.a.claims.settle(s.a.p.Clock.Now(), args.Claim)
	reply.State, reply.Body, reply.Detail = string(e.Stage), e.Body, e.Detail
	return nil
}
