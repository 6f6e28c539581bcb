package wire

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

type echo struct{}

func (echo) Cancel(a *CancelArgs, r *Ack) error {
	r.Fault = ToFault(a.Hello.Check())
	return nil
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
			srv := NewServer([]byte("k"))
			c.Assert(srv.Register("Agent", echo{}), qt.IsNil)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = ln.Close() }()
			go func() { _ = srv.Serve(ln) }()
			defer srv.Close()

			pool := NewPool([]byte(tc.key))
			defer pool.Close()
			var ack Ack
			args := CancelArgs{Hello: Hello{Protocol: tc.proto, Node: "n"}}
			err = pool.Call(context.Background(), ln.Addr().String(), "Agent.Cancel", &args, &ack)
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
