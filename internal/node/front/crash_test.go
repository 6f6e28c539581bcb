package front

import (
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

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
	"github.com/jujuberamp/jujuberamp/internal/node/quar"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// brokenWriter is the connection of a client that is lost.
type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// TestCrashAnywhereInARequest guards against a request that crashes each server that runs it
// and is never refused, since only a crash before the head of the answer counted and each head
// cleared the request: wherever in the answer a server breaks off, it is a disconnect, and only
// a whole answer of a server that ran the request clears it.
func TestCrashAnywhereInARequest(t *testing.T) {
	large := strings.Repeat("x", 2*maxBufferedBytes)
	cut := func(body string) scriptedReply { return scriptedReply{status: 200, body: body, truncated: true} }
	tests := map[string]struct {
		kind        router.Kind
		resumable   bool
		replies     []scriptedReply
		lastEvent   int
		clientLost  bool
		disconnects int
		answers     int
	}{
		"stream, before its first event":          {kind: router.Streaming, replies: []scriptedReply{cut("")}, disconnects: 1},
		"stream, in its first event":              {kind: router.Streaming, replies: []scriptedReply{cut("id: 1\nda")}, disconnects: 1},
		"stream, after its first event":           {kind: router.Streaming, replies: []scriptedReply{cut(events(1, 1))}, disconnects: 1},
		"stream, after its last event":            {kind: router.Streaming, replies: []scriptedReply{cut(events(1, 9))}, disconnects: 1},
		"stream, at each server at which it goes": {kind: router.Streaming, resumable: true, replies: []scriptedReply{cut(events(1, 1)), cut(events(2, 2)), cut(events(3, 3))}, disconnects: 3},
		"stream, then it goes on to its end":      {kind: router.Streaming, resumable: true, replies: []scriptedReply{cut(events(1, 1)), okReply(events(2, 3))}, disconnects: 1, answers: 1},
		"stream that a client takes up again":     {kind: router.Streaming, resumable: true, lastEvent: 1, replies: []scriptedReply{cut(events(2, 2)), disconnected, cut("")}, disconnects: 3},
		"stream whose client is lost":             {kind: router.Streaming, replies: []scriptedReply{okReply(events(1, 2))}, clientLost: true},
		"stream, failed":                          {kind: router.Streaming, replies: []scriptedReply{serverError}},
		"stream, failure cut":                     {kind: router.Streaming, replies: []scriptedReply{{status: 500, body: "x", truncated: true}}, disconnects: 1},
		"stream, whole":                           {kind: router.Streaming, replies: []scriptedReply{okReply(events(1, 2))}, answers: 1},
		"in the body":                             {kind: router.NonIdempotent, replies: []scriptedReply{truncated}, disconnects: 1},
		"in the body, at each server":             {kind: router.Idempotent, replies: []scriptedReply{truncated, truncated, truncated}, disconnects: 3},
		"in a large body":                         {kind: router.NonIdempotent, replies: []scriptedReply{cut(large)}, disconnects: 1},
		"in a large failure":                      {kind: router.NonIdempotent, replies: []scriptedReply{{status: 500, body: large, truncated: true}}, disconnects: 1},
		"large body, whole":                       {kind: router.NonIdempotent, replies: []scriptedReply{okReply(large)}, answers: 1},
		"large body, client is lost":              {kind: router.NonIdempotent, replies: []scriptedReply{okReply(large)}, clientLost: true},
		"invalid status":                          {kind: router.NonIdempotent, replies: []scriptedReply{{err: plat.ErrInvalidStatus}}},
		"malformed head":                          {kind: router.NonIdempotent, replies: []scriptedReply{{err: plat.ErrMalformedHead}}},
		"refused":                                 {kind: router.NonIdempotent, replies: []scriptedReply{refused, refused, refused}},
		"refused, then whole":                     {kind: router.NonIdempotent, replies: []scriptedReply{refused, okReply("x")}, answers: 1},
		"failed":                                  {kind: router.NonIdempotent, replies: []scriptedReply{serverError}},
		"rejected":                                {kind: router.NonIdempotent, replies: []scriptedReply{{status: 400, body: "x"}}, answers: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				proxy := newProxy(ctx, c, &scriptedSender{replies: test.replies}, test.kind, test.resumable)
				quarantine := &fakeQuarantine{}
				proxy.Quarantine = quarantine
				var w http.ResponseWriter = httptest.NewRecorder()
				if test.clientLost {
					w = brokenWriter{httptest.NewRecorder()}
				}
				proxy.Origins = mapOrigins{"first": {Stream: "first", Service: "s", Software: "s"}}
				_ = serveAborted(ctx, proxy, &Request{ID: "r", Host: "h", Path: "/", URI: "/", LastEventID: test.lastEvent, Resumes: "first"}, w) // TestServe and TestStream check the result.
				c.Check(quarantine.disconnects, qt.HasLen, test.disconnects)
				c.Check(quarantine.answers, qt.Equals, test.answers)
			})
		})
	}
}

