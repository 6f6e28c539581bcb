// Package duties carries out the calls to the platform that one VM at a time may make: the
// reports of usage and the orders of engines.
//
//  1. All duties have one holder, by one lease on the log (package leases). The fencing
//     token is the offset of the winning bid. The receiver may check nothing, so a lease
//     has the term that the platform states, a former holder stays out for two terms, and
//     no call lasts longer than the term that is left.
//  2. The lease is checked immediately before each call, and again before its bytes are
//     written, by a clock that counts suspensions.
//  3. Only a few nodes bid and read the log of the duties; which ones is decided by
//     rendezvous hashing among the live nodes.
//  4. A holder whose calls have had no answer for a while gives up the lease, as another
//     node may reach the platform.
//  5. Each node counts the requests that begin at it, by windows of true time (package
//     epoch), and writes the counts to the log after the window's end. Package usage says
//     how they become reports.
//
// # Usage
//
//	s := duties.New(duties.Params{...})
//	go s.Run(ctx)
//	s.CountRequest(workspace, 0)
//	s.HandOver(ctx) // on shutdown
//	s.Flush(ctx)    // after the last request
package duties

import (
	"cmp"
	"context"
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/epoch"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/lease"
	"github.com/jujuberamp/jujuberamp/internal/decide/scale"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/decide/usage"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/node/leases"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
)

const (
	// leaseName is the name of the lease of all duties, and the key by which the
	// candidates are chosen.
	leaseName = "duties"
	// defaultWindow is the length of the windows in which use is stated if usage is not
	// reported.
	defaultWindow = 5 * clock.Second
	// candidates is the number of nodes that bid. Four may fail at the same time; others take
	// their place once their heartbeats are missing for some seconds.
	candidates = 5
	// leaseMargin covers clocks that run apart during a term.
	leaseMargin = 500 * clock.Milli
	// renewShare and retryShare are the shares of the term after which the lease is
	// renewed, and after which a renewal that was not read back is repeated. Three
	// renewals may be lost.
	renewShare = 3
	retryShare = 4
	// idlePoll is how often a node that is no candidate looks whether it has become one.
	idlePoll = clock.Second
	// clockInterval is how often the own time of day is compared with the steady clock.
	clockInterval = clock.Second
	// callTimeout bounds one call. A slow platform answers within a second.
	callTimeout = 1500 * clock.Milli
	// minCallTime is the rest of the term below which no call is begun: the time of a
	// connection between regions and the call.
	minCallTime = 300 * clock.Milli
	// minBackoff and maxBackoff bound the pause after a call without an answer.
	minBackoff = 250 * clock.Milli
	maxBackoff = 2 * clock.Second
	// giveUpAfter is how long calls may fail before the holder yields (rule 4), and
	// yieldPause how long it does not bid then. A platform that is down for all passes
	// the duties on each time, which is harmless.
	giveUpAfter = 4 * clock.Second
	yieldPause  = 20 * clock.Second
)

// Params are the dependencies and settings of a [Service].
type Params struct {
	Self   joblog.Node
	Info   plat.DutyInfo
	Store  plat.Store
	Writer *logs.Writer
	API    plat.DutyAPI
	Peers  func() ([]spread.Peer, bool) // live entries
	Scaled func() []Scaled              // services with servers on order; nil for none
	Policy scale.Policy                 // by which they are ordered
	Clock  clock.Clock                  // counts suspensions
	Wall   func() epoch.Unix            // this VM's time of day
	Log    zerolog.Logger
	Count  func(name, label string)
}

// Service carries out the duties of one node. It is safe for concurrent use.
type Service struct {
	Params
	lease *leases.Lease

	mu      sync.Mutex
	epoch   *epoch.Estimator
	counter *usage.Counter
	ledger  *usage.Ledger
	// busyWritten is the window before which the busy times were last written.
	busyWritten int64
	next        int64                  // offset of the next record of usage to read
	readAt      clock.Millis           // when the records were last read to their end
	appended    map[int64]clock.Millis // by window, when this node last wrote its report
	scaling     *scaling
	refused     map[int64]bool // windows whose report the platform refused
	backoff     clock.Millis
	failing     clock.Millis // since when calls have had no answer, 0 if the last one had one
	lastAct     clock.Millis // when the last call was answered

	lastReported int64 // newest window of which this node has sent the report

	scaledNames atomic.Pointer[map[string]bool] // services with servers on order
}

// New returns a service that does nothing before Run.
func New(p Params) *Service {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.Self.Boot))
	p.Info.Window = cmp.Or(p.Info.Window, defaultWindow)
	s := &Service{
		Params: p, scaling: newScaling(p.Policy), epoch: epoch.New(), counter: usage.NewCounter(int64(p.Info.Window)), ledger: usage.NewLedger(),
		appended: make(map[int64]clock.Millis), refused: make(map[int64]bool),
	}
	s.lease = leases.New(leases.Params{
		Name: leaseName, Node: ident.Node(p.Self.Name), Boot: ident.Incarnation(h.Sum64()),
		Policy: lease.Policy{
			Term: p.Info.Lease, Margin: leaseMargin, RenewInterval: p.Info.Lease / renewShare, RetryDelay: p.Info.Lease / retryShare, StayOut: true,
		},
		Eligible: s.isCandidate, Idle: idlePoll, Source: leaseLog{p.Store}, Clock: p.Clock, Log: p.Log,
	})
	s.observeClock()
	return s
}

