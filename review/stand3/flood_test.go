//go:build review

package stand3

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jujuberamp/jujuberamp/platform"
	"github.com/jujuberamp/jujuberamp/platform/fake"
)

func init() { cases["flood"] = flood }

// smallConfig has the limits on bodies of the site file: 32 MB.
const smallConfig = `{"version":3,"routes":[
	{"name":"plain","host":"s.example","path_prefix":"/plain/","type":"idempotent","timeout_ms":5000,"slo_ms":200,"service":"app","max_attempts":3},
	{"name":"jobs","host":"s.example","path_prefix":"/jobs/","type":"rollout","timeout_ms":10000,"slo_ms":400,"due_ms":7500,"retention_s":40,"service":"models","max_attempts":3}],
	"services":[{"name":"app","max_conns":110},{"name":"models","max_conns":150,"backend":{"slots":8,"stride":1,"loaded_models":[{"name":"m"}]}}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// flooding is an engine whose answers to items don't end while it is in trouble: it sends
// events until the caller closes, as fast as they are taken.
type flooding struct {
	*fake.Engine
	on      *atomic.Bool
	answers atomic.Int64
}

func (e *flooding) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.on.Load() || r.URL.Path == "/report" || r.URL.Path == "/order" {
		e.Engine.ServeHTTP(w, r)
		return
	}
	e.answers.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set("X-Jujuberamp-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	text := strings.Repeat("x", 8000)
	for n := 1; ; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, text); err != nil {
			return
		}
	}
}

const (
	floodEngines  = 9
	floodTroubled = 2
	floodTime     = 30 * time.Second
)

// flood lets the answers of two engines of nine go on without end.
func flood(s *stage) {
	s.configure(smallConfig)
	var on atomic.Bool
	var troubled []*flooding
	var agents []*proc
	for i := range floodEngines {
		id := fmt.Sprintf("i-%d", i+1)
		e := fake.NewEngine(id, map[string]int64{"m": 1})
		e.SetDelays(20*time.Millisecond, 0)
		var h http.Handler = e
		if i < floodTroubled {
			f := &flooding{Engine: e, on: &on}
			troubled = append(troubled, f)
			h = f
		}
		addr := s.serve(s.ip(21+i), h)
		s.store.Write(platform.TopicServers, id, e.RegistryEntry("models", addr, "ready"))
		agents = append(agents, s.begin("agent", fake.Settings{Node: fmt.Sprintf("agent-%d", i+1), IP: s.ip(21 + i), EngineAddr: addr, MemoryMB: 216, MaxFDs: 4096}))
	}
	var entries []*proc
	for i := range 2 {
		entries = append(entries, s.begin("entry", fake.Settings{Node: fmt.Sprintf("entry-%d", i+1), IP: s.ip(11 + i), MemoryMB: 304, MaxFDs: 8200}))
	}
	s.awaitReady(entries...)
	time.Sleep(time.Second)
	on.Store(s.trouble)
	for k, end := 0, time.Now().Add(floodTime); time.Now().Before(end); k++ {
		id := fmt.Sprintf("step-%d", k)
		r := s.call(5*time.Second, http.MethodPost, entries[k%2].front(), "/jobs/x", id, []byte(`{"train_step":0,"model_id":"m","min_version":1,"group_count":15,"items":[`+rolloutItems(id, 60, 25)+`]}`))
		s.logf("%s of 60 items: status %d %v", id, r.status, r.err)
		time.Sleep(2 * time.Second) // Two trainers, each with a step in 4 s.
	}
	for i, f := range troubled {
		s.logf("engine i-%d gave %d answers that did not end", i+1, f.answers.Load())
	}
	thrice := 0
	for _, p := range append(agents, entries...) {
		p.mu.Lock()
		s.logf("%s ended %d times, at most %d MB of %d were in use", p.name, p.ended, p.peakMB, p.settings.MemoryMB)
		if p.ended >= 3 {
			thrice++
		}
		p.mu.Unlock()
	}
	if thrice >= 2 {
		s.breaks("the processes of %d of %d machines ended three times or more each, since their memory was over its limit", thrice, floodEngines+len(entries))
	}
}
