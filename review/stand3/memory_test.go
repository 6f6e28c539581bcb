//go:build review

package stand3

import (
	"strings"
	"time"

	"github.com/jujuberamp/jujuberamp/platform"
	"github.com/jujuberamp/jujuberamp/platform/fake"
)

func init() { cases["elements"] = elements }

const smallConfig = `{"version":3,"routes":[
	{"name":"plain","host":"s.example","path_prefix":"/plain/","type":"idempotent","timeout_ms":5000,"slo_ms":2000,"service":"app","max_attempts":3},
	{"name":"jobs","host":"s.example","path_prefix":"/jobs/","type":"rollout","slo_ms":500,"due_ms":7500,"retention_s":40,"service":"models","max_attempts":3}],
	"services":[{"name":"app","max_conns":50},{"name":"models","max_conns":50,"backend":{"slots":4,"stride":10,"loaded_models":[{"name":"m"}]}}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// elements sends bodies of legal size to the route of batch submissions.
func elements(s *stage) {
	s.configure(smallConfig)
	plain := fake.NewPlainServer("i-plain")
	s.store.Write(platform.TopicServers, "i-plain", plain.RegistryEntry("app", s.serve(s.ip(3), plain), "ready"))
	a := s.begin("entry", fake.Settings{Node: "entry-1", IP: s.ip(11), MemoryMB: 304, MaxFDs: 8200})
	b := s.begin("entry", fake.Settings{Node: "entry-2", IP: s.ip(12), MemoryMB: 304, MaxFDs: 8200})
	s.awaitReady(a, b)
	element := "0,"
	if !s.trouble {
		element = "  "
	}
	body := []byte(`{"items":[` + strings.Repeat(element, 16_000_000) + "0]}")
	for i := range 3 {
		for _, p := range []*proc{a, b} {
			s.awaitReady(p)
			r := s.call(20*time.Second, "POST", p.front(), "/jobs/x", "big", body)
			s.logf("%s: body of %d bytes, try %d: status %d %v", p.name, len(body), i, r.status, r.err)
		}
	}
	for _, p := range []*proc{a, b} {
		s.logf("%s ended by itself %d times, peak %d MB of %d", p.name, p.ended, p.peakMB, p.settings.MemoryMB)
		if p.ended >= 3 {
			s.breaks("%s ended by itself %d times", p.name, p.ended)
		}
	}
}
