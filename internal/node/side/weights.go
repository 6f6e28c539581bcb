package side

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/share"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

const (
	// reportInterval is how often the engine's report is read. The read is cheap,
	// since the engine is on the same VM.
	reportInterval = 100 * clock.Milli
	// orderTimeout is how long the effect of a load order without an answer may
	// take. Then the order is sent again; the engine accepts only one of the two,
	// because both name the same number of accepted orders.
	orderTimeout = 1500 * clock.Milli
	// idleLoadDelay is how long an idle engine waits for work after a version was
	// announced: a trainer submits its next job right after the announcement.
	idleLoadDelay = 300 * clock.Milli
	// loadShareDivisor limits concurrent loads: one in loadShareDivisor engines of a
	// service may load at the same time without slowing the others down. In a small
	// service, minConcurrentLoads engines may.
	loadShareDivisor   = 5
	minConcurrentLoads = 2
)

// ManageWeights reads the engine's report and orders loads of announced versions,
// until the context ends.
//
//  1. The engine loads versions of the model that is assigned to it.
//  2. A load stops all runs for about a second, which is too long for the longest
//     items, so the engines of a model load in two halves. The first half
//     loads a version as soon as it is announced. The longest items start on
//     the second half, which loads while nothing runs. Jobs may use the version
//     before the newest; an engine that is further behind loads as soon as
//     possible. Of all engines only a few load at the same time (LoadLimiter).
//  3. An order names the number of orders accepted so far. The engine refuses an
//     order that arrives late, after another one, because that number differs.
//  4. An engine that leaves gets no order, which would stop its last runs.
//  5. After an order without an answer, no other order is sent until the report
//     shows its effect or orderTimeout is over. Then it is sent again unchanged, unless
//     the engine has restarted.
func (a *Agent) ManageWeights(ctx context.Context) {
	m := &weightManager{agent: a}
	clock.Every(ctx, reportInterval, func() { m.reconcile(ctx) })
}

// weightManager sends the load orders for the engine of an agent.
type weightManager struct {
	agent       *Agent
	shares      share.Cache
	model       string // model of the version to load
	version     int64
	announcedAt clock.Millis    // when this version was first seen
	token       int64           // fencing token in the load limiter, 0 for none
	openOrder   *plat.LoadOrder // last order, if its effect is not known
	sentAt      clock.Millis
	sentTo      string // ID of the engine to which it was sent
	sentToStart int64  // start of the incarnation that reported then
}

// reconcile reads the engine's report once and sends the load order that is due.
func (m *weightManager) reconcile(ctx context.Context) {
	a := m.agent
	askedAt := a.Clock.Now()
	state, err := a.EngineControl.State(ctx, plat.Target{Addr: a.EngineAddr})
	now := a.Clock.Now()
	a.mu.Lock()
	lastReport := a.lastReport
	if unreachable := err != nil; a.unreachable != unreachable {
		a.unreachable = unreachable
		a.requestFrames()
	}
	if err == nil {
		a.state, a.lastReport = state, now
		a.observeRateLimit(askedAt, state.RateLimit)
		a.observeLeaving(state.StartedAt, state.Leaving)
		if a.loading != state.Busy {
			a.loading = state.Busy
			a.requestFrames()
		}
	}
	idleSince, leaving := a.idleSince, a.isLeaving()
	a.mu.Unlock()
	if err != nil {
		if lastReport > 0 && now-lastReport >= unresponsiveTimeout && now-lastReport < unresponsiveTimeout+reportInterval {
			a.Log.Warn().Err(err).Msg("side: the engine does not report")
		}
		return
	}
	e := a.engine()
	if e == nil || e.Leaving || leaving || state.Busy {
		return
	}
	if m.openOrder != nil && (m.sentTo != e.ID || m.sentToStart != state.StartedAt || state.AcceptedOrders != m.openOrder.ExpectedOrders ||
		state.Versions[m.openOrder.Model] >= m.openOrder.Version) {
		m.openOrder = nil
		m.release(ctx)
	}
	if m.openOrder != nil {
		if now-m.sentAt >= orderTimeout { // rule 5
			m.send(ctx, e.ID, state.StartedAt)
		}
		return
	}
	cfg := a.Conf.Config()
	if cfg == nil || cfg.Service(e.Service) == nil {
		return
	}
	engines := a.Conf.Servers().ByService(e.Service)
	shares := m.shares.Assign(engines, cfg.Service(e.Service).Models, a.Conf.Demand())
	model := shares[e.ID] // rule 1
	version := a.Conf.Version(model)
	if model == "" || state.Versions[model] >= version {
		m.release(ctx)
		return
	}
	if m.model != model || m.version != version {
		m.model, m.version, m.announcedAt = model, version, now
	}
	rank, total := share.Rank(engines, shares, e.ID)
	if m.token == 0 && !(turn{rank, total}).due(now, version-state.Versions[model], idleSince, m.announcedAt) {
		return
	}
	if !m.acquire(ctx, max(minConcurrentLoads, (len(engines)+loadShareDivisor-1)/loadShareDivisor)) {
		return
	}
	m.openOrder = &plat.LoadOrder{
		Model: model, Version: version, Fence: m.token, ExpectedOrders: state.AcceptedOrders,
		Owner: a.Node, Drain: cfg.NeedsSingleVersion(e.Service),
	}
	m.send(ctx, e.ID, state.StartedAt)
}

