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

// pathAction is the call that the server of a stream of claims serves.
const pathAction = "actions/do"

// actionWait bounds the wait for an action without a deadline.
const actionWait = 35 * clock.Second

// action runs work that may run at most once. It goes to the entry that serves
// the key's stream, which saves reads of the log; two such entries are safe.
func (e *Entry) action(ctx context.Context, who ident.Caller, m codec.Request, sink httpd.Sink) error {
	if _, err := e.claims.CheckKey(m.Key); err != nil {
		return err
	}
	wait := actionWait
	if m.DeadlineMS > 0 {
		wait = clock.Millis(m.DeadlineMS)
	}
	out, err := ownedBy(ctx, e, claims.StreamOf(who, m.Key), pathAction, wait, passed{string(who), m}, e.actionHere)
	if err != nil {
		return err
	}
	return sink(out)
}

func (e *Entry) actionHere(ctx context.Context, a passed) (codec.Chunk, error) {
	m, who := a.Request, ident.Caller(a.Who)
	c, err := e.classOf(m.Class, class.Action)
	if err != nil {
		return codec.Chunk{}, leftOpen(m, err)
	}
	w, err := e.work(c, who, m)
	if err != nil {
		return codec.Chunk{}, leftOpen(m, err)
	}
	ans, err := e.claims.Do(ctx, claims.Request{Caller: who, Key: m.Key, FirstSend: m.FirstSend, BodyDigest: bodyDigest(m), Work: w})
	if err != nil {
		return codec.Chunk{}, err
	}
	return codec.Chunk{Done: true, Body: ans.Body}, nil
}

// bodyDigest names what a request asks for, without its key.
func bodyDigest(m codec.Request) string {
	m.Key = ""
	return string(requestID("", m))
}

// leftOpen turns a refusal that passes with time into one that says nothing of
// earlier sends of the key, unless the caller says that there was none.
func leftOpen(m codec.Request, err error) error {
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
