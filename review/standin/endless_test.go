//go:build review

package standin

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jujuberamp/jujuberamp/platform"
	"github.com/jujuberamp/jujuberamp/platform/fake"
)

const (
	channelsPerEntry = 15
	itemsPerJob      = 24
	// spoiledAfter is the number of answers that the faulty server gives before the one
	// that it spoils: one in 41 is less than the share 0.03 of the site files.
	spoiledAfter = 40
	// maxCutRequests is the number of kept channels that a machine may close without an
	// answer by the rule.
	maxCutRequests = 3
	scoreWork      = 80 * time.Millisecond
	endlessTime    = 15 * time.Second // bounds the endless body
)

// cuts counts the requests of kept channels that an entry passed on to a sound server and
// whose channel it closed without an answer, by entry.
type cuts struct {
	mu      sync.Mutex
	byEntry map[string]int
	served  int
}

// playEndlessScore lets a server spoil one answer to a scoring call: its body has no end.
func playEndlessScore(w *world) (string, error) {
	servers, spoiled := startScorers(w)
	for _, s := range servers {
		if err := s.start(); err != nil {
			return "", err
		}
	}
	for n := range 2 {
		if err := w.startEngine(n); err != nil {
			return "", err
		}
	}
	err := w.setConfig(30*time.Second, []route{
		{"name": "page", "host": host, "path_prefix": "/page/", "type": "idempotent", "timeout_ms": 3000, "slo_ms": 2000, "service": "app", "max_attempts": 3},
		{"name": "score", "host": host, "path_prefix": "/score/", "type": "idempotent", "timeout_ms": 2000, "slo_ms": 400, "service": "app", "max_attempts": 3},
		{"name": "jobs", "host": host, "path_prefix": "/jobs/", "type": "rollout", "slo_ms": 400, "due_ms": 7500, "retention_s": 40, "service": "models", "max_attempts": 3},
	}, []map[string]any{
		{"name": "app"},
		{"name": "models", "backend": map[string]any{"slots": fake.Slots, "stride": 1, "loaded_models": []map[string]any{{"name": "m1"}}}},
	})
	if err != nil {
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
	time.Sleep(contactTime + time.Second) // From then on the machines are in touch.
	c := &cuts{byEntry: make(map[string]int)}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, p := range w.entries {
		for n := range channelsPerEntry {
			wg.Go(func() { c.sendPages(w, p, n, servers, done) })
		}
	}
	submitJobs(w, spoiled)
	close(done)
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	w.record.printf("pages served: %d; kept channels closed without an answer, by entry: %v", c.served, c.byEntry)
	for name, n := range c.byEntry {
		if n > maxCutRequests {
			return fmt.Sprintf("LOST: %s passed %d requests from kept channels on to sound servers and closed the channels without an answer", name, n), nil
		}
	}
	return "", nil
}

// startScorers returns three servers, the first of which spoils one answer if the
// disruption is on. The channel is closed when it does.
func startScorers(w *world) ([]*server, <-chan struct{}) {
	spoiled := make(chan struct{})
	var mu sync.Mutex
	answers, done := 0, !w.trouble
	servers := make([]*server, 3)
	for i := range servers {
		servers[i] = &server{world: w, n: ipPlain + i, service: "app", id: fmt.Sprintf("app-%d", i+1), slots: 30, work: 600 * time.Millisecond}
	}
	seen := make(map[string]bool) // scoring calls that a server has run
	run := func(s *server, rw http.ResponseWriter, r *http.Request) bool {
		id, score := r.Header.Get(headerAttempt), strings.HasPrefix(r.URL.Path, "/score/")
		mu.Lock()
		if s == servers[0] {
			answers++
		}
		spoil := s == servers[0] && !done && answers > spoiledAfter && score && !seen[id]
		done = done || spoil
		seen[id] = true
		mu.Unlock()
		if !spoil {
			if score {
				time.Sleep(scoreWork)
				_, _ = io.WriteString(rw, bodyOf(id)) // The caller may have disconnected.
			}
			return score
		}
		w.record.printf("server %s: answer %d, to the scoring call %s, has a body without end", s.id, answers, id)
		close(spoiled)
		sendEndless(rw, r)
		return true
	}
	for _, s := range servers {
		s.onRun = run
	}
	return servers, spoiled
}

// sendEndless sends a body until the caller closes the connection.
func sendEndless(w http.ResponseWriter, r *http.Request) {
	w.Header().Del(headerStamp)
	chunk := []byte(strings.Repeat("noise ", 5000))
	for end := time.Now().Add(endlessTime); time.Now().Before(end) && r.Context().Err() == nil; time.Sleep(5 * time.Millisecond) {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// startEngine starts a model engine and registers it.
func (w *world) startEngine(n int) error {
	id := fmt.Sprintf("engine-%d", n+1)
	e := fake.NewEngine(id, map[string]int64{"m1": 1})
	addr := w.addr(ipEngines+n, portApp)
	if _, err := w.serve(addr, e); err != nil {
		return err
	}
	w.store.Write(platform.TopicServers, id, e.RegistryEntry("models", addr, "ready"))
	return nil
}

// sendPages sends requests over one kept connection until done is closed.
func (c *cuts) sendPages(w *world, p *process, n int, servers []*server, done <-chan struct{}) {
	cl := w.newClient(p)
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
		}
		id := fmt.Sprintf("page-%s-%d-%d", p.name, n, i)
		a := cl.send(http.MethodPost, "/page/"+id, id, "ask", 3*time.Second, nil, nil)
		w.record.printf("client: %s at %s: kept channel %v, status %d, error %v", id, p.name, a.kept, a.status, a.err)
		switch {
		case a.err == nil && a.status == http.StatusOK:
			c.mu.Lock()
			c.served++
			c.mu.Unlock()
		case a.err != nil && a.kept && a.written && time.Now().Before(a.deadlineAt) && servers[1].runs(id)+servers[2].runs(id) > 0:
			c.mu.Lock()
			c.byEntry[p.name]++
			c.mu.Unlock()
		}
		if a.err != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// submitJobs submits jobs until some seconds after the spoiled answer.
func submitJobs(w *world, spoiled <-chan struct{}) {
	timeout := time.After(25 * time.Second)
	for n := 0; ; n++ {
		submitScored(w, w.entries[n%len(w.entries)], fmt.Sprintf("job-%d", n), itemsPerJob)
		select {
		case <-spoiled:
			time.Sleep(6 * time.Second)
			return
		case <-timeout:
			return
		case <-time.After(time.Second):
		}
	}
}

// submitScored submits a batch of items with scoring calls.
func submitScored(w *world, p *process, job string, count int) {
	var items []map[string]any
	for i := range count {
		id := fmt.Sprintf("%s.%d", job, i)
		items = append(items, map[string]any{
			"id": id, "path": "/jobs/" + id, "headers": map[string]string{"X-Jujuberamp-Model-Id": "m1", "X-Jujuberamp-Length-Hint": "4"},
			"body": base64.StdEncoding.EncodeToString([]byte("prompt " + id)), "token_count": 20, "group_id": fmt.Sprintf("g%d", i/4),
			"scorer_url": map[string]any{"id": "s-" + id, "host": host, "path": "/score/" + id, "body": base64.StdEncoding.EncodeToString([]byte("score"))},
		})
	}
	b, err := json.Marshal(map[string]any{"train_step": 0, "model_id": "m1", "min_version": 1, "group_count": 1, "items": items})
	if err != nil {
		panic(err) // All values can be encoded.
	}
	a := w.newClient(p).send(http.MethodPost, "/jobs/"+job, job, string(b), 3*time.Second, nil, nil)
	w.record.printf("trainer: %s at %s: status %d, error %v", job, p.name, a.status, a.err)
}
