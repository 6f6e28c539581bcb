package quar

import (
	"context"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
)

const (
	// lookEach is how often it is looked whether a server that broke requests
	// off has ended.
	lookEach = 200 * clock.Milli
	// endsFor is how long the registry may take to drop a server that crashed:
	// three of its signs of life, and a store that is slow.
	endsFor = 5 * clock.Second
	// mostHeard is how many breaks wait to be looked at; further ones are passed
	// over.
	mostHeard = 256
	// tellFor bounds one message to the other nodes.
	tellFor = 2 * clock.Second
)

type broke struct{ server, request string }

// pending are the requests that one server broke off.
type pending struct {
	requests sets.Set[string]
	since    clock.Millis
}

// CrashDetector turns breaks into crashes and tells the other nodes of them. A server
// that broke requests off has crashed if its incarnation is gone soon after;
// one that lives on has only lost its connections.
type CrashDetector struct {
	*Quarantine
	lives func(server string) bool
	tell  func(context.Context, crash.Crash) error
	in    chan broke
}

// NewCrashDetector returns a teller. Lives reports whether an incarnation of a server
// is still known, tell tells the other nodes.
func NewCrashDetector(q *Quarantine, lives func(server string) bool, tell func(context.Context, crash.Crash) error) *CrashDetector {
	return &CrashDetector{Quarantine: q, lives: lives, tell: tell, in: make(chan broke, mostHeard)}
}

// RecordDisconnect notes that an incarnation of a server broke off a request without any
// part of an answer.
func (t *CrashDetector) RecordDisconnect(server, request string) {
	select {
	case t.in <- broke{server, request}:
	default:
		t.p.Log.Warn().Str("crash", server).Str("request", request).Msg("quar: too many breaks at once, this one does not count")
	}
}

// Run looks for crashes until the context ends.
func (t *CrashDetector) Run(ctx context.Context) {
	open := make(map[string]*pending)
	tick := time.NewTicker(lookEach.Duration())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-t.in:
			if open[b.server] == nil {
				open[b.server] = &pending{requests: sets.Of[string](), since: t.p.Clock.Now()}
			}
			open[b.server].requests.Add(b.request)
		case <-tick.C:
			t.look(ctx, open)
		}
	}
}

func (t *CrashDetector) look(ctx context.Context, open map[string]*pending) {
	for server, p := range open {
		if t.lives(server) {
			if t.p.Clock.Now()-p.since > endsFor {
				delete(open, server)
			}
			continue
		}
		delete(open, server)
		c := crash.Crash{ID: server, Requests: p.requests.Sorted()}
		t.RecordCrash(c)
		go t.send(ctx, c)
	}
}

func (t *CrashDetector) send(ctx context.Context, c crash.Crash) {
	ctx, cancel := context.WithTimeout(ctx, tellFor.Duration())
	defer cancel()
	if err := t.tell(ctx, c); err != nil {
		t.p.Log.Warn().Str("crash", c.ID).Err(err).Msg("quar: the other nodes are not told")
	}
}
