// Package work makes the results of the jobs that a node owns: it gives their
// items to the agents beside the engines, has finished texts scored, and
// stores them.
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
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
	"github.com/jujuberamp/jujuberamp/internal/node/jobs"
)

const (
	// lookEach is how often items are given out when nothing else happens.
	lookEach = 100 * clock.Milli
	// coolFor is how long an engine that refused gets nothing.
	coolFor = 150 * clock.Milli
)

// Quarantine knows the items that crash engines.
type Quarantine interface {
	RecordDisconnect(server, id string)
	RecordAnswer(name func() string)
	CrashCount(id string) int
}

// Caller makes the system's own calls through a route; see [front.Front].
type Caller interface {
	Do(ctx context.Context, r *front.Request) (*front.Reply, error)
}

// Params are what a worker needs.
type Params struct {
	Self       joblog.Node
	Jobs       *jobs.Service
	Front      Caller
	Quarantine Quarantine
	Conf       *conf.Follower
	Locality   pick.Locality
	AgentPort  int // of the agents
	Transport  http.RoundTripper
	Clock      clock.Clock
	Log        zerolog.Logger
	Count      func(name, label string)
}

// Worker makes results.
type Worker struct {
	Params
	http *http.Client
	wake chan struct{}

	mu      sync.Mutex
	specs   map[string][]joblog.Item // of jobs accepted here and not begun
	jobs    map[string]*job
	engines map[string]*engine
	takes   map[string]clock.Millis
	doubts  map[string]doubt // by name of a node
	leaving bool
	reached clock.Millis // when an agent was heard of last
	lost    int          // runs since then that reached no agent
	unfit   clock.Millis // until when this node counts as cut off from the agents
}

// New returns a worker.
func New(p Params) *Worker {
	if p.Count == nil {
		p.Count = func(string, string) {}
	}
	return &Worker{
		Params: p, http: &http.Client{Transport: p.Transport}, wake: make(chan struct{}, 1),
		specs: make(map[string][]joblog.Item), jobs: make(map[string]*job), engines: make(map[string]*engine),
		takes: make(map[string]clock.Millis), doubts: make(map[string]doubt),
	}
}

// CacheItems holds the items of a job that is being accepted here, so that they need
// not be read from the store.
func (w *Worker) CacheItems(s *joblog.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[s.ID] = s.Items
}

// DropItems forgets the items of a job that was not accepted here.
func (w *Worker) DropItems(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.specs, id)
}

// Wake makes the worker look again.
func (w *Worker) Wake() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run works until the context ends.
func (w *Worker) Run(ctx context.Context) {
	go clock.Every(ctx, lookEach, w.Wake)
	changed := w.Jobs.Changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			changed = w.Jobs.Changed()
		case <-w.wake:
		}
		w.fit()
		w.keep(ctx)
		w.look(ctx)
		w.assign()
	}
}

// InProgress returns the number of items in progress.
func (w *Worker) InProgress() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, j := range w.jobs {
		n += j.busy()
	}
	return n
}

// StopAssigning gives no more items out; those in progress go on until the context of
// Run ends.
func (w *Worker) StopAssigning() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}
