package quar

import (
	"context"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
)

const (
	// checkInterval is the interval at which servers that disconnected are
	// checked for a crash.
	checkInterval = 200 * clock.Milli
	// removalTimeout is how long the registry may take to remove a crashed
	// server: three missed heartbeats and the delay of a slow store.
	removalTimeout = 5 * clock.Second
	// maxQueuedDisconnects bounds the disconnects that wait to be processed;
	// further ones are ignored.
	maxQueuedDisconnects = 256
	// broadcastTimeout bounds the broadcast of one crash to the other nodes.
	broadcastTimeout = 2 * clock.Second
)

// disconnect is one disconnect of a server during a request.
type disconnect struct{ server, request string }

// serverDisconnects are the recent disconnects of one server.
type serverDisconnects struct {
	requests sets.Set[string]
	since    clock.Millis // time of the first one
}

// CrashDetector derives crashes from disconnects and broadcasts them to the
// other nodes. A server that disconnected has crashed if its incarnation is
// removed from the registry within removalTimeout. Otherwise only its
// connections were lost.
type CrashDetector struct {
	*Quarantine
	isAlive     func(server string) bool
	broadcast   func(context.Context, crash.Crash) error
	disconnects chan disconnect
}

// NewCrashDetector returns a crash detector. The function isAlive reports
// whether an incarnation of a server is still registered; broadcast sends a
// crash to the other nodes.
func NewCrashDetector(
	q *Quarantine, isAlive func(server string) bool, broadcast func(context.Context, crash.Crash) error,
) *CrashDetector {
	return &CrashDetector{
		Quarantine:  q,
		isAlive:     isAlive,
		broadcast:   broadcast,
		disconnects: make(chan disconnect, maxQueuedDisconnects),
	}
}

// RecordDisconnect records that an incarnation of a server disconnected during the
// request with a given fingerprint, without any part of an answer. It does not block.
func (d *CrashDetector) RecordDisconnect(server, request string) {
	select {
	case d.disconnects <- disconnect{server, request}:
	default:
		d.params.Log.Warn().Str("crash", server).Str("request", request).
			Msg("quar: too many disconnects at once, this one is ignored")
	}
}

// Run detects and broadcasts crashes until the context ends.
func (d *CrashDetector) Run(ctx context.Context) {
	servers := make(map[string]*serverDisconnects)
	ticker := time.NewTicker(checkInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case dc := <-d.disconnects:
			if servers[dc.server] == nil {
				servers[dc.server] = &serverDisconnects{requests: sets.Of[string](), since: d.params.Clock.Now()}
			}
			servers[dc.server].requests.Add(dc.request)
		case <-ticker.C:
			d.checkServers(ctx, servers)
		}
	}
}

func (d *CrashDetector) checkServers(ctx context.Context, servers map[string]*serverDisconnects) {
	for server, sd := range servers {
		if d.isAlive(server) {
			if d.params.Clock.Now()-sd.since > removalTimeout {
				delete(servers, server)
			}
			continue
		}
		delete(servers, server)
		c := crash.Crash{ID: server, Requests: sd.requests.Sorted()}
		d.RecordCrash(c)
		go d.broadcastCrash(ctx, c)
	}
}

func (d *CrashDetector) broadcastCrash(ctx context.Context, c crash.Crash) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout.Duration())
	defer cancel()
	if err := d.broadcast(ctx, c); err != nil {
		d.params.Log.Warn().Str("crash", c.ID).Err(err).Msg("quar: crash broadcast failed")
	}
}
