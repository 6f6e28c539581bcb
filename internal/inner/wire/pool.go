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
	firstWait   = 50 * time.Millisecond // after a dial that failed
	lastWait    = time.Second
	silentFor   = 10 * time.Second // a connection with calls unanswered so long is dropped
	unusedFor   = 10 * time.Minute // an address that was not called for so long is forgotten
)

// Pool keeps one connection to each peer and dials again after a failure.
type Pool struct {
	key   []byte
	mu    sync.Mutex
	peers map[string]*peer
	done  bool
	bytes atomic.Int64
}

// Bytes returns the bytes of all messages sent and received.
func (p *Pool) Bytes() int64 { return p.bytes.Load() }

// peer is one address. The lock is held while it is dialled, so that many
// calls at once dial it once.
type peer struct {
	addr  string
	lock  chan struct{}
	conn  *link // nil for none
	wait  time.Duration
	until time.Time // not dialled before
	used  time.Time // begin of the last call, guarded by the pool's mutex
	err   error     // of the last dial
}

type link struct {
	rpc   *rpc.Client
	codec *clientCodec
}

// NewPool returns an empty pool that proves the key to its peers.
func NewPool(key []byte) *Pool {
	return &Pool{key: key, peers: make(map[string]*peer)}
}

// Call sends one call to an address and waits for its answer or the context.
// A call that found its connection closed before it was sent is sent once more
// over a new one.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	sent, err := p.try(ctx, addr, method, args, reply)
	if err != nil && !sent && fault.Is(err, fault.OutcomeUnknown) {
		sent, err = p.try(ctx, addr, method, args, reply)
	}
	if f, ok := fault.As(err); ok && !sent && f.Kind() == fault.OutcomeUnknown {
		return fault.Wrap(fault.NoBackend, f, "call "+method+" at "+addr+" was not sent")
	}
	return err
}

func (p *Pool) try(ctx context.Context, addr, method string, args, reply any) (sent bool, err error) {
	l, err := p.link(ctx, addr)
	if err != nil {
		return false, err
	}
	out := &outgoing{body: args}
	call := l.rpc.Go(method, out, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if l.codec.silence() > silentFor {
			p.drop(addr, l)
		}
		return out.sent.Load(), fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "no answer from "+addr)
	case <-call.Done:
	}
	if call.Error == nil {
		return true, nil
	}
	if _, ok := call.Error.(rpc.ServerError); !ok { //nolint:errorlint // net/rpc returns it bare.
		p.drop(addr, l)
	}
	return out.sent.Load(), fault.Wrap(fault.OutcomeUnknown, call.Error, "call "+method+" at "+addr)
}

func (p *Pool) peer(addr string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		return nil, fault.New(fault.NoBackend, "this node is stopping")
	}
	now := time.Now()
	q, ok := p.peers[addr]
	if !ok {
		p.prune(now)
		q = &peer{addr: addr, lock: make(chan struct{}, 1)}
		p.peers[addr] = q
	}
	q.used = now
	return q, nil
}

// prune forgets addresses that are called no more, since VMs are replaced all
// the time. No call lasts as long as unusedFor. The caller holds mu.
func (p *Pool) prune(now time.Time) {
	for a, q := range p.peers {
		if now.Sub(q.used) < unusedFor {
			continue
		}
		select {
		case q.lock <- struct{}{}:
			if q.conn != nil {
				_ = q.conn.rpc.Close()
			}
			delete(p.peers, a)
			<-q.lock
		default: // It is dialled right now.
		}
	}
}

// link returns the connection to an address, and dials if there is none.
func (p *Pool) link(ctx context.Context, addr string) (*link, error) {
	q, err := p.peer(addr)
	if err != nil {
		return nil, err
	}
	select {
	case q.lock <- struct{}{}:
		defer func() { <-q.lock }()
	case <-ctx.Done():
		return nil, fault.Wrap(fault.NoBackend, ctx.Err(), "dial "+addr)
	}
	if q.conn != nil {
		return q.conn, nil
	}
	if time.Now().Before(q.until) {
		return nil, q.err
	}
	q.conn, q.err = p.dial(ctx, addr)
	if ctx.Err() != nil && q.err != nil {
		return nil, q.err // says nothing of the peer
	}
	if q.err != nil {
		q.wait = min(max(firstWait, 2*q.wait), lastWait)
		q.until = time.Now().Add(q.wait/2 + rand.N(q.wait/2)) //nolint:gosec // spreads the dials of many nodes.
		return nil, q.err
	}
	q.wait = 0
	return q.conn, nil
}

func (p *Pool) dial(ctx context.Context, addr string) (*link, error) {
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
	c.answered.Store(int64(time.Since(processStart)))
	return &link{rpc.NewClientWithCodec(c), c}, nil
}

// drop closes a connection, and forgets it if it is still the one in use.
func (p *Pool) drop(addr string, l *link) {
	_ = l.rpc.Close()
	q, err := p.peer(addr)
	if err != nil {
		return
	}
	q.lock <- struct{}{}
	defer func() { <-q.lock }()
	if q.conn == l {
		q.conn = nil
	}
}

// Close ends all connections; later calls are refused.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = true
	for a, q := range p.peers {
		q.lock <- struct{}{}
		if q.conn != nil {
			_ = q.conn.rpc.Close()
		}
		<-q.lock
		delete(p.peers, a)
	}
}
