//go:build review

package stand3

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jujuberamp/jujuberamp/platform"
	"github.com/jujuberamp/jujuberamp/platform/fake"
)

func init() { cases["upgrade"] = upgrade }

const streamConfig = `{"version":3,"routes":[
	{"name":"chat","host":"s.example","path_prefix":"/chat/","type":"streaming","resumable":true,"timeout_ms":10000,"slo_ms":400,"service":"models","max_attempts":3}],
	"services":[{"name":"models","max_conns":150,"backend":{"slots":8,"stride":1,"loaded_models":[{"name":"m"}]}}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	streams      = 4
	streamEvents = 60
	// downTime is how long the engine is away, and heartbeat the time from its start to its
	// first entry in the registry.
	downTime  = 300 * time.Millisecond
	heartbeat = time.Second
)

// stream is a stream of a client, which takes it up again after a broken channel.
type stream struct {
	*stage
	id        string // of the attempt that brought the first event
	last      int
	softwares []string
	whole     bool
}

// attempt reads events of the stream and reports whether it has ended.
func (st *stream) attempt(addr, id string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/chat/a", strings.NewReader("{}"))
	st.must(err)
	req.Host = "s.example"
	req.Header.Set(headerID, id)
	req.Header.Set("X-Jujuberamp-Deadline-Ms", "9000")
	req.Header.Set("X-Jujuberamp-Model-Id", "m")
	req.Header.Set("X-Jujuberamp-Length-Hint", strconv.Itoa(streamEvents))
	if st.last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(st.last))
		req.Header.Set("Resumes", st.id)
	}
	c := http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		st.logf("stream %s, attempt %s after event %d: %v", st.id, id, st.last, err)
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		st.logf("stream %s, attempt %s after event %d: status %d", st.id, id, st.last, resp.StatusCode)
		return false
	}
	lines := bufio.NewScanner(resp.Body)
	n := 0
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			n, _ = strconv.Atoi(v)
		}
		if v, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			if st.last == 0 {
				st.id = id
			}
			_, v, _ = strings.Cut(v, "/")
			software, _, _ := strings.Cut(v, "@")
			if !slices.Contains(st.softwares, software) {
				st.softwares = append(st.softwares, software)
				st.logf("stream %s, attempt %s: event %d is from software %s", st.id, id, n, software)
			}
			st.last = n
		}
	}
	st.whole = st.last == streamEvents
	return st.whole
}

// upgrade restarts an engine under its ID with another version of its software, while clients
// read streams.
func upgrade(s *stage) {
	s.configure(streamConfig)
	started := 0
	start := func(software string) (*fake.Engine, *http.Server) {
		started++
		e := fake.NewEngine("i-1", map[string]int64{"m": 1})
		e.SetDelays(50*time.Millisecond, 0)
		e.SetSoftware(software)
		srv, _, err := fake.Serve(s.ip(21)+":18790", e)
		s.must(err)
		s.logf("engine i-1 serves with software %s", software)
		return e, srv
	}
	addr := s.ip(21) + ":18790"
	e, srv := start("v1")
	s.store.Write(platform.TopicServers, "i-1", e.RegistryEntry("models", addr, "ready"))
	s.begin("agent", fake.Settings{Node: "agent-1", IP: s.ip(21), EngineAddr: addr, MemoryMB: 216, MaxFDs: 4096})
	a := s.begin("entry", fake.Settings{Node: "entry-1", IP: s.ip(11), MemoryMB: 304, MaxFDs: 8200})
	b := s.begin("entry", fake.Settings{Node: "entry-2", IP: s.ip(12), MemoryMB: 304, MaxFDs: 8200})
	s.awaitReady(a, b)
	time.Sleep(2 * time.Second)
	var reading sync.WaitGroup
	all := make([]*stream, streams)
	for i := range all {
		st := &stream{stage: s}
		all[i] = st
		reading.Go(func() {
			st.id = fmt.Sprintf("stream-%d-0", i)
			for n, end := 0, time.Now().Add(9*time.Second); time.Now().Before(end); n++ {
				p := []*proc{a, b}[n%2]
				if st.attempt(p.front(), fmt.Sprintf("stream-%d-%d", i, n)) {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	if s.trouble {
		srv.Close()
		s.logf("engine i-1 has crashed")
		time.Sleep(downTime)
		e, srv = start("v2")
		time.Sleep(heartbeat)
		s.store.Write(platform.TopicServers, "i-1", e.RegistryEntry("models", addr, "ready"))
		s.logf("the registry entry of engine i-1 names its new start and software v2")
	}
	reading.Wait()
	srv.Close()
	mixed := 0
	for _, st := range all {
		s.logf("stream %s: events to %d of %d, from software %v", st.id, st.last, streamEvents, st.softwares)
		if len(st.softwares) > 1 {
			mixed++
		}
		if !s.trouble && !st.whole {
			panic(unable{fmt.Errorf("stream %s is not whole without the disruption", st.id)})
		}
	}
	if mixed > 2 {
		s.breaks("%d streams hold events from engines of two software versions of one service", mixed)
	}
}
