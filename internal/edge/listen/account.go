package listen

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/hold"
)

const (
	// lineBytes is what a line of a head costs beside its text: net/http keeps it in a map,
	// and the request to a server is a copy.
	lineBytes = 320
	// refusedTime is the time in which a client reads a refusal before the connection is
	// closed with unread bytes, which destroys what the client hasn't read.
	refusedTime = 500 * time.Millisecond
	// scarceWriteTime is the time in which a client takes a part of an answer while there is
	// no room to hold it. Heads and bodies that stop make room within that time.
	scarceWriteTime = 5 * time.Second
	// writeTime bounds the time in which a client takes a part of an answer, at most some
	// hundred kilobytes. Callers wait for answers no longer than some seconds.
	writeTime = time.Minute
	// retryAfter is sent with a refusal for lack of room. A body that stops loses its place
	// within some seconds, others end within milliseconds.
	retryAfter = 500 * clock.Milli
	// refusedHead answers a head for which there is no room. None of the request ran.
	refusedHead = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// account guards a [hold.Account] and knows the connections.
type account struct {
	log   zerolog.Logger
	count func(hold.Reason)

	mu    sync.Mutex
	acc   *hold.Account
	conns map[*conn]struct{}
}

func newAccount(b hold.Bounds, log zerolog.Logger, count func(hold.Reason)) *account {
	return &account{log: log, count: count, acc: hold.New(b), conns: make(map[*conn]struct{})}
}

// refused counts and logs something that has no room. The log is bounded by its writer.
func (a *account) refused(r hold.Reason, addr string) {
	a.count(r)
	a.mu.Lock()
	held, conns := a.acc.Total()
	a.mu.Unlock()
	a.log.Warn().Str("reason", string(r)).Str("caller", addr).Int64("held-bytes", held).Int("conns", conns).
		Msg("listen: no room for a caller")
}

// admit returns the connection with its account, nil if it has no place.
func (a *account) admit(c net.Conn) *conn {
	addr := hostOf(c)
	out := &conn{Conn: c, account: a, holder: hold.Holder{Addr: addr}, waitsSince: time.Now()}
	a.mu.Lock()
	full, most := a.acc.Connect(addr)
	var victim *conn
	reason := hold.Evicted
	if full {
		victim = a.longestWaiting(most, most != addr)
		if victim == nil && most != addr {
			victim, reason = a.slowestReader(most), hold.SlowReader
		}
		if victim != nil {
			a.remove(victim)
			full, _ = a.acc.Connect(addr)
		}
	}
	if !full {
		a.conns[out] = struct{}{}
	}
	a.mu.Unlock()
	if victim != nil {
		a.refused(reason, most)
		_ = victim.Conn.Close() // Its server closes it again.
	}
	if full {
		a.refused(hold.NoConn, addr)
		return nil
	}
	return out
}

// longestWaiting returns the connection of an address that has waited longest for a whole
// request, nil if there is none. Bodies count if the place is for another address.
func (a *account) longestWaiting(addr string, bodies bool) *conn {
	var out *conn
	for c := range a.conns {
		if c.holder.Addr != addr || c.phase == runs || c.phase == readsBody && !bodies {
			continue
		}
		if out == nil || c.phase < out.phase || c.phase == out.phase && c.waitsSince.Before(out.waitsSince) {
			out = c
		}
	}
	return out
}

// slowestReader returns the connection of an address that has taken no part of an answer for
// longest, nil if none has for scarceWriteTime.
func (a *account) slowestReader(addr string) *conn {
	var out *conn
	before := time.Now().Add(-scarceWriteTime)
	for c := range a.conns {
		if c.holder.Addr == addr && !c.writesSince.IsZero() && c.writesSince.Before(before) {
			out, before = c, c.writesSince
		}
	}
	return out
}

// remove ends what is held for a connection. The caller holds the lock.
func (a *account) remove(c *conn) {
	if c.gone {
		return
	}
	c.gone = true
	delete(a.conns, c)
	a.acc.Shrink(&c.holder, c.holder.Bytes())
	a.acc.Disconnect(c.holder.Addr)
}

func hostOf(c net.Conn) string {
	if addr, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return addr.IP.String()
	}
	return c.RemoteAddr().String()
}

// phase is what a connection does.
type phase uint8

const (
	readsHead phase = iota // or waits for one
	readsBody
	runs // a whole request
)

// conn is a connection whose bytes are counted. In a head each line counts before the next
// bytes are read; the handler counts bodies, see [Held].
type conn struct {
	net.Conn
	account *account

	holder     hold.Holder // guarded by account.mu, as all below
	phase      phase
	waitsSince time.Time
	// writesSince is when the client got the part of an answer that it hasn't taken yet.
	writesSince time.Time
	lastRead    int64 // cost of the bytes read last, of which a part may be of the next head
	gone        bool  // nothing more is held for it
}

