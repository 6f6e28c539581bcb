package quar

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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
	// maxDisconnects bounds the disconnects of which it is not known yet whether they
	// were crashes; further ones are ignored. It is several times what an entry sends
	// to one server.
	maxDisconnects = 1024
	// broadcastTimeout bounds the broadcast of one crash to the other nodes.
	broadcastTimeout = 2 * clock.Second
	// maxUnsent bounds the broadcasts that wait, since the store is down.
	maxUnsent = 256
	// maxTellDelay is the longest time until the other nodes are told that a request was
	// answered. Each node waits a random part of it, so that of many nodes that answer the
	// same request few tell it.
	maxTellDelay = clock.Second
)

// disconnects are the recent disconnects of one server: when it last disconnected during
// each request, by fingerprint.
type disconnects map[string]clock.Millis

// unsentCrash is a crash of which the other nodes are not told yet.
type unsentCrash struct {
	crash.Crash
	at clock.Millis
}

// CrashDetector derives crashes from disconnects and broadcasts them to the
// other nodes. A server that disconnected has crashed if its incarnation is
// removed from the registry within removalTimeout. Otherwise only its
// connections were lost. A request that is answered before that is no suspect.
type CrashDetector struct {
	*Quarantine
	isAlive   func(server string) bool
	broadcast func(context.Context, crash.Crash) error
	pending   atomic.Int64 // disconnects in servers

	mu      sync.Mutex
	servers map[string]disconnects // by incarnation
	unsent  []unsentCrash          // broadcasts that wait
	sending bool
}

// NewCrashDetector returns a crash detector. The function isAlive reports
// whether an incarnation of a server is still registered; broadcast sends a
// crash to the other nodes.
func NewCrashDetector(
	q *Quarantine, isAlive func(server string) bool, broadcast func(context.Context, crash.Crash) error,
) *CrashDetector {
	return &CrashDetector{Quarantine: q, isAlive: isAlive, broadcast: broadcast, servers: make(map[string]disconnects)}
}

// RecordDisconnect records that an incarnation of a server disconnected during the
// request with a given fingerprint, before the end of its answer.
func (d *CrashDetector) RecordDisconnect(server, request string) {
	if d.pending.Load() >= maxDisconnects {
		d.params.Log.Warn().Str("crash", server).Str("request", request).
			Msg("quar: too many disconnects at once, this one is ignored")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.servers[server] == nil {
		d.servers[server] = make(disconnects)
	}
	if _, known := d.servers[server][request]; !known {
		d.pending.Add(1)
	}
	d.servers[server][request] = d.params.Clock.Now()
}

// RecordAnswer clears a request of all crashes and disconnects so far, because it got a
// whole answer. It computes the fingerprint of the request only if there are any.
func (d *CrashDetector) RecordAnswer(fingerprint func() string) {
	if d.pending.Load() > 0 {
		d.forgetDisconnects(fingerprint())
	}
	d.Quarantine.RecordAnswer(fingerprint)
}

// forgetDisconnects removes the disconnects during a request.
func (d *CrashDetector) forgetDisconnects(request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, requests := range d.servers {
		if _, ok := requests[request]; ok {
			delete(requests, request)
			d.pending.Add(-1)
		}
	}
}

// Run detects and broadcasts crashes until the context ends.
func (d *CrashDetector) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval.Duration())
	defer ticker.Stop()
	tellAt := clock.Millis(0) // when the other nodes are told of answers, 0 if there are none
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range d.crashes() {
			d.RecordCrash(c)
			d.queueBroadcast(c)
		}
		untold := d.untold()
		switch now := d.params.Clock.Now(); {
		case len(untold) == 0:
			tellAt = 0
		case tellAt == 0:
			tellAt = now + rand.N(maxTellDelay)
		case now >= tellAt:
			tellAt = 0
			for _, c := range untold {
				d.RecordCrash(c)
				d.queueBroadcast(c)
			}
		}
		d.startBroadcasts(ctx)
	}
}

// crashes removes and returns the crashes among the disconnects, and forgets those of
// servers that are still alive after removalTimeout.
func (d *CrashDetector) crashes() []crash.Crash {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.params.Clock.Now()
	var out []crash.Crash
	for server, requests := range d.servers {
		before := len(requests)
		if d.isAlive(server) {
			maps.DeleteFunc(requests, func(_ string, at clock.Millis) bool { return now-at > removalTimeout })
		} else {
			crashed := sets.Of[string]()
			for r := range requests {
				crashed.Add(r)
			}
			if before > 0 {
				out = append(out, crash.Crash{ID: server, Requests: crashed.Sorted()})
			}
			clear(requests)
		}
		d.pending.Add(int64(len(requests) - before))
		if len(requests) == 0 {
			delete(d.servers, server)
		}
	}
	return out
}

func (d *CrashDetector) queueBroadcast(c crash.Crash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.unsent) < maxUnsent {
		d.unsent = append(d.unsent, unsentCrash{c, d.params.Clock.Now()})
	}
}

// startBroadcasts sends the broadcasts that wait, unless they are being sent.
func (d *CrashDetector) startBroadcasts(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.unsent) > 0 && !d.sending {
		d.sending = true
		go d.sendBroadcasts(ctx)
	}
}

// sendBroadcasts sends the broadcasts that wait, without those that have expired. It stops
// after the first failure, and the rest is sent at the next check.
func (d *CrashDetector) sendBroadcasts(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer func() { d.sending = false }()
	for len(d.unsent) > 0 {
		c := d.unsent[0]
		if d.params.Clock.Now()-c.at > d.params.Policy.Window {
			d.unsent = d.unsent[1:]
			continue
		}
		d.mu.Unlock()
		err := d.broadcastCrash(ctx, c.Crash)
		d.mu.Lock()
		if err != nil {
			return
		}
		d.unsent = d.unsent[1:]
	}
}

func (d *CrashDetector) broadcastCrash(ctx context.Context, c crash.Crash) error {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout.Duration())
	defer cancel()
	err := d.broadcast(ctx, c)
	if err != nil {
		d.params.Log.Warn().Str("crash", c.ID).Err(err).Msg("quar: crash broadcast failed")
	}
	return err
}
