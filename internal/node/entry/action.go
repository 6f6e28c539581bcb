package entry

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/httpd"
	"github.com/jujuberamp/jujuberamp/internal/node/claims"
)

// pathRunAction is the path of forwarded calls for at-most-once work.
const pathRunAction = "actions/do"

// defaultActionTimeout bounds the wait for an action without a deadline.
const defaultActionTimeout = 35 * clock.Second

// runAction runs at-most-once work at the entry that owns the key's claim stream.
// A single owner saves reads of the log; two owners at once are safe.
func (e *Entry) runAction(ctx context.Context, who ident.Caller, m codec.Request, sink httpd.Sink) error {
	if _, err := e.claims.CheckKey(m.Key); err != nil {
		return err
	}
	wait := defaultActionTimeout
	if m.DeadlineMS > 0 {
		wait = clock.Millis(m.DeadlineMS)
	}
	out, err := callOwner(ctx, e, claims.StreamOf(who, m.Key), pathRunAction, wait,
		forwardedRequest{string(who), m}, e.runActionLocally)
	if err != nil {
		return err
	}
	return sink(out)
}

// runActionLocally runs at-most-once work, normally as the owner of the claim
// stream.
func (e *Entry) runActionLocally(ctx context.Context, f forwardedRequest) (codec.Chunk, error) {
	m, who := f.Request, ident.Caller(f.Who)
	c, err := e.findClass(m.Class, class.Action)
	if err != nil {
		return codec.Chunk{}, asUnsettled(m, err)
	}
	w, err := e.newWork(c, who, m)
	if err != nil {
		return codec.Chunk{}, asUnsettled(m, err)
	}
	ans, err := e.claims.Do(ctx, claims.Request{Caller: who, Key: m.Key, FirstSend: m.FirstSend, BodyDigest: bodyDigest(m), Work: w})
	if err != nil {
		return codec.Chunk{}, err
	}
	return codec.Chunk{Done: true, Body: ans.Body}, nil
}

// bodyDigest returns a digest of a request without its key.
func bodyDigest(m codec.Request) string {
	m.Key = ""
	return string(requestID("", m))
}

// asUnsettled converts a temporary refusal into a fault that leaves the outcome
// of earlier requests with the same key open, unless the caller marked this
// request as the first one.
func asUnsettled(m codec.Request, err error) error {
	f, ok := fault.As(err)
	if !ok || m.Key == "" || m.FirstSend || f.Outcome() != fault.NotRun {
		return err
	}
	switch f.Kind() {
	case fault.NotReady, fault.Leaving, fault.Overloaded, fault.PastDeadline, fault.NoBackend:
		return fault.Wrap(fault.ClaimUnsettled, err, "this send was not run, earlier ones with the key may have been").WithRetryAfter(clock.Second)
	}
	return err
}
