//go:build review

package standin

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	streamsBegun = 24
	streamEvents = 60
	// streamLimit is the clients' time limit, and maxTries how often they send a stream.
	streamLimit = 12 * time.Second
	maxTries    = 5
	releaseGap  = time.Second // between two servers that are replaced
	// maxMixedStreams is the number of streams with events of two software versions that the
	// rule allows.
	maxMixedStreams = 2
)

func streamRoutes(service string) []route {
	return []route{{
		"name": "talk", "host": host, "path_prefix": "/talk/", "type": "streaming", "timeout_ms": 12000, "slo_ms": 1000,
		"service": service, "max_attempts": 3, "resumable": true,
	}}
}

// streamServers returns servers of one software version.
func (w *world) streamServers(n, first int, software string) []*server {
	out := make([]*server, n)
	for i := range out {
		out[i] = &server{
			world: w, n: ipPlain + first + i, service: "talk", id: fmt.Sprintf("talk-%s-%d", software, i+1), software: software,
			slots: 16, events: streamEvents, interval: 100 * time.Millisecond,
		}
	}
	return out
}

// playVersions replaces the last servers with the older of two software versions, one after
// the other, and then kills all entries at once.
func playVersions(w *world) (string, error) {
	older, newer := w.streamServers(2, 0, "v1"), w.streamServers(5, 10, "v2")
	for _, s := range append(older, newer[:3]...) {
		if err := s.start(); err != nil {
			return "", err
		}
	}
	if err := w.setConfig(30*time.Second, streamRoutes("talk"), []map[string]any{{"name": "talk"}}); err != nil {
		return "", err
	}
	if err := w.startEntries(3); err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	streams := make([]*stream, streamsBegun)
	var wg sync.WaitGroup
	for i := range streams {
		streams[i] = &stream{softwares: make(map[string]int)}
		wg.Go(func() { w.runStream(streams[i], i) })
	}
	time.Sleep(time.Second)
	for i, s := range older { // Each leaves without a word, and serves on for a time.
		if err := newer[3+i].start(); err != nil {
			return "", err
		}
		time.Sleep(releaseGap / 2)
		s.unlist()
		time.AfterFunc(drainTime+500*time.Millisecond, s.exit)
		time.Sleep(releaseGap / 2)
	}
	if w.trouble {
		w.killEntries()
	}
	wg.Wait()
	mixed := 0
	for i, s := range streams {
		w.record.printf("stream %d: events by software %v, complete %v, statuses %v", i, s.softwares, s.complete, s.statuses)
		if len(s.softwares) > 1 {
			mixed++
		}
	}
	if mixed > maxMixedStreams {
		return fmt.Sprintf("ORDER: %d of %d streams hold events of two software versions over their client's tries", mixed, streamsBegun), nil
	}
	return "", nil
}

// killEntries kills all entries at once and starts them again as the platform does.
func (w *world) killEntries() {
	for _, p := range w.entries {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range w.entries {
		<-p.exited
	}
	time.Sleep(restartDelay)
	for _, p := range w.entries {
		p.restart()
	}
}

// runStream runs a stream as a client does: after a failure it takes the stream up again at
// another entry, on a new connection, after the time that the entry named.
func (w *world) runStream(s *stream, n int) {
	deadline := time.Now().Add(streamLimit)
	for try := range maxTries {
		left := time.Until(deadline)
		if left <= 0 || !s.attempt(w.newClient(w.entries[(n+try)%len(w.entries)]), fmt.Sprintf("/talk/%d", n), fmt.Sprintf("t%d-%d", n, try), left) {
			return
		}
		time.Sleep(time.Second)
	}
}
