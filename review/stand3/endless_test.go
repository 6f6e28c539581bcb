//go:build review

package stand3

import (
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

func init() { cases["endless-answer"] = endlessAnswer }

// runaway is an engine of which one answer never ends: its events go on behind the last one
// that the item asks for, until the caller closes.
type runaway struct {
	*fake.Engine
	stage *stage
	mu    sync.Mutex
	armed bool
	item  string // whose answer does not end
}

// takes reports whether a request is the one whose answer does not end.
func (e *runaway) takes(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.armed || r.URL.Path == "/report" || r.URL.Path == "/order" {
		return false
	}
	e.armed, e.item = false, r.Header.Get(headerID)
	return true
}

func (e *runaway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.takes(r) {
		e.Engine.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.stage.logf("engine i-1 runs item %s, and its answer goes on without end", e.item)
	w.Header().Set(headerID, e.item)
	w.Header().Set("X-Jujuberamp-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	text := strings.Repeat("x", 1000)
	for n := 1; ; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, text); err != nil {
			e.stage.logf("the caller of engine i-1 has closed the answer, about %d KB were sent", n)
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(2 * time.Millisecond)
	}
}

const rolloutConfig = `{"version":3,"routes":[
	{"name":"jobs","host":"s.example","path_prefix":"/jobs/","type":"rollout","timeout_ms":10000,"slo_ms":400,"due_ms":7500,"retention_s":40,"service":"models","max_attempts":3}],
	"services":[{"name":"models","max_conns":150,"backend":{"slots":4,"stride":1,"loaded_models":[{"name":"m"}]}}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// rolloutItems returns items that ask for a number of tokens each.
func rolloutItems(prefix string, n, tokens int) string {
	items := make([]string, n)
	for i := range items {
		items[i] = fmt.Sprintf(`{"id":"%s-%d","group_id":"%s-g%d","path":"/jobs/x","headers":{"X-Jujuberamp-Model-Id":"m","X-Jujuberamp-Token-Usage":"10,%d","X-Jujuberamp-Length-Hint":"%d"},"body":"AAAA","token_count":%d}`,
			prefix, i, prefix, i/4, tokens, tokens, tokens+10)
	}
	return strings.Join(items, ",")
}

// engines starts three engines with their agents. The first one is in trouble if it is armed.
func (s *stage) engines(ran func(engine, item string)) *runaway {
	var first *runaway
	for i := 1; i <= 3; i++ {
		id := fmt.Sprintf("i-%d", i)
		e := fake.NewEngine(id, map[string]int64{"m": 1})
		e.SetDelays(20*time.Millisecond, 0)
		e.OnRequest(func(engine string, r *http.Request, _ []byte) { ran(engine, r.Header.Get(headerID)) })
		var h http.Handler = e
		if i == 1 {
			first = &runaway{Engine: e, stage: s}
			h = first
		}
		addr := s.serve(s.ip(20+i), h)
		s.store.Write(platform.TopicServers, id, e.RegistryEntry("models", addr, "ready"))
		s.begin("agent", fake.Settings{Node: fmt.Sprintf("agent-%d", i), IP: s.ip(20 + i), EngineAddr: addr, MemoryMB: 216, MaxFDs: 4096})
	}
	return first
}

// endlessAnswer lets the answer of one engine to one item go on without end.
func endlessAnswer(s *stage) {
	s.configure(rolloutConfig)
	first := s.engines(func(engine, item string) { s.logf("engine %s runs item %s", engine, item) })
	a := s.begin("entry", fake.Settings{Node: "entry-1", IP: s.ip(11), MemoryMB: 304, MaxFDs: 8200})
	b := s.begin("entry", fake.Settings{Node: "entry-2", IP: s.ip(12), MemoryMB: 304, MaxFDs: 8200})
	s.awaitReady(a, b)
	time.Sleep(time.Second) // The agents read the reports of their engines.
	first.mu.Lock()
	first.armed = s.trouble
	first.mu.Unlock()
	const items = 12
	r := s.call(5*time.Second, http.MethodPost, a.front(), "/jobs/x", "job-1", []byte(`{"train_step":0,"model_id":"m","min_version":1,"group_count":3,"items":[`+rolloutItems("item", items, 20)+`]}`))
	s.logf("batch submission job-1 with %d items: status %d %v", items, r.status, r.err)
	if r.status != http.StatusAccepted {
		panic(unable{fmt.Errorf("the batch submission was not accepted")})
	}
	accepted := time.Now()
	var list fake.List
	s.await(20*time.Second, func() bool {
		time.Sleep(200 * time.Millisecond)
		r := s.call(3*time.Second, http.MethodGet, b.front(), "/lots/job-1?after=0", "", nil)
		list = fake.List{}
		return r.status == http.StatusOK && json.Unmarshal(r.body, &list) == nil && len(list.Results) == items
	})
	s.logf("%d of %d results are listed %.1f s after the 202", len(list.Results), items, time.Since(accepted).Seconds())
	done := 0
	for _, res := range list.Results {
		s.logf("result of %s: %s, %d bytes", res.ID, res.State, len(res.Output))
		switch {
		case res.State == "done":
			done++
		case time.Since(accepted) < 39*time.Second:
			s.breaks("item %s is %s: no engine answered 422, none answered 500, retention_s (40) has not passed, and neither the batch submission nor its route has ended", res.ID, res.State)
		}
	}
	if !s.trouble && done != items {
		panic(unable{fmt.Errorf("%d of %d items are done without the disruption", done, items)})
	}
}
