//go:build review

package standin2

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of requests to backend servers and of their answers.
const (
	headerAttempt  = "X-Jujuberamp-Attempt-Id"
	headerDeadline = "X-Jujuberamp-Deadline-Ms"
	headerExpect   = "X-Jujuberamp-Expect-Instance"
	headerNotRun   = "X-Jujuberamp-Not-Executed"
	headerStamp    = "X-Jujuberamp-Server-Stamp"
	headerVersions = "X-Jujuberamp-Weight-Versions"
	headerLength   = "X-Jujuberamp-Length-Hint"
	headerModel    = "X-Jujuberamp-Model-Id"
	headerLastID   = "Last-Event-Id"
	headerResumes  = "Resumes"
)

// engine is a stand-in for a model engine, with one model.
type engine struct {
	id, software string
	zone         string
	born         int64
	rec          *record
	slots        int
	gap          time.Duration // between two events
	loadTime     time.Duration
	// answer serves a request in its own way and reports whether it did.
	answer func(w http.ResponseWriter, r *http.Request) bool
	// text returns the data of an event.
	text func(item string, n int) string

	mu      sync.Mutex
	version int64
	orders  int64
	busy    bool
	running int
}

const model = "m0"

func newEngine(id string, rec *record) *engine {
	return &engine{
		id: id, software: "v1", zone: "north-a", born: time.Now().UnixMilli(), rec: rec, slots: 8, gap: 20 * time.Millisecond, loadTime: 900 * time.Millisecond, version: 1,
		text: func(item string, n int) string { return fmt.Sprintf("%s.%d", item, n) },
	}
}

// entry returns the engine's entry in the registry.
func (e *engine) entry(addr, state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": "models", "address": addr, "zone": e.zone, "version": e.software, "slots": e.slots, "state": state,
		"warmup_left_ms": 0, "phase": "both", "born": e.born, "sequence": e.orders, "loaded_models": e.models(),
	}
}

// models returns the loaded models. The caller holds the lock.
func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": model, "version": e.version, "adapter_ids": []string{}}}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(headerExpect); want != "" && want != e.id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, map[string]any{
			"phase": "both", "loaded_models": e.models(), "busy": e.busy, "sequence": e.orders, "born": e.born, "state": "ready",
			"waiting": 0, "running": e.running, "kv_in_use": 0, "kv_capacity_total": 46927, "handles": 0,
		})
	case "/order":
		e.order(w, r)
	default:
		e.stream(w, r)
	}
}

// order starts to load a version.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version  int64 `json:"version"`
		Expected int64 `json:"expected"`
	}
	if readJSON(r, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy || o.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case e.version >= o.Version:
		return
	}
	e.orders++
	e.busy = true
	time.AfterFunc(e.loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.version, e.busy = o.Version, false
	})
	w.WriteHeader(http.StatusAccepted)
}

// take reserves a slot.
func (e *engine) take() (version int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.slots || e.busy {
		return 0, false
	}
	e.running++
	return e.version, true
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// stream answers a request for tokens with a stream of events.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerAttempt)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	version, ok := e.take()
	if !ok {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	from, err := strconv.Atoi(r.Header.Get(headerLastID))
	if err != nil {
		from = 0 // It asks for all events.
	}
	e.rec.add("engine %s runs %s %s, attempt %s, after event %d", e.id, r.Method, r.RequestURI, id, from)
	w.Header().Set(headerAttempt, id)
	w.Header().Set(headerStamp, "stamp-"+id)
	if e.answer != nil && e.answer(w, r) {
		return
	}
	count, err := strconv.Atoi(r.Header.Get(headerLength))
	if err != nil {
		count = 10 // The request has no hint.
	}
	w.Header().Set(headerVersions, strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= count; n++ {
		if !pause(r.Context(), e.gap) {
			e.rec.add("engine %s: the channel of %s closed before event %d", e.id, id, n)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.text(id, n))
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
	e.rec.add("engine %s: %s is complete with event %d", e.id, id, count)
}

// pause waits, and reports false if the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// plainServer is a stand-in for a server of the plain service.
type plainServer struct {
	id    string
	born  int64
	rec   *record
	delay time.Duration
	// answer serves a request in its own way and reports whether it did.
	answer func(w http.ResponseWriter, r *http.Request, body []byte) bool
}

func newPlainServer(id string, rec *record) *plainServer {
	return &plainServer{id: id, born: time.Now().UnixMilli(), rec: rec, delay: 20 * time.Millisecond}
}

// entry returns the server's entry in the registry.
func (s *plainServer) entry(addr, state string) map[string]any {
	return map[string]any{
		"service": "app", "address": addr, "zone": "north-a", "version": "v1", "slots": 6, "state": state, "warmup_left_ms": 0,
		"born": s.born, "sequence": 0,
	}
}

func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(headerExpect); want != "" && want != s.id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(headerAttempt)
	s.rec.add("server %s runs %s %s, attempt %s, %d bytes", s.id, r.Method, r.RequestURI, id, len(body))
	w.Header().Set(headerAttempt, id)
	w.Header().Set(headerStamp, "stamp-"+id)
	if s.answer != nil && s.answer(w, r, body) {
		return
	}
	if !pause(r.Context(), s.delay) {
		return
	}
	_, _ = io.WriteString(w, "answer to "+id) // The caller may have left.
}

// refuse answers that a request did not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}
