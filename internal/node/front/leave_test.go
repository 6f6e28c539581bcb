package front

import (
	"cmp"
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// requestsAfter is the number of requests after the statement.
const requestsAfter = 12

// TestLeavingServerGetsNoRequest guards against requests to a server that has stated in an
// answer that it leaves, while its registry entry says that it is ready. It is the server
// a, which gets the first request.
func TestLeavingServerGetsNoRequest(t *testing.T) {
	states := func(r scriptedReply) []scriptedReply {
		r.leaving = true
		return []scriptedReply{r, okReply("x"), okReply("x")}
	}
	tests := map[string]struct {
		kind     router.Kind
		first    []scriptedReply          // to the first request
		then     func(store *topic.Store) // before the other requests
		attempts []scriptedReply          // to each of the other requests, nil for one that is served
		isBack   bool                     // a gets requests again
	}{
		"stated in an answer":           {first: states(okReply("x"))},
		"stated in a failure":           {first: states(serverError)},
		"stated in a refusal":           {first: states(refused)},
		"stated in a truncated answer":  {first: states(truncated)},
		"must not run twice":            {kind: router.NonIdempotent, first: states(okReply("x"))},
		"must not run twice, a refusal": {kind: router.NonIdempotent, first: states(refused)},
		"a stream":                      {kind: router.Streaming, first: states(okReply(events(1, 2)))},
		"the others fail":               {first: states(okReply("x")), attempts: []scriptedReply{disconnected, serverError, okReply("x")}},
		"the others are slow":           {first: states(okReply("x")), attempts: []scriptedReply{unresponsive, unresponsive, okReply("x")}},
		"its registry entry is older":   {first: states(okReply("x")), then: func(s *topic.Store) { s.Write("servers", "a", []byte("s@7")) }},
		"its registry entry comes back": {first: states(okReply("x")), then: func(s *topic.Store) {
			s.Write("servers", "a", nil)
			synctest.Wait()
			s.Write("servers", "a", []byte("s@7"))
		}},
		"a long time":                   {first: states(okReply("x")), then: func(*topic.Store) { time.Sleep(time.Hour) }},
		"it has restarted under its ID": {first: states(okReply("x")), then: func(s *topic.Store) { s.Write("servers", "a", []byte("s@8")) }, isBack: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := qt.New(t)
				kind := cmp.Or(test.kind, router.Idempotent)
				store := topic.New()
				s := &scriptedSender{replies: test.first}
				proxy := newStoreProxy(ctx, c, store, s, kind, false, "s@7", "s@7", "s@7", "s@7")
				serve := func(id string) error {
					return proxy.Serve(ctx, &Request{ID: id, Method: http.MethodPost, Host: "h", Path: "/", URI: "/"}, httptest.NewRecorder())
				}
				c.Check(serve("first"), qt.IsNil)
				c.Check(s.targets[0], qt.Equals, "a")
				if test.then != nil {
					test.then(store)
				}
				synctest.Wait()
				s.targets = nil
				for i := range requestsAfter {
					s.replies = []scriptedReply{okReply(events(1, 2))}
					if test.attempts != nil {
						s.replies = test.attempts
					}
					_ = serve(strconv.Itoa(i)) // TestServe checks the results.
					synctest.Wait()
					time.Sleep(4 * time.Second) // The backoff of the others ends.
				}
				c.Check(len(s.targets) >= requestsAfter, qt.IsTrue)
				c.Check(slices.Contains(s.targets, "a"), qt.Equals, test.isBack, qt.Commentf("%v", s.targets))
			})
		})
	}
}

// TestServerLeavesBetweenChoiceAndSend guards against a request that is sent to a server
// which stated that it leaves after the server was chosen, while the request waited for a
// start. All servers are limited.
func TestServerLeavesBetweenChoiceAndSend(t *testing.T) {
	tests := map[string]struct {
		leave   []string // servers that state it during the wait
		atGrant string   // server of which the granter says so instead of granting
		targets []string
	}{
		"none":         {targets: []string{"a"}},
		"the chosen":   {leave: []string{"a"}, targets: []string{"b"}},
		"two":          {leave: []string{"a", "b"}, targets: []string{"c"}},
		"another one":  {leave: []string{"b"}, targets: []string{"a"}},
		"at the grant": {atGrant: "a", targets: []string{"b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := qt.New(t)
				s := &scriptedSender{replies: []scriptedReply{okReply("x")}}
				proxy := newProxy(ctx, c, s, router.NonIdempotent, false)
				proxy.Rates = &scriptedRates{waits: map[string]clock.Millis{"a": 40, "b": 50, "c": 60, "d": 70}, refuse: func(id string) bool {
					if id == test.atGrant {
						proxy.Conf.RecordLeaving(id, 0, "test")
					}
					return id == test.atGrant
				}}
				time.AfterFunc(20*time.Millisecond, func() {
					for _, id := range test.leave {
						proxy.Conf.RecordLeaving(id, 0, "test")
					}
				})
				c.Check(proxy.Serve(ctx, &Request{ID: "1", Host: "h", Path: "/", URI: "/"}, httptest.NewRecorder()), qt.IsNil)
				c.Check(s.targets, qt.DeepEquals, test.targets)
			})
		})
	}
}

