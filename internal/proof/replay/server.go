package replay

import (
	"strconv"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/limit"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/stand/batch"
)

const (
	slowRateShare   = 0.7                // share of the peers' median token rate below which a server is slow
	livenessTimeout = 1200 * clock.Milli // a trace holds one report a second of a live agent
	reportInterval  = 250 * clock.Milli
	cachedPrefixes  = 64
	prefillRate     = 50_000 // prompt bytes/s
)

// server is one backend server with its agent.
type server struct {
	node         ident.Node
	zone         ident.Zone
	region       ident.Region
	service      ident.Service
	plain        bool // serves calls, not a model
	slots        int
	version      ident.Version
	tokenRate    float64 // last recorded rate, tokens/s
	loading      bool
	down         bool
	failedLoads  int          // consecutive failed loads
	retryAt      clock.Millis // earliest moment of the next load order
	leavingSince clock.Millis // first recorded report with the leaving flag, 0 for none
	lastSeen     clock.Millis // last recorded report
	lastReport   clock.Millis // last report to the matcher
	reportSeq    uint64
	incarnation  ident.Incarnation
	finishSeq    uint64 // number of the latest scheduleFinish call; earlier schedules are ignored
	engine       *batch.Engine
	limiter      *limit.Limiter
	attempts     map[string]*attempt
}

// attempt is one attempt of a piece of work on a server.
type attempt struct {
	work           *workItem
	server         *server
	grant          match.Grant
	version        ident.Version // weight version at the start
	slotRequest    limit.Request
	reportedTokens int // tokens reported to the matcher
}

func (a *attempt) id() string {
	return strconv.FormatUint(a.work.item.ID, 10) + "/" + string(a.server.node)
}

// findOrAddServer returns the server of a recorded report and adds it if it is
// new.
func (sim *simulation) findOrAddServer(e trace.Event) *server {
	s, ok := sim.servers[e.Node]
	if !ok {
		s = &server{
			node:        e.Node,
			zone:        e.Zone,
			region:      e.Region,
			plain:       e.Call,
			version:     e.Version,
			incarnation: 1,
			limiter:     limit.New(max(1, e.Slots)),
			attempts:    make(map[string]*attempt),
		}
		sim.servers[e.Node] = s
		sim.serverList = append(sim.serverList, s)
	}
	return s
}

// handleReport updates a server from a recorded report: its slots, its speed,
// whether it is leaving, and its return after a crash.
func (sim *simulation) handleReport(e trace.Event) {
	s := sim.findOrAddServer(e)
	s.lastSeen = sim.Now()
	if e.Leaving && s.leavingSince == 0 {
		s.leavingSince = sim.Now()
	}
	s.slots = max(s.slots, e.Slots)
	if e.Service == "" {
		return
	}
	if s.service == "" {
		s.service = e.Service
		s.engine = batch.New(batch.Params{
			Slots:          max(1, s.slots),
			Rate:           sim.info.tokenRate,
			Knee:           max(1, s.slots),
			PrefillRate:    prefillRate,
			CachedPrefixes: cachedPrefixes,
		})
	}
	if s.down {
		s.down, s.version = false, e.Version
		s.incarnation++
	}
	if e.Rate > 0 {
		s.tokenRate = e.Rate
		sim.advanceEngine(s)
		s.engine.SetSpeed(sim.relativeSpeed(s))
		sim.scheduleFinish(s)
	}
	sim.reportServer(s)
}

// relativeSpeed returns the token rate of a server divided by the median rate
// of its service's servers, or 1 if the result is at least slowRateShare.
// Streams are also slower when many of them share a server, but load does that
// on all servers, so only a rate well below the median indicates a slow server.
func (sim *simulation) relativeSpeed(s *server) float64 {
	var rates []float64
	for _, other := range sim.serverList {
		if other.service == s.service && other.tokenRate > 0 {
			rates = append(rates, other.tokenRate)
		}
	}
	share := s.tokenRate / median(rates, s.tokenRate)
	if share >= slowRateShare {
		return 1
	}
	return share
}

// reportServer reports the simulated state of a server to the matcher.
func (sim *simulation) reportServer(s *server) {
	s.lastReport = sim.Now()
	s.reportSeq++
	sv := match.Server{
		Node:       s.node,
		Zone:       s.zone,
		Region:     s.region,
		Service:    s.service,
		Version:    s.version,
		Loading:    s.loading,
		Leaving:    s.leavingSince > 0,
		Slots:      s.slots,
		Running:    len(s.attempts),
		OwnRunning: len(s.attempts),
		Boot:       s.incarnation,
		Seq:        s.reportSeq,
	}
	if s.down {
		sv.Service = ""
	}
	sim.matcher.Report(sim.Now(), sv)
}

