//go:build review

package stand3

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/jujuberamp/jujuberamp/platform"
	"github.com/jujuberamp/jujuberamp/platform/fake"
)

func init() { cases["elements"] = elements }

// smallConfig has the limits on bodies of the site file: 32 MB.
const smallConfig = `{"version":3,"routes":[
	{"name":"plain","host":"s.example","path_prefix":"/plain/","type":"idempotent","timeout_ms":5000,"slo_ms":200,"service":"app","max_attempts":3},
	{"name":"jobs","host":"s.example","path_prefix":"/jobs/","type":"rollout","timeout_ms":10000,"slo_ms":400,"due_ms":7500,"retention_s":40,"service":"models","max_attempts":3}],
	"services":[{"name":"app","max_conns":110},{"name":"models","max_conns":150,"backend":{"slots":8,"stride":1,"loaded_models":[{"name":"m"}]}}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// elements lets one client send a body of legal size to the route of batch submissions of each
// of two entries, three times, one body at a time.
func elements(s *stage) {
	s.configure(smallConfig)
	plain := fake.NewPlainServer("i-plain")
	s.store.Write(platform.TopicServers, "i-plain", plain.RegistryEntry("app", s.serve(s.ip(3), plain), "ready"))
	var entries []*proc
	for i := range 2 {
		entries = append(entries, s.begin("entry", fake.Settings{Node: fmt.Sprintf("entry-%d", i+1), IP: s.ip(11 + i), MemoryMB: 304, MaxFDs: 8200}))
	}
	s.awaitReady(entries...)
	element := "0,"
	if !s.trouble {
		element = "  " // The same size, without elements.
	}
	body := []byte(`{"model_id":"m","items":[` + strings.Repeat(element, 8_000_000) + "0]}")
	s.logf("each body has %d bytes, the limit is 33554432: %.40s...", len(body), body)
	for n := range 6 {
		p := entries[n%2]
		s.awaitReady(p)
		id := fmt.Sprintf("body-%d", n)
		r := s.call(20*time.Second, http.MethodPost, p.front(), "/jobs/x", id, body)
		s.logf("%s gets %s, answer: status %d %v", p.name, id, r.status, r.err)
		id = fmt.Sprintf("plain-%d", n)
		r = s.call(3*time.Second, http.MethodPost, p.front(), "/plain/a", id, []byte("ordinary"))
		text, _ := fake.ExpectedAnswer(id)
		s.logf("%s gets the ordinary request %s, answer: status %d, whole: %v %v", p.name, id, r.status, bytes.Equal(r.body, []byte(text)), r.err)
	}
	time.Sleep(time.Second)
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
		s.breaks("the processes of %d of 2 machines ended three times each, since their memory was over its limit, with no disturbance there", thrice)
	}
}
