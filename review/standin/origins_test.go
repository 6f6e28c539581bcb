//go:build review

package standin

import (
	"fmt"
	"sync"
	"time"
)

const (
	// minResumed is the number of streams that clients must take up again for the rule to
	// be judged. The share that goes on must be at least half of the share of new streams
	// that begin.
	minResumed   = 12
	minShare     = 0.5
	originEvents = 150
	longLimit    = 20 * time.Second
	newStreams   = 12
	resumeTries  = 4
	retryAfter   = 300 * time.Millisecond
	killInterval = 2 * time.Second
)

// playOrigins kills the entries one after the other, never two at once, while streams are
// in progress at the last of them.
func playOrigins(w *world) (string, error) {
	var servers []*server
	for i, software := range []string{"v1", "v2"} {
		for _, s := range w.streamServers(2, 10*i, software) {
			s.events, s.slots = originEvents, 40
			servers = append(servers, s)
		}
	}
	for _, s := range servers {
		if err := s.start(); err != nil {
			return "", err
		}
	}
	routes := streamRoutes("talk")
	routes[0]["timeout_ms"] = longLimit.Milliseconds()
	if err := w.setConfig(30*time.Second, routes, []map[string]any{{"name": "talk"}}); err != nil {
		return "", err
	}
	if err := w.startEntries(3); err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	first, last := w.entries[:2], w.entries[2]
	streams := make([]*stream, streamsBegun)
	resumed := make(chan int, streamsBegun) // 1 for each stream that went on, else 0
	var wg sync.WaitGroup
	for i := range streams {
		s := &stream{softwares: make(map[string]int)}
		streams[i] = s
		wg.Go(func() {
			if !s.attempt(w.newClient(last), fmt.Sprintf("/talk/%d", i), fmt.Sprintf("t%d-0", i), longLimit) {
				return // It was complete at the first attempt.
			}
			resumed <- w.takeUp(s, first, i)
		})
	}
	time.Sleep(time.Second)
	if w.trouble {
		for _, p := range first {
			p.killAndRestart(restartDelay)
			time.Sleep(killInterval)
		}
		time.Sleep(contactTime - killInterval + time.Second) // Both are in touch again.
		go last.killAndRestart(restartDelay)
	}
	began := w.beginNew(first)
	wg.Wait()
	close(resumed)
	taken, wentOn := 0, 0
	for n := range resumed {
		taken++
		wentOn += n
	}
	for i, s := range streams {
		w.record.printf("stream %d: events by software %v, complete %v, statuses %v", i, s.softwares, s.complete, s.statuses)
	}
	w.record.printf("%d streams taken up again, %d went on; %d of %d new streams began", taken, wentOn, began, newStreams)
	if taken >= minResumed && float64(wentOn)/float64(taken) < minShare*float64(began)/newStreams {
		return fmt.Sprintf("LOST: of %d streams that were taken up again at machines in touch, %d went on, and %d of %d new ones began", taken, wentOn, began, newStreams), nil
	}
	return "", nil
}

// takeUp takes a stream up again at the given entries, as often as a client does, and
// returns 1 if it went on.
func (w *world) takeUp(s *stream, entries []*process, n int) int {
	had := s.last
	for try := range resumeTries {
		id := fmt.Sprintf("t%d-%d", n, try+1)
		if !s.attempt(w.newClient(entries[(n+try)%len(entries)]), fmt.Sprintf("/talk/%d", n), id, longLimit/2) || s.last > had {
			return 1
		}
		time.Sleep(retryAfter)
	}
	return 0
}

// beginNew begins new streams at the given entries and returns how many began.
func (w *world) beginNew(entries []*process) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := 0
	for n := range newStreams {
		wg.Go(func() {
			s := &stream{softwares: make(map[string]int)}
			s.attempt(w.newClient(entries[n%len(entries)]), fmt.Sprintf("/talk/new%d", n), fmt.Sprintf("n%d", n), longLimit/10)
			mu.Lock()
			defer mu.Unlock()
			if s.last > 0 {
				began++
			}
		})
	}
	wg.Wait()
	return began
}
