package calls

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// submit hands an attempt to an agent.
func (c *Dispatcher) submit(ctx context.Context, s match.Server, j wire.Job) error {
	ctx, cancel := context.WithTimeout(ctx, submitFor.Duration())
	defer cancel()
	args := wire.SubmitArgs{Hello: c.hello(), Job: j}
	var reply wire.SubmitReply
	if err := c.p.Pool.Call(ctx, s.Addr, "Agent.Submit", &args, &reply); err != nil {
		return err
	}
	return reply.Fault.Err()
}

// fetch reads on in the answer of an attempt.
func (c *Dispatcher) fetch(ctx context.Context, s match.Server, att ident.Attempt, from int) (wire.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, (fetchWait + fetchSlack).Duration())
	defer cancel()
	args := wire.FetchArgs{Hello: c.hello(), Attempt: string(att), From: from, Wait: int64(fetchWait)}
	var reply wire.FetchReply
	if err := c.p.Pool.Call(ctx, s.Addr, "Agent.Fetch", &args, &reply); err != nil {
		// The attempt was started, so no failure to read it proves anything.
		return wire.FetchReply{}, fault.Wrap(fault.OutcomeUnknown, err, "no answer to attempt "+string(att))
	}
	return reply, nil
}

// cancel ends an attempt that is no longer wanted; nobody waits for it.
func (c *Dispatcher) cancel(s match.Server, att ident.Attempt) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), submitFor.Duration())
		defer stop()
		var ack wire.Ack
		args := wire.CancelArgs{Hello: c.hello(), Attempt: string(att)}
		if err := c.p.Pool.Call(ctx, s.Addr, "Agent.Cancel", &args, &ack); err != nil {
			c.p.Log.Debug().Err(err).Str("node", string(s.Node)).Msg("Cancel failed.")
		}
	}()
}
