//go:build review

package stand3

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujuberamp/jujuberamp/platform"
	"github.com/jujuberamp/jujuberamp/platform/fake"
)

func init() { cases["open-jobs"] = openJobs }

const (
	openJobCount  = 66
	openJobItems  = 9000 // 1.8 MB, below call_bytes
	smallJobItems = 12
	afterwards    = 40 * time.Second
)

// openJobs lets one client submit many batch submissions of legal size, and does nothing more.
func openJobs(s *stage) {
	s.configure(smallConfig)
	e := fake.NewEngine("i-1", map[string]int64{"m": 1})
	e.SetDelays(20*time.Millisecond, 0)
	addr := s.serve(s.ip(21), e)
	s.store.Write(platform.TopicServers, "i-1", e.RegistryEntry("models", addr, "ready"))
	s.begin("agent", fake.Settings{Node: "agent-1", IP: s.ip(21), EngineAddr: addr, MemoryMB: 216, MaxFDs: 4096})
	var entries []*proc
	for i := range 3 {
		entries = append(entries, s.begin("entry", fake.Settings{Node: fmt.Sprintf("entry-%d", i+1), IP: s.ip(11 + i), MemoryMB: 304, MaxFDs: 8200}))
	}
	s.awaitReady(entries...)
	time.Sleep(time.Second)
	size := openJobItems
	if !s.trouble {
		size = smallJobItems
	}
	var accepted, refused atomic.Int64
	var sending sync.WaitGroup
	for n, p := range entries {
		sending.Go(func() {
			for k := n; k < openJobCount; k += len(entries) {
				body := []byte(`{"model_id":"m","min_version":1,"group_count":4,"items":[` + rolloutItems(fmt.Sprintf("b%d", k), size, 20) + `]}`)
				r := s.call(10*time.Second, http.MethodPost, p.front(), "/jobs/x", fmt.Sprintf("batch-%d", k), body)
				if r.status == http.StatusAccepted {
					accepted.Add(1)
				} else {
					refused.Add(1)
				}
				if k < len(entries) || r.status != http.StatusAccepted {
					s.logf("batch-%d of %d items and %d bytes at %s: status %d %.80s %v", k, size, len(body), p.name, r.status, strings.TrimSpace(string(r.body)), r.err)
				}
			}
		})
	}
	sending.Wait()
	s.logf("%d batch submissions were accepted, %d were not; the client sends nothing more", accepted.Load(), refused.Load())
	for end := time.Now().Add(afterwards); time.Now().Before(end); time.Sleep(10 * time.Second) {
		ready := 0
		for _, p := range entries {
			if p.ready() {
				ready++
			}
		}
		s.logf("%d of %d entries are ready", ready, len(entries))
	}
	thrice := 0
	for _, p := range entries {
		p.mu.Lock()
		s.logf("%s ended %d times, at most %d MB of %d were in use", p.name, p.ended, p.peakMB, p.settings.MemoryMB)
		if p.ended >= 3 {
			thrice++
		}
		p.mu.Unlock()
	}
	if thrice >= 2 {
		s.breaks("the processes of %d of 4 machines ended three times or more each, since their memory was over its limit, with no disturbance there", thrice)
	}
}