// reportAllServers sends the reports that are due, for servers that are alive
// according to the trace.
func (sim *simulation) reportAllServers() {
	for _, s := range sim.serverList {
		if s.service != "" && sim.Now()-s.lastSeen <= livenessTimeout && sim.Now()-s.lastReport >= reportInterval {
			sim.reportServer(s)
		}
	}
}

// admit starts an attempt on its server. It returns false if the server is down
// or has no free slot for the attempt.
func (sim *simulation) admit(a *attempt) bool {
	s := a.server
	if s.down || s.limiter.Admit(sim.Now(), s.node, a.slotRequest, reportInterval) != nil {
		return false
	}
	a.version = s.version
	s.attempts[a.id()] = a
	if s.plain {
		sim.After(sim.callDuration(a.work.class), func() { sim.completeAttempt(a) })
		return true
	}
	sim.advanceEngine(s)
	sim.scheduleCrash(a)
	s.engine.Add(sim.Now(), batch.Job{ID: a.id(), Prefix: a.work.prefix, Tokens: max(1, a.work.tokens), Priority: a.grant.Priority})
	sim.scheduleFinish(s)
	return true
}

func (sim *simulation) callDuration(c ident.Class) clock.Millis {
	if t, ok := sim.info.callDurations[c]; ok {
		return t
	}
	return defaultCallDuration
}

// advanceEngine advances a server's engine to now and completes the attempts
// that finished.
func (sim *simulation) advanceEngine(s *server) {
	if s.engine == nil || s.plain {
		return
	}
	for _, id := range s.engine.Advance(sim.Now()) {
		if a, ok := s.attempts[id]; ok {
			sim.completeAttempt(a)
		}
	}
}

// scheduleFinish schedules the completion of the engine's next job. Each call
// replaces the schedule of the call before it.
func (sim *simulation) scheduleFinish(s *server) {
	s.finishSeq++
	seq := s.finishSeq
	at := s.engine.NextFinish()
	if at == clock.Never {
		return
	}
	sim.At(at, func() {
		if s.finishSeq == seq {
			sim.advanceEngine(s)
			sim.scheduleFinish(s)
		}
	})
}

// completeAttempt ends an attempt with a complete answer, unless the attempt
// has ended already.
func (sim *simulation) completeAttempt(a *attempt) {
	if a.server.attempts[a.id()] == a {
		sim.reportProgress(a, a.work.tokens)
		sim.finishAttempt(a, match.Result{Outcome: match.Served})
	}
}

// reportProgress reports an attempt's new tokens to the matcher.
func (sim *simulation) reportProgress(a *attempt, tokens int) {
	if tokens > a.reportedTokens {
		sim.matcher.Progress(sim.Now(), a.work.item.ID, a.server.node, tokens-a.reportedTokens)
		a.reportedTokens = tokens
	}
}

// reportAllProgress reports the progress of all attempts on engines.
func (sim *simulation) reportAllProgress() {
	for _, s := range sim.serverList {
		sim.advanceEngine(s)
		for _, a := range sortedAttempts(s) {
			if !s.plain {
				sim.reportProgress(a, s.engine.TokensGenerated(a.id()))
			}
		}
	}
}

// swapServers returns the servers of a model as input of the swap decision:
// those that are alive, not down and not leaving.
func (sim *simulation) swapServers(service ident.Service) []swap.Server {
	var out []swap.Server
	for _, s := range sim.serverList {
		if s.service == service && !s.plain && !s.down && sim.Now()-s.lastSeen <= livenessTimeout && s.leavingSince == 0 {
			out = append(out, swap.Server{Node: s.node, Zone: s.zone, Version: s.version, Loading: s.loading, NotBefore: s.retryAt})
		}
	}
	return out
}

// loadWeights loads a version on a server. Running attempts pause during the
// load and resume after it.
func (sim *simulation) loadWeights(s *server, v ident.Version) {
	sim.advanceEngine(s)
	s.loading = true
	s.engine.SetHalted(true)
	sim.reportServer(s)
	sim.recordZoneOutage(s)
	incarnation := s.incarnation
	sim.After(sim.info.loadDuration, func() {
		sim.advanceEngine(s)
		s.engine.SetHalted(false)
		s.loading = false
		switch {
		case s.incarnation != incarnation || s.down:
		case sim.info.loadFailures[s.node].contains(sim.traceNow()):
			s.failedLoads++
			s.retryAt = sim.Now() + swap.RetryDelay(swap.DefaultPolicy(), s.node, s.failedLoads, 0)
		default:
			s.version, s.failedLoads = v, 0
		}
		sim.scheduleFinish(s)
		sim.reportServer(s)
		sim.completeAnnouncements()
	})
}
