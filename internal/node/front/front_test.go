package front

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/lines"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/listen"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// scriptedReply is the result of sending one request to a server.
type scriptedReply struct {
	status      int
	notExecuted bool
	body        string
	truncated   bool          // the connection breaks in the body
	err         error         // instead of a response
	delay       time.Duration // before the response
	contentType string
	leaving     bool // the response states that the server leaves
}

// scriptedSender returns one scripted reply for each attempt, in order.
type scriptedSender struct {
	mu       sync.Mutex
	replies  []scriptedReply
	sent     []plat.Request
	targets  []string
	canceled int // attempts whose context was canceled
}

// fakeQuarantine counts disconnects and answers, and refuses all requests if
// refuse is set.
type fakeQuarantine struct {
	mu          sync.Mutex
	refuse      bool
	disconnects []string
	answers     int
}

func (q *fakeQuarantine) Check(func() string) error {
	if q.refuse {
		return fault.New(fault.Quarantined, "it crashes servers")
	}
	return nil
}

func (q *fakeQuarantine) RecordDisconnect(server, _ string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.disconnects = append(q.disconnects, server)
}

func (q *fakeQuarantine) RecordAnswer(func() string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answers++
}

// mapOrigins keeps the origins of streams in a map.
type mapOrigins map[string]resume.Origin

func (m mapOrigins) Record(_ context.Context, o resume.Origin) { m[o.Stream] = o }
func (m mapOrigins) Find(_ context.Context, stream, _ string) (resume.Origin, error) {
	if o, ok := m[stream]; ok {
		return o, nil
	}
	return resume.Origin{}, resume.ErrUnknown
}

// noLimits limits no server.
type noLimits struct{}

func (noLimits) IsLimited(*fleet.Server) bool { return false }
func (noLimits) Acquire(context.Context, *fleet.Server, clock.Millis) (clock.Millis, bool) {
	return 0, true
}
func (noLimits) Observe(*fleet.Server, clock.Millis, plat.RateLimit) {}

// closableBody can't be read after it was closed.
type closableBody struct {
	io.Reader
	closed atomic.Bool
}

func (b *closableBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, errors.New("the body is closed")
	}
	return b.Reader.Read(p)
}

func (b *closableBody) Close() error {
	b.closed.Store(true)
	return nil
}

type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (r scriptedReply) header(from string) http.Header {
	h := http.Header{"X-From": {from}}
	if r.contentType != "" {
		h.Set("Content-Type", r.contentType)
	}
	return h
}

func (s *scriptedSender) Send(ctx context.Context, to plat.Target, r plat.Request) (*plat.Response, error) {
	s.mu.Lock()
	rep := scriptedReply{err: errors.New("no scripted reply left")}
	if len(s.replies) > 0 {
		rep, s.replies = s.replies[0], s.replies[1:]
	}
	s.sent, s.targets = append(s.sent, r), append(s.targets, to.ID)
	s.mu.Unlock()
	if !clock.Sleep(ctx, clock.FromDuration(rep.delay)) {
		s.mu.Lock()
		s.canceled++
		s.mu.Unlock()
		return nil, ctx.Err()
	}
	if rep.err != nil {
		return nil, rep.err
	}
	var body io.Reader = strings.NewReader(rep.body)
	if rep.truncated {
		body = truncatedBody{body}
	}
	return &plat.Response{
		Status:        rep.status,
		Header:        rep.header(to.ID),
		Body:          &closableBody{Reader: body},
		ContentLength: -1,
		Stamp:         to.ID,
		NotExecuted:   rep.notExecuted,
		Leaving:       plat.Leaving{Stated: rep.leaving},
	}, nil
}

func newProxy(ctx context.Context, c *qt.C, s *scriptedSender, kind router.Kind, resumable bool) *Proxy {
	return newMixedProxy(ctx, c, s, kind, resumable, "s", "s", "s", "s")
}

// newMixedProxy is newProxy with the versions of the software of the four servers.
func newMixedProxy(ctx context.Context, c *qt.C, s *scriptedSender, kind router.Kind, resumable bool, software ...string) *Proxy {
	return newStoreProxy(ctx, c, topic.New(), s, kind, resumable, software...)
}

