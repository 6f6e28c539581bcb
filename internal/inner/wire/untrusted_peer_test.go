package wire

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

// orderCounter counts the orders that took effect.
type orderCounter struct{ n *atomic.Int64 }

func (o orderCounter) Order(*OrderArgs, *Ack) error {
	o.n.Add(1)
	return nil
}

// encodeOrder returns the bytes of an order as a peer sends them.
func encodeOrder(model []byte) []byte {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	_ = enc.Encode(rpc.Request{ServiceMethod: "Agent.Order", Seq: 1})
	_ = enc.Encode(OrderArgs{Model: string(model)})
	return b.Bytes()
}

// recordOpening returns what a peer with the key sends in its handshake, followed
// by an order.
func recordOpening(c *qt.C, addr string) []byte {
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	rec := &recordingConn{Conn: conn}
	c.Assert(handshake(rec, []byte("k")), qt.IsNil)
	return append(rec.sent.Bytes(), encodeOrder(nil)...)
}

// recordingConn records what is written to the connection.
type recordingConn struct {
	net.Conn
	sent bytes.Buffer
}

func (r *recordingConn) Write(p []byte) (int, error) {
	r.sent.Write(p)
	return r.Conn.Write(p)
}

// TestUnauthenticatedPeer checks that no order of a peer that didn't prove the key
// is executed, and that the server closes the connection.
func TestUnauthenticatedPeer(t *testing.T) {
	opening := func(version byte) []byte {
		return append(append(bytes.Clone(magic), version), make([]byte, nonceBytes)...)
	}
	tests := map[string]func(c *qt.C, addr string) []byte{
		"garbage":       func(*qt.C, string) []byte { return bytes.Repeat([]byte("GET / HTTP/1.1\r\n"), 20) },
		"no proof":      func(*qt.C, string) []byte { return append(opening(Protocol), encodeOrder(nil)...) },
		"replay":        recordOpening,
		"other version": func(*qt.C, string) []byte { return append(opening(Protocol+1), encodeOrder(nil)...) },
		"no handshake":  func(*qt.C, string) []byte { return encodeOrder(nil) },
	}
	for name, newData := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var n atomic.Int64
			addr := serve(c, orderCounter{&n})
			data := newData(c, addr)
			conn, err := net.Dial("tcp", addr)
			c.Assert(err, qt.IsNil)
			_, _ = conn.Write(data)
			_, _ = io.Copy(io.Discard, conn) // until the server closes the connection
			c.Assert(n.Load(), qt.Equals, int64(0))
		})
	}
}

// TestProtocolVersion checks that the error for a peer with another protocol
// version names that version.
func TestProtocolVersion(t *testing.T) {
	c := qt.New(t)
	client, server := net.Pipe()
	go func() {
		go func() { _, _ = io.Copy(io.Discard, server) }()
		_, _ = server.Write(append(append(bytes.Clone(magic), Protocol+1), make([]byte, nonceBytes)...))
	}()
	err := handshake(client, []byte("k"))
	c.Assert(fault.Is(err, fault.BadPeer), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, ".*speaks version 2 of the inner protocol, this node version 1.*")
}

// TestTooLarge checks that a connection is closed if a message exceeds the bound,
// and that the next call succeeds.
func TestTooLarge(t *testing.T) {
	c := qt.New(t)
	var n atomic.Int64
	addr := serve(c, orderCounter{&n})
	pool := NewPool([]byte("k"))
	defer pool.Close()
	args := OrderArgs{Model: string(make([]byte, maxMessage))}
	err := pool.Call(context.Background(), addr, "Agent.Order", &args, &Ack{})
	c.Assert(fault.Is(err, fault.OutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(n.Load(), qt.Equals, int64(0))
	args.Model = "m"
	c.Assert(pool.Call(context.Background(), addr, "Agent.Order", &args, &Ack{}), qt.IsNil)
}

// TestUnsent checks that a call is sent over a new connection if the previous one
// was closed, and that an unreachable peer is not dialed for every call.
func TestUnsent(t *testing.T) {
	c := qt.New(t)
	var n atomic.Int64
	addr := serve(c, orderCounter{&n})
	pool := NewPool([]byte("k"))
	defer pool.Close()
	c.Assert(pool.Call(context.Background(), addr, "Agent.Order", &OrderArgs{}, &Ack{}), qt.IsNil)
	conn, err := pool.connect(context.Background(), addr)
	c.Assert(err, qt.IsNil)
	_ = conn.rpc.Close()
	c.Assert(pool.Call(context.Background(), addr, "Agent.Order", &OrderArgs{}, &Ack{}), qt.IsNil)
	c.Assert(n.Load(), qt.Equals, int64(2))

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	unreachable := ln.Addr().String()
	_ = ln.Close()
	for range 100 {
		err := pool.Call(context.Background(), unreachable, "Agent.Order", &OrderArgs{}, &Ack{})
		c.Assert(fault.Is(err, fault.NoBackend), qt.IsTrue)
	}
	c.Assert(pool.peers[unreachable].backoff <= maxBackoff, qt.IsTrue)
	c.Assert(pool.peers[unreachable].backoffUntil.IsZero(), qt.IsFalse)
}

// TestWriteTimeout checks that a write to a peer that reads nothing fails after
// the write timeout. Otherwise it would block other calls forever.
func TestWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer func() { _ = server.Close() }()
		start := time.Now()
		err := newStream(client, &atomic.Int64{}).write(&OrderArgs{}, &OrderArgs{})
		qt.Assert(t, err, qt.Not(qt.IsNil))
		qt.Assert(t, time.Since(start), qt.Equals, writeTimeout)
	})
}

// FuzzDecode feeds arbitrary bytes to a server after the handshake.
func FuzzDecode(f *testing.F) {
	f.Add(encodeOrder(nil))
	f.Add(encodeOrder([]byte("m"))[:20])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add(bytes.Repeat([]byte{0xfc, 1, 2, 3, 4}, 50))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var n atomic.Int64
		srv := rpc.NewServer()
		_ = srv.RegisterName("Agent", orderCounter{&n})
		client, server := net.Pipe()
		go func() {
			_, _ = client.Write(data)
			_ = client.Close()
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		srv.ServeCodec(newServerCodec(server, &n))
	})
}