// Run carries out the duties until the context ends.
func (s *Service) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { s.lease.Run(ctx) })
	running.Go(func() { clock.Every(ctx, clockInterval, s.observeClock) })
	running.Go(func() { s.watchHolder(ctx) })
	running.Go(func() { s.writeCounts(ctx) })
	running.Go(func() { s.followUsage(ctx) })
	if s.Info.ReportUsage {
		running.Go(func() { s.report(ctx) })
	}
	if s.Info.Scale && s.Scaled != nil {
		running.Go(func() { s.scale(ctx) })
	}
	running.Wait()
}

// HandOver gives up the duties, for a node that stops. Requests that it still serves are
// counted.
func (s *Service) HandOver(ctx context.Context) { s.lease.Release(ctx) }

// Flush writes the counts of all windows, also of the current one. A node calls it when it
// has served its last request.
func (s *Service) Flush(ctx context.Context) {
	s.writeTallies(ctx, math.MaxInt64)
}

// isCandidate reports whether this node may bid for the lease (rule 3).
func (s *Service) isCandidate() bool {
	peers, known := s.Peers()
	if !known {
		return false
	}
	return slices.ContainsFunc(spread.TopPeers(leaseName, peers, candidates), func(p spread.Peer) bool {
		return string(p.Name) == s.Self.Name
	})
}

// Holder returns the holder of the duties as far as this node knows, and its fencing token.
func (s *Service) Holder() (ident.Node, ident.Offset) { return s.lease.Holder() }

// watchHolder logs each change of the holder that this node sees.
func (s *Service) watchHolder(ctx context.Context) {
	var last ident.Offset
	clock.Every(ctx, pollInterval, func() {
		holder, token := s.lease.Holder()
		if token == last {
			return
		}
		last = token
		s.Log.Info().Str("holder", string(holder)).Int64("token", int64(token)).Msg("duties: holder changed")
	})
}

// observeClock compares the time of day with the steady clock.
func (s *Service) observeClock() {
	s.mu.Lock()
	defer s.mu.Unlock()
	moved, replaced := s.epoch.ObserveOwn(s.Clock.Now(), s.Wall())
	if replaced {
		s.Count("duties-clock", "replaced")
		s.Log.Warn().Int64("moved-ms", moved).Msg("duties: the estimate of true time disagreed with most nodes and was replaced")
	}
}

// ObservePeerClock takes another node's time of day from a message that arrived now.
func (s *Service) ObservePeerClock(node string, at epoch.Unix) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch.ObservePeer(s.Clock.Now(), node, at)
}

// trueTime returns the estimate of true time.
func (s *Service) trueTime() epoch.Unix {
	at, _ := s.epoch.At(s.Clock.Now())
	return at
}

// call makes one call as the holder (rules 1 and 2). It returns [plat.ErrDutyLost] if this
// node is not the holder for long enough.
func (s *Service) call(ctx context.Context, send func(ctx context.Context, c plat.DutyCall) error) error {
	token, left, ok := s.lease.HeldFor()
	if !ok || left < minCallTime {
		return plat.ErrDutyLost
	}
	err := send(ctx, plat.DutyCall{
		Holder: s.Self.Name, Token: int64(token), Timeout: min(callTimeout, left),
		MaySend: func() bool { t, ok := s.lease.Held(); return ok && t == token },
	})
	s.recordAnswer(ctx, err)
	return err
}

// recordAnswer keeps the pause before the next call, and yields the lease if the platform
// has not answered for too long (rule 4).
func (s *Service) recordAnswer(ctx context.Context, err error) {
	now := s.Clock.Now()
	s.mu.Lock()
	yields := false
	switch {
	case err == nil, errors.Is(err, plat.ErrDutyRefused):
		s.backoff, s.failing, s.lastAct = 0, 0, now
	case errors.Is(err, plat.ErrDutyLost):
	default:
		s.backoff = min(maxBackoff, max(minBackoff, 2*s.backoff))
		if s.failing == 0 {
			s.failing = now
		}
		if yields = now-s.failing >= giveUpAfter; yields {
			s.failing = 0
		}
	}
	s.mu.Unlock()
	if yields {
		s.Count("duties-lease", "yielded")
		s.Log.Warn().Err(err).Msg("duties: the platform does not answer, the duties go to another node")
		s.lease.Yield(ctx, yieldPause)
	}
}

// pause waits after a call that had no answer, or for as long as the platform's rate of
// calls asks for.
func (s *Service) pause(ctx context.Context) {
	s.mu.Lock()
	wait := s.backoff
	s.mu.Unlock()
	if s.Info.PerSecond > 0 {
		wait = max(wait, clock.Millis(float64(clock.Second)/s.Info.PerSecond)+1)
	}
	clock.Sleep(ctx, wait)
}
