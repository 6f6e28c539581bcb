package front

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

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
