package wire

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

const (
	dialTimeout = time.Second
	minBackoff  = 50 * time.Millisecond // after a failed dial
	maxBackoff  = time.Second

	// When a call times out, its connection is closed if it has had no answer
	// to any call for answerTimeout.
	answerTimeout = 10 * time.Second

	addressRetention = 10 * time.Minute // an address that was not called for this long is removed
)

// Pool keeps one connection to each peer and reconnects after a failure.
type Pool struct {
	key    []byte
	mu     sync.Mutex // guards peers and closed
	peers  map[string]*peer
	closed bool
	bytes  atomic.Int64
}

// Bytes returns the number of bytes sent and received.
func (p *Pool) Bytes() int64 { return p.bytes.Load() }

// peer is one address. Its lock guards the fields below it except lastUsed. The
// lock is held while the address is dialed, so that concurrent calls dial it only
// once.
type peer struct {
	addr         string
	lock         chan struct{} // full while the lock is held
	conn         *clientConn   // nil if not connected
	backoff      time.Duration
	backoffUntil time.Time // no dial before this time
	lastUsed     time.Time // start of the last call, guarded by the pool's mutex
	dialErr      error     // result of the last dial
}

// clientConn is an open connection to a peer.
type clientConn struct {
	rpc   *rpc.Client
	codec *clientCodec
}

// NewPool returns an empty pool. It uses the key in the handshake with peers.
func NewPool(key []byte) *Pool {
	return &Pool{key: key, peers: make(map[string]*peer)}
}

// Call makes a call to an address and waits for the answer or the end of the
// context. If the connection turns out to be closed before the call is sent, Call
// retries once over a new connection.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	sent, err := p.callOnce(ctx, addr, method, args, reply)
	if err != nil && !sent && fault.Is(err, fault.OutcomeUnknown) {
		sent, err = p.callOnce(ctx, addr, method, args, reply)
	}
	if f, ok := fault.As(err); ok && !sent && f.Kind() == fault.OutcomeUnknown {
		return fault.Wrap(fault.NoBackend, f, "call "+method+" at "+addr+" was not sent")
	}
	return err
}

// callOnce makes one call. It also reports whether sending the call has begun.
func (p *Pool) callOnce(ctx context.Context, addr, method string, args, reply any) (sent bool, err error) {
	cc, err := p.connect(ctx, addr)
	if err != nil {
		return false, err
	}
	tracked := &trackedBody{body: args}
	call := cc.rpc.Go(method, tracked, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if cc.codec.sinceLastAnswer() > answerTimeout {
			p.discard(addr, cc)
		}
		return tracked.sent.Load(), fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "no answer from "+addr)
	case <-call.Done:
	}
	if call.Error == nil {
		return true, nil
	}
	if _, ok := call.Error.(rpc.ServerError); !ok { //nolint:errorlint // net/rpc returns it bare.
		p.discard(addr, cc)
	}
	return tracked.sent.Load(), fault.Wrap(fault.OutcomeUnknown, call.Error, "call "+method+" at "+addr)
}

// getPeer returns the peer with an address and creates it if needed.
func (p *Pool) getPeer(addr string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fault.New(fault.NoBackend, "this node is stopping")
	}
	now := time.Now()
	pr, ok := p.peers[addr]
	if !ok {
		p.prune(now)
		pr = &peer{addr: addr, lock: make(chan struct{}, 1)}
		p.peers[addr] = pr
	}
	pr.lastUsed = now
	return pr, nil
}

// prune removes addresses that are no longer called, since VMs are replaced all
// the time. No call takes as long as addressRetention. The caller holds mu.
func (p *Pool) prune(now time.Time) {
	for a, pr := range p.peers {
		if now.Sub(pr.lastUsed) < addressRetention {
			continue
		}
		select {
		case pr.lock <- struct{}{}:
			if pr.conn != nil {
				_ = pr.conn.rpc.Close()
			}
			delete(p.peers, a)
			<-pr.lock
		default: // The lock is held, for example during a dial.
		}
	}
}

// connect returns the connection to an address and dials if there is none.
func (p *Pool) connect(ctx context.Context, addr string) (*clientConn, error) {
	pr, err := p.getPeer(addr)
	if err != nil {
		return nil, err
	}
	select {
	case pr.lock <- struct{}{}:
		defer func() { <-pr.lock }()
	case <-ctx.Done():
		return nil, fault.Wrap(fault.NoBackend, ctx.Err(), "dial "+addr)
	}
	if pr.conn != nil {
		return pr.conn, nil
	}
	if time.Now().Before(pr.backoffUntil) {
		return nil, pr.dialErr
	}
	pr.conn, pr.dialErr = p.dial(ctx, addr)
	if ctx.Err() != nil && pr.dialErr != nil {
		return nil, pr.dialErr // The caller's context ended, so the peer gets no backoff.
	}
	if pr.dialErr != nil {
		pr.backoff = min(max(minBackoff, 2*pr.backoff), maxBackoff)
		pr.backoffUntil = time.Now().Add(pr.backoff/2 + rand.N(pr.backoff/2)) //nolint:gosec // spreads the dials of many nodes over time.
		return nil, pr.dialErr
	}
	pr.backoff = 0
	return pr.conn, nil
}

// dial opens a connection and runs the handshake.
func (p *Pool) dial(ctx context.Context, addr string) (*clientConn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.NoBackend, err, "dial "+addr)
	}
	if err := handshake(conn, p.key); err != nil {
		_ = conn.Close()
		return nil, fault.Wrap(fault.BadPeer, errors.WithMessage(err, "handshake"), "peer "+addr)
	}
	c := &clientCodec{stream: newStream(conn, &p.bytes)}
	c.lastAnswer.Store(int64(time.Since(processStart)))
	return &clientConn{rpc.NewClientWithCodec(c), c}, nil
}

// discard closes a connection and removes it from its peer, unless the peer has a
// newer connection by now.
func (p *Pool) discard(addr string, cc *clientConn) {
	_ = cc.rpc.Close()
	pr, err := p.getPeer(addr)
	if err != nil {
		return
	}
	pr.lock <- struct{}{}
	defer func() { <-pr.lock }()
	if pr.conn == cc {
		pr.conn = nil
	}
}

// Close closes all connections. Later calls are refused.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for a, pr := range p.peers {
		pr.lock <- struct{}{}
		if pr.conn != nil {
			_ = pr.conn.rpc.Close()
		}
		<-pr.lock
		delete(p.peers, a)
	}
}
