//go:build review

package standin2

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

func init() { scenarios["long-output"] = longOutputs }

// item is an item of a job.
type item struct {
	id     string
	events int
	header map[string]string
}

// jobBody returns the body with which a trainer submits a job on the route draft.
func jobBody(minVersion int, items []item) string {
	var out []map[string]any
	for n, it := range items {
		header := map[string]string{headerModel: model, headerLength: fmt.Sprint(it.events)}
		for k, v := range it.header {
			header[k] = v
		}
		out = append(out, map[string]any{
			"id": it.id, "path": "/draft/" + it.id, "headers": header, "body": base64.StdEncoding.EncodeToString([]byte("prompt " + it.id)),
			"token_count": it.events + 16, "group_id": fmt.Sprintf("g%d", n/2),
			"scorer_url": map[string]any{"id": "s" + it.id[1:], "host": host, "path": "/page/s" + it.id, "body": base64.StdEncoding.EncodeToString([]byte("score"))},
		})
	}
	b, err := json.Marshal(map[string]any{"train_step": 0, "model_id": model, "min_version": minVersion, "group_count": 1, "items": out})
	if err != nil {
		panic(err) // The items are plain values.
	}
	return string(b)
}

// result is a result of an item as a trainer reads it.
type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
	Why    string `json:"why"`
	Score  string `json:"score"`
}

// page is a page of results.
type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// readResults reads the results of a job from a position on.
func readResults(c *cluster, p *process, job string, after int) (page, reply) {
	r := once(c.front(p), http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", job, after), "", "", nil, 3*time.Second)
	var out page
	if r.complete() && r.status == http.StatusOK {
		if err := json.Unmarshal([]byte(r.body), &out); err != nil {
			r.err = err
		}
	}
	return out, r
}

// longOutputs submits a job of which the engines complete each item. With the disruption two
// items have the longest output that the site allows. The rule MIXED is broken if one is listed
// as dead.
func longOutputs(c *cluster, trouble bool) (bool, error) {
	const events, usual, longest = 176, 400, 2400 // events and their bytes: the site's largest number, mean and largest size
	s, err := newSite(c, 2, 2, 1, func(_ int, e *engine) {
		e.gap = 10 * time.Millisecond
		e.text = func(id string, n int) string {
			size := usual
			if trouble && strings.HasPrefix(id, "c1") {
				size = longest
			}
			return fmt.Sprintf("%s.%d ", id, n) + strings.Repeat("x", size-20)
		}
	})
	if err != nil {
		return false, err
	}
	var items []item
	for n := range 6 {
		items = append(items, item{id: fmt.Sprintf("c%d%014d", n%3/2, n), events: events})
	}
	const job = "j000000000000001"
	r := once(c.front(s.entries[0]), http.MethodPost, "/draft/1", job, jobBody(1, items), map[string]string{"Content-Type": "application/json"}, 3*time.Second)
	c.rec.add("trainer: job %s of %d items: %s", job, len(items), r)
	if r.status != http.StatusAccepted {
		return false, errors.New("the job was not accepted")
	}
	held, read := true, 0
	for end := time.Now().Add(20 * time.Second); read < len(items) && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		list, _ := readResults(c, s.entries[1], job, read)
		for _, res := range list.Results {
			c.rec.add("trainer: position %d: item %s is %s, %d bytes of output, why %q", read, res.ID, res.State, len(res.Output), res.Why)
			read++
			held = held && res.State == "done"
		}
	}
	c.rec.add("%d of %d items were read; no engine answered 422 or 500, and no item is older than retention_s (40 s)", read, len(items))
	if read < len(items) {
		return false, errors.New("not all results came")
	}
	return held, nil
}
