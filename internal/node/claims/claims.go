// Package claims runs work that may run at most once. Before the work is sent
// to an agent, the entry appends a claim of the work's key to the log. The order
// of the log decides which claim of a key is valid, and only the writer of that
// claim sends the work, only to the agent that the claim names.
// docs/design/claims.md explains why this is sufficient.
//
// # Usage
//
//	c := claims.New(ctx, claims.Params{Source: log, Calls: calls, Pool: pool, ...})
//	ans, err := c.Do(ctx, claims.Request{Caller: caller, Key: key, Work: work})
//
// Claims are distributed over a fixed number of streams. An entry reads a stream
// only while it has work whose keys belong to the stream. Several entries may use
// a stream at once. An entry that is new to a stream first reads all records that
// the log has kept.
//
// Errors: [fault.LogUnavailable] and all other kinds with the outcome "not run"
// are returned only if the log was read and has no claim of the key that may have
// run, or if the caller says that it never sent the key before. If this can't be
// proven, the kind is [fault.ClaimUnsettled] or [fault.OutcomeUnknown].
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
)

const (
	// Streams is the number of streams of claims. All nodes of a deployment
	// must use the same number.
	Streams = 16
	// maxClockSkew is the largest accepted difference between the clock that
	// made a key and the clock of an entry.
	maxClockSkew = clock.Minute
	// maxOutcomeBytes is the size up to which an answer is kept on the log.
	maxOutcomeBytes = 1 << 10
	// appendInterval is the minimum time between two appends of an entry.
	appendInterval = 10 * clock.Milli
)

// Params configures [Claims]. Durations that are zero get defaults.
type Params struct {
	Node         ident.Node
	Boot         ident.Incarnation
	Source       plat.Log
	Calls        *calls.Dispatcher
	Pool         *wire.Pool
	KeyLifetime  clock.Millis // how long a key is accepted after it was made
	ClaimTimeout clock.Millis // for writing a claim and reading it back
	Clock        clock.Clock
	Wall         func() int64 // ms since 1970, compared only with the time in a key
	Log          zerolog.Logger
	Trace        *trace.Recorder // nil for none
}

// Defaults of [Params]. The log must keep records for more than twice the sum of
// the key lifetime and the clock skew.
const (
	DefaultKeyLifetime  = 15 * clock.Minute
	defaultClaimTimeout = 3 * clock.Second
)

// Claims runs the at-most-once work of one entry.
type Claims struct {
	p             Params
	ctx           context.Context
	seq           atomic.Uint64
	appends       atomic.Int64
	appendLimiter limiter
	streams       [Streams]*stream

	mu         sync.Mutex
	executions map[string]*execution
}

// New returns a Claims for an entry. Its background work ends with the context.
func New(ctx context.Context, p Params) *Claims {
	if p.KeyLifetime == 0 {
		p.KeyLifetime = DefaultKeyLifetime
	}
	if p.ClaimTimeout == 0 {
		p.ClaimTimeout = defaultClaimTimeout
	}
	if p.Wall == nil {
		p.Wall = func() int64 { return time.Now().UnixMilli() }
	}
	c := &Claims{p: p, ctx: ctx, executions: make(map[string]*execution)}
	c.appendLimiter.clock = p.Clock
	for i := range c.streams {
		c.streams[i] = newStream(c, StreamName(i))
	}
	return c
}

// StreamName returns the log's name for the stream of claims with index i.
func StreamName(i int) string { return "claims-" + strconv.Itoa(i) }

// Request is a request that may run at most once.
type Request struct {
	Caller     ident.Caller
	Key        string // UUIDv7
	FirstSend  bool   // the caller says that it never sent this key before
	BodyDigest string // digest of all parts of the request
	Work       calls.Work
}