// grow counts bytes of a connection if there is room. The caller holds the lock.
func (a *account) grow(c *conn, n int64) hold.Reason {
	if c.gone {
		return hold.Granted
	}
	return a.acc.Grow(&c.holder, n)
}

// Read counts the lines of heads. Without room it answers that the request did not run.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	a := c.account
	a.mu.Lock()
	if c.phase != readsHead {
		a.mu.Unlock()
		return n, err
	}
	cost := int64(n + lineBytes*bytes.Count(b[:n], []byte{'\n'}))
	reason := a.grow(c, cost)
	c.lastRead = cost
	a.mu.Unlock()
	if reason == hold.Granted {
		return n, err
	}
	a.refused(reason, c.holder.Addr)
	_ = c.Conn.SetDeadline(time.Now().Add(refusedTime)) // Fails only on a closed connection.
	_, _ = c.Conn.Write([]byte(refusedHead))            // The client may have left.
	if err := c.CloseWrite(); err == nil {
		c.discard()
	}
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed} // net/http adds no answer of its own.
}

// discard reads until the client has read the refusal and closes, for refusedTime.
func (c *conn) discard() {
	b := make([]byte, 4096)
	for {
		if _, err := c.Conn.Read(b); err != nil {
			return
		}
	}
}

// Write counts the bytes until the client has taken them.
func (c *conn) Write(b []byte) (int, error) {
	a, n := c.account, int64(len(b))
	a.mu.Lock()
	reason := a.grow(c, n)
	if reason != hold.Granted {
		a.acc.Force(&c.holder, n)
	}
	c.writesSince = time.Now()
	a.mu.Unlock()
	limit := writeTime
	if reason != hold.Granted {
		limit = scarceWriteTime
	}
	_ = c.SetWriteDeadline(time.Now().Add(limit)) // Fails only on a closed connection.
	written, err := c.Conn.Write(b)
	a.mu.Lock()
	a.acc.Shrink(&c.holder, n)
	c.writesSince = time.Time{}
	a.mu.Unlock()
	if err, ok := err.(net.Error); ok && err.Timeout() {
		a.refused(hold.SlowReader, c.holder.Addr)
	}
	return written, err
}

// CloseWrite lets net/http wait until the client has read an answer before it closes.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return net.ErrClosed
}

// Close ends what is held for the connection.
func (c *conn) Close() error {
	c.account.mu.Lock()
	c.account.remove(c)
	c.account.mu.Unlock()
	return c.Conn.Close()
}

// setPhase enters a phase. The end of a request ends what is held for it.
func (c *conn) setPhase(p phase) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	c.phase = p
	if p == readsHead {
		c.waitsSince = time.Now()
		a.acc.Shrink(&c.holder, max(0, c.holder.Bytes()-c.lastRead))
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// countRequests ends what is held for a request when its handler returns.
func countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		c.setPhase(readsBody)
		defer c.setPhase(readsHead)
		h.ServeHTTP(w, r)
	})
}

// Held is what the process holds for one request.
type Held struct{ c *conn }

// HeldFor returns the account of a request of a [Server]. Others have no limits.
func HeldFor(ctx context.Context) Held {
	c, _ := ctx.Value(connKey{}).(*conn)
	return Held{c}
}

// Grow counts n bytes before they are read or decoded. The error is a fault that says that
// the request did not run.
func (h Held) Grow(n int64) error {
	if h.c == nil {
		return nil
	}
	a := h.c.account
	a.mu.Lock()
	reason := a.grow(h.c, n)
	a.mu.Unlock()
	switch reason {
	case hold.Granted:
		return nil
	case hold.TooMuch:
		a.refused(reason, h.c.holder.Addr)
		return fault.New(fault.TooLarge, "the request needs more memory than this entry has for one")
	}
	a.refused(reason, h.c.holder.Addr)
	return fault.New(fault.Overloaded, "this entry has no room for the request now ("+string(reason)+")").WithRetryAfter(retryAfter)
}

// Shrink ends the count of n bytes that are no longer held.
func (h Held) Shrink(n int64) {
	if h.c == nil {
		return
	}
	h.c.account.mu.Lock()
	defer h.c.account.mu.Unlock()
	h.c.account.acc.Shrink(&h.c.holder, n)
}

// Whole marks a request that is complete: its connection isn't closed to make room.
func (h Held) Whole() {
	if h.c != nil {
		h.c.setPhase(runs)
	}
}
