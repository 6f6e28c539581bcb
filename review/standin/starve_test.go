//go:build review

package standin

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujuberamp/jujuberamp/platform"
	"github.com/jujuberamp/jujuberamp/platform/fake"
)

const (
	// stepItems and stepEvents are the size of the step that is watched, stepLimit the time
	// that its trainer allows for it.
	stepItems  = 7
	stepEvents = 120
	stepLimit  = 12 * time.Second
	// Other steps are submitted meanwhile, each of shortItems items with shortEvents events.
	shortItems    = 4
	shortEvents   = 15
	shortInterval = 2 * time.Second
	// warmUpItems is the number of items that run before: the engine that breaks one stream
	// off has given more than 34 answers by then.
	warmUpItems = 100
	// fastInterval and slowInterval are the times between two events on the engines.
	fastInterval = 30 * time.Millisecond
	slowInterval = 90 * time.Millisecond
	// breakAfter is the number of events after which the stream breaks off.
	breakAfter = 40
	// maxAway is the time for which an item may be at no engine, by the rule.
	maxAway        = 5 * time.Second
	sampleInterval = 50 * time.Millisecond
)

// engine is a model engine that breaks off one stream if it is told to.
type engine struct {
	*fake.Engine
	world   *world
	id      string
	answers atomic.Int64
	toBreak atomic.Bool
	running atomic.Int64

	mu         sync.Mutex
	began      map[string]int       // runs, by item
	ended      map[string]time.Time // end of the last run, by item; absent while it runs
	longer     int                  // further items of the step that are longer than estimated
	breakAfter int                  // events after which the stream breaks off
}

func (w *world) startEngineWith(n int, interval time.Duration) (*engine, error) {
	id := fmt.Sprintf("engine-%d", n+1)
	e := &engine{Engine: fake.NewEngine(id, map[string]int64{"m1": 1}), world: w, id: id, began: make(map[string]int), ended: make(map[string]time.Time), breakAfter: breakAfter}
	e.SetDelays(interval, time.Second)
	e.SetSoftware("v1")
	addr := w.addr(ipEngines+n, portApp)
	if _, err := w.serve(addr, e); err != nil {
		return nil, err
	}
	w.store.Write(platform.TopicServers, id, e.RegistryEntry("models", addr, "ready"))
	w.record.printf("%s: started, %v between two events", id, interval)
	return e, nil
}

// ServeHTTP counts runs, and breaks off the first stream of the watched step if the
// disruption is on.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	item := r.Header.Get(headerAttempt)
	if item == "" { // A report or an order.
		e.Engine.ServeHTTP(w, r)
		return
	}
	e.running.Add(1)
	e.answers.Add(1)
	breaks := false
	e.mu.Lock()
	e.began[item]++
	delete(e.ended, item)
	switch {
	case item == aheadItem: // The next item of the step here is longer than estimated, too.
		e.world.lengths.Store(item, aheadEvents)
		e.longer, e.breakAfter = 1, lateBreak
		e.toBreak.Store(e.world.trouble)
	case strings.HasPrefix(item, "step."):
		if e.longer > 0 {
			e.longer--
			e.world.lengths.Store(item, longEvents)
		}
		breaks = e.toBreak.CompareAndSwap(true, false)
	}
	limit := e.breakAfter
	e.mu.Unlock()
	if n, ok := e.world.lengths.Load(item); ok {
		r.Header.Set("X-Jujuberamp-Length-Hint", fmt.Sprint(n)) // The fake engine generates as many events.
	}
	e.world.record.printf("%s: runs %s after event %q", e.id, item, r.Header.Get(headerLastEvent))
	defer func() {
		e.running.Add(-1)
		e.mu.Lock()
		e.ended[item] = time.Now()
		e.mu.Unlock()
		e.world.record.printf("%s: run of %s ended", e.id, item)
	}()
	if breaks {
		w = &breakingWriter{ResponseWriter: w, engine: e, item: item, left: limit}
	}
	e.Engine.ServeHTTP(w, r)
}

// breakingWriter breaks a stream off after some events.
type breakingWriter struct {
	http.ResponseWriter
	engine *engine
	item   string
	left   int // events
}

// Unwrap returns the writer for [http.NewResponseController].
func (b *breakingWriter) Unwrap() http.ResponseWriter { return b.ResponseWriter }

func (b *breakingWriter) Write(p []byte) (int, error) {
	if b.left--; b.left < 0 {
		b.engine.world.record.printf("%s: breaks off the stream of %s, one of %d answers", b.engine.id, b.item, b.engine.answers.Load())
		panic(http.ErrAbortHandler)
	}
	return b.ResponseWriter.Write(p)
}

