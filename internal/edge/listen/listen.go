// Package listen serves HTTP on one listener with limits that can change at run time.
//
// A new limit applies only to connections that are accepted after the change.
//
// What the connections hold is counted against the bounds of an account; see
// internal/decide/hold. Handlers count what they hold for a request with [HeldFor].
//
// When Shutdown runs out of time, it cancels the requests in progress with the cause
// [ErrStopping], so that their handlers can still answer.
//
// # Usage
//
//	s := listen.New(handler, log)
//	s.SetBounds(hold.BoundsOf(memoryMB, maxFDs), count)
//	s.SetLimits(limits)
//	go s.Serve(ln)
//	s.Shutdown(ctx)
package listen

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/decide/hold"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
)

// ErrStopping is the cause with which requests are canceled when the time of a shutdown
// is over.
var ErrStopping = errors.New("the process stops")

// answerTime is the time in which handlers of canceled requests write an answer.
const answerTime = 200 * time.Millisecond

// acceptPause is the pause after a connection that could not be accepted, for example
// because no descriptor is left.
const acceptPause = 20 * time.Millisecond

// Server serves HTTP on one listener. It has an http.Server for each set of limits.
type Server struct {
	handler  http.Handler
	log      zerolog.Logger
	requests context.Context // of which the contexts of requests are derived
	cancel   context.CancelCauseFunc
	account  *account

	mu       sync.Mutex
	limits   router.Limits
	active   *connListener // listener of the server with the current limits, nil if there is none
	servers  []*http.Server
	stopping bool
}

// connListener is a net.Listener that passes accepted connections to one http.Server.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *connListener) isClosed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *connListener) Addr() net.Addr { return l.addr }

// New returns a server without limits.
func New(h http.Handler, log zerolog.Logger) *Server {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Server{
		handler: countRequests(h), log: log, requests: ctx, cancel: cancel,
		account: newAccount(hold.Bounds{}, log, func(hold.Reason) {}),
	}
}

// SetBounds bounds what is held for callers. The function is called with the reason of each
// refusal. SetBounds must be called before Serve.
func (s *Server) SetBounds(b hold.Bounds, count func(hold.Reason)) {
	s.account = newAccount(b, s.log, count)
}

// SetLimits changes the limits of connections that are accepted from now on.
func (s *Server) SetLimits(next router.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits != next {
		s.limits = next
		if s.active != nil {
			_ = s.active.Close() // Close never fails.
			s.active = nil
		}
	}
}

// activeListener returns the listener of the server with the current limits. It starts
// that server if necessary. It returns nil once Shutdown was called.
func (s *Server) activeListener(addr net.Addr) *connListener {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil
	}
	if s.active != nil && !s.active.isClosed() {
		return s.active
	}
	l := &connListener{conns: make(chan net.Conn), done: make(chan struct{}), addr: addr}
	srv := &http.Server{
		Handler:           s.handler,
		BaseContext:       func(net.Listener) context.Context { return s.requests },
		ConnContext:       withConn,
		ReadHeaderTimeout: s.limits.HeaderTimeout.Duration(),
		IdleTimeout:       s.limits.IdleTimeout.Duration(),
		MaxHeaderBytes:    s.limits.MaxHeaderBytes,
		ErrorLog:          stdlog.New(s.log, "", 0),
	}
	s.active, s.servers = l, append(s.servers, srv)
	go func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			s.log.Error().Err(err).Msg("listen: server stopped")
		}
	}()
	return l
}

// Serve accepts connections until ln is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		accepted, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept")
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("listen: a connection was not accepted")
			time.Sleep(acceptPause)
			continue
		}
		c := s.account.admit(accepted)
		if c == nil {
			_ = accepted.Close() // Nothing was read: the client sends its request elsewhere.
			continue
		}
		l := s.activeListener(ln.Addr())
		for l != nil && !l.pass(c) {
			l = s.activeListener(ln.Addr()) // The limits have changed, and that server has stopped.
		}
		if l == nil {
			_ = c.Close() // Nothing was read: the client sends its request elsewhere, whether this fails or not.
		}
	}
}

// pass passes a connection to the server of the listener. It returns false if the
// listener is closed.
func (l *connListener) pass(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.done:
		return false
	}
}

// Shutdown waits until all requests are answered. All servers are told at once, so that no
// connection takes further requests while a server with other limits has one in progress.
// Requests that are still in progress when the context ends are canceled, and their handlers
// have answerTime left. The listener must already be closed.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	servers := s.servers
	s.mu.Unlock()
	err := shutDown(ctx, servers)
	if err == nil {
		return nil
	}
	s.cancel(ErrStopping)
	answerCtx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	if shutDown(answerCtx, servers) == nil {
		s.log.Info().Err(err).Msg("listen: requests in progress were canceled and answered")
		return nil
	}
	return errors.Wrap(err, "shutdown")
}

// Close closes all connections. The listener must already be closed.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	var first error
	for _, srv := range s.servers {
		if err := srv.Close(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// shutDown shuts servers down at the same time and returns the first error.
func shutDown(ctx context.Context, servers []*http.Server) error {
	results := make(chan error, len(servers))
	for _, srv := range servers {
		go func() { results <- srv.Shutdown(ctx) }()
	}
	var first error
	for range servers {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}
