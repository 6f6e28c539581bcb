package wire

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

// cancelService answers Cancel calls with the result of checking their Hello.
type cancelService struct{}

func (cancelService) Cancel(a *CancelArgs, r *Ack) error {
	r.Fault = ToFault(a.Hello.Check())
	return nil
}

// serve starts a server with svc registered as "Agent" and returns its address.
func serve(c *qt.C, svc any) string {
	srv := NewServer([]byte("k"))
	c.Assert(srv.Register("Agent", svc), qt.IsNil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = srv.Serve(ln) }()
	c.Cleanup(func() { _ = ln.Close(); srv.Close() })
	return ln.Addr().String()
}

func TestHandshake(t *testing.T) {
	tests := map[string]struct {
		key   string
		proto int
		want  fault.Kind
	}{
		"same key":       {key: "k", proto: Protocol},
		"other key":      {key: "x", proto: Protocol, want: fault.BadPeer},
		"other protocol": {key: "k", proto: Protocol + 1, want: fault.BadPeer},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			addr := serve(c, cancelService{})
			pool := NewPool([]byte(tc.key))
			defer pool.Close()
			var ack Ack
			args := CancelArgs{Hello: Hello{Protocol: tc.proto, Node: "n"}}
			err := pool.Call(context.Background(), addr, "Agent.Cancel", &args, &ack)
			if err == nil {
				err = ack.Fault.Err()
			}
			if tc.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(fault.Is(err, tc.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestPrune checks that addresses that are no longer called are removed from the
// pool. Without that the pool would grow as VMs are replaced.
func TestPrune(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pool := NewPool([]byte("k"))
		for i := range 100 {
			_, err := pool.getPeer(fmt.Sprint("old-", i))
			c.Assert(err, qt.IsNil)
		}
		time.Sleep(addressRetention / 2)
		_, err := pool.getPeer("old-7")
		c.Assert(err, qt.IsNil)
		time.Sleep(addressRetention / 2)
		_, err = pool.getPeer("new")
		c.Assert(err, qt.IsNil)
		c.Assert(pool.peers, qt.HasLen, 2)
		_, ok := pool.peers["old-7"]
		c.Assert(ok, qt.IsTrue)
	})
}
