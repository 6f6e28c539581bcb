// Package listen serves HTTP on one address under limits that change.
//
// A connection keeps the limits that were in force when it was opened.
//
// # Usage
//
//	s := listen.New(handler, log)
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

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/decide/router"
)

// Server serves one listener.
type Server struct {
	handler http.Handler
	log     zerolog.Logger

	mu     sync.Mutex
	limits router.Limits
	now    *queue
	all    []*http.Server
}

// queue hands accepted connections to one http.Server.
type queue struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

func (q *queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

func (q *queue) Close() error {
	q.once.Do(func() { close(q.done) })
	return nil
}

func (q *queue) Addr() net.Addr { return q.addr }

// New returns a server without limits.
func New(h http.Handler, log zerolog.Logger) *Server {
	return &Server{handler: h, log: log}
}

// SetLimits changes the limits of connections that are opened from now on.
func (s *Server) SetLimits(l router.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits != l {
		s.limits = l
		if s.now != nil {
			_ = s.now.Close() // It never fails.
			s.now = nil
		}
	}
}

// current returns the queue of the server with the present limits.
func (s *Server) current(addr net.Addr) *queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now != nil {
		return s.now
	}
	q := &queue{conns: make(chan net.Conn), done: make(chan struct{}), addr: addr}
	h := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: s.limits.HeaderTimeout.Duration(),
		IdleTimeout:       s.limits.IdleTimeout.Duration(),
		MaxHeaderBytes:    s.limits.MaxHeaderBytes,
		ErrorLog:          stdlog.New(s.log, "", 0),
	}
	s.now, s.all = q, append(s.all, h)
	go func() {
		if err := h.Serve(q); err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			s.log.Error().Err(err).Msg("listen: serving ended")
		}
	}()
	return q
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		q := s.current(ln.Addr())
		select {
		case q.conns <- c:
		case <-q.done:
			// The limits changed just now; the next server takes it.
			s.current(ln.Addr()).conns <- c
		}
	}
}

// Shutdown waits until all requests are answered; the listener must be closed
// before.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	all := s.all
	s.mu.Unlock()
	var first error
	for _, h := range all {
		if err := h.Shutdown(ctx); err != nil && first == nil {
			first = err
		}
	}
	return errors.Wrap(first, "shutdown")
}
