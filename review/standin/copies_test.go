//go:build review

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/platform/fake"
)

const (
	// copyItem is the item whose scoring call gets copyFailures answers of 500 and then an
	// answer of 200. An item may be given up after scoreAttempts answers of 500.
	copyItem      = "step.0"
	copyFailures  = 2
	scoreAttempts = 3
	// copyWarmUp is the number of answers that each of the two servers has given before: one
	// second copy is less than the share 0.03 of them.
	copyWarmUp = 40
	copyWarmer = 8 // clients that send requests until then
	copyWork   = 200 * time.Millisecond
	copyLimit  = 10 * time.Second
)

// copier makes servers send a second copy of an answer where the next answer on its
// connection is expected.
type copier struct {
	world *world

	mu       sync.Mutex
	arrivals int // of the scoring call of copyItem
	failures int // answers of 500 to it, second copies not counted
	answers  map[string]int
}

// connCopy is the second copy that is still to be sent on a connection.
type connCopy struct {
	mu  sync.Mutex
	raw string
}

type connCopyKey struct{}

// playCopies lets each of two servers send a second copy of an answer to a scoring call.
func playCopies(w *world) (string, error) {
	c := &copier{world: w, answers: make(map[string]int)}
	for i := range 2 {
		s := &server{world: w, n: ipPlain + i, service: "app", id: fmt.Sprintf("app-%d", i+1), slots: 40, work: 20 * time.Millisecond, onRun: c.run}
		s.connContext = func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connCopyKey{}, &connCopy{})
		}
		if err := s.start(); err != nil {
			return "", err
		}
	}
	for n := range 2 {
		if _, err := w.startEngineWith(n, 10*time.Millisecond); err != nil {
			return "", err
		}
	}
	if err := w.setScoreConfig(); err != nil {
		return "", err
	}
	if err := w.startEntries(3); err != nil {
		return "", err
	}
	for n := range 2 {
		if err := w.startAgent(n); err != nil {
			return "", err
		}
	}
	time.Sleep(2 * time.Second)
	if err := c.warmUp(); err != nil {
		return "", err
	}
	submitScored(w, w.entries[0], strings.TrimSuffix(copyItem, ".0"), 1)
	for end := time.Now().Add(copyLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		a := w.newClient(w.entries[0]).send(http.MethodGet, "/lots/step?after=0", "", "", time.Second, nil, nil)
		var list fake.List
		if err := json.Unmarshal([]byte(a.body), &list); err != nil || len(list.Results) == 0 {
			continue
		}
		c.mu.Lock()
		failures := c.failures
		c.mu.Unlock()
		r := list.Results[0]
		w.record.printf("trainer: %s is listed as %s with score %q; its scoring call has got %d answers of 500", r.ID, r.State, r.Score, failures)
		if r.State == "dead" && failures < scoreAttempts {
			return fmt.Sprintf("MIXED: %s is dead although its scoring call got %d answers of 500 (max_attempts is %d)", r.ID, failures, scoreAttempts), nil
		}
		return "", nil
	}
	w.record.printf("trainer: %s is not listed after %v", copyItem, copyLimit)
	return "", nil
}

// warmUp sends requests until each server has given copyWarmUp answers.
func (c *copier) warmUp() error {
	for round := range 20 {
		var wg sync.WaitGroup
		for n := range copyWarmer {
			wg.Go(func() {
				cl := c.world.newClient(c.world.entries[n%len(c.world.entries)])
				for i := range 10 {
					id := fmt.Sprintf("warm%d-%d-%d", round, n, i)
					cl.send(http.MethodPost, "/score/"+id, id, "ask", time.Second, nil, nil)
				}
			})
		}
		wg.Wait()
		c.mu.Lock()
		least := min(c.answers["app-1"], c.answers["app-2"])
		c.mu.Unlock()
		if least >= copyWarmUp {
			return nil
		}
	}
	return errors.New("a server gets no requests")
}

// setScoreConfig writes a configuration with one model and a route for scoring calls.
func (w *world) setScoreConfig() error {
	return w.setConfig(30*time.Second, []route{
		{"name": "score", "host": host, "path_prefix": "/score/", "type": "idempotent", "timeout_ms": 2000, "slo_ms": 1000, "service": "app", "max_attempts": scoreAttempts},
		{"name": "jobs", "host": host, "path_prefix": "/jobs/", "type": "rollout", "slo_ms": 400, "due_ms": 7500, "retention_s": 40, "service": "models", "max_attempts": 3},
	}, []map[string]any{
		{"name": "app"},
		{"name": "models", "backend": map[string]any{"slots": fake.Slots, "stride": 1, "loaded_models": []map[string]any{{"name": "m1"}}}},
	})
}

// run answers the scoring call of copyItem, and sends the second copy that is due on the
// connection of a request.
func (c *copier) run(s *server, w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get(headerAttempt)
	due, _ := r.Context().Value(connCopyKey{}).(*connCopy)
	c.mu.Lock()
	c.answers[s.id]++
	answers := c.answers[s.id]
	watched := id == "s-"+copyItem
	if watched {
		c.arrivals++
	}
	arrival := c.arrivals
	c.mu.Unlock()
	if c.sendCopy(s, w, due, id) {
		return true
	}
	if !watched || arrival > copyFailures {
		return false
	}
	time.Sleep(s.work)
	body := "failed"
	w.WriteHeader(http.StatusInternalServerError)
	fmt.Fprint(w, body)
	c.mu.Lock()
	c.failures++
	c.mu.Unlock()
	c.world.record.printf("server %s: answers 500 to %s, its answer %d", s.id, id, answers)
	if c.world.trouble {
		due.mu.Lock()
		defer due.mu.Unlock()
		due.raw = fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerAttempt, id, headerStamp, stampOf(id), len(body), body)
	}
	return true
}

// sendCopy sends the second copy that is due on a connection, and then the answer to the
// request. It returns false if none is due.
func (c *copier) sendCopy(s *server, w http.ResponseWriter, due *connCopy, id string) bool {
	due.mu.Lock()
	raw := due.raw
	due.raw = ""
	due.mu.Unlock()
	if raw == "" {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		c.world.record.printf("server %s: no second copy: %v", s.id, err)
		return false
	}
	defer conn.Close()
	c.world.record.printf("server %s: sends a second copy of its last answer on the connection of %s", s.id, id)
	if _, err := fmt.Fprint(conn, raw); err != nil {
		return true
	}
	time.Sleep(copyWork)
	body := bodyOf(id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", headerAttempt, id, headerStamp, stampOf(id), len(body), body)
	c.world.record.printf("server %s: answers 200 to %s", s.id, id)
	return true
}