// newStoreProxy is newMixedProxy with a store. The registry entry of a server is the version
// of its software, which the start of its incarnation may follow after an "@", or "leaving".
func newStoreProxy(ctx context.Context, c *qt.C, store *topic.Store, s *scriptedSender, kind router.Kind, resumable bool, software ...string) *Proxy {
	cfg := router.New(7, router.Limits{}, []*router.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: kind, Backends: []router.Backend{{Service: "s", Weight: 1}}, Resumable: resumable,
		Timeout: 2000, LatencyTarget: 200, MaxAttempts: 3,
	}}, nil)
	store.Write("op", "config", []byte("c"))
	for i, id := range []string{"a", "b", "c", "d"} {
		store.Write("servers", id, []byte(software[i]))
	}
	f := conf.New(conf.Decoder{
		OperatorTopic: "op", ServersTopic: "servers", PlansTopic: "plans", DecodeKeyed: topic.DecodeKeyed,
		DecodeChange: func(string, []byte) (conf.Change, error) { return conf.Change{Config: cfg}, nil },
		DecodeServer: func(id string, entry []byte) (*fleet.Server, error) {
			software, start, _ := strings.Cut(string(entry), "@")
			startedAt, err := strconv.ParseInt(cmp.Or(start, "0"), 10, 64)
			return &fleet.Server{ID: id, Service: "s", Addr: id, Slots: 4, Software: software, StartedAt: startedAt, Leaving: software == "leaving"}, err
		},
	}, clock.NewSystem(), zerolog.Nop())
	go f.Run(ctx, store)
	synctest.Wait()
	c.Assert(f.Config(), qt.IsNotNil)
	return New(Params{Conf: f, Sender: s, Quarantine: &fakeQuarantine{}, Rates: noLimits{}, Origins: mapOrigins{}, Locality: pick.Locality{}, Clock: clock.NewSystem(), Log: zerolog.Nop()})
}

func okReply(body string) scriptedReply { return scriptedReply{status: 200, body: body} }

var (
	refused      = scriptedReply{status: 503, notExecuted: true}
	disconnected = scriptedReply{err: errors.New("connection reset")}
	notSent      = scriptedReply{err: plat.ErrNotSent}
	serverError  = scriptedReply{status: 500, body: "oops"}
	truncated    = scriptedReply{status: 200, body: "half", truncated: true}
	unresponsive = scriptedReply{delay: time.Minute}
)

func TestServe(t *testing.T) {
	tests := map[string]struct {
		kind     router.Kind
		replies  []scriptedReply
		body     string     // of the response, empty for an error
		status   int        // of the response
		fault    fault.Kind // of an error
		attempts int
	}{
		"served":                           {router.Idempotent, []scriptedReply{okReply("x")}, "x", 200, "", 1},
		"retry after a reset":              {router.Idempotent, []scriptedReply{disconnected, okReply("x")}, "x", 200, "", 2},
		"retry after a truncated response": {router.Idempotent, []scriptedReply{truncated, okReply("x")}, "x", 200, "", 2},
		"mismatched response":              {router.Idempotent, []scriptedReply{{err: plat.ErrResponseMismatch}, okReply("x")}, "x", 200, "", 2},
		"retry after a server error":       {router.Idempotent, []scriptedReply{serverError, okReply("x")}, "x", 200, "", 2},
		"server errors only":               {router.Idempotent, []scriptedReply{serverError, serverError, serverError}, "oops", 500, "", 3},
		"at most MaxAttempts servers":      {router.Idempotent, []scriptedReply{disconnected, disconnected, disconnected, okReply("x")}, "", 0, fault.BrokenAnswer, 3},
		"all refuse":                       {router.Idempotent, []scriptedReply{refused, refused, refused}, "", 0, fault.NotReady, 3},
		"hedged on a second server":        {router.Idempotent, []scriptedReply{unresponsive, okReply("x")}, "x", 200, "", 2},
		"all unresponsive":                 {router.Idempotent, []scriptedReply{unresponsive, unresponsive, unresponsive}, "", 0, fault.OutcomeUnknown, 3},
		"one attempt may have run":         {router.Idempotent, []scriptedReply{disconnected, refused, refused}, "", 0, fault.BrokenAnswer, 3},
		"once: served":                     {router.NonIdempotent, []scriptedReply{okReply("x")}, "x", 200, "", 1},
		"once: retry after a refusal":      {router.NonIdempotent, []scriptedReply{refused, notSent, okReply("x")}, "x", 200, "", 3},
		"once: no retry after a reset":     {router.NonIdempotent, []scriptedReply{disconnected, okReply("x")}, "", 0, fault.BrokenAnswer, 1},
		"once: no retry after truncation":  {router.NonIdempotent, []scriptedReply{truncated, okReply("x")}, "", 0, fault.BrokenAnswer, 1},
		"once: no hedge":                   {router.NonIdempotent, []scriptedReply{unresponsive, okReply("x")}, "", 0, fault.OutcomeUnknown, 1},
		"once: server error is forwarded":  {router.NonIdempotent, []scriptedReply{serverError, okReply("x")}, "oops", 500, "", 1},
		"once: refused by all":             {router.NonIdempotent, []scriptedReply{refused, refused, refused}, "", 0, fault.NotReady, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s := &scriptedSender{replies: test.replies}
				proxy := newProxy(ctx, c, s, test.kind, false)
				w := httptest.NewRecorder()
				start := time.Now()
				err := proxy.Serve(ctx, &Request{ID: "r1", Method: "POST", Host: "h", Path: "/x", URI: "/x"}, w)
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
				c.Check(s.sent, qt.HasLen, test.attempts)
				seen := make(map[string]bool)
				for i, r := range s.sent {
					c.Check(seen[s.targets[i]], qt.IsFalse, qt.Commentf("server %s was tried twice", s.targets[i]))
					seen[s.targets[i]] = true
					c.Check(r.Timeout > 0 && r.Timeout <= 2000, qt.IsTrue, qt.Commentf("%d ms left", r.Timeout))
				}
			})
		})
	}
}

