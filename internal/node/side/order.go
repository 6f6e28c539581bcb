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
	// wave is the time between two groups of engines that load at once: one
	// load takes 0.9 s, and longer while too many engines load.
	wave = 950 * clock.Milli
	// waveShare is one in how many engines of a service may load at once
	// without slowing each other; two may at any size.
	waveShare = 5
	waveLeast = 2
)

// Control reads the engine's report and orders the versions that are named,
// until the context ends.
//
//  1. The engine loads versions of the model that it mainly serves.
//  2. A load stops all runs for about a second, which the longest items can't
//     spare, so the engines of a model take turns. The first half loads a
//     version as soon as it is named, a few at a time; the longest items
//     start on the other half, which loads while nothing runs. Jobs may use
//     the version before the newest; an engine that is further behind loads
//     at once.
//  3. An order names the count of orders accepted so far. One that is carried
//     out late, after another, is refused by that count.
//  4. An order without an answer is not followed by another before the report
//     shows its effect or its time is over; it is then sent again unchanged.
func (a *Agent) Control(ctx context.Context) {
	c := &orders{agent: a}
	clock.Every(ctx, reportEach, func() { c.step(ctx) })
}

type orders struct {
	agent *Agent
	model string          // wanted last
	want  int64           // its version
	since clock.Millis    // it is wanted
	yield clock.Millis    // when the engine began to wait for its runs to move
	sent  *plat.SwapOrder // without a known effect
	at    clock.Millis
	id    string // of the engine that it was sent to
}

func (c *orders) step(ctx context.Context) {
	a := c.agent
	st, err := a.Order.State(ctx, plat.Target{Addr: a.Engine})
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
	if c.sent != nil && (c.id != e.ID || st.Orders != c.sent.Expect || st.Versions[c.sent.Model] >= c.sent.Version) {
		c.sent = nil
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
	engines := a.Conf.Servers().Of(e.Service)
	shares := share.Out(engines, cfg.Service(e.Service).Models, a.Conf.Demand())
	model := shares[e.ID] // rule 1
	want := a.Conf.Version(model)
	if model == "" || st.Versions[model] >= want {
		return
	}
	if c.model != model || c.want != want {
		c.model, c.want, c.since = model, want, now
	}
	rank, of := share.Rank(engines, shares, e.ID)
	t := turn{rank: rank, of: of, together: max(waveLeast, (len(engines)+waveShare-1)/waveShare)}
	if !t.due(now, want-st.Versions[model], idle, c.since) {
		return
	}
	fence, err := a.Fence(ctx)
	if err != nil {
		a.Log.Warn().Err(err).Str("model", model).Int64("version", want).Msg("side: no fencing token, the order waits")
		return
	}
	c.sent = &plat.SwapOrder{Model: model, Version: want, Fence: fence, Expect: st.Orders, Owner: a.Node}
	c.send(ctx, e.ID)
}

// turn is an engine's place among those with its model.
type turn struct {
	rank     int
	of       int
	together int // engines that may load at once
}

// due applies rule 2: behind is how many versions the engine lacks, idle since
// when nothing runs (0 while something does), named when the newest was named.
func (t turn) due(now clock.Millis, behind int64, idle, named clock.Millis) bool {
	if behind > 1 {
		return true
	}
	if t.rank < t.of/2 {
		return now >= named+clock.Millis(t.rank/t.together)*wave
	}
	return idle > 0 && now >= named+settle
}

func (c *orders) send(ctx context.Context, id string) {
	a := c.agent
	c.at, c.id = a.Clock.Now(), id
	o := *c.sent
	res, err := a.Order.Swap(ctx, plat.Target{ID: id, Addr: a.Engine}, o)
	a.Count("orders", [...]string{"unknown", "started", "holds", "conflict", "refused"}[res])
	a.Log.Info().Err(err).Str("engine", id).Str("model", o.Model).Int64("version", o.Version).Int64("fence", o.Fence).
		Int64("expected", o.Expect).Uint8("result", uint8(res)).Msg("side: order sent")
	if res == plat.SwapStarted {
		a.mu.Lock()
		a.loading = true
		a.tell()
		a.mu.Unlock()
	}
	if res == plat.SwapHolds || res == plat.SwapConflict || res == plat.SwapRefused {
		c.sent = nil
	}
}
