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

// In a large deployment an agent reports to a few entries only. An entry without
// an agent of the requested service forwards the request to an entry that has
// one, over one hop at most. The answer is returned in one chunk.

// pathRunRequest is the path of forwarded requests.
const pathRunRequest = "requests/do"

// forwardedRequest is a caller's request that is sent to another entry.
type forwardedRequest struct {
	Who     string        `json:"who"`
	Request codec.Request `json:"request"`
}

// peerReport lists the services of the agents that report to another entry.
type peerReport struct {
	addr       string
	services   []string
	receivedAt clock.Millis
}

// peerServices holds the latest report of each other entry.
type peerServices struct {
	mu      sync.Mutex
	byEntry map[ident.Node]peerReport
}

func (p *peerServices) record(n ident.Node, r peerReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byEntry == nil {
		p.byEntry = make(map[ident.Node]peerReport)
	}
	p.byEntry[n] = r
}

// find returns the address of an entry that has an agent of a service. The same
// key selects the same entry. Reports received before since are removed.
func (p *peerServices) find(svc ident.Service, key string, since clock.Millis) (addr string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []ident.Node
	for n, r := range p.byEntry {
		switch {
		case r.receivedAt < since:
			delete(p.byEntry, n)
		case slices.Contains(r.services, string(svc)):
			names = append(names, n)
		}
	}
	n, ok := spread.Owner(key, names)
	return p.byEntry[n].addr, ok
}

// hostedServices returns the sorted services of the agents that report to this
// entry.
func (e *Entry) hostedServices() []string {
	now := e.p.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	out := sets.Of[string]()
	for n, r := range e.reports {
		if r.Hosted.Service != "" && e.isAvailable(now, n, r) {
			out.Add(r.Hosted.Service)
		}
	}
	return out.Sorted()
}

// isAvailable reports whether an agent is alive and accepts work. The caller must
// hold e.mu.
func (e *Entry) isAvailable(now clock.Millis, n ident.Node, r wire.ReportArgs) bool {
	return now-e.lastSeen[n] <= e.p.Roster.LivenessTimeout && !r.Leaving
}

// hasAgentFor reports whether an agent of a service reports to this entry. It is
// called for each request, so it stops at the first match.
func (e *Entry) hasAgentFor(svc ident.Service) bool {
	now := e.p.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for n, r := range e.reports {
		if r.Hosted.Service == string(svc) && e.isAvailable(now, n, r) {
			return true
		}
	}
	return false
}

// findPeerFor returns the address of an entry that can run a request, if this
// entry has no agent of the service.
func (e *Entry) findPeerFor(svc ident.Service, id ident.Request) (addr string, ok bool) {
	if e.hasAgentFor(svc) {
		return "", false
	}
	return e.peerServices.find(svc, string(id), e.p.Clock.Now()-peerReportTimeouts*e.p.Roster.LivenessTimeout)
}

// peerReportTimeouts is the validity of a peer's report, in liveness timeouts.
const peerReportTimeouts = 3

// forwardRequest runs a request at another entry. If that entry is unreachable,
// the request runs here and waits for an agent of the service.
func (e *Entry) forwardRequest(
	ctx context.Context, addr string, who ident.Caller, m codec.Request, w calls.Work, sink httpd.Sink,
) error {
	timeout := max(clock.Millis(m.DeadlineMS), w.Class.Lateness())
	out, err := forward[forwardedRequest, codec.Chunk](ctx, e, addr, pathRunRequest, timeout,
		forwardedRequest{string(who), m})
	if isUnreachable(err) {
		return e.runLocally(ctx, w, sink)
	}
	if err != nil {
		return err
	}
	return sink(out)
}

// runRequestLocally runs a request that another entry forwarded.
func (e *Entry) runRequestLocally(ctx context.Context, f forwardedRequest) (codec.Chunk, error) {
	c, err := e.findClass(f.Request.Class, class.Draft, class.Lookup)
	if err != nil {
		return codec.Chunk{}, err
	}
	w, err := e.newWork(c, ident.Caller(f.Who), f.Request)
	if err != nil {
		return codec.Chunk{}, err
	}
	var out codec.Chunk
	err = e.runLocally(ctx, w, func(chunk codec.Chunk) error {
		chunk.Tokens = append(out.Tokens, chunk.Tokens...)
		out = chunk
		return nil
	})
	return out, err
}
