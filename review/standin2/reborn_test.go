//go:build review

package standin2

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jujuberamp/jujuberamp/platform"
)

func init() { scenarios["reborn-engine"] = rebornEngine }

// rebornEngine begins streams while an engine is cut off from the store, crashes behind the cut
// and starts again under its id, with other software, twice. The rule ORDER is broken if more
// than two streams hold events from two software versions.
func rebornEngine(c *cluster, trouble bool) (bool, error) {
	const (
		engines, streams, events = 9, 48, 120
		down                     = 1000 * time.Millisecond // from a crash to the next start
		silence                  = 3600 * time.Millisecond // three heartbeat intervals
	)
	s, err := newSite(c, 2, engines, 1, func(n int, e *engine) {
		e.zone = []string{"north-a", "south-a", "north-b"}[n%3] // Entries are in the first one.
		nameSoftware(e)
	})
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // Nothing is disturbed, and the releases are recorded.
	cut := time.Now()
	id, addr := s.engines[0].id, s.engineAddrs[0]
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() {
			c.rec.add("engine %s is cut off from the store", id)
			time.Sleep(200 * time.Millisecond)
			for start := range 2 {
				c.stopServing(addr)
				c.rec.add("engine %s crashes", id)
				time.Sleep(down)
				e := newEngine(id, c.rec)
				e.software = "v2"
				nameSoftware(e)
				if _, err := c.serve(addr, e); err != nil {
					c.rec.add("engine %s does not start: %v", id, err)
					return
				}
				c.rec.add("engine %s starts with software v2, behind the cut", id)
				time.Sleep([]time.Duration{1300 * time.Millisecond, 0}[start])
			}
		})
		wg.Go(func() {
			time.Sleep(time.Until(cut.Add(silence)))
			c.store.Write(platform.TopicServers, id, nil)
			c.rec.add("the entry of %s is removed after three heartbeat intervals", id)
		})
	}
	mixed := 0
	var mu sync.Mutex
	for n := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 60 * time.Millisecond)
			p, attempt := s.entries[n%2], fmt.Sprintf("e%015d", n)
			header := map[string]string{headerModel: model, headerLength: fmt.Sprint(events)}
			r := once(c.front(p), http.MethodPost, "/talk/1", attempt, "prompt", header, 25*time.Second)
			softwares := softwaresOf(r.body)
			c.rec.add("client: stream %s at %s: status %d, %d events, complete %v, software %v", attempt, p.name, r.status, strings.Count(r.body, "\n\n"), r.err == nil, softwares)
			mu.Lock()
			defer mu.Unlock()
			if len(softwares) > 1 {
				mixed++
			}
		})
	}
	wg.Wait()
	c.rec.add("%d of %d streams hold events from two software versions; two are allowed", mixed, streams)
	return mixed <= 2, nil
}

// nameSoftware makes the events of an engine name its software.
func nameSoftware(e *engine) {
	software := e.software
	e.text = func(id string, n int) string { return fmt.Sprintf("%s.%d of %s", id, n, software) }
}

// softwaresOf returns the software versions that made the events of a stream, in order.
func softwaresOf(body string) []string {
	var out []string
	for line := range strings.SplitSeq(body, "\n") {
		if _, software, ok := strings.Cut(line, " of "); ok && !slices.Contains(out, software) {
			out = append(out, software)
		}
	}
	return out
}
