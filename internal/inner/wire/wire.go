// Package wire implements the inner protocol: the messages between the nodes of
// a deployment and the net/rpc transport that carries them.
//
// Messages have exported fields because the gob codec needs them; the nodes
// convert them to domain types. A connection begins with a handshake that proves
// the shared key in both directions, so that a program without the key can't
// give orders. A peer with another protocol version is refused with an error that
// says so, in the handshake and again by the [Hello] that each call carries.
//
// # Usage
//
//	srv := wire.NewServer(key)
//	srv.Register("Agent", svc)
//	go srv.Serve(ln)
//
//	pool := wire.NewPool(key)
//	var reply wire.SubmitReply
//	err := pool.Call(ctx, "127.0.0.1:7401", "Agent.Submit", &args, &reply)
//
// A call that fails after it was sent may have taken effect; its error has the
// kind [fault.OutcomeUnknown]. The error of a call that could not be sent has the
// kind [fault.BadPeer] or [fault.NoBackend], and the call was not executed.
//
// Bounds: a message has at most 32 MB. A server has at most 4096 connections and
// closes further ones. A connection serves at most 1024 calls at once and reads
// no further calls meanwhile. A connection is closed if a write to it blocks for
// 5 s. After repeated failures a peer is dialed again 0.5 s to 1 s after the last
// dial. The time of a call is bounded by its context.
//
// The handshake protects the start of a connection, not the bytes after it: it
// is no defense against someone who can change packets between two nodes.
package wire

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

const (
	maxConns     = 4096     // open connections of a server
	maxInFlight  = 1024     // calls in progress on one connection
	maxMessage   = 32 << 20 // bytes
	writeTimeout = 5 * time.Second
)

// ToFault converts an error to its wire form. A nil error means success.
func ToFault(err error) Fault {
	if err == nil {
		return Fault{}
	}
	f, ok := fault.As(err)
	if !ok {
		return Fault{Kind: string(fault.Internal), Detail: err.Error()}
	}
	return Fault{Kind: string(f.Kind()), Detail: f.Detail(), After: int64(f.RetryAfter())}
}

// Err converts the wire form to an error, which is nil for success.
func (f Fault) Err() error {
	if f.Kind == "" {
		return nil
	}
	return fault.New(fault.Kind(f.Kind), f.Detail).WithRetryAfter(clock.Millis(f.After))
}

// NewHello returns the Hello of calls that a node sends.
func NewHello(n ident.Node, boot ident.Incarnation) Hello {
	return Hello{Protocol: Protocol, Node: string(n), Boot: uint64(boot)}
}

// Check returns an error if the sender uses another protocol version.
func (h Hello) Check() error {
	if h.Protocol == Protocol {
		return nil
	}
	return fault.New(fault.BadPeer, "node "+h.Node+" speaks another version of the inner protocol")
}

// Server answers the calls of other nodes.
type Server struct {
	key    []byte
	rpc    *rpc.Server
	slots  chan struct{} // one element for each open connection
	mu     sync.Mutex    // guards conns and closed
	conns  map[net.Conn]struct{}
	closed bool
	bytes  atomic.Int64
}

// Bytes returns the number of bytes sent and received.
func (s *Server) Bytes() int64 { return s.bytes.Load() }

// NewServer returns a server that accepts peers with the same key.
func NewServer(key []byte) *Server {
	return &Server{
		key:   key,
		rpc:   rpc.NewServer(),
		slots: make(chan struct{}, maxConns),
		conns: make(map[net.Conn]struct{}),
	}
}

// Register makes the methods of svc callable under a service name.
func (s *Server) Register(name string, svc any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, svc), "register %s", name)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		go s.serveConn(conn)
	}
}

// Close closes all connections and refuses new ones. It doesn't close the
// listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serveConn(conn net.Conn) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		_ = conn.Close()
		return
	}
	if !s.track(conn) {
		_ = conn.Close()
		return
	}
	defer s.untrack(conn)
	if err := handshake(conn, s.key); err != nil {
		_ = conn.Close()
		return
	}
	s.rpc.ServeCodec(newServerCodec(conn, &s.bytes))
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
