package agent

import (
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// service provides the methods that peers call over net/rpc.
type service struct{ a *Agent }

// maxWait bounds how long one Fetch or Settle waits.
const maxWait = 10 * clock.Second

// Submit admits or refuses a job as part of the inner protocol.
func (s *service) Submit(args *wire.SubmitArgs, reply *wire.SubmitReply) error {
	err := args.Hello.Check()
	if err == nil {
		err = s.a.submit(ident.Node(args.Hello.Node), args.Job)
		s.a.recordAdmit(args.Job, err)
	}
	reply.Fault = wire.ToFault(err)
	return nil
}

// Fetch returns the answer of an attempt from a token index on, as part of the
// inner protocol. It waits for new tokens or the end of the job.
func (s *service) Fetch(args *wire.FetchArgs, reply *wire.FetchReply) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	j, ok := s.a.findJob(args.Attempt)
	if !ok {
		reply.Fault = wire.ToFault(fault.New(fault.OutcomeUnknown, "agent "+string(s.a.p.Node)+" does not know attempt "+args.Attempt))
		return nil
	}
	t := time.NewTimer(min(clock.Millis(args.Wait), maxWait).Duration())
	defer t.Stop()
	for {
		j.touch(s.a.p.Clock.Now())
		r, changed := j.read(args.From)
		// A sample is returned in few large chunks: its entry needs only the
		// complete result.
		if r.Done || r.Moves || (len(r.Tokens) > 0 && !j.isSample()) {
			*reply = r
			return nil
		}
		select {
		case <-changed:
		case <-t.C:
			*reply = r
			return nil
		case <-s.a.ctx.Done():
			reply.Fault = wire.ToFault(fault.Wrap(fault.OutcomeUnknown, errStopped, "agent "+string(s.a.p.Node)))
			return nil
		}
	}
}

// Cancel ends an attempt as part of the inner protocol.
func (s *service) Cancel(args *wire.CancelArgs, reply *wire.Ack) error {
	if err := args.Hello.Check(); err != nil {
		reply.Fault = wire.ToFault(err)
		return nil
	}
	j, ok := s.a.findJob(args.Attempt)
	if !ok || j.msg.Once {
		return nil // At-most-once work continues, so that its outcome is known.
	}
	j.discard()
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	if j.isDone() {
		delete(s.a.jobs, ident.Attempt(args.Attempt))
	}
	return nil
}
