//go:build review

package standin2

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// rejectedBody is what an engine answers to a request that can never be done.
const rejectedBody = `{"error":"the prompt and the maximum output exceed the context"}`

func init() { scenarios["rejected-stream"] = rejectedStreams }

// rejectedStreams sends streams over kept channels. Engines answer some of them with status
// 422 and a body. The rule LOST is broken if more than three of these channels are closed
// without an answer.
func rejectedStreams(c *cluster, trouble bool) (bool, error) {
	s, err := newSite(c, 2, 2, 1, func(_ int, e *engine) {
		e.answer = func(w http.ResponseWriter, r *http.Request) bool {
			if !strings.HasSuffix(r.URL.Path, "/long") {
				return false
			}
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusUnprocessableEntity)
			_, _ = io.WriteString(w, rejectedBody) // The caller may have left.
			return true
		}
	})
	if err != nil {
		return false, err
	}
	time.Sleep((contactMS + 500) * time.Millisecond)
	c.rec.add("the entries are in touch")
	path := "/short"
	if trouble {
		path = "/long"
	}
	lost := 0
	for n := range 8 {
		kind := []string{"tell", "talk"}[n%2]
		ch, err := openChannel(c.front(s.entries[n/2%2]))
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("a%015d", 2*n)
		first := ch.send(http.MethodPost, "/"+kind+"/1", id, "prompt", map[string]string{headerModel: model}, 10*time.Second)
		c.rec.add("client: %s, first request of its channel: %s", id, first)
		if !first.complete() || first.status != http.StatusOK {
			ch.close()
			continue
		}
		id = fmt.Sprintf("a%015d", 2*n+1)
		second := ch.send(http.MethodPost, "/"+kind+path, id, "prompt", map[string]string{headerModel: model}, 10*time.Second)
		c.rec.add("client: %s, second request of its channel, /%s%s: %s", id, kind, path, second)
		if !second.complete() {
			lost++
		}
		ch.close()
	}
	c.rec.add("%d of 8 kept channels were closed without an answer to a request that a sound engine had answered; 3 are allowed", lost)
	return lost <= 3, nil
}
