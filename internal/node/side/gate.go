package side

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/sema"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
)

const (
	// enterFor bounds the append of a record.
	enterFor = 2 * clock.Second
	// gateKB bounds one read of the records; each has some 40 bytes.
	gateKB = 64
)

// LoadLimiter lets the agents of a deployment load a few at a time, by the records of
// one topic. The offset of a record, plus one, is a fencing token: it rises for
// all agents, also across restarts.
type LoadLimiter struct {
	node   string
	store  plat.Store
	writer *logs.Writer
	clock  clock.Clock
	log    zerolog.Logger
	state  *sema.Semaphore
}

// NewLoadLimiter returns the gate of one agent.
func NewLoadLimiter(node string, s plat.Store, w *logs.Writer, c clock.Clock, log zerolog.Logger) *LoadLimiter {
	return &LoadLimiter{node: node, store: s, writer: w, clock: c, log: log, state: sema.New()}
}

// Enqueue queues up and returns a token.
func (g *LoadLimiter) Enqueue(ctx context.Context) (int64, error) {
	off, err := g.put(ctx, false)
	return off + 1, err
}

// Release ends what the agent is in for; a new process calls it at its start.
func (g *LoadLimiter) Release(ctx context.Context) error {
	_, err := g.put(ctx, true)
	return err
}

func (g *LoadLimiter) put(ctx context.Context, leaves bool) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, enterFor.Duration())
	defer cancel()
	raw, err := index.EncodeLoad(index.LoadRecord{Agent: g.node, Release: leaves})
	if err != nil {
		return 0, err
	}
	return g.writer.Append(ctx, index.LoadTopic, 0, raw)
}

// MayLoad reports whether the holder of a token may load beside at most some
// others.
func (g *LoadLimiter) MayLoad(ctx context.Context, token int64, together int) (bool, error) {
	for g.state.Next() < token {
		p, err := g.store.Read(ctx, index.LoadTopic, 0, g.state.Next(), gateKB, 0)
		var gone *plat.GoneError
		if errors.As(err, &gone) {
			g.state.Skip(gone.First)
			continue
		}
		if err != nil {
			return false, err
		}
		if len(p.Records) == 0 {
			return false, errors.Errorf("the record of token %d can't be read yet", token)
		}
		g.take(p)
	}
	p, err := g.store.Read(ctx, index.LoadTopic, 0, g.state.Next(), gateKB, 0)
	if err != nil {
		return false, err
	}
	g.take(p)
	return g.state.Ahead(g.clock.Now(), token-1) < together, nil
}

func (g *LoadLimiter) take(p plat.Page) {
	for i, raw := range p.Records {
		l, err := index.DecodeLoad(raw)
		if err != nil {
			g.log.Warn().Int64("offset", p.From+int64(i)).Err(err).Msg("side: record passed over")
			g.state.Skip(p.From + int64(i) + 1)
			continue
		}
		g.state.Apply(g.clock.Now(), p.From+int64(i), l.Agent, l.Release)
	}
}
