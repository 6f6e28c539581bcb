//go:build review

package standin

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	drainClients = 6
	// excusedUntil is when a request must have been sent, after the SIGTERM, to be excused if
	// its server is still at work in the last sixth of the grace period.
	excusedUntil = 3 * time.Second
)

// playDrain stops an entry while a stream on a connection from before a change of the
// limits is still in progress. Other clients use connections from after the change.
func playDrain(w *world) (string, error) {
	pages := &server{world: w, n: ipPlain, service: "app", id: "app-1", slots: 30, work: time.Second}
	talk := w.streamServers(1, 10, "v1")[0]
	talk.events = 140
	for _, s := range []*server{pages, talk} {
		if err := s.start(); err != nil {
			return "", err
		}
	}
	routes := append(streamRoutes("talk"), route{
		"name": "page", "host": host, "path_prefix": "/page/", "type": "non_idempotent", "timeout_ms": 3000, "slo_ms": 2000, "service": "app", "max_attempts": 3,
	})
	routes[0]["timeout_ms"] = 20000
	services := []map[string]any{{"name": "app"}, {"name": "talk"}}
	if err := w.setConfig(30*time.Second, routes, services); err != nil {
		return "", err
	}
	if err := w.startEntries(2); err != nil {
		return "", err
	}
	entry := w.entries[0]
	early := w.newClient(entry)
	w.sendPage(early, "early-0") // Opens the connection under the first limits.
	if os.Getenv("SAME_LIMITS") == "" {
		if err := w.setConfig(20*time.Second, routes, services); err != nil {
			return "", err
		}
	}
	time.Sleep(contactTime + 3*time.Second) // The configuration is no longer new.
	done := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]*answer)
	for n := range drainClients {
		wg.Go(func() {
			c := w.newClient(entry)
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("page-%d-%d", n, i)
				a := w.sendPage(c, id)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				if a.err != nil {
					return // The client goes on at another entry.
				}
			}
		})
	}
	time.Sleep(time.Second)
	wg.Go(func() {
		(&stream{softwares: make(map[string]int)}).attempt(early, "/talk/1", "stream-1", 20*time.Second)
	})
	time.Sleep(time.Second)
	stoppedAt := time.Now()
	if w.trouble {
		entry.signal(syscall.SIGTERM)
	}
	time.Sleep(graceTime)
	if w.trouble {
		entry.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	close(done)
	if !w.trouble {
		time.Sleep(4 * time.Second)
	}
	wg.Wait()
	cut := 0
	for id, a := range answers {
		ran := pages.runs(id) > 0
		if a.err == nil || !a.written || !ran || a.sentAt.Sub(stoppedAt) <= excusedUntil || a.endedAt.After(a.deadlineAt) {
			continue
		}
		cut++
		w.record.printf("%s: sent %v after the SIGTERM over a kept channel (%v), passed on to the server, cut %v after the SIGTERM: %v",
			id, a.sentAt.Sub(stoppedAt).Round(time.Millisecond), a.kept, a.endedAt.Sub(stoppedAt).Round(time.Millisecond), a.err)
	}
	if cut > 0 {
		return fmt.Sprintf("LOST: %d requests that were sent later than %v after the SIGTERM were passed on to a server and cut", cut, excusedUntil), nil
	}
	return "", nil
}

// sendPage sends a request that may run only once.
func (w *world) sendPage(c *client, id string) *answer {
	a := c.send(http.MethodPost, "/page/"+id, id, "ask", 3*time.Second, nil, nil)
	w.record.printf("client: %s at %s: kept channel %v, status %d, close %q, error %v", id, c.entry.name, a.kept, a.status, a.header.Get("Connection"), a.err)
	return a
}