// A request that crashes servers is refused before it is sent to any server.
// A connection that ended before the end of a response counts as a disconnect, and
// only a whole response of a server that ran the request as an answer.
func TestCrashingRequest(t *testing.T) {
	tests := map[string]struct {
		replies     []scriptedReply
		disconnects int
		answers     int
	}{
		"reset":                      {[]scriptedReply{disconnected, disconnected, disconnected}, 3, 0},
		"reset, then answered":       {[]scriptedReply{disconnected, okReply("x")}, 1, 1},
		"server error":               {[]scriptedReply{serverError, serverError, serverError}, 0, 0},
		"truncated response":         {[]scriptedReply{truncated, okReply("x")}, 1, 1},
		"refused and not sent":       {[]scriptedReply{refused, notSent, notSent}, 0, 0},
		"mismatched response":        {[]scriptedReply{{err: plat.ErrResponseMismatch}, okReply("x")}, 0, 1},
		"unresponsive until timeout": {[]scriptedReply{unresponsive, unresponsive, unresponsive}, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s := &scriptedSender{replies: test.replies}
				proxy := newProxy(ctx, c, s, router.Idempotent, false)
				quarantine := &fakeQuarantine{}
				proxy.Quarantine = quarantine
				req := &Request{ID: "r1", Host: "h", Path: "/", URI: "/"}
				_ = proxy.Serve(ctx, req, httptest.NewRecorder()) // TestServe checks the result.
				synctest.Wait()
				c.Check(quarantine.disconnects, qt.HasLen, test.disconnects)
				c.Check(quarantine.answers, qt.Equals, test.answers)
				quarantine.refuse = true
				attempts := len(s.sent)
				err := proxy.Serve(ctx, req, httptest.NewRecorder())
				c.Check(fault.Is(err, fault.Quarantined), qt.IsTrue)
				c.Check(s.sent, qt.HasLen, attempts)
			})
		})
	}
}

// If the client closes its connection, running attempts are canceled
// immediately.
func TestClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &scriptedSender{replies: []scriptedReply{unresponsive, unresponsive}}
		proxy := newProxy(ctx, c, s, router.Idempotent, false)
		client, closeClient := context.WithCancel(ctx)
		time.AfterFunc(300*time.Millisecond, closeClient)
		err := proxy.Serve(client, &Request{ID: "r1", Host: "h", Path: "/", URI: "/"}, httptest.NewRecorder())
		c.Check(fault.Is(err, fault.Canceled), qt.IsTrue, qt.Commentf("%v", err))
		synctest.Wait()
		c.Check(s.canceled, qt.Equals, 2)
	})
}

