//go:build review

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jujuberamp/jujuberamp/platform"
)

// Headers of requests and answers.
const (
	headerAttempt     = "X-Jujuberamp-Attempt-Id"
	headerDeadline    = "X-Jujuberamp-Deadline-Ms"
	headerInstance    = "X-Jujuberamp-Expect-Instance"
	headerNotExecuted = "X-Jujuberamp-Not-Executed"
	headerStamp       = "X-Jujuberamp-Server-Stamp"
	headerLastEvent   = "Last-Event-Id"
	headerResumes     = "Resumes"
)

// server is a stand-in for a server of a plain service. It answers requests after a time
// of work, and streams with events at an interval.
type server struct {
	world    *world
	n        int // last byte of its address
	service  string
	id       string
	software string
	slots    int
	work     time.Duration // of a request
	events   int           // of a stream
	interval time.Duration // between two events
	// onRun is called with each request that begins to run. It returns true if it has
	// answered the request.
	onRun func(s *server, w http.ResponseWriter, r *http.Request) bool
	// connContext, if not nil, is that of the server's connections.
	connContext func(context.Context, net.Conn) context.Context
	// onEvent is called after each event of a stream.
	onEvent func(s *server, r *http.Request, event int)

	mu       sync.Mutex
	http     *http.Server
	born     int64
	sequence int
	listed   bool
	running  int
	ran      map[string]int // by the ID of the request
	stop     chan struct{}
}

// start starts the server as a new incarnation and registers it.
func (s *server) start() error {
	srv, err := s.world.serveConns(s.world.addr(s.n, portApp), s, s.connContext)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.http, s.born, s.sequence, s.listed, s.stop = srv, time.Now().UnixMilli(), 0, true, make(chan struct{})
	stop := s.stop
	if s.ran == nil {
		s.ran = make(map[string]int)
	}
	s.mu.Unlock()
	s.beat()
	s.world.record.printf("server %s: started, service %s, software %q, listed", s.id, s.service, s.software)
	go func() {
		t := time.NewTicker(heartbeatInterval)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-s.world.stopping:
				return
			case <-t.C:
				s.beat()
			}
		}
	}()
	return nil
}

// beat writes the registry entry.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return
	}
	s.sequence++
	b, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.world.addr(s.n, portApp), "zone": "z1", "version": s.software, "slots": s.slots,
		"state": "ready", "warmup_left_ms": 0, "sequence": s.sequence, "born": s.born,
	})
	if err != nil {
		panic(err) // All values can be encoded.
	}
	s.world.store.Write(platform.TopicServers, s.id, b)
}

// unlist removes the registry entry; the server goes on serving.
func (s *server) unlist() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed {
		s.listed = false
		s.world.store.Write(platform.TopicServers, s.id, nil)
		s.world.record.printf("server %s: registry entry removed", s.id)
	}
}

// exit ends the server and all its connections.
func (s *server) exit() {
	s.mu.Lock()
	srv := s.http
	if s.stop != nil {
		close(s.stop)
		s.stop = nil
	}
	s.mu.Unlock()
	srv.Close()
	s.world.record.printf("server %s: ended", s.id)
}

// crash ends the server without a word. Its registry entry is removed after three missed
// heartbeats.
func (s *server) crash() {
	s.exit()
	time.AfterFunc(missedHeartbeats*heartbeatInterval, s.unlist)
}

func (s *server) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// admit reserves a slot for a request.
func (s *server) admit(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	s.ran[r.Header.Get(headerAttempt)]++
	return true
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // The caller disconnected.
	}
	id := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	if expected := r.Header.Get(headerInstance); expected != "" && expected != s.id {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.admit(r) {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	s.world.record.printf("server %s: runs %s %s, last event %q", s.id, id, r.URL.Path, r.Header.Get(headerLastEvent))
	w.Header().Set(headerStamp, stampOf(id))
	if s.onRun != nil && s.onRun(s, w, r) {
		return
	}
	if s.events > 0 {
		s.stream(w, r, id)
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.world.record.printf("server %s: caller of %s disconnected", s.id, id)
		return
	}
	_, _ = io.WriteString(w, bodyOf(id)) // The caller may have disconnected.
}

func stampOf(id string) string { return "mac-" + id }

func bodyOf(id string) string { return "answer to " + id }

// stream streams the events after the last one that the caller has. The data of an event
// names the software that made it.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	last, err := strconv.Atoi(r.Header.Get(headerLastEvent))
	if err != nil {
		last = 0 // The header is absent.
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= s.events; n++ {
		select {
		case <-time.After(s.interval):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d of %s by %s\n\n", n, n, s.id, s.software); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		if s.onEvent != nil {
			s.onEvent(s, r, n)
		}
	}
	s.world.record.printf("server %s: completed stream %s", s.id, id)
}
