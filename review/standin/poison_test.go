//go:build review

package standin

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	crashServers = 6
	// backAfter is when a server that crashed is back, as a new incarnation.
	backAfter = 3 * time.Second
	// crashesUntilKnown is the number of crashes after which the request is known to crash
	// servers, and maxLateRetries how often it may reach servers contactTime after the last
	// of them.
	crashesUntilKnown = 3
	maxLateRetries    = 3
	poisonTries       = 24
	poisonPath        = "/talk/poison"
	bystanders        = 6
)

// poison counts the arrivals of a request that crashes the servers that run it.
type poison struct {
	world *world

	mu       sync.Mutex
	starts   int // of servers
	crashes  int
	thirdAt  time.Time // of the third crash
	arrivals int
	late     int // arrivals later than contactTime after the third crash
	cut      int // streams of other clients that were cut since then
}

// playPoison sends a stream that crashes each server with its first event.
func playPoison(w *world) (string, error) {
	p := &poison{world: w}
	for n := range crashServers {
		if err := p.startServer(n); err != nil {
			return "", err
		}
	}
	fixed := streamRoutes("talk")[0]
	fixed["name"], fixed["path_prefix"], fixed["resumable"] = "fixed", "/fixed/", false
	if err := w.setConfig(30*time.Second, append(streamRoutes("talk"), fixed), []map[string]any{{"name": "talk"}}); err != nil {
		return "", err
	}
	if err := w.startEntries(3); err != nil {
		return "", err
	}
	time.Sleep(contactTime + time.Second)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for n := range bystanders {
		wg.Go(func() { p.streamBeside(n, done) })
	}
	for try := range poisonTries {
		s := &stream{softwares: make(map[string]int)}
		s.attempt(w.newClient(w.entries[try%len(w.entries)]), poisonPath, fmt.Sprintf("poison-%d", try), 3*time.Second)
		time.Sleep(time.Second)
	}
	close(done)
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.record.printf("the request reached servers %d times, %d of them later than %v after its third crash; it crashed %d; %d streams of other clients were cut since then",
		p.arrivals, p.late, contactTime, p.crashes, p.cut)
	if p.late > maxLateRetries {
		return fmt.Sprintf("BUDGET: a request that had crashed three servers reached servers %d times later than %v after that, crashed %d in all, and cut %d streams of others", p.late, contactTime, p.crashes, p.cut), nil
	}
	return "", nil
}

// isLate reports whether the third crash is longer ago than contactTime. The caller holds
// the lock.
func (p *poison) isLate() bool { return !p.thirdAt.IsZero() && time.Since(p.thirdAt) > contactTime }

// streamBeside streams as another client does, until done is closed, and counts its
// streams that are cut.
func (p *poison) streamBeside(n int, done <-chan struct{}) {
	c := p.world.newClient(p.world.entries[n%len(p.world.entries)])
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		s := &stream{softwares: make(map[string]int)}
		s.attempt(c, fmt.Sprintf("/fixed/%d", n), fmt.Sprintf("other%d-%d", n, i), 3*time.Second)
		p.mu.Lock()
		if s.last > 0 && !s.complete && p.isLate() {
			p.cut++
		}
		p.mu.Unlock()
	}
}

// startServer starts a server as a new incarnation with a new ID.
func (p *poison) startServer(n int) error {
	p.mu.Lock()
	p.starts++
	id := fmt.Sprintf("talk-%d", p.starts)
	p.mu.Unlock()
	s := &server{
		world: p.world, n: ipPlain + n, service: "talk", id: id, software: "v1", slots: 16, events: 10, interval: 50 * time.Millisecond,
	}
	early := os.Getenv("EARLY") != ""
	s.onRun = func(s *server, _ http.ResponseWriter, r *http.Request) bool {
		if !p.arrived(r) || !early {
			return false
		}
		p.crash(s, n)
		panic(http.ErrAbortHandler)
	}
	s.onEvent = func(s *server, r *http.Request, _ int) {
		if p.world.trouble && strings.HasPrefix(r.URL.Path, poisonPath) {
			p.crash(s, n)
			panic(http.ErrAbortHandler)
		}
	}
	return s.start()
}

// arrived counts an arrival of the request and reports whether it crashes the server.
func (p *poison) arrived(r *http.Request) bool {
	if !p.world.trouble || !strings.HasPrefix(r.URL.Path, poisonPath) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals++
	if p.isLate() {
		p.late++
	}
	return true
}

// crash ends a server and starts another incarnation some seconds later.
func (p *poison) crash(s *server, n int) {
	p.mu.Lock()
	p.crashes++
	if p.crashes == crashesUntilKnown {
		p.thirdAt = time.Now()
	}
	p.mu.Unlock()
	p.world.record.printf("server %s: crashes", s.id)
	s.crash()
	time.AfterFunc(backAfter, func() {
		if err := p.startServer(n); err != nil {
			p.world.record.printf("server not restarted: %v", err)
		}
	})
}
