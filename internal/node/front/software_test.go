package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
)

// TestStreamStaysWithOneSoftwareVersion guards against streams that hold events of servers
// with different versions of their software, in one answer or when a client takes a stream
// up again. The servers a and b have version 1, c and d have version 2.
func TestStreamStaysWithOneSoftwareVersion(t *testing.T) {
	begun := resume.Origin{Stream: "first", Service: "s", Software: "2"}
	cut := func(from, to int) scriptedReply {
		return scriptedReply{status: 200, body: events(from, to), truncated: true}
	}
	tests := map[string]struct {
		lastEvent int
		resumes   string
		origins   mapOrigins
		replies   []scriptedReply
		targets   []string
		body      string
		aborts    bool       // the client's connection is closed
		fault     fault.Kind // of an error
		recorded  mapOrigins // after the request
	}{
		"goes on at the same version": {
			replies: []scriptedReply{cut(1, 2), okReply(events(3, 4))}, targets: []string{"a", "b"}, body: events(1, 4),
			recorded: mapOrigins{"r": {Stream: "r", Service: "s", Software: "1"}},
		},
		"ends if no other server has the version": {
			replies: []scriptedReply{cut(1, 2), cut(3, 3), okReply(events(4, 4))}, targets: []string{"a", "b"}, body: events(1, 3), aborts: true,
			recorded: mapOrigins{"r": {Stream: "r", Service: "s", Software: "1"}},
		},
		"no event yet: any version": {
			replies: []scriptedReply{{status: 200, truncated: true}, refused, okReply(events(1, 2))}, targets: []string{"a", "b", "c"}, body: events(1, 2),
			recorded: mapOrigins{"r": {Stream: "r", Service: "s", Software: "2"}},
		},
		"taken up": {
			lastEvent: 2, resumes: "first", origins: mapOrigins{"first": begun},
			replies: []scriptedReply{okReply(events(3, 4))}, targets: []string{"c"}, body: events(3, 4),
			recorded: mapOrigins{"first": begun},
		},
		"taken up, refused and cut": {
			lastEvent: 2, resumes: "first", origins: mapOrigins{"first": begun},
			replies: []scriptedReply{refused, cut(3, 3), okReply(events(4, 4))}, targets: []string{"c", "d"}, body: events(3, 3), aborts: true,
			recorded: mapOrigins{"first": begun},
		},
		"taken up, its version has left": {
			lastEvent: 2, resumes: "first", origins: mapOrigins{"first": {Stream: "first", Service: "s", Software: "0"}},
			replies: []scriptedReply{okReply(events(3, 4))}, fault: fault.NoBackend,
			recorded: mapOrigins{"first": {Stream: "first", Service: "s", Software: "0"}},
		},
		"taken up, its service has left the route": {
			lastEvent: 2, resumes: "first", origins: mapOrigins{"first": {Stream: "first", Service: "other", Software: "2"}},
			replies: []scriptedReply{okReply(events(3, 4))}, fault: fault.NotReady,
			recorded: mapOrigins{"first": {Stream: "first", Service: "other", Software: "2"}},
		},
		"taken up, origin not known": {
			lastEvent: 2, resumes: "first", origins: mapOrigins{}, replies: []scriptedReply{okReply(events(3, 4))}, fault: fault.NotReady,
			recorded: mapOrigins{},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := qt.New(t)
				s := &scriptedSender{replies: test.replies}
				proxy := newMixedProxy(ctx, c, s, router.Streaming, true, "1", "1", "2", "2")
				origins := test.origins
				if origins == nil {
					origins = mapOrigins{}
				}
				proxy.Origins = origins
				w := httptest.NewRecorder()
				var err error
				aborted := func() (aborted bool) {
					defer func() { aborted = recover() == http.ErrAbortHandler }()
					err = proxy.Serve(ctx, &Request{ID: "r", Method: http.MethodPost, Host: "h", Path: "/", URI: "/", LastEventID: test.lastEvent, Resumes: test.resumes}, w)
					return false
				}()
				c.Check(aborted, qt.Equals, test.aborts)
				c.Check(fault.KindOf(err), qt.Equals, test.fault)
				c.Check(s.targets, qt.DeepEquals, test.targets)
				c.Check(w.Body.String(), qt.Equals, test.body)
				c.Check(origins, qt.DeepEquals, test.recorded)
				if f, ok := fault.As(err); ok {
					c.Check(f.Outcome(), qt.Equals, fault.NotRun)
				}
			})
		})
	}
}