// KeyDigest returns the digest that identifies a caller's key on the log. It
// includes the caller's name, so that callers can't use each other's keys.
func KeyDigest(caller ident.Caller, key string) string {
	h := sha256.New()
	for _, s := range []string{string(caller), key} {
		h.Write([]byte(strconv.Itoa(len(s)) + ":" + s))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// StreamOf returns the name of the stream that the key of a caller belongs to.
func StreamOf(caller ident.Caller, key string) string {
	return StreamName(streamIndex(KeyDigest(caller, key)))
}

func streamIndex(digest string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(digest))
	return int(h.Sum32() % Streams)
}

// retention returns the minimum time for which the log must keep records.
func (c *Claims) retention() clock.Millis { return 2 * (c.p.KeyLifetime + maxClockSkew) }

// isOwn reports whether this process wrote a record.
func (c *Claims) isOwn(w record.Writer) bool { return w.Node == c.p.Node && w.Boot == c.p.Boot }

// resetLogBackoff ends the backoff of the log client, if it has one. It is called
// when an append whose answer was lost proves to have taken effect.
func (c *Claims) resetLogBackoff() {
	if w, ok := c.p.Source.(interface{ ResetBackoff() }); ok {
		w.ResetBackoff()
	}
}

// IsBusy reports whether a request is in progress or a record is not appended yet.
func (c *Claims) IsBusy() bool {
	c.mu.Lock()
	busy := len(c.executions) > 0
	c.mu.Unlock()
	for _, s := range c.streams {
		busy = busy || s.isBusy()
	}
	return busy
}

// Appends returns the number of append calls, failed ones included.
func (c *Claims) Appends() int64 { return c.appends.Load() }

// CheckKey returns the time in a key, in ms since 1970. It returns an error if the
// key is malformed, too old, or too far in the future.
func (c *Claims) CheckKey(key string) (int64, error) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 || u.String() != key {
		return 0, fault.New(fault.BadRequest, "key must be a UUIDv7 in lower case for a class of the kind action")
	}
	t := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	now := c.p.Wall()
	switch {
	case t > now+int64(maxClockSkew):
		return 0, fault.New(fault.BadRequest, "key has a time in the future; correct the clock that makes it")
	case t < now-int64(c.p.KeyLifetime):
		return 0, fault.New(fault.KeyExpired, "key is older than "+c.p.KeyLifetime.String())
	}
	return t, nil
}

// Do returns the answer of the work, and runs the work if it has not run before.
// The work continues after the context of the call ends.
func (c *Claims) Do(ctx context.Context, req Request) (calls.Answer, error) {
	t, err := c.CheckKey(req.Key)
	if err != nil {
		return calls.Answer{}, err
	}
	e := c.joinExecution(req, t)
	if e.request.BodyDigest != req.BodyDigest {
		return calls.Answer{}, errKeyReused()
	}
	select {
	case <-e.done:
		return e.answer, e.err
	case <-ctx.Done():
		return calls.Answer{}, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the request is still in progress")
	}
}

// joinExecution returns the execution of a key and starts one if there is none.
func (c *Claims) joinExecution(req Request, keyTime int64) *execution {
	key := KeyDigest(req.Caller, req.Key)
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.executions[key]; ok {
		return e
	}
	e := &execution{c: c, stream: c.streams[streamIndex(key)], request: req, key: key, keyTime: keyTime, done: make(chan struct{})}
	c.executions[key] = e
	go e.run()
	return e
}

func (c *Claims) removeExecution(e *execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.executions, e.key)
}

// limiter enforces a minimum time between the appends of an entry, counted over
// all streams.
type limiter struct {
	clock  clock.Clock
	mu     sync.Mutex
	nextAt clock.Millis
}

// wait blocks until the next append may be made.
func (l *limiter) wait(ctx context.Context) {
	l.mu.Lock()
	now := l.clock.Now()
	appendAt := max(now, l.nextAt)
	l.nextAt = appendAt + appendInterval
	l.mu.Unlock()
	if appendAt > now {
		clock.Sleep(ctx, appendAt-now)
	}
}
