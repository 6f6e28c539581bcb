// Package work runs the jobs that a node owns: it assigns their items to engines,
// sends them to the agents beside the engines, has complete outputs scored, and
// stores the results.
//
// # Usage
//
//	w := work.New(work.Params{...})
//	go w.Run(ctx)
package work

import (
	"context"
	"net/http"
	"sync"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/share"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
	"github.com/jujuberamp/jujuberamp/internal/node/jobs"
)

const (
	// reconcileInterval is how often the worker runs if nothing wakes it up.
	reconcileInterval = 100 * clock.Milli
	// engineBackoff is how long an engine is avoided after a refusal or an
	// interrupted attempt.
	engineBackoff = 150 * clock.Milli
)

// Caller sends the service's own calls through a route; see [front.Proxy].
type Caller interface {
	Do(ctx context.Context, r *front.Request) (*front.Reply, error)
}

// Params are the dependencies and settings of a Worker.
type Params struct {
	Self      joblog.Node
	Jobs      *jobs.Service
	Proxy     Caller
	Conf      *conf.Follower
	Locality  pick.Locality
	AgentPort int // port of every agent
	Transport http.RoundTripper
	Clock     clock.Clock
	Log       zerolog.Logger
	Count     func(name, label string) // increments a counter; optional
}

// Worker runs the items of the jobs that its node owns.
type Worker struct {
	Params
	http *http.Client
	wake chan struct{}

	mu               sync.Mutex
	cachedItems      map[string][]joblog.Item // by job: items of jobs accepted here and not yet started
	jobs             map[string]*job
	engines          map[string]*engine
	shares           map[string]*share.Cache // by service: the model assigned to each engine
	stateFetches     int                     // state requests in progress
	indexReadable    bool                    // as of the last pass
	indexCurrentAt   clock.Millis            // see joblog.Index.CurrentAt, as of the last pass
	confirming       bool                    // confirmEvidence reads the index
	confirmAfter     clock.Millis            // earliest time of the next such read
	takeoverTriedAt  map[string]clock.Millis // by job
	suspectSince     map[string]clock.Millis // by job: since when its owner is silent
	probes           map[string]probeResult  // by node name
	assigningStopped bool
	lastReached      clock.Millis // when the last frame or state of an agent was received
	lostRuns         int          // runs that reached no agent since then
	isolatedUntil    clock.Millis // until when this node counts as isolated from the agents, 0 if it is not
}

// New returns a worker.
func New(p Params) *Worker {
	if p.Count == nil {
		p.Count = func(string, string) {}
	}
	return &Worker{
		Params: p, http: &http.Client{Transport: p.Transport}, wake: make(chan struct{}, 1),
		cachedItems: make(map[string][]joblog.Item), jobs: make(map[string]*job), engines: make(map[string]*engine), shares: make(map[string]*share.Cache),
		takeoverTriedAt: make(map[string]clock.Millis), suspectSince: make(map[string]clock.Millis), probes: make(map[string]probeResult),
	}
}

// CacheItems keeps the items of a job that is being accepted by this node in
// memory, so that they need not be read from the store.
func (w *Worker) CacheItems(s *joblog.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cachedItems[s.ID] = s.Items
}

// DropItems removes the cached items of a job that was not accepted.
func (w *Worker) DropItems(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cachedItems, id)
}

// Wake makes the worker run its next pass at once.
func (w *Worker) Wake() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run assigns items until the context ends.
func (w *Worker) Run(ctx context.Context) {
	go clock.Every(ctx, reconcileInterval, w.Wake)
	changed := w.Jobs.Changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			changed = w.Jobs.Changed()
		case <-w.wake:
		}
		w.updateHealth()
		w.saveDueCheckpoints(ctx)
		w.reconcile(ctx)
		w.assign()
	}
}

// InProgress returns the number of items in progress.
func (w *Worker) InProgress() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, j := range w.jobs {
		n += j.inProgress()
	}
	return n
}

// StopAssigning makes the worker start no more items. Those in progress continue
// until the context of Run ends.
func (w *Worker) StopAssigning() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.assigningStopped = true
}
