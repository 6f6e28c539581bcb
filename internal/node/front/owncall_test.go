package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
)

// TestFailuresOfOwnCalls guards against an item that is given up too early: only answers with
// status 500 count as failures of its scoring call, and not those of a server that ran out of
// time or could not reach another one.
func TestFailuresOfOwnCalls(t *testing.T) {
	status := func(code int) scriptedReply { return scriptedReply{status: code, body: "x"} }
	tests := map[string]struct {
		replies  []scriptedReply
		failures int
	}{
		"each failed":         {[]scriptedReply{serverError, serverError, serverError}, 3},
		"one ran out of time": {[]scriptedReply{serverError, status(http.StatusGatewayTimeout), serverError}, 2},
		"none failed itself":  {[]scriptedReply{status(http.StatusBadGateway), status(http.StatusGatewayTimeout), status(http.StatusServiceUnavailable)}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := qt.New(t)
				proxy := newProxy(ctx, c, &scriptedSender{replies: test.replies}, router.Idempotent, false)
				reply, err := proxy.Do(ctx, &Request{ID: "1", Method: http.MethodPost, Host: "h", Path: "/", URI: "/"})
				c.Assert(err, qt.IsNil)
				c.Check(reply.Failures, qt.Equals, test.failures)
			})
		})
	}
}

// TestTruncatedAnswerOfOwnCall guards against a panic that ends the process: an answer to an
// own call that breaks off is an error of that call, since no HTTP handler is above it that
// could close the connection of a client. A client's connection is closed.
func TestTruncatedAnswerOfOwnCall(t *testing.T) {
	large := strings.Repeat("x", 2*maxBufferedBytes)
	tests := map[string]struct {
		kind   router.Kind
		reply  scriptedReply
		fault  fault.Kind // empty if the call succeeds
		status int
	}{
		"large":                       {router.Idempotent, scriptedReply{status: 200, body: large}, "", 200},
		"large, truncated":            {router.Idempotent, scriptedReply{status: 200, body: large, truncated: true}, fault.BrokenAnswer, 0},
		"large, truncated, runs once": {router.NonIdempotent, scriptedReply{status: 200, body: large, truncated: true}, fault.BrokenAnswer, 0},
		"large failure, truncated":    {router.NonIdempotent, scriptedReply{status: 500, body: large, truncated: true}, fault.BrokenAnswer, 0},
		"stream":                      {router.Streaming, okReply("id: 1\ndata: x\n\n"), "", 200},
		"stream, truncated":           {router.Streaming, scriptedReply{status: 200, body: "id: 1\ndata: x\n\nid: 2\n"}, fault.BrokenAnswer, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := qt.New(t)
				sender := &scriptedSender{replies: []scriptedReply{test.reply}}
				proxy := newProxy(ctx, c, sender, test.kind, false)
				reply, err := proxy.Do(ctx, &Request{ID: "1", Method: http.MethodPost, Host: "h", Path: "/", URI: "/"})
				c.Check(fault.KindOf(err), qt.Equals, test.fault)
				if test.fault != "" {
					c.Check(reply, qt.IsNil)
					sender.replies = []scriptedReply{test.reply}
					c.Check(func() {
						_ = proxy.Serve(ctx, &Request{ID: "2", Method: http.MethodPost, Host: "h", Path: "/", URI: "/"}, httptest.NewRecorder()) // It panics.
					}, qt.PanicMatches, http.ErrAbortHandler.Error())
					return
				}
				c.Check(reply.Status, qt.Equals, test.status)
				c.Check(reply.Stamp, qt.Equals, sender.targets[0])
			})
		})
	}
}
