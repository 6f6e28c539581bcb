package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// reply is what a server does with one request.
type reply struct {
	status int
	notRun bool
	body   string
	cut    bool          // the body breaks off
	err    error         // instead of an answer
	after  time.Duration // before the answer
}

// script gives out replies in the order of the sends.
type script struct {
	mu      sync.Mutex
	replies []reply
	sent    []plat.Request
	to      []string
	stopped int // sends that were cancelled
}

// ward notes what it is told of and refuses what it is told to.
type ward struct {
	mu       sync.Mutex
	refuse   bool
	broke    []string
	answered int
}

func (w *ward) Check(func() string) error {
	if w.refuse {
		return fault.New(fault.Quarantined, "it crashes servers")
	}
	return nil
}

func (w *ward) RecordDisconnect(server, _ string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broke = append(w.broke, server)
}

func (w *ward) RecordAnswer(func() string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered++
}

type cutBody struct{ io.Reader }

func (c cutBody) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (s *script) Send(ctx context.Context, to plat.Target, r plat.Request) (*plat.Response, error) {
	s.mu.Lock()
	rep := reply{err: errors.New("no reply is left")}
	if len(s.replies) > 0 {
		rep, s.replies = s.replies[0], s.replies[1:]
	}
	s.sent, s.to = append(s.sent, r), append(s.to, to.ID)
	s.mu.Unlock()
	if !clock.Sleep(ctx, clock.FromDuration(rep.after)) {
		s.mu.Lock()
		s.stopped++
		s.mu.Unlock()
		return nil, ctx.Err()
	}
	if rep.err != nil {
		return nil, rep.err
	}
	var body io.Reader = strings.NewReader(rep.body)
	if rep.cut {
		body = cutBody{body}
	}
	return &plat.Response{Status: rep.status, Header: http.Header{"X-From": {to.ID}}, Body: io.NopCloser(body), ContentLength: -1, Stamp: to.ID, NotRun: rep.notRun}, nil
}

func newFront(ctx context.Context, c *qt.C, s *script, kind router.Kind, resumable bool) *Proxy {
	store := topic.New()
	cfg := router.New(7, router.Limits{}, []*router.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: kind, Backends: []router.Backend{{Service: "s", Weight: 1}}, Resumable: resumable,
		Timeout: 2000, LatencyTarget: 200, MaxAttempts: 3,
	}}, nil)
	store.Write("op", "config", []byte("c"))
	for _, id := range []string{"a", "b", "c", "d"} {
		store.Write("servers", id, []byte("s"))
	}
	f := conf.New(conf.Decoder{
		OperatorTopic: "op", ServersTopic: "servers", PlansTopic: "plans", DecodeKeyed: topic.DecodeKeyed,
		DecodeChange: func(string, []byte) (conf.Change, error) { return conf.Change{Config: cfg}, nil },
		DecodeServer: func(id string, _ []byte) (*fleet.Server, error) {
			return &fleet.Server{ID: id, Service: "s", Addr: id, Slots: 4}, nil
		},
	}, clock.NewSystem(), zerolog.Nop())
	go f.Run(ctx, store)
	synctest.Wait()
	c.Assert(f.Config(), qt.IsNotNil)
	return New(Params{Conf: f, Sender: s, Quarantine: &ward{}, Locality: pick.Locality{}, Clock: clock.NewSystem(), Log: zerolog.Nop()})
}

func ok(body string) reply { return reply{status: 200, body: body} }

var (
	refused = reply{status: 503, notRun: true}
	broken  = reply{err: errors.New("connection reset")}
	unsent  = reply{err: plat.ErrNotSent}
	failed  = reply{status: 500, body: "oops"}
	cut     = reply{status: 200, body: "half", cut: true}
	silent  = reply{after: time.Minute}
)