// A request that is still in progress when the entry has to stop is answered, and the
// answer doesn't claim that it has not run.
func TestEntryStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &scriptedSender{replies: []scriptedReply{unresponsive, unresponsive}}
		proxy := newProxy(ctx, c, s, router.Idempotent, false)
		requests, stop := context.WithCancelCause(ctx)
		time.AfterFunc(300*time.Millisecond, func() { stop(listen.ErrStopping) })
		err := proxy.Serve(requests, &Request{ID: "r1", Host: "h", Path: "/", URI: "/"}, httptest.NewRecorder())
		c.Check(fault.Is(err, fault.OutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// If all servers of a service are slow, hedges don't double its load.
func TestHedgesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &scriptedSender{}
		for range 300 {
			s.replies = append(s.replies, scriptedReply{status: 200, body: "x", delay: 500 * time.Millisecond})
		}
		proxy := newProxy(ctx, c, s, router.Idempotent, false)
		for i := range 100 {
			c.Assert(proxy.Serve(ctx, &Request{ID: strconv.Itoa(i), Host: "h", Path: "/", URI: "/"}, httptest.NewRecorder()), qt.IsNil)
		}
		c.Check(len(s.sent) <= 100+int(maxHedgeBudget)+10, qt.IsTrue, qt.Commentf("%d attempts", len(s.sent)))
	})
}

// A long body of a server error reaches the client whole, whatever the kind of route.
func TestLongServerError(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBytes+1000)
	for name, kind := range map[string]router.Kind{"idempotent": router.Idempotent, "once": router.NonIdempotent, "stream": router.Streaming} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				failed := scriptedReply{status: 500, body: long}
				proxy := newProxy(ctx, c, &scriptedSender{replies: []scriptedReply{failed, failed, failed}}, kind, false)
				w := httptest.NewRecorder()
				c.Assert(proxy.Serve(ctx, &Request{ID: "r", Method: "POST", Host: "h", Path: "/", URI: "/"}, w), qt.IsNil)
				c.Check(w.Code, qt.Equals, 500)
				c.Check(w.Body.Len(), qt.Equals, len(long))
			})
		})
	}
}

// A request whose first hedge was refused by the budget is hedged once the budget
// allows it.
func TestHedgeAfterTheBudgetIsRefilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		proxy := newProxy(ctx, c, &scriptedSender{replies: []scriptedReply{unresponsive, okReply("x")}}, router.Idempotent, false)
		proxy.hedgeBudget = -1
		time.AfterFunc(500*time.Millisecond, func() {
			proxy.mu.Lock()
			defer proxy.mu.Unlock()
			proxy.hedgeBudget = maxHedgeBudget
		})
		w := httptest.NewRecorder()
		c.Assert(proxy.Serve(ctx, &Request{ID: "r", Method: "POST", Host: "h", Path: "/", URI: "/"}, w), qt.IsNil)
		c.Check(w.Body.String(), qt.Equals, "x")
	})
}

// A stream whose connection ends before the end of its answer counts as a disconnect,
// like other requests do.
func TestStreamThatCrashesServers(t *testing.T) {
	tests := map[string]struct {
		replies     []scriptedReply
		disconnects int
		answers     int
	}{
		"reset":               {[]scriptedReply{disconnected, disconnected, disconnected}, 3, 0},
		"answered":            {[]scriptedReply{okReply(events(1, 2))}, 0, 1},
		"refused or not sent": {[]scriptedReply{refused, notSent, notSent}, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				proxy := newProxy(ctx, c, &scriptedSender{replies: test.replies}, router.Streaming, true)
				quarantine := &fakeQuarantine{}
				proxy.Quarantine = quarantine
				_ = proxy.Serve(ctx, &Request{ID: "r", Host: "h", Path: "/", URI: "/"}, httptest.NewRecorder()) // TestStream checks the result.
				c.Check(quarantine.disconnects, qt.HasLen, test.disconnects)
				c.Check(quarantine.answers, qt.Equals, test.answers)
			})
		})
	}
}

// endlessReader returns bytes without end and counts them.
type endlessReader struct{ n int }

func (r *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	r.n += len(p)
	return len(p), nil
}

