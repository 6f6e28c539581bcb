package main

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
}

// playPoison sends a stream that crashes each server with its first event.
func playPoison(w *world) (string, error) {
	p := &poison{world: w}
	for n := range crashServers {
		if err := p.startServer(n); err != nil {
			return "", err
		}
	}
	if err := w.setConfig(30*time.Second, streamRoutes("talk"), []map[string]any{{"name": "talk"}}); err != nil {
		return "", err
	}
	if err := w.startEntries(3); err != nil {
		return "", err
	}
	time.Sleep(contactTime + time.Second)
	for try := range poisonTries {
		s := &stream{softwares: make(map[string]int)}
		s.attempt(w.newClient(w.entries[try%len(w.entries)]), poisonPath, fmt.Sprintf("poison-%d", try), 3*time.Second)
		time.Sleep(time.Second)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.record.printf("the request reached servers %d times, %d of them later than %v after its third crash; it crashed %d", p.arrivals, p.late, contactTime, p.crashes)
	if p.late > maxLateRetries {
		return fmt.Sprintf("BUDGET: a request that had crashed three servers reached servers %d times later than %v after that, and crashed %d in all", p.late, contactTime, p.crashes), nil
	}
	return "", nil
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
	if !p.thirdAt.IsZero() && time.Since(p.thirdAt) > contactTime {
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