func TestServe(t *testing.T) {
	tests := map[string]struct {
		kind    router.Kind
		replies []reply
		body    string     // of the answer, empty for a refusal
		status  int        // of the answer
		fault   fault.Kind // of a refusal
		sends   int
	}{
		"served":                              {router.Idempotent, []reply{ok("x")}, "x", 200, "", 1},
		"again after a reset":                 {router.Idempotent, []reply{broken, ok("x")}, "x", 200, "", 2},
		"again after an answer cut short":     {router.Idempotent, []reply{cut, ok("x")}, "x", 200, "", 2},
		"another request's answer":            {router.Idempotent, []reply{{err: plat.ErrResponseMismatch}, ok("x")}, "x", 200, "", 2},
		"again after a failure":               {router.Idempotent, []reply{failed, ok("x")}, "x", 200, "", 2},
		"failures only":                       {router.Idempotent, []reply{failed, failed, failed}, "oops", 500, "", 3},
		"never more servers than allowed":     {router.Idempotent, []reply{broken, broken, broken, ok("x")}, "", 0, fault.BrokenAnswer, 3},
		"all refuse":                          {router.Idempotent, []reply{refused, refused, refused}, "", 0, fault.NotReady, 3},
		"a second server while one is silent": {router.Idempotent, []reply{silent, ok("x")}, "x", 200, "", 2},
		"all silent":                          {router.Idempotent, []reply{silent, silent, silent}, "", 0, fault.OutcomeUnknown, 3},
		"one may have run":                    {router.Idempotent, []reply{broken, refused, refused}, "", 0, fault.BrokenAnswer, 3},
		"once: served":                        {router.NonIdempotent, []reply{ok("x")}, "x", 200, "", 1},
		"once: again after a refusal":         {router.NonIdempotent, []reply{refused, unsent, ok("x")}, "x", 200, "", 3},
		"once: not again after a reset":       {router.NonIdempotent, []reply{broken, ok("x")}, "", 0, fault.BrokenAnswer, 1},
		"once: not again after a cut answer":  {router.NonIdempotent, []reply{cut, ok("x")}, "", 0, fault.BrokenAnswer, 1},
		"once: not while it is silent":        {router.NonIdempotent, []reply{silent, ok("x")}, "", 0, fault.OutcomeUnknown, 1},
		"once: the failure is passed on":      {router.NonIdempotent, []reply{failed, ok("x")}, "oops", 500, "", 1},
		"once: refused by all":                {router.NonIdempotent, []reply{refused, refused, refused}, "", 0, fault.NotReady, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s := &script{replies: test.replies}
				f := newFront(ctx, c, s, test.kind, false)
				w := httptest.NewRecorder()
				start := time.Now()
				err := f.Serve(ctx, &Request{ID: "r1", Method: "POST", Host: "h", Path: "/x", URI: "/x"}, w)
				c.Check(fault.KindOf(err), qt.Equals, test.fault)
				if test.fault == "" {
					c.Check(w.Code, qt.Equals, test.status)
					c.Check(w.Body.String(), qt.Equals, test.body)
				} else if fl, _ := fault.As(err); fl.Outcome() == fault.NotRun {
					c.Check(fl.RetryAfter() > 0, qt.IsTrue)
				}
				c.Check(time.Since(start) <= 2100*time.Millisecond, qt.IsTrue)
				synctest.Wait()
				s.mu.Lock()
				defer s.mu.Unlock()
				c.Check(s.sent, qt.HasLen, test.sends)
				seen := make(map[string]bool)
				for i, r := range s.sent {
					c.Check(seen[s.to[i]], qt.IsFalse, qt.Commentf("sent to %s twice", s.to[i]))
					seen[s.to[i]] = true
					c.Check(r.Timeout > 0 && r.Timeout <= 2000, qt.IsTrue, qt.Commentf("%d ms left", r.Timeout))
				}
			})
		})
	}
}

