// Package wire is the inner protocol: the messages between the processes of
// the system and the net/rpc transport that carries them.
//
// Messages have exported fields because the gob codec needs them; the nodes
// map them by hand to domain types. A connection opens with a proof of the
// shared key (see [Dial]), so that a stranger on the network can give no
// order. Each message carries a [Hello]; a peer of another protocol version
// is refused as such.
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
// A call that fails after it was sent may have taken effect: its error has the
// kind [fault.Lost]. A call that could not be sent has the kind
// [fault.BadPeer] or [fault.NoBackend], both proven as not run.
//
// Bounds: a message is at most 32 MB, a connection serves at most 1024 calls at
// once and reads no further ones meanwhile, a peer that takes no bytes for 5 s
// is cut off, and a peer that can't be reached is dialled at most once a second.
// The time of a call is bounded by its context.
//
// The proof guards the opening of a connection, not each byte after it: someone
// who can change packets between two nodes is not kept out.
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
	maxConns    = 4096
	maxInFlight = 1024     // calls of one connection that are being served
	maxMessage  = 32 << 20 // bytes
	writeFor    = 5 * time.Second
)

// ToFault maps an error to its message form; nil is success.
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

// Err maps a message back to an error, nil for success.
func (f Fault) Err() error {
	if f.Kind == "" {
		return nil
	}
	return fault.New(fault.Kind(f.Kind), f.Detail).WithRetryAfter(clock.Millis(f.After))
}

// NewHello returns the opening of a message.
func NewHello(n ident.Node, boot ident.Incarnation) Hello {
	return Hello{Protocol: Protocol, Node: string(n), Boot: uint64(boot)}
}

// Check refuses a peer of another protocol version.
func (h Hello) Check() error {
	if h.Protocol == Protocol {
		return nil
	}
	return fault.New(fault.BadPeer, "node "+h.Node+" speaks another version of the inner protocol")
}

// Server answers the calls of other nodes.
type Server struct {
	key   []byte
	rpc   *rpc.Server
	slots chan struct{}
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	done  bool
	bytes atomic.Int64
}

// Bytes returns the bytes of all messages sent and received.
func (s *Server) Bytes() int64 { return s.bytes.Load() }

// NewServer returns a server that admits holders of the key.
func NewServer(key []byte) *Server {
	return &Server{
		key:   key,
		rpc:   rpc.NewServer(),
		slots: make(chan struct{}, maxConns),
		conns: make(map[net.Conn]struct{}),
	}
}

// Register offers the methods of svc under a name.
func (s *Server) Register(name string, svc any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, svc), "register %s", name)
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		go s.serveConn(conn)
	}
}

// Close ends all connections. The listener is closed by its owner.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
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
	if s.done {
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