// TestStreamIsTakenUpElsewhere guards against a stream that a client takes up at the server
// which began it and has stated that it leaves.
func TestStreamIsTakenUpElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := qt.New(t)
		s := &scriptedSender{replies: []scriptedReply{{status: 200, body: events(1, 2), truncated: true, leaving: true}, okReply(events(3, 4)), okReply(events(3, 4))}}
		proxy := newMixedProxy(ctx, c, s, router.Streaming, true, "1", "1", "2", "2")
		proxy.Origins = mapOrigins{"first": resume.Origin{Stream: "first", Service: "s", Software: "1"}}
		w := httptest.NewRecorder()
		c.Check(proxy.Serve(ctx, &Request{ID: "r", Host: "h", Path: "/", URI: "/"}, w), qt.IsNil)
		c.Check(w.Body.String(), qt.Equals, events(1, 4))
		c.Check(proxy.Serve(ctx, &Request{ID: "second", Host: "h", Path: "/", URI: "/", LastEventID: 2, Resumes: "first"}, httptest.NewRecorder()), qt.IsNil)
		c.Check(s.targets, qt.DeepEquals, []string{"a", "b", "b"})
		proxy.Conf.RecordLeaving("b", 0, "test")
		err := proxy.Serve(ctx, &Request{ID: "third", Host: "h", Path: "/", URI: "/", LastEventID: 2, Resumes: "first"}, httptest.NewRecorder())
		c.Check(fault.KindOf(err), qt.Equals, fault.NoBackend)
		f, _ := fault.As(err)
		c.Check(f.Outcome(), qt.Equals, fault.NotRun)
	})
}

// TestAllServersLeaveAtOnce guards against clients that are refused, or whose requests are
// retried at full servers, while servers that have just stated that they leave still
// answer; and against requests to them later. All servers of the service leave in one
// burst, and the store can't name new ones. The drain time is 2.5 s.
func TestAllServersLeaveAtOnce(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	byRegistry := func(ids ...string) func(*topic.Store) {
		return func(store *topic.Store) {
			for _, id := range ids {
				store.Write("servers", id, []byte("leaving"))
			}
		}
	}
	tests := map[string]struct {
		kind    router.Kind
		stated  []string // servers that state it at the start
		before  func(*topic.Store)
		after   time.Duration // time of the request
		replies []scriptedReply
		targets []string
		limited map[string]clock.Millis
	}{
		"one takes work":                 {stated: all[:3], replies: []scriptedReply{okReply("x")}, targets: []string{"d"}},
		"all, at once":                   {stated: all, replies: []scriptedReply{okReply("x")}, targets: []string{"a"}},
		"all, after half the time":       {stated: all, after: 1300 * time.Millisecond},
		"all, after the time":            {stated: all, after: 3 * time.Second},
		"must not run twice":             {kind: router.NonIdempotent, stated: all, replies: []scriptedReply{okReply("x")}, targets: []string{"a"}},
		"a stream":                       {kind: router.Streaming, stated: all, replies: []scriptedReply{okReply(events(1, 2))}, targets: []string{"a"}},
		"a retry":                        {stated: all[:3], replies: []scriptedReply{refused, okReply("x")}, targets: []string{"d", "a"}},
		"a retry after half the time":    {stated: all[:3], after: 1300 * time.Millisecond, replies: []scriptedReply{refused}, targets: []string{"d"}},
		"no hedge":                       {stated: all[:3], replies: []scriptedReply{{status: 200, body: "x", delay: time.Second}}, targets: []string{"d"}},
		"all, the registry says so, too": {stated: all, before: byRegistry(all...)},
		"only the registry says so":      {before: byRegistry(all...)},
		"the registry says so of some":   {stated: all, before: byRegistry("a", "b"), replies: []scriptedReply{okReply("x")}, targets: []string{"c"}},
		"some are limited":               {stated: all, limited: map[string]clock.Millis{"a": 900, "b": 900}, replies: []scriptedReply{okReply("x")}, targets: []string{"c"}},
		"the others are limited":         {stated: all[:2], limited: map[string]clock.Millis{"c": 900, "d": 900}, replies: []scriptedReply{okReply("x")}, targets: []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := qt.New(t)
				kind := cmp.Or(test.kind, router.Idempotent)
				s := &scriptedSender{replies: test.replies}
				store := topic.New()
				proxy := newStoreProxy(ctx, c, store, s, kind, false, "s", "s", "s", "s")
				proxy.DrainTime = 2500
				proxy.Rates = &scriptedRates{waits: test.limited}
				for _, id := range test.stated {
					proxy.Conf.RecordLeaving(id, 0, "test")
				}
				if test.before != nil {
					test.before(store)
				}
				time.Sleep(test.after)
				synctest.Wait()
				start := time.Now()
				err := proxy.Serve(ctx, &Request{ID: "1", Host: "h", Path: "/", URI: "/"}, httptest.NewRecorder())
				c.Check(s.targets, qt.DeepEquals, test.targets)
				if len(test.replies) > 0 && !test.replies[len(test.replies)-1].notExecuted {
					c.Check(err, qt.IsNil)
					return
				}
				f, ok := fault.As(err)
				c.Assert(ok, qt.IsTrue)
				c.Check(f.Outcome(), qt.Equals, fault.NotRun)
				c.Check(f.RetryAfter() > 0, qt.IsTrue)
				c.Check(time.Since(start), qt.Equals, time.Duration(0), qt.Commentf("refused at once"))
			})
		})
	}
}