// streamOf returns a response of unknown length.
func streamOf(r io.Reader) *plat.Response {
	return &plat.Response{Status: http.StatusOK, Body: io.NopCloser(r), ContentLength: -1}
}

// An event that never ends must not use up the memory.
func TestEventWithoutEnd(t *testing.T) {
	for name, start := range map[string]string{"line": "data: ", "event": "data: a\ndata: b\ndata: "} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			body := &endlessReader{}
			w := httptest.NewRecorder()
			_, err := copyEvents(w, streamOf(io.MultiReader(strings.NewReader(start), body)), listen.Held{}, 0, true, func() {})
			c.Check(errors.Is(err, lines.ErrTooLong), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(body.n <= 2*plat.MaxEventBytes, qt.IsTrue, qt.Commentf("%d bytes read", body.n))
			c.Check(w.Body.Len(), qt.Equals, 0)
		})
	}
}

func events(from, to int) string {
	var b bytes.Buffer
	for n := from; n <= to; n++ {
		b.WriteString("id: " + strconv.Itoa(n) + "\ndata: e" + strconv.Itoa(n) + "\n\n")
	}
	return b.String()
}

// TestStream guards against a stream that misses events or looks complete although it isn't.
func TestStream(t *testing.T) {
	rejected, moved := scriptedReply{status: 422}, scriptedReply{status: 302, body: "elsewhere\n\n"}
	tests := map[string]struct {
		resumable bool
		replies   []scriptedReply
		body      string
		aborts    bool       // the client's connection is closed
		fault     fault.Kind // of an error, with which the client's connection stays open
	}{
		"complete":                        {false, []scriptedReply{okReply(events(1, 3))}, events(1, 3), false, ""},
		"refused, then served":            {false, []scriptedReply{refused, okReply(events(1, 3))}, events(1, 3), false, ""},
		"resumed after the last event":    {true, []scriptedReply{{status: 200, body: events(1, 2) + "id: 3\nda"}, okReply(events(3, 4))}, events(1, 4), false, ""},
		"truncated, not resumable":        {false, []scriptedReply{{status: 200, body: events(1, 2) + "id: 3\nda"}, okReply(events(3, 4))}, events(1, 2), true, ""},
		"each attempt truncated":          {true, []scriptedReply{{status: 200, body: "id: 1\n"}, {status: 200, body: "id: 1\n"}, {status: 200, body: "id: 1\n"}}, "", false, fault.BrokenAnswer},
		"resumed after a rejection":       {true, []scriptedReply{{status: 200, body: events(1, 2), truncated: true}, rejected, okReply(events(3, 4))}, events(1, 4), false, ""},
		"each resumption rejected":        {true, []scriptedReply{{status: 200, body: events(1, 2), truncated: true}, rejected, moved}, events(1, 2), true, ""},
		"connection reset between events": {true, []scriptedReply{{status: 200, body: events(1, 1), truncated: true}, okReply(events(2, 2))}, events(1, 2), false, ""},
		"no event, not resumable":         {false, []scriptedReply{{status: 200, truncated: true}, okReply(events(1, 2))}, "", false, fault.BrokenAnswer},
		"no event, then a server error":   {true, []scriptedReply{{status: 200, truncated: true}, {status: 200, body: "id: x\n\n"}, serverError}, "oops", false, ""},
		"no event, then served":           {true, []scriptedReply{{status: 200, truncated: true}, okReply(events(1, 2))}, events(1, 2), false, ""},
		"IDs that are no numbers":         {false, []scriptedReply{okReply("id: a\ndata: x\n\nid:\ndata: y\n\n")}, "id: a\ndata: x\n\nid:\ndata: y\n\n", false, ""},
		"resumed after a malformed ID":    {true, []scriptedReply{okReply(events(1, 2) + "id: a\ndata: x\n\n"), okReply(events(3, 4))}, events(1, 4), false, ""},
		"text that begins like events":    {true, []scriptedReply{{status: 200, body: events(1, 2), contentType: "text/plain", truncated: true}, okReply(events(3, 4))}, events(1, 4), false, ""},
		"resumed at the end":              {true, []scriptedReply{{status: 200, body: events(1, 2), truncated: true}, okReply("")}, events(1, 2), false, ""},
		"resumed by no stream":            {true, []scriptedReply{{status: 200, body: events(1, 2), truncated: true}, {status: 200, body: "{}", contentType: "application/json"}, okReply(events(3, 4))}, events(1, 4), false, ""},
		"no event, whole":                 {true, []scriptedReply{okReply("")}, "", false, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s := &scriptedSender{replies: test.replies}
				proxy := newProxy(ctx, c, s, router.Streaming, test.resumable)
				w := httptest.NewRecorder()
				aborted := func() (aborted bool) {
					defer func() { aborted = recover() == http.ErrAbortHandler }()
					err := proxy.Serve(ctx, &Request{ID: "r", Method: "POST", Host: "h", Path: "/", URI: "/"}, w)
					c.Check(fault.KindOf(err), qt.Equals, test.fault)
					return false
				}()
				c.Check(aborted, qt.Equals, test.aborts)
				c.Check(w.Body.String(), qt.Equals, test.body)
			})
		})
	}
}

