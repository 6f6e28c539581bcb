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

// orders counts the orders that took effect.
type orders struct{ n *atomic.Int64 }

func (o orders) Order(*OrderArgs, *Ack) error {
	o.n.Add(1)
	return nil
}

// call returns the bytes of an order as a peer would send it.
func call(body []byte) []byte {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	_ = enc.Encode(rpc.Request{ServiceMethod: "Agent.Order", Seq: 1})
	_ = enc.Encode(OrderArgs{Model: string(body)})
	return b.Bytes()
}

// recordProof records what a true peer sends to open a connection and to give
// an order.
func recordProof(c *qt.C, addr string) []byte {
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	rec := &recorder{Conn: conn}
	c.Assert(handshake(rec, []byte("k")), qt.IsNil)
	return append(rec.sent.Bytes(), call(nil)...)
}

type recorder struct {
	net.Conn
	sent bytes.Buffer
}

func (r *recorder) Write(p []byte) (int, error) {
	r.sent.Write(p)
	return r.Conn.Write(p)
}

// TestStranger lets someone without the key send bytes: no order is carried
// out and the connection ends.
func TestStranger(t *testing.T) {
	opening := func(version byte) []byte {
		return append(append(bytes.Clone(magic), version), make([]byte, nonceBytes)...)
	}
	tests := map[string]func(c *qt.C, addr string) []byte{
		"garbage":       func(*qt.C, string) []byte { return bytes.Repeat([]byte("GET / HTTP/1.1\r\n"), 20) },
		"no proof":      func(*qt.C, string) []byte { return append(opening(Protocol), call(nil)...) },
		"replay":        recordProof,
		"other version": func(*qt.C, string) []byte { return append(opening(Protocol+1), call(nil)...) },
		"bare order":    func(*qt.C, string) []byte { return call(nil) },
	}
	for name, bytesOf := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var n atomic.Int64
			addr := serve(c, orders{&n})
			data := bytesOf(c, addr)
			conn, err := net.Dial("tcp", addr)
			c.Assert(err, qt.IsNil)
			_, _ = conn.Write(data)
			_, _ = io.Copy(io.Discard, conn) // until the server closes
			c.Assert(n.Load(), qt.Equals, int64(0))
		})
	}
}

// TestVersion names the version of a peer that speaks another one.
func TestVersion(t *testing.T) {
	c := qt.New(t)
	here, there := net.Pipe()
	go func() {
		go func() { _, _ = io.Copy(io.Discard, there) }()
		_, _ = there.Write(append(append(bytes.Clone(magic), Protocol+1), make([]byte, nonceBytes)...))
	}()
	err := handshake(here, []byte("k"))
	c.Assert(fault.Is(err, fault.BadPeer), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, ".*speaks version 2 of the inner protocol, this node version 1.*")
}

// TestTooLarge cuts off a peer whose message is larger than the bound.
func TestTooLarge(t *testing.T) {
	c := qt.New(t)
	var n atomic.Int64
	addr := serve(c, orders{&n})
	pool := NewPool([]byte("k"))
	defer pool.Close()
	args := OrderArgs{Model: string(make([]byte, maxMessage))}
	err := pool.Call(context.Background(), addr, "Agent.Order", &args, &Ack{})
	c.Assert(fault.Is(err, fault.OutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(n.Load(), qt.Equals, int64(0))
	args.Model = "m"
	c.Assert(pool.Call(context.Background(), addr, "Agent.Order", &args, &Ack{}), qt.IsNil)
}

// TestUnsent shows that a call over a connection that ended before it is sent
// again, and that a peer that is gone is not dialled by every call.
func TestUnsent(t *testing.T) {
	c := qt.New(t)
	var n atomic.Int64
	addr := serve(c, orders{&n})
	pool := NewPool([]byte("k"))
	defer pool.Close()
	c.Assert(pool.Call(context.Background(), addr, "Agent.Order", &OrderArgs{}, &Ack{}), qt.IsNil)
	l, err := pool.link(context.Background(), addr)
	c.Assert(err, qt.IsNil)
	_ = l.rpc.Close()
	c.Assert(pool.Call(context.Background(), addr, "Agent.Order", &OrderArgs{}, &Ack{}), qt.IsNil)
	c.Assert(n.Load(), qt.Equals, int64(2))

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	gone := ln.Addr().String()
	_ = ln.Close()
	for range 100 {
		err := pool.Call(context.Background(), gone, "Agent.Order", &OrderArgs{}, &Ack{})
		c.Assert(fault.Is(err, fault.NoBackend), qt.IsTrue)
	}
	c.Assert(pool.peers[gone].wait <= lastWait, qt.IsTrue)
	c.Assert(pool.peers[gone].until.IsZero(), qt.IsFalse)
}

// TestPaused cuts off a peer that takes no bytes, so that it holds up no other
// call for ever.
func TestPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer func() { _ = there.Close() }()
		began := time.Now()
		err := newStream(here, &atomic.Int64{}).write(&OrderArgs{}, &OrderArgs{})
		qt.Assert(t, err, qt.Not(qt.IsNil))
		qt.Assert(t, time.Since(began), qt.Equals, writeFor)
	})
}

// FuzzDecode feeds the decoder of a server that has accepted a connection.
func FuzzDecode(f *testing.F) {
	f.Add(call(nil))
	f.Add(call([]byte("m"))[:20])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add(bytes.Repeat([]byte{0xfc, 1, 2, 3, 4}, 50))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var n atomic.Int64
		srv := rpc.NewServer()
		_ = srv.RegisterName("Agent", orders{&n})
		here, there := net.Pipe()
		go func() {
			_, _ = here.Write(data)
			_ = here.Close()
		}()
		go func() { _, _ = io.Copy(io.Discard, here) }()
		srv.ServeCodec(newServerCodec(there, &n))
	})
}
