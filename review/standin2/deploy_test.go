//go:build review

package standin2

import (
	"fmt"
	"strconv"
)

// site is a cluster with its entries, engines and plain servers.
type site struct {
	*cluster
	entries      []*process
	agents       []*process
	engines      []*engine
	engineAddrs  []string
	plain        []*plainServer
	plainAddrs   []string
	routes       []map[string]any
	services     []map[string]any
	engineSlots  int
	plainService string
}

const host = "ficu95.example"

// route returns a route of the configuration.
func route(name, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "type": kind, "timeout_ms": 10000, "slo_ms": 500,
		"priority": 0, "service": service, "max_attempts": 3,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// newSite starts plain servers, engines with their agents, and entries, and waits until the
// entries are ready. The function changes an engine before it is listed.
func newSite(c *cluster, entries, engines, plain int, prepare func(n int, e *engine)) (*site, error) {
	s := &site{cluster: c, engineSlots: 8}
	for n := range plain {
		p, addr := newPlainServer(fmt.Sprintf("i-app%d", n+1), c.rec), c.addr(c.nextIP(), c.ports.app)
		if _, err := c.serve(addr, p); err != nil {
			return nil, err
		}
		c.register(p.id, p.entry(addr, "ready"))
		s.plain, s.plainAddrs = append(s.plain, p), append(s.plainAddrs, addr)
	}
	var engineIPs []string
	for n := range engines {
		ip := c.nextIP()
		e, addr := newEngine(fmt.Sprintf("i-llm%d", n+1), c.rec), c.addr(ip, c.ports.app)
		if prepare != nil {
			prepare(n, e)
		}
		if _, err := c.serve(addr, e); err != nil {
			return nil, err
		}
		c.register(e.id, e.entry(addr, "ready"))
		s.engines, s.engineAddrs, engineIPs = append(s.engines, e), append(s.engineAddrs, addr), append(engineIPs, ip)
	}
	s.routes = []map[string]any{
		route("page", "idempotent", "app", map[string]any{"timeout_ms": 3000, "slo_ms": 200}),
		route("order", "non_idempotent", "app", map[string]any{"timeout_ms": 3000, "slo_ms": 200}),
		route("tell", "streaming", "models", map[string]any{"timeout_ms": 30000}),
		route("talk", "streaming", "models", map[string]any{"timeout_ms": 30000, "resumable": true}),
		route("draft", "rollout", "models", map[string]any{"due_ms": 7500, "retention_s": 40}),
	}
	s.services = []map[string]any{
		{"name": "app", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
		{"name": "models", "health_path": "/healthz", "max_conns": 130, "protocol": "h1", "tls": false, "backend": map[string]any{
			"slots": s.engineSlots, "kv_capacity": 46927, "stride": 1, "loaded_models": []map[string]any{{"name": model}},
		}},
	}
	c.writeConfig(s.routes, s.services)
	var entryIPs, seeds []string
	for range entries {
		ip := c.nextIP()
		entryIPs, seeds = append(entryIPs, ip), append(seeds, c.addr(ip, c.ports.control))
	}
	for n, ip := range entryIPs {
		p, err := c.newProcess("entry", "edge-"+strconv.Itoa(n+1), ip, "", seeds)
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, p)
	}
	for n, ip := range engineIPs {
		p, err := c.newProcess("agent", "side-"+strconv.Itoa(n+1), ip, s.engineAddrs[n], seeds)
		if err != nil {
			return nil, err
		}
		s.agents = append(s.agents, p)
	}
	return s, c.waitReady(s.entries)
}