// serveAborted serves a request of a client whose connection may be closed, and returns the
// error of the request.
func serveAborted(ctx context.Context, p *Proxy, r *Request, w http.ResponseWriter) error {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			panic(v)
		}
	}()
	return p.Serve(ctx, r, w)
}

// noOrigins keeps no origin.
type noOrigins struct{}

func (noOrigins) Record(context.Context, resume.Origin) {}
func (o noOrigins) Look(ctx context.Context, stream, service string) (resume.Origin, error) {
	return o.Find(ctx, stream, service)
}

func (noOrigins) Find(context.Context, string, string) (resume.Origin, error) {
	return resume.Origin{}, resume.ErrUnknown
}

// crashingSender runs streams at servers that crash with the first event of a stream of
// badPath, and are back at once as a new incarnation.
type crashingSender struct {
	store   *topic.Store
	mu      sync.Mutex
	crashes int
	running map[string][]*io.PipeWriter // streams, by server
}

const badPath = "/bad"

func (s *crashingSender) Send(_ context.Context, to plat.Target, r plat.Request) (*plat.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, w := io.Pipe()
	s.running[to.ID] = append(s.running[to.ID], w)
	go func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, events(r.LastEventID+1, r.LastEventID+1)) // Fails if the server has crashed.
		if r.URI == badPath {
			s.crash(to.ID)
		}
		time.Sleep(100 * time.Millisecond)
		w.Close()
	}()
	return &plat.Response{Status: http.StatusOK, Header: http.Header{}, Body: body, ContentLength: -1}, nil
}

func (s *crashingSender) crash(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
	s.store.Write("servers", server, []byte("s@"+strconv.Itoa(s.crashes)))
	for _, w := range s.running[server] {
		w.CloseWithError(io.ErrUnexpectedEOF)
	}
	s.running[server] = nil
}

// TestStreamThatCrashesEachServer guards against a stream that crashes each server after its
// first event and is sent to ever more of them, whichever entry it comes to. A stream of another
// client that each of the crashes cut runs on, also at an entry that has never run it.
func TestStreamThatCrashesEachServer(t *testing.T) {
	for name, resumable := range map[string]bool{"resumable": true, "not resumable": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				sender := &crashingSender{store: topic.New(), running: make(map[string][]*io.PipeWriter)}
				var detectors []*quar.CrashDetector
				broadcast := func(_ context.Context, cr crash.Crash) error {
					for _, d := range detectors {
						d.RecordCrash(cr)
					}
					return nil
				}
				var entries []*Proxy
				for range 3 {
					p := newStoreProxy(ctx, c, sender.store, nil, router.Streaming, resumable, "s", "s", "s", "s")
					q := quar.New(quar.Params{Policy: crash.SharedPolicy(), Clock: p.Clock, Log: p.Log})
					d := quar.NewCrashDetector(q, func(server string) bool { return p.Conf.Servers().HasIncarnation(server) }, broadcast)
					p.Sender, p.Quarantine, p.Origins = sender, d, noOrigins{}
					entries, detectors = append(entries, p), append(detectors, d)
				}
				for _, d := range detectors {
					go d.Run(ctx)
				}
				serve := func(entry int, path string) error {
					return serveAborted(ctx, entries[entry], &Request{ID: path, Host: "h", Path: path, URI: path}, httptest.NewRecorder())
				}
				for try := range 12 {
					var others sync.WaitGroup
					for range 4 { // One at each server.
						others.Go(func() {
							err := serve(0, "/good")
							if fault.Is(err, fault.BrokenAnswer) {
								return // Cut before its first event, at each server that it was sent to.
							}
							c.Check(err, qt.IsNil)
						})
					}
					err := serve(try%2, badPath)
					others.Wait()
					if try >= 3 {
						c.Check(fault.Is(err, fault.Quarantined), qt.IsTrue)
					}
					c.Check(serve(0, "/good"), qt.IsNil)
					time.Sleep(2 * time.Second)
				}
				c.Check(sender.crashes, qt.Equals, crash.SharedPolicy().Threshold)
				c.Check(serve(2, "/good"), qt.IsNil)
				c.Check(fault.Is(serve(2, badPath), fault.Quarantined), qt.IsTrue)
				time.Sleep(time.Second)
			})
		})
	}
}