// A request that crashes servers is refused before any is asked; what counts as
// a sign of it is a connection that ended without any part of an answer.
func TestCrashingRequest(t *testing.T) {
	tests := map[string]struct {
		replies  []reply
		broke    int
		answered int
	}{
		"reset":                      {[]reply{broken, broken, broken}, 3, 0},
		"reset, then answered":       {[]reply{broken, ok("x")}, 1, 1},
		"failed":                     {[]reply{failed, failed, failed}, 0, 3},
		"an answer that breaks off":  {[]reply{cut, ok("x")}, 0, 2},
		"refused and not sent":       {[]reply{refused, unsent, unsent}, 0, 1},
		"the answer of another":      {[]reply{{err: plat.ErrResponseMismatch}, ok("x")}, 0, 1},
		"silent until its time ends": {[]reply{silent, silent, silent}, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s := &script{replies: test.replies}
				f := newFront(ctx, c, s, router.Idempotent, false)
				w := &ward{}
				f.Quarantine = w
				req := &Request{ID: "r1", Host: "h", Path: "/", URI: "/"}
				_ = f.Serve(ctx, req, httptest.NewRecorder()) // How it ends is TestServe's matter.
				synctest.Wait()
				c.Check(w.broke, qt.HasLen, test.broke)
				c.Check(w.answered, qt.Equals, test.answered)
				w.refuse = true
				sends := len(s.sent)
				err := f.Serve(ctx, req, httptest.NewRecorder())
				c.Check(fault.Is(err, fault.Quarantined), qt.IsTrue)
				c.Check(s.sent, qt.HasLen, sends)
			})
		})
	}
}

// A client that leaves stops the servers' work at once.
func TestClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &script{replies: []reply{silent, silent}}
		f := newFront(ctx, c, s, router.Idempotent, false)
		client, leave := context.WithCancel(ctx)
		time.AfterFunc(300*time.Millisecond, leave)
		err := f.Serve(client, &Request{ID: "r1", Host: "h", Path: "/", URI: "/"}, httptest.NewRecorder())
		c.Check(fault.Is(err, fault.Canceled), qt.IsTrue, qt.Commentf("%v", err))
		synctest.Wait()
		c.Check(s.stopped, qt.Equals, 2)
	})
}

// A service that is slow as a whole is not given twice the load by hedges.
func TestHedgesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &script{}
		for range 300 {
			s.replies = append(s.replies, reply{status: 200, body: "x", after: 500 * time.Millisecond})
		}
		f := newFront(ctx, c, s, router.Idempotent, false)
		for i := range 100 {
			c.Assert(f.Serve(ctx, &Request{ID: strconv.Itoa(i), Host: "h", Path: "/", URI: "/"}, httptest.NewRecorder()), qt.IsNil)
		}
		c.Check(len(s.sent) <= 100+int(hedgeMost)+10, qt.IsTrue, qt.Commentf("%d sends", len(s.sent)))
	})
}

func events(from, to int) string {
	var b bytes.Buffer
	for n := from; n <= to; n++ {
		b.WriteString("id: " + strconv.Itoa(n) + "\ndata: e" + strconv.Itoa(n) + "\n\n")
	}
	return b.String()
}

func TestStream(t *testing.T) {
	tests := map[string]struct {
		resumable bool
		replies   []reply
		body      string
		aborts    bool // the client's connection breaks
	}{
		"whole":                         {false, []reply{ok(events(1, 3))}, events(1, 3), false},
		"refused first":                 {false, []reply{refused, ok(events(1, 3))}, events(1, 3), false},
		"resumed after the last event":  {true, []reply{{status: 200, body: events(1, 2) + "id: 3\nda"}, ok(events(3, 4))}, events(1, 4), false},
		"cut, may not be resumed":       {false, []reply{{status: 200, body: events(1, 2) + "id: 3\nda"}, ok(events(3, 4))}, events(1, 2), true},
		"cut again and again":           {true, []reply{{status: 200, body: "id: 1\n"}, {status: 200, body: "id: 1\n"}, {status: 200, body: "id: 1\n"}}, "", true},
		"connection broken in an event": {true, []reply{{status: 200, body: events(1, 1), cut: true}, ok(events(2, 2))}, events(1, 2), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s := &script{replies: test.replies}
				f := newFront(ctx, c, s, router.Streaming, test.resumable)
				w := httptest.NewRecorder()
				aborted := func() (aborted bool) {
					defer func() { aborted = recover() == http.ErrAbortHandler }()
					c.Check(f.Serve(ctx, &Request{ID: "r", Method: "POST", Host: "h", Path: "/", URI: "/"}, w), qt.IsNil)
					return false
				}()
				c.Check(aborted, qt.Equals, test.aborts)
				c.Check(w.Body.String(), qt.Equals, test.body)
			})
		})
	}
}
