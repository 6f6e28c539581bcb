//go:build review

package stand3

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujuberamp/jujuberamp/platform"
	"github.com/jujuberamp/jujuberamp/platform/fake"
)

func init() { cases["long-ids"] = longIDs }

// streamConfig has a route for streams that may be resumed.
const streamConfig = `{"version":3,"routes":[
	{"name":"chat","host":"s.example","path_prefix":"/chat/","type":"streaming","resumable":true,"timeout_ms":10000,"slo_ms":400,"service":"models","max_attempts":3}],
	"services":[{"name":"models","max_conns":150,"backend":{"slots":8,"stride":1,"loaded_models":[{"name":"m"}]}}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	idBytes   = 14000
	idClients = 16
	idTime    = 60 * time.Second
	idMaxTime = 95 * time.Second      // on machines that send less in the same time
	idPause   = 10 * time.Millisecond // from the start of a stream to that of the client's next one
)

// longIDs lets 16 clients read short streams, each with an attempt ID of legal size.
func longIDs(s *stage) {
	s.configure(streamConfig)
	for i := range 4 {
		id := fmt.Sprintf("i-%d", i+1)
		e := fake.NewEngine(id, map[string]int64{"m": 1})
		e.SetDelays(0, 0)
		addr := s.serve(s.ip(21+i), e)
		s.store.Write(platform.TopicServers, id, e.RegistryEntry("models", addr, "ready"))
		s.begin("agent", fake.Settings{Node: fmt.Sprintf("agent-%d", i+1), IP: s.ip(21 + i), EngineAddr: addr, MemoryMB: 216, MaxFDs: 4096})
	}
	var entries []*proc
	for i := range 3 {
		entries = append(entries, s.begin("entry", fake.Settings{Node: fmt.Sprintf("entry-%d", i+1), IP: s.ip(11 + i), MemoryMB: 304, MaxFDs: 8200}))
	}
	s.awaitReady(entries...)
	time.Sleep(2 * time.Second)
	size := idBytes
	if !s.trouble {
		size = 16
	}
	s.logf("%d clients read streams of one event, one after the other, with attempt IDs of %d bytes", idClients, size)
	var whole, refused, cut atomic.Int64
	var reading sync.WaitGroup
	endedThrice := func() (n int) {
		for _, p := range entries {
			p.mu.Lock()
			if p.ended >= 3 {
				n++
			}
			p.mu.Unlock()
		}
		return n
	}
	began := time.Now()
	goesOn := func() bool {
		if !s.trouble {
			return time.Since(began) < idTime
		}
		return time.Since(began) < idMaxTime && endedThrice() < 2
	}
	for c := range idClients {
		client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
		reading.Go(func() {
			pace := time.NewTicker(idPause)
			defer pace.Stop()
			for n := 0; goesOn(); n++ {
				<-pace.C
				id := fmt.Sprintf("%04x%08x", c, n)
				id += strings.Repeat("a", size-len(id))
				req, err := http.NewRequest(http.MethodPost, "http://"+entries[(c+n)%len(entries)].front()+"/chat/a", strings.NewReader("{}"))
				if err != nil {
					return
				}
				req.Host = "s.example"
				req.Header.Set(headerID, id)
				req.Header.Set("X-Jujuberamp-Deadline-Ms", "5000")
				req.Header.Set("X-Jujuberamp-Model-Id", "m")
				req.Header.Set("X-Jujuberamp-Length-Hint", strconv.Itoa(1))
				resp, err := client.Do(req)
				if err != nil {
					cut.Add(1)
					time.Sleep(100 * time.Millisecond)
					continue
				}
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				switch {
				case resp.StatusCode == http.StatusOK && err == nil:
					whole.Add(1)
				case err == nil:
					refused.Add(1)
					time.Sleep(20 * time.Millisecond)
				default:
					cut.Add(1)
				}
			}
		})
	}
	reading.Wait()
	s.logf("%d streams were read whole, %d were refused, %d channels ended without a whole answer", whole.Load(), refused.Load(), cut.Load())
	if !s.trouble && whole.Load() == 0 {
		panic(unable{fmt.Errorf("no stream was read")})
	}
	for _, p := range entries {
		p.mu.Lock()
		s.logf("%s ended %d times, at most %d MB of %d were in use", p.name, p.ended, p.peakMB, p.settings.MemoryMB)
		p.mu.Unlock()
	}
	if thrice := endedThrice(); thrice >= 2 {
		s.breaks("the processes of %d of 7 machines ended three times or more each, since their memory was over its limit, with no disturbance there", thrice)
	}
}
