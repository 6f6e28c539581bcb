// Package claims runs work that may run at most once. Before the work is sent
// to an agent, a claim of its key is appended to the log; only the claim that
// the log's order favours is sent, by its writer alone and to the agent that
// it names. docs/design/claims.md tells why that is enough.
//
// # Usage
//
//	c := claims.New(ctx, claims.Params{Source: log, Calls: calls, Pool: pool, ...})
//	ans, err := c.Do(ctx, claims.Ask{Who: who, Key: key, Work: work})
//
// The claims are spread over a fixed number of streams. An entry reads a
// stream only while it has work of it: two servers of one stream are safe, and
// a new one reads what the log keeps first.
//
// Errors: [fault.LogDown] and every other kind with the outcome not run are
// returned only after the log was read and showed no claim that may have run,
// or if the caller says that it never sent the key before. What can't be
// proven so has the kind [fault.Unsettled] or [fault.Lost].
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
	// Streams is the number of streams of claims; all programs of a
	// deployment must agree on it.
	Streams = 16
	// skew bounds how far the clock that made a key may differ from an entry's.
	skew = clock.Minute
	// maxOutcome bounds an answer that is kept on the log.
	maxOutcome = 1 << 10 // bytes
	appendGap  = 10 * clock.Milli
)

// Params are what the claims of one entry need. Zero spans get defaults.
type Params struct {
	Node         ident.Node
	Boot         ident.Incarnation
	Source       plat.Log
	Calls        *calls.Dispatcher
	Pool         *wire.Pool
	KeyLifetime  clock.Millis // a key is admitted for so long after it was made
	ClaimTimeout clock.Millis // to write a claim and read it back
	Clock        clock.Clock
	Wall         func() int64 // ms since 1970; compared with the time in a key only
	Log          zerolog.Logger
	Trace        *trace.Recorder // nil for none
}

// Defaults of [Params]. The log must keep records for more than twice the
// window and the skew of clocks.
const (
	Window   = 15 * clock.Minute
	claimFor = 3 * clock.Second
)

// Claims serves the claims of one entry.
type Claims struct {
	p       Params
	ctx     context.Context
	seq     atomic.Uint64
	appends atomic.Int64
	rate    limiter
	streams [Streams]*stream

	mu      sync.Mutex
	flights map[string]*flight
}

// New returns the claims of an entry; what they do ends with the context.
func New(ctx context.Context, p Params) *Claims {
	if p.KeyLifetime == 0 {
		p.KeyLifetime = Window
	}
	if p.ClaimTimeout == 0 {
		p.ClaimTimeout = claimFor
	}
	if p.Wall == nil {
		p.Wall = func() int64 { return time.Now().UnixMilli() }
	}
	c := &Claims{p: p, ctx: ctx, flights: make(map[string]*flight)}
	c.rate.clock = p.Clock
	for i := range c.streams {
		c.streams[i] = newStream(c, StreamName(i))
	}
	return c
}

// StreamName returns the name of a stream of claims on the log.
func StreamName(i int) string { return "claims-" + strconv.Itoa(i) }

// Request is one request that may run at most once.
type Request struct {
	Caller     ident.Caller
	Key        string // UUIDv7
	FirstSend  bool   // the caller says that it never sent this key before
	BodyDigest string // digest of everything that makes the request
	Work       calls.Work
}

// KeyDigest returns what names a caller's key on the log. It can't be made
// without the caller's name, so no caller reaches another's key.
func KeyDigest(who ident.Caller, key string) string {
	h := sha256.New()
	for _, s := range []string{string(who), key} {
		h.Write([]byte(strconv.Itoa(len(s)) + ":" + s))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// StreamOf returns the name of the stream that a caller's key belongs to.
func StreamOf(who ident.Caller, key string) string { return StreamName(index(KeyDigest(who, key))) }

func index(digest string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(digest))
	return int(h.Sum32() % Streams)
}

// retention is how long the log must keep records at least.
func (c *Claims) retention() clock.Millis { return 2 * (c.p.KeyLifetime + skew) }

// isOwn reports whether this process wrote a record.
func (c *Claims) isOwn(w record.Writer) bool { return w.Node == c.p.Node && w.Boot == c.p.Boot }

// worked tells a bounded client of the log that a lost append took effect.
func (c *Claims) worked() {
	if w, ok := c.p.Source.(interface{ ResetBackoff() }); ok {
		w.ResetBackoff()
	}
}

// IsBusy reports whether a key is worked on, or a record waits to be appended.
func (c *Claims) IsBusy() bool {
	c.mu.Lock()
	busy := len(c.flights) > 0
	c.mu.Unlock()
	for _, s := range c.streams {
		s.mu.Lock()
		busy = busy || len(s.pending) > 0
		s.mu.Unlock()
	}
	return busy
}

// Appends returns how many appends were tried.
func (c *Claims) Appends() int64 { return c.appends.Load() }

// CheckKey refuses a key that is malformed or outside the kept window. It
// returns the key's time in ms since 1970.
func (c *Claims) CheckKey(key string) (int64, error) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 || u.String() != key {
		return 0, fault.New(fault.BadRequest, "key must be a UUIDv7 in lower case for a class of the kind action")
	}
	t := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	now := c.p.Wall()
	switch {
	case t > now+int64(skew):
		return 0, fault.New(fault.BadRequest, "key has a time in the future; correct the clock that makes it")
	case t < now-int64(c.p.KeyLifetime):
		return 0, fault.New(fault.KeyExpired, "key is older than "+c.p.KeyLifetime.String())
	}
	return t, nil
}

// Do runs the work unless it ran before, and returns its answer in both cases.
// A caller that goes away does not end the work.
func (c *Claims) Do(ctx context.Context, a Request) (calls.Answer, error) {
	t, err := c.CheckKey(a.Key)
	if err != nil {
		return calls.Answer{}, err
	}
	f := c.join(a, t)
	if f.ask.BodyDigest != a.BodyDigest {
		return calls.Answer{}, errReused()
	}
	select {
	case <-f.done:
		return f.ans, f.err
	case <-ctx.Done():
		return calls.Answer{}, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the request is still in progress")
	}
}

// join returns the flight of a key, started if there is none.
func (c *Claims) join(a Request, t int64) *flight {
	key := KeyDigest(a.Caller, a.Key)
	c.mu.Lock()
	defer c.mu.Unlock()
	if f, ok := c.flights[key]; ok {
		return f
	}
	f := &flight{c: c, s: c.streams[index(key)], ask: a, key: key, time: t, done: make(chan struct{})}
	c.flights[key] = f
	go f.run()
	return f
}

func (c *Claims) leave(f *flight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flights, f.key)
}

// limiter spaces the appends of one entry over all its streams.
type limiter struct {
	clock clock.Clock
	mu    sync.Mutex
	next  clock.Millis
}

// wait returns when the next append may be made.
func (l *limiter) wait(ctx context.Context) {
	l.mu.Lock()
	now := l.clock.Now()
	at := max(now, l.next)
	l.next = at + appendGap
	l.mu.Unlock()
	if at > now {
		clock.Sleep(ctx, at-now)
	}
}
