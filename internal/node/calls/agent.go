package calls

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// submitAttempt submits an attempt to an agent.
func (d *Dispatcher) submitAttempt(ctx context.Context, s match.Server, j wire.Job) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout.Duration())
	defer cancel()
	args := wire.SubmitArgs{Hello: d.hello(), Job: j}
	var reply wire.SubmitReply
	if err := d.params.Pool.Call(ctx, s.Addr, "Agent.Submit", &args, &reply); err != nil {
		return err
	}
	return reply.Fault.Err()
}

// fetchTokens reads the tokens of an attempt, starting at index from.
func (d *Dispatcher) fetchTokens(
	ctx context.Context, s match.Server, attempt ident.Attempt, from int,
) (wire.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, (fetchWait + fetchTimeoutMargin).Duration())
	defer cancel()
	args := wire.FetchArgs{Hello: d.hello(), Attempt: string(attempt), From: from, Wait: int64(fetchWait)}
	var reply wire.FetchReply
	if err := d.params.Pool.Call(ctx, s.Addr, "Agent.Fetch", &args, &reply); err != nil {
		// The attempt was started, so a failed read does not prove that it was
		// not executed.
		return wire.FetchReply{}, fault.Wrap(fault.OutcomeUnknown, err, "no answer to attempt "+string(attempt))
	}
	return reply, nil
}

// cancelAttempt cancels an attempt in the background.
func (d *Dispatcher) cancelAttempt(s match.Server, attempt ident.Attempt) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), submitTimeout.Duration())
		defer stop()
		var ack wire.Ack
		args := wire.CancelArgs{Hello: d.hello(), Attempt: string(attempt)}
		if err := d.params.Pool.Call(ctx, s.Addr, "Agent.Cancel", &args, &ack); err != nil {
			d.params.Log.Debug().Err(err).Str("node", string(s.Node)).Msg("calls: cancel failed")
		}
	}()
}