// TestOwnCallsAreNotQuarantined guards against a scoring call that is refused for minutes
// because servers crashed in a burst while they ran it: the item that it belongs to would
// never get its score. A client's request like it is refused.
func TestOwnCallsAreNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		proxy := newProxy(ctx, c, &scriptedSender{replies: []scriptedReply{disconnected, okReply("x")}}, router.Idempotent, false)
		quarantine := &fakeQuarantine{refuse: true}
		proxy.Quarantine = quarantine
		reply, err := proxy.Do(ctx, &Request{ID: "s", Method: http.MethodPost, Host: "h", Path: "/", URI: "/"})
		c.Assert(err, qt.IsNil)
		c.Check(reply.Status, qt.Equals, http.StatusOK)
		c.Check(quarantine.disconnects, qt.HasLen, 0, qt.Commentf("an own call counted as a suspect"))
		err = proxy.Serve(ctx, &Request{ID: "r", Method: http.MethodPost, Host: "h", Path: "/", URI: "/"}, httptest.NewRecorder())
		c.Check(fault.Is(err, fault.Quarantined), qt.IsTrue)
	})
}

// TestHasEvents guards against an answer that is read as a stream of events and is none, and
// against a stream that is held until it is complete.
func TestHasEvents(t *testing.T) {
	one := events(1, 1)
	tests := map[string]struct {
		contentType, body string
		truncated         bool
		status            int // 200 by default
		want              bool
	}{
		"events":                  {contentType: "text/event-stream", body: one, want: true},
		"with a parameter":        {contentType: "Text/Event-Stream; charset=utf-8", body: one, want: true},
		"with a bad parameter":    {contentType: "text/event-stream; =", body: one, want: true},
		"events, no body":         {contentType: "text/event-stream", want: true},
		"no type":                 {body: one, want: true},
		"no type, data first":     {body: "data: x\n\n", want: true},
		"no type, comment first":  {body: ": ping\n\n", want: true},
		"no type, blank line":     {body: "\n" + one, want: true},
		"no type, no body":        {want: true},
		"no type, broken":         {truncated: true, want: true},
		"no type, JSON":           {body: `{"id":1}`},
		"no type, text":           {body: "identity unknown\n\n"},
		"text like events":        {contentType: "text/plain; charset=utf-8", body: one, want: true},
		"text":                    {contentType: "text/plain", body: "no"},
		"bytes like events":       {contentType: "application/octet-stream", body: one, want: true},
		"JSON":                    {contentType: "application/json", body: one},
		"no media type":           {contentType: ";", body: one},
		"rejection like events":   {contentType: "text/event-stream", body: one, status: 422},
		"failure like events":     {contentType: "text/event-stream", body: one, status: 500},
		"redirection like events": {body: one, status: 302},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			resp := streamOf(strings.NewReader(test.body))
			if test.truncated {
				resp = streamOf(truncatedBody{strings.NewReader(test.body)})
			}
			resp.Header = scriptedReply{contentType: test.contentType}.header("a")
			if test.status > 0 {
				resp.Status = test.status
			}
			c.Check(hasEvents(resp), qt.Equals, test.want)
			b, err := io.ReadAll(resp.Body)
			c.Check(err != nil, qt.Equals, test.truncated)
			c.Check(string(b), qt.Equals, test.body)
		})
	}
}
