package side

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/share"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

const (
	// reportEach is how often the engine's report is read; it is free on the
	// engine's own VM.
	reportEach = 100 * clock.Milli
	// effectFor is how long an order without an answer may take before it is
	// sent again. Only one of the two is accepted, by the count of orders.
	effectFor = 1500 * clock.Milli
	// settle is how long after a version was named an idle engine waits for
	// work: a trainer hands in its next job right after it has named one.
	settle = 300 * clock.Milli
	// waveShare is one in how many engines of a service may load at once
	// without slowing each other; two may at any size.
	waveShare = 5
	waveLeast = 2
)

// ManageWeights reads the engine's report and orders the versions that are named,
// until the context ends.
//
//  1. The engine loads versions of the model that it mainly serves.
//  2. A load stops all runs for about a second, which the longest items can't
//     spare, so the engines of a model take turns. The first half loads a
//     version as soon as it is named; the longest items start on the other
//     half, which loads while nothing runs. Jobs may use the version before
//     the newest; an engine that is further behind loads as soon as it may.
//     Of all engines only a few load at a time (package gate).
//  3. An order names the count of orders accepted so far. One that is carried
//     out late, after another, is refused by that count.
//  4. An order without an answer is not followed by another before the report
//     shows its effect or its time is over; it is then sent again unchanged.
func (a *Agent) ManageWeights(ctx context.Context) {
	c := &orders{agent: a}
	clock.Every(ctx, reportEach, func() { c.step(ctx) })
}

type orders struct {
	agent *Agent
	model string          // wanted last
	want  int64           // its version
	since clock.Millis    // it is wanted
	token int64           // of the place in the gate, 0 outside
	sent  *plat.SwapOrder // without a known effect
	at    clock.Millis
	id    string // of the engine that it was sent to
}

func (c *orders) step(ctx context.Context) {
	a := c.agent
	st, err := a.EngineControl.State(ctx, plat.Target{Addr: a.EngineAddr})
	now := a.Clock.Now()
	a.mu.Lock()
	was := a.heard
	if down := err != nil; a.down != down {
		a.down = down
		a.tell()
	}
	if err == nil {
		a.state, a.heard = st, now
		if a.loading != st.Busy {
			a.loading = st.Busy
			a.tell()
		}
	}
	idle := a.idle
	a.mu.Unlock()
	if err != nil {
		if was > 0 && now-was >= silent && now-was < silent+reportEach {
			a.Log.Warn().Err(err).Msg("side: the engine does not report")
		}
		return
	}
	e := a.engine()
	if e == nil || e.Leaving || st.Busy {
		return
	}
	if c.sent != nil && (c.id != e.ID || st.AcceptedOrders != c.sent.ExpectedOrders || st.Versions[c.sent.Model] >= c.sent.Version) {
		c.sent = nil
		c.leave(ctx)
	}
	if c.sent != nil {
		if now-c.at >= effectFor { // rule 4
			c.send(ctx, e.ID)
		}
		return
	}
	cfg := a.Conf.Config()
	if cfg == nil || cfg.Service(e.Service) == nil {
		return
	}
	engines := a.Conf.Servers().ByService(e.Service)
	shares := share.Assign(engines, cfg.Service(e.Service).Models, a.Conf.Demand())
	model := shares[e.ID] // rule 1
	want := a.Conf.Version(model)
	if model == "" || st.Versions[model] >= want {
		c.leave(ctx)
		return
	}
	if c.model != model || c.want != want {
		c.model, c.want, c.since = model, want, now
	}
	rank, of := share.Rank(engines, shares, e.ID)
	if c.token == 0 && !(turn{rank, of}).due(now, want-st.Versions[model], idle, c.since) {
		return
	}
	if !c.enter(ctx, max(waveLeast, (len(engines)+waveShare-1)/waveShare)) {
		return
	}
	c.sent = &plat.SwapOrder{Model: model, Version: want, Fence: c.token, ExpectedOrders: st.AcceptedOrders, Owner: a.Node, Drain: cfg.NeedsSingleVersion(e.Service)}
	c.send(ctx, e.ID)
}

// enter reports whether the engine may load now, beside as many others as may.
func (c *orders) enter(ctx context.Context, together int) bool {
	a := c.agent
	var err error
	if c.token == 0 {
		if c.token, err = a.LoadLimiter.Enqueue(ctx); err != nil {
			c.token = 0
			a.Log.Warn().Err(err).Str("model", c.model).Int64("version", c.want).Msg("side: no fencing token, the order waits")
			return false
		}
	}
	may, err := a.LoadLimiter.MayLoad(ctx, c.token, together)
	if err != nil {
		a.Log.Warn().Err(err).Int64("token", c.token).Msg("side: the other loads are not known, the order waits")
	}
	return may && err == nil
}

// leave lets the next engine load.
func (c *orders) leave(ctx context.Context) {
	if c.token == 0 {
		return
	}
	if err := c.agent.LoadLimiter.Release(ctx); err != nil {
		c.agent.Log.Warn().Err(err).Msg("side: the end of a load is not told; the others notice by its time")
	}
	c.token = 0
}

// turn is an engine's place among those with its model.
type turn struct {
	rank int
	of   int
}

// due applies rule 2: behind is how many versions the engine lacks, idle since
// when nothing runs (0 while something does), named when the newest was named.
func (t turn) due(now clock.Millis, behind int64, idle, named clock.Millis) bool {
	if behind > 1 {
		return true
	}
	if t.rank < t.of/2 {
		return true
	}
	return idle > 0 && now >= named+settle
}

func (c *orders) send(ctx context.Context, id string) {
	a := c.agent
	c.at, c.id = a.Clock.Now(), id
	o := *c.sent
	res, err := a.EngineControl.Swap(ctx, plat.Target{ID: id, Addr: a.EngineAddr}, o)
	a.Count("orders", [...]string{"unknown", "started", "holds", "conflict", "refused"}[res])
	a.Log.Info().Err(err).Str("engine", id).Str("model", o.Model).Int64("version", o.Version).Int64("fence", o.Fence).
		Int64("expected", o.ExpectedOrders).Uint8("result", uint8(res)).Msg("side: order sent")
	if res == plat.SwapStarted {
		a.mu.Lock()
		a.loading = true
		a.tell()
		a.mu.Unlock()
	}
	if res == plat.SwapAlreadyLoaded || res == plat.SwapConflict || res == plat.SwapRefused {
		c.sent = nil
		c.leave(ctx) // The next order needs another token.
	}
}