// acquire reports whether the engine may load now. It enqueues a request if there is
// none.
func (m *weightManager) acquire(ctx context.Context, limit int) bool {
	a := m.agent
	var err error
	if m.token == 0 {
		if m.token, err = a.LoadLimiter.Enqueue(ctx); err != nil {
			m.token = 0
			a.Log.Warn().Err(err).Str("model", m.model).Int64("version", m.version).Msg("side: no fencing token, the load order waits")
			return false
		}
	}
	may, err := a.LoadLimiter.MayLoad(ctx, m.token, limit)
	if err != nil {
		a.Log.Warn().Err(err).Int64("token", m.token).Msg("side: reading the load limiter failed, the load order waits")
	}
	return may && err == nil
}

// release withdraws the request to load, if there is one, so that the next engine can
// load.
func (m *weightManager) release(ctx context.Context) {
	if m.token == 0 {
		return
	}
	if err := m.agent.LoadLimiter.Release(ctx); err != nil {
		m.agent.Log.Warn().Err(err).Msg("side: releasing the load limiter failed, the request expires")
	}
	m.token = 0
}

// turn is the position of an engine among the engines with its model. It decides
// in which half the engine loads (rule 2 of ManageWeights).
type turn struct {
	rank  int
	total int
}

// due reports whether the engine should load now (rule 2). In the arguments, behind
// is the number of versions that the engine lacks, idleSince is when its last run
// ended (0 while it runs something), and announcedAt is when the newest version was
// announced.
func (t turn) due(now clock.Millis, behind int64, idleSince, announcedAt clock.Millis) bool {
	if behind > 1 {
		return true
	}
	if t.rank < t.total/2 {
		return true
	}
	return idleSince > 0 && now >= announcedAt+idleLoadDelay
}

// send sends the open order to an engine, which reports that it started at startedAt, and
// handles the reply.
func (m *weightManager) send(ctx context.Context, id string, startedAt int64) {
	a := m.agent
	m.sentAt, m.sentTo, m.sentToStart = a.Clock.Now(), id, startedAt
	o := *m.openOrder
	res, err := a.EngineControl.Load(ctx, plat.Target{ID: id, Addr: a.EngineAddr}, o)
	a.Count("orders", [...]string{"unknown", "started", "holds", "conflict", "refused"}[res])
	a.Log.Info().Err(err).Str("engine", id).Str("model", o.Model).Int64("version", o.Version).Int64("fence", o.Fence).
		Int64("expected", o.ExpectedOrders).Uint8("result", uint8(res)).Msg("side: order sent")
	if res == plat.LoadStarted {
		a.mu.Lock()
		a.loading = true
		a.requestFrames()
		a.mu.Unlock()
	}
	if res == plat.LoadAlreadyDone || res == plat.LoadConflict || res == plat.LoadRefused {
		m.openOrder = nil
		m.release(ctx) // The next order needs another token.
	}
}
