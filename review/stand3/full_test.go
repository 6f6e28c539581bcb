//go:build review

package stand3

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

func init() { cases["full-store"] = fullStore }

// storeLimit is what the store keeps in total.
const storeLimit = 400 << 20

// boundedStore refuses appends with 507 once it holds storeLimit. Nothing expires during a play,
// which is shorter than retention_s.
type boundedStore struct {
	http.Handler
	stage  *stage
	stored atomic.Int64
	full   sync.Once
	since  atomic.Int64 // Unix time in ms of the first 507, 0 before
	trims  atomic.Int64
}

func (b *boundedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/log-trim":
		b.trims.Add(1)
	case r.URL.Path != "/log-append":
	case b.stored.Load() >= storeLimit:
		b.full.Do(func() {
			b.stage.logf("the store holds %d MB: it answers appends with 507", b.stored.Load()>>20)
			b.since.Store(time.Now().UnixMilli())
		})
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	case !strings.HasPrefix(r.URL.Query().Get("topic"), "keyed."): // Those keep the newest record of a key only.
		b.stored.Add(r.ContentLength)
	}
	b.Handler.ServeHTTP(w, r)
}

// trainer submits a step each 4 s, reads its results, and ends it.
type trainer struct {
	*stage
	name    string
	entries []*proc
	body    string // of each item, in base64
	open    atomic.Int64
	refused atomic.Int64
	unended atomic.Int64
}

func (t *trainer) step(k int, stop time.Time) {
	id := fmt.Sprintf("%s-%d", t.name, k)
	items := make([]string, 100)
	for i := range items {
		items[i] = fmt.Sprintf(`{"id":"%s-%d","group_id":"%s-g%d","path":"/jobs/x","headers":{"X-Jujuberamp-Model-Id":"m","X-Jujuberamp-Length-Hint":"3"},"body":"%s","token_count":3300}`, id, i, id, i/4, t.body)
	}
	body := []byte(`{"model_id":"m","min_version":1,"group_count":23,"items":[` + strings.Join(items, ",") + `]}`)
	at := func(n int) string { return t.entries[(k+n)%len(t.entries)].front() }
	if r := t.call(3*time.Second, http.MethodPost, at(0), "/jobs/x", id, body); r.status != http.StatusAccepted {
		t.refused.Add(1)
		return
	}
	t.open.Add(1)
	listed := 0
	for end := time.Now().Add(7500 * time.Millisecond); listed < len(items) && time.Now().Before(end) && time.Now().Before(stop); time.Sleep(500 * time.Millisecond) {
		r := t.call(3*time.Second, http.MethodGet, at(1), fmt.Sprintf("/lots/%s?after=%d", id, listed), "", nil)
		var list fake.List
		if r.status == http.StatusOK && json.Unmarshal(r.body, &list) == nil {
			listed += len(list.Results)
		}
	}
	if listed == len(items) {
		t.open.Add(-1)
	}
	if r := t.call(3*time.Second, http.MethodDelete, at(2), "/lots/"+id, "", nil); r.status != http.StatusOK {
		t.unended.Add(1)
	}
}

func (t *trainer) run(stop time.Time) {
	var steps sync.WaitGroup
	for k := 0; time.Now().Before(stop); k++ {
		steps.Go(func() { t.step(k, stop) })
		time.Sleep(4 * time.Second)
	}
	steps.Wait()
}

const (
	trainers  = 16
	longItems = 900
	ackMS     = 5000
	cancelMS  = 3000
)

