package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/httpd"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
)

// In a large deployment an agent reports to a few entries only. An entry that
// hears no agent of a service passes the request to an entry that does, one hop
// at most. The answer comes back as one part.

// pathRequest is the call that runs a request that another entry passed on.
const pathRequest = "requests/do"

// passed is a caller's request on its way to another entry.
type passed struct {
	Who     string        `json:"who"`
	Request codec.Request `json:"request"`
}

// helper is what another entry said of the agents that it hears.
type helper struct {
	addr     string
	services []string
	heard    clock.Millis
}

// helpers keeps which entries hear agents of which services.
type helpers struct {
	mu sync.Mutex
	by map[ident.Node]helper
}

func (h *helpers) note(n ident.Node, x helper) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.by == nil {
		h.by = make(map[ident.Node]helper)
	}
	h.by[n] = x
}

// find returns the address of an entry that heard an agent of a service, the
// same one for the same key. Entries that have been silent are forgotten.
func (h *helpers) find(svc ident.Service, key string, since clock.Millis) (addr string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []ident.Node
	for n, x := range h.by {
		switch {
		case x.heard < since:
			delete(h.by, n)
		case slices.Contains(x.services, string(svc)):
			names = append(names, n)
		}
	}
	n, ok := spread.Owner(key, names)
	return h.by[n].addr, ok
}

// services returns what the agents that this entry hears offer, sorted.
func (e *Entry) services() []string {
	now := e.p.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	out := sets.Of[string]()
	for n, r := range e.nodes {
		if r.Hosted.Service != "" && e.isHeard(now, n, r) {
			out.Add(r.Hosted.Service)
		}
	}
	return out.Sorted()
}

// isHeard reports whether an agent was heard lately and takes work. The lock
// is held.
func (e *Entry) isHeard(now clock.Millis, n ident.Node, r wire.ReportArgs) bool {
	return now-e.heard[n] <= e.p.Roster.LivenessTimeout && !r.Leaving
}

// hears reports whether this entry hears an agent of a service. It is asked for
// each request, so it stops at the first one.
func (e *Entry) hears(svc ident.Service) bool {
	now := e.p.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for n, r := range e.nodes {
		if r.Hosted.Service == string(svc) && e.isHeard(now, n, r) {
			return true
		}
	}
	return false
}

// helperFor returns an entry that can run a request which this one can't.
func (e *Entry) helperFor(svc ident.Service, id ident.Request) (addr string, ok bool) {
	if e.hears(svc) {
		return "", false
	}
	return e.helpers.find(svc, string(id), e.p.Clock.Now()-helpFor*e.p.Roster.LivenessTimeout)
}

// helpFor is how many leases the word of another entry is believed.
const helpFor = 3

// pass lets another entry run a request. If that one can't be reached it runs
// here, as soon as an agent is heard.
func (e *Entry) pass(ctx context.Context, addr string, who ident.Caller, m codec.Request, w calls.Work, sink httpd.Sink) error {
	wait := max(clock.Millis(m.DeadlineMS), w.Class.Lateness())
	out, err := forward[passed, codec.Chunk](ctx, e, addr, pathRequest, wait, passed{string(who), m})
	if isUnreached(err) {
		return e.runHere(ctx, w, sink)
	}
	if err != nil {
		return err
	}
	return sink(out)
}

// requestHere runs a request that another entry passed on.
func (e *Entry) requestHere(ctx context.Context, p passed) (codec.Chunk, error) {
	c, err := e.classOf(p.Request.Class, class.Draft, class.Lookup)
	if err != nil {
		return codec.Chunk{}, err
	}
	w, err := e.work(c, ident.Caller(p.Who), p.Request)
	if err != nil {
		return codec.Chunk{}, err
	}
	var out codec.Chunk
	err = e.runHere(ctx, w, func(part codec.Chunk) error {
		part.Tokens = append(out.Tokens, part.Tokens...)
		out = part
		return nil
	})
	return out, err
}