// playStarve lets the faster of two engines break off one stream.
func playStarve(w *world) (string, error) {
	fast, err := w.startEngineWith(0, fastInterval)
	if err != nil {
		return "", err
	}
	slow, err := w.startEngineWith(1, slowInterval)
	if err != nil {
		return "", err
	}
	if err := w.startModels(2); err != nil {
		return "", err
	}
	w.submitItems(w.entries[0], "warm-up", warmUpItems, 6)
	time.Sleep(12 * time.Second)
	fast.toBreak.Store(w.trouble)
	submittedAt := time.Now()
	w.submitItems(w.entries[0], "step", stepItems, stepEvents)
	return w.judgeStep(stepItems, w.watchPlaces(submittedAt, shortInterval, fast, slow), fast, slow)
}

// setModelConfig writes a configuration with one model.
func (w *world) setModelConfig() error {
	return w.setConfig(30*time.Second, []route{
		{"name": "jobs", "host": host, "path_prefix": "/jobs/", "type": "rollout", "slo_ms": 400, "due_ms": 7500, "retention_s": 40, "service": "models", "max_attempts": 3},
	}, []map[string]any{
		{"name": "models", "backend": map[string]any{"slots": fake.Slots, "stride": 1, "loaded_models": []map[string]any{{"name": "m1"}}}},
	})
}

// awayFor returns how long an item has been at no engine, and whether any engine ran it.
func awayFor(id string, engines ...*engine) (away time.Duration, begun bool) {
	var last time.Time
	for _, e := range engines {
		e.mu.Lock()
		at, ended := e.ended[id]
		if began := e.began[id] > 0; began {
			begun = true
			if !ended {
				at = time.Now() // It runs there.
			}
		}
		e.mu.Unlock()
		if at.After(last) {
			last = at
		}
	}
	return time.Since(last), begun
}

// watchPlaces waits until the limit of the watched step is over. Meanwhile it submits short
// steps at an interval, none if that is 0. It returns the mean share of the places at the
// engines that were taken in the last maxAway.
func (w *world) watchPlaces(from time.Time, interval time.Duration, engines ...*engine) float64 {
	end := from.Add(stepLimit)
	next, n := from.Add(interval), 0
	var taken, samples int64
	for time.Now().Before(end) {
		if interval > 0 && time.Now().After(next) {
			n++
			w.submitItems(w.entries[0], fmt.Sprintf("short%d", n), shortItems, shortEvents)
			next = next.Add(interval)
		}
		time.Sleep(sampleInterval)
		if time.Until(end) <= maxAway {
			for _, e := range engines {
				taken += e.running.Load()
				samples += fake.Slots
			}
		}
	}
	return float64(taken) / float64(samples)
}

// submitItems submits a batch of items of one length.
func (w *world) submitItems(p *process, job string, count, events int) {
	var items []map[string]any
	for i := range count {
		id := fmt.Sprintf("%s.%d", job, i)
		items = append(items, map[string]any{
			"id": id, "path": "/jobs/" + id, "headers": map[string]string{"X-Jujuberamp-Model-Id": "m1", "X-Jujuberamp-Length-Hint": fmt.Sprint(events)},
			"body": base64.StdEncoding.EncodeToString([]byte("prompt " + id)), "token_count": events + 16, "group_id": fmt.Sprintf("g%d", i/4),
		})
	}
	b, err := json.Marshal(map[string]any{"train_step": 0, "model_id": "m1", "min_version": 1, "group_count": 1, "items": items})
	if err != nil {
		panic(err) // All values can be encoded.
	}
	a := w.newClient(p).send(http.MethodPost, "/jobs/"+job, job, string(b), 3*time.Second, nil, nil)
	w.record.printf("trainer: %s of %d items with %d events at %s: status %d, error %v", job, count, events, p.name, a.status, a.err)
}

// listed returns the items of a job that have a result.
func (w *world) listed(job string) map[string]bool {
	a := w.newClient(w.entries[1]).send(http.MethodGet, "/lots/"+job+"?after=0", "", "", 3*time.Second, nil, nil)
	var list fake.List
	if err := json.Unmarshal([]byte(a.body), &list); err != nil {
		w.record.printf("trainer: list of %s: %v", job, err)
	}
	out := make(map[string]bool)
	for _, r := range list.Results {
		out[r.ID] = true
	}
	return out
}
