package agent

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

const (
	maxReportedCrashes = 32 // bound of the list that is sent to entries
	crashReportTTL     = clock.Minute
	crashCheckTimeout  = 500 * clock.Milli
)

// crashTracker records which requests were running when the backend server
// crashed.
type crashTracker struct {
	total   atomic.Int64
	mu      sync.Mutex
	running map[ident.Incarnation]map[string]int // requests in progress by incarnation of the server
	recent  []crashRecord
}

// crashRecord describes one crash of the backend server.
type crashRecord struct {
	boot     ident.Incarnation
	id       string
	at       clock.Millis
	requests sets.Set[string]
}

// requestFingerprint identifies a job's request in the same way on all entries.
func requestFingerprint(m wire.Job) string { return crash.Fingerprint(ident.Class(m.Class), m.Body) }

// addRequest records that a request runs on an incarnation of the server. The
// caller must call the returned function when the request has ended.
func (c *crashTracker) addRequest(boot ident.Incarnation, request string) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[ident.Incarnation]map[string]int)
	}
	if c.running[boot] == nil {
		c.running[boot] = make(map[string]int)
	}
	c.running[boot][request]++
	return func() { c.removeRequest(boot, request) }
}

func (c *crashTracker) removeRequest(boot ident.Incarnation, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.running[boot]
	counts[request]--
	if counts[request] <= 0 {
		delete(counts, request)
	}
	if len(counts) == 0 {
		delete(c.running, boot)
	}
}

// record adds a crash of an incarnation of the server. It must be called before
// the job that detected the crash removes its request, so that this request is
// included.
func (c *crashTracker) record(now clock.Millis, n ident.Node, boot ident.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.findOrAdd(now, n, boot)
	for request := range c.running[boot] {
		rec.requests.Add(request)
	}
}

// findOrAdd returns the crash of an incarnation. A new crash is added without
// requests.
func (c *crashTracker) findOrAdd(now clock.Millis, n ident.Node, boot ident.Incarnation) crashRecord {
	for _, rec := range c.recent {
		if rec.boot == boot {
			return rec
		}
	}
	rec := crashRecord{
		boot:     boot,
		id:       string(n) + "/" + strconv.FormatUint(uint64(boot), 16),
		at:       now,
		requests: sets.Of[string](),
	}
	c.recent = append(c.recent, rec)
	if len(c.recent) > maxReportedCrashes {
		c.recent = c.recent[1:]
	}
	c.total.Add(1)
	return rec
}

// toReport returns the recent crashes that entries may not know yet.
func (c *crashTracker) toReport(now clock.Millis) []wire.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []wire.Crash
	for _, rec := range c.recent {
		if now-rec.at <= crashReportTTL {
			out = append(out, wire.Crash{ID: rec.id, Age: int64(now - rec.at), Requests: rec.requests.Sorted()})
		}
	}
	return out
}

// hasCrashed reports whether an incarnation of the backend server has ended:
// the server doesn't answer, or answers with another incarnation.
func (a *Agent) hasCrashed(boot ident.Incarnation) bool {
	ctx, cancel := context.WithTimeout(a.ctx, crashCheckTimeout.Duration())
	defer cancel()
	if a.p.Plain != nil {
		b, err := a.p.Plain.Incarnation(ctx)
		return err != nil || b != boot
	}
	st, err := a.p.Engine.Status(ctx)
	return err != nil || st.Boot != boot
}

// recordIfCrashed records a crash if the incarnation of the server has ended,
// and reports whether it did.
func (a *Agent) recordIfCrashed(boot ident.Incarnation) bool {
	if boot == 0 || a.ctx.Err() != nil || !a.hasCrashed(boot) {
		return false
	}
	a.crashes.record(a.p.Clock.Now(), a.p.Node, boot)
	return true
}
