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
	maxCrashes = 32 // told to entries
	tellFor    = clock.Minute
	crashAsk   = 500 * clock.Milli
)

// crashes remembers which requests ran when the backend server crashed.
type crashes struct {
	seen    atomic.Int64
	mu      sync.Mutex
	running map[ident.Incarnation]map[string]int // by start of the server
	last    []crashed
}

// crashed is one crash.
type crashed struct {
	boot     ident.Incarnation
	id       string
	at       clock.Millis
	requests sets.Set[string]
}

// suspectID names a job's request on every entry.
func suspectID(m wire.Job) string { return crash.Fingerprint(ident.Class(m.Class), m.Body) }

// enter notes that a request runs on one start of the server, until the
// function that it returns is called.
func (c *crashes) enter(boot ident.Incarnation, request string) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[ident.Incarnation]map[string]int)
	}
	if c.running[boot] == nil {
		c.running[boot] = make(map[string]int)
	}
	c.running[boot][request]++
	return func() { c.leave(boot, request) }
}

func (c *crashes) leave(boot ident.Incarnation, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rs := c.running[boot]
	rs[request]--
	if rs[request] <= 0 {
		delete(rs, request)
	}
	if len(rs) == 0 {
		delete(c.running, boot)
	}
}

// note records that one start of the server has crashed. It must be called
// before the job that saw it leaves, so that its own request is listed too.
func (c *crashes) note(now clock.Millis, n ident.Node, boot ident.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.crash(now, n, boot)
	for r := range c.running[boot] {
		k.requests.Add(r)
	}
}

func (c *crashes) crash(now clock.Millis, n ident.Node, boot ident.Incarnation) crashed {
	for _, k := range c.last {
		if k.boot == boot {
			return k
		}
	}
	k := crashed{boot: boot, id: string(n) + "/" + strconv.FormatUint(uint64(boot), 16), at: now, requests: sets.Of[string]()}
	c.last = append(c.last, k)
	if len(c.last) > maxCrashes {
		c.last = c.last[1:]
	}
	c.seen.Add(1)
	return k
}

// list returns the crashes that entries may not know yet.
func (c *crashes) list(now clock.Millis) []wire.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []wire.Crash
	for _, k := range c.last {
		if now-k.at <= tellFor {
			out = append(out, wire.Crash{ID: k.id, Age: int64(now - k.at), Requests: k.requests.Sorted()})
		}
	}
	return out
}

// hasCrashed reports whether a start of the backend server is over: it does
// not answer, or answers as a later start.
func (a *Agent) hasCrashed(boot ident.Incarnation) bool {
	ctx, cancel := context.WithTimeout(a.ctx, crashAsk.Duration())
	defer cancel()
	if a.p.Plain != nil {
		b, err := a.p.Plain.Incarnation(ctx)
		return err != nil || b != boot
	}
	st, err := a.p.Engine.Status(ctx)
	return err != nil || st.Boot != boot
}

// sawCrash notes a crash if a start of the server is over.
func (a *Agent) sawCrash(boot ident.Incarnation) bool {
	if boot == 0 || a.ctx.Err() != nil || !a.hasCrashed(boot) {
		return false
	}
	a.crashes.note(a.p.Clock.Now(), a.p.Node, boot)
	return true
}
