package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/httpd"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
)

// findClass returns a declared class that has one of the given kinds. It refuses
// the request if the entry isn't ready, but not while the entry shuts down: it then
// still serves.
func (e *Entry) findClass(name string, kinds ...class.Kind) (class.Class, error) {
	if err := e.Ready(); err != nil && !e.leaving.Load() {
		return class.Class{}, err
	}
	en, ok := e.config.State().Find(ident.Class(name))
	if !ok {
		return class.Class{}, fault.New(fault.UnknownClass, "class "+name+" is not declared")
	}
	for _, k := range kinds {
		if en.Class.Kind() == k {
			return en.Class, nil
		}
	}
	return class.Class{}, fault.New(fault.BadRequest, "class "+name+" has the kind "+string(en.Class.Kind())+", which this call does not serve")
}

// Request implements [httpd.Service].
func (e *Entry) Request(ctx context.Context, who ident.Caller, m codec.Request, sink httpd.Sink) error {
	c, err := e.findClass(m.Class, class.Draft, class.Lookup, class.Action)
	if err != nil {
		return asUnsettled(m, err)
	}
	if !c.Kind().IsIdempotent() {
		return e.runAction(ctx, who, m, sink)
	}
	w, err := e.newWork(c, who, m)
	if err != nil {
		return err
	}
	if addr, ok := e.findPeerFor(c.Service(), w.Request); ok {
		return e.forwardRequest(ctx, addr, who, m, w, sink)
	}
	return e.runLocally(ctx, w, sink)
}

// runLocally runs work on the agents that report to this entry.
func (e *Entry) runLocally(ctx context.Context, w calls.Work, sink httpd.Sink) error {
	ans, err := e.calls.Do(ctx, w, func(ts []uint32) error { return sink(codec.Chunk{Tokens: ts}) })
	if err != nil {
		return err
	}
	return sink(codec.Chunk{Done: true, Body: ans.Body, Count: len(ans.Tokens), Spans: codec.FromSpans(ans.Spans)})
}

// newWork validates a request and applies the limits of its class.
func (e *Entry) newWork(c class.Class, who ident.Caller, m codec.Request) (calls.Work, error) {
	if m.DeadlineMS < 0 {
		return calls.Work{}, fault.New(fault.PastDeadline, "deadline-ms is in the past")
	}
	if m.MaxTokens < 0 {
		return calls.Work{}, fault.New(fault.BadRequest, "max-tokens must not be negative")
	}
	limit := c.MaxTokens()
	if m.MaxTokens > 0 {
		limit = min(limit, m.MaxTokens)
	}
	now := e.p.Clock.Now()
	w := calls.Work{
		Request:   requestID(who, m),
		Class:     c,
		Body:      []byte(m.Body),
		Prefix:    m.Prefix,
		Seed:      m.Seed,
		MaxTokens: limit,
	}
	if m.DeadlineMS > 0 {
		w.Deadline = now + clock.Millis(m.DeadlineMS)
	}
	return w, nil
}

// requestID returns an identifier that is equal on all entries for equal requests
// of one caller.
func requestID(who ident.Caller, m codec.Request) ident.Request {
	h := sha256.New()
	for _, s := range []string{string(who), m.Class, m.Key, m.Body} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	return ident.Request(hex.EncodeToString(h.Sum(nil)[:16]))
}

// forwardMargin is the time that a forwarded call gets beyond its wait, so that the
// other entry's answer can still arrive.
const forwardMargin = 5 * clock.Second

// callRoundOwner runs a call at the entry that owns a round. If that entry is
// unreachable, the call runs locally: two owners waste work, but no sample is
// returned twice.
func callRoundOwner[In, Out any](
	ctx context.Context, e *Entry, id, path string, wait clock.Millis, m In,
	local func(context.Context, In) (Out, error),
) (Out, error) {
	return callOwner(ctx, e, "round/"+id, path, wait, m, local)
}

// callOwner runs a call at the entry that owns a key, or locally if that entry is
// unreachable.
func callOwner[In, Out any](
	ctx context.Context, e *Entry, key, path string, wait clock.Millis, m In,
	local func(context.Context, In) (Out, error),
) (Out, error) {
	owner, mine := e.peers.Owner(key)
	if mine {
		return local(ctx, m)
	}
	out, err := forward[In, Out](ctx, e, owner.Addr, path, wait, m)
	if isUnreachable(err) {
		return local(ctx, m)
	}
	return out, err
}

// isUnreachable reports whether a forwarded call has the kind of error that it gets
// if the other entry doesn't answer. The other entry can return these kinds too.
func isUnreachable(err error) bool {
	return fault.Is(err, fault.NoBackend) || fault.Is(err, fault.BadPeer) || fault.Is(err, fault.OutcomeUnknown)
}

// forward sends a call to another entry and returns its result.
func forward[In, Out any](ctx context.Context, e *Entry, addr, path string, wait clock.Millis, m In) (Out, error) {
	var out Out
	body, err := json.Marshal(m)
	if err != nil {
		return out, errors.Wrap(err, "encode call")
	}
	wait += forwardMargin
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	args := newForwardArgs(e, path, body, wait)
	var reply forwardReply
	if err := e.pool.Call(ctx, addr, "Entry.Forward", &args, &reply); err != nil {
		return out, err
	}
	if err := reply.Fault.Err(); err != nil {
		return out, err
	}
	return out, errors.Wrap(json.Unmarshal(reply.Body, &out), "decode answer")
}
