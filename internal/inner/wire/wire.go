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
package wire

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 2 * time.Second
	dialTimeout      = time.Second
	maxConns         = 4096
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
	return Fault{Kind: string(f.Kind()), Detail: f.Detail(), After: int64(f.Wait())}
}

// Err maps a message back to an error, nil for success.
func (f Fault) Err() error {
	if f.Kind == "" {
		return nil
	}
	return fault.New(fault.Kind(f.Kind), f.Detail).After(clock.Millis(f.After))
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
}

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
	s.rpc.ServeConn(conn)
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

// handshake proves the key in both directions: each side sends a nonce and
// answers the other's with a keyed digest. Both sides run the same steps; a
// nonce equal to the own one is refused, so that a proof can't be reflected.
func handshake(conn net.Conn, key []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	mine := make([]byte, nonceBytes)
	_, _ = rand.Read(mine)
	if _, err := conn.Write(mine); err != nil {
		return errors.Wrap(err, "send nonce")
	}
	theirs := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return errors.Wrap(err, "read nonce")
	}
	if hmac.Equal(mine, theirs) {
		return fault.New(fault.BadPeer, "peer reflected the nonce")
	}
	if _, err := conn.Write(prove(key, theirs, mine)); err != nil {
		return errors.Wrap(err, "send proof")
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return errors.Wrap(err, "read proof")
	}
	if !hmac.Equal(proof, prove(key, mine, theirs)) {
		return fault.New(fault.BadPeer, "peer does not hold the inner key")
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "clear deadline")
}

func prove(key, nonce, own []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(nonce)
	h.Write(own)
	return h.Sum(nil)
}

// Pool keeps one connection to each peer and dials again after a failure.
type Pool struct {
	key   []byte
	mu    sync.Mutex
	peers map[string]*rpc.Client
}

// NewPool returns an empty pool that proves the key to its peers.
func NewPool(key []byte) *Pool {
	return &Pool{key: key, peers: make(map[string]*rpc.Client)}
}

// Call sends one call to an address and waits for its answer or the context.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := p.client(ctx, addr)
	if err != nil {
		return err
	}
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return fault.Wrap(fault.Lost, ctx.Err(), "no answer from "+addr)
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	if _, ok := call.Error.(rpc.ServerError); !ok { //nolint:errorlint // net/rpc returns it bare.
		p.drop(addr, c)
	}
	return fault.Wrap(fault.Lost, call.Error, "call "+method+" at "+addr)
}

func (p *Pool) client(ctx context.Context, addr string) (*rpc.Client, error) {
	p.mu.Lock()
	c, ok := p.peers[addr]
	p.mu.Unlock()
	if ok {
		return c, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.NoBackend, err, "dial "+addr)
	}
	if err := handshake(conn, p.key); err != nil {
		_ = conn.Close()
		return nil, fault.Wrap(fault.BadPeer, err, "handshake with "+addr)
	}
	return p.keep(addr, rpc.NewClient(conn)), nil
}

// keep stores the client, or closes it if another call stored one first.
func (p *Pool) keep(addr string, c *rpc.Client) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.peers[addr]; ok {
		_ = c.Close()
		return old
	}
	p.peers[addr] = c
	return c
}

func (p *Pool) drop(addr string, c *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[addr] == c {
		delete(p.peers, addr)
	}
	_ = c.Close()
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.peers {
		_ = c.Close()
		delete(p.peers, a)
	}
}