// fullStore lets trainers submit steps until the store is full, and then ends a batch submission.
func fullStore(s *stage) {
	b := &boundedStore{Handler: fake.StoreHandler{Store: s.store}, stage: s}
	s.addr = s.serve(s.ip(2), b)
	s.store.Write(platform.TopicOperator, "config", []byte(smallConfig))
	var mu sync.Mutex
	reached := make(map[string]time.Time) // by item of the long one: when it last reached an engine
	for i := range 9 {
		id := fmt.Sprintf("i-%d", i)
		e := fake.NewEngine(id, map[string]int64{"m": 1})
		e.SetDelays(8*time.Millisecond, 0)
		e.OnRequest(func(_ string, r *http.Request, _ []byte) {
			if item := r.Header.Get(headerID); strings.HasPrefix(item, "long-") {
				mu.Lock()
				reached[item] = time.Now()
				mu.Unlock()
			}
		})
		addr := s.serve(s.ip(21+i), e)
		s.store.Write(platform.TopicServers, id, e.RegistryEntry("models", addr, "ready"))
		s.begin("agent", fake.Settings{Node: fmt.Sprintf("agent-%d", i), IP: s.ip(21 + i), EngineAddr: addr, MemoryMB: 216, MaxFDs: 4096})
	}
	var entries []*proc
	for i := range 3 {
		entries = append(entries, s.begin("entry", fake.Settings{Node: fmt.Sprintf("entry-%d", i), IP: s.ip(11 + i), MemoryMB: 304, MaxFDs: 8200}))
	}
	s.awaitReady(entries...)
	time.Sleep(time.Second)
	prompt := 13_000
	if !s.trouble {
		prompt = 600
	}
	s.logf("%d trainers submit a step of 100 items with prompts of %d bytes each 4 s", trainers, prompt)
	var all []*trainer
	var running sync.WaitGroup
	stop := time.Now().Add(65 * time.Second)
	for i := range trainers {
		t := &trainer{stage: s, name: fmt.Sprintf("step-%d", i), entries: entries, body: base64.StdEncoding.EncodeToString(make([]byte, prompt))}
		all = append(all, t)
		running.Go(func() { t.run(stop) })
		time.Sleep(4 * time.Second / trainers)
	}
	s.await(time.Until(stop)-7*time.Second, func() bool { return b.stored.Load() > storeLimit-(20<<20) })
	s.logf("the store holds %d MB", b.stored.Load()>>20)
	r := s.call(3*time.Second, http.MethodPost, entries[0].front(), "/jobs/x", "long", []byte(`{"model_id":"m","min_version":1,"group_count":100,"items":[`+rolloutItems("long", longItems, 150)+`]}`))
	s.logf("batch submission long with %d items: status %d %v", longItems, r.status, r.err)
	if r.status != http.StatusAccepted {
		panic(unable{fmt.Errorf("it was not accepted")})
	}
	s.await(6*time.Second, func() bool { return b.since.Load() > 0 })
	time.Sleep(time.Second)
	var first, confirmed time.Time
	for n := 0; confirmed.IsZero() && (first.IsZero() || time.Since(first) < (ackMS+cancelMS)*time.Millisecond); n++ {
		if first.IsZero() {
			first = time.Now()
		}
		p := entries[n%3]
		r := s.call(time.Second, http.MethodDelete, p.front(), "/lots/long", "", nil)
		s.logf("end of batch submission long at %s: status %d %.120s %v", p.name, r.status, r.body, r.err)
		if r.status == http.StatusOK {
			confirmed = time.Now()
		}
		time.Sleep(500 * time.Millisecond)
	}
	limit := first.Add((ackMS + cancelMS) * time.Millisecond) // Without a confirmation it counts as acknowledged after ack_ms.
	if !confirmed.IsZero() && confirmed.Before(first.Add(ackMS*time.Millisecond)) {
		limit = confirmed.Add(cancelMS * time.Millisecond)
	}
	time.Sleep(max(0, time.Until(limit.Add(2*time.Second))))
	running.Wait()
	var open, refused, unended int64
	for _, t := range all {
		open, refused, unended = open+t.open.Load(), refused+t.refused.Load(), unended+t.unended.Load()
	}
	s.logf("the trainers have left: %d steps were refused, %d accepted ones are not listed whole, the end of %d got no confirmation; the store holds %d MB, calls that trim it: %d",
		refused, open, unended, b.stored.Load()>>20, b.trims.Load())
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for item, at := range reached {
		if at.After(limit) {
			late++
			if late <= 3 {
				s.logf("item %s reached an engine %.1f s after the first call that ended its batch submission, %.1f s later than allowed", item, at.Sub(first).Seconds(), at.Sub(limit).Seconds())
			}
		}
	}
	s.logf("%d of %d items of long have reached an engine, %d of them too late", len(reached), longItems, late)
	if late > 0 {
		s.breaks("%d items ran whose batch submission was ended more than ack_ms + cancel_ms before", late)
	}
}
