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
	// appendTimeout limits the append of a record.
	appendTimeout = 2 * clock.Second
	// maxReadKB limits one read of the records; each has some 40 bytes.
	maxReadKB = 64
)

// LoadLimiter limits how many agents of a deployment load weights at the same time.
// The agents append their requests and releases to one topic. The offset of a
// request plus one is a fencing token: it increases across all agents and
// restarts.
type LoadLimiter struct {
	node   string
	store  plat.Store
	writer *logs.Writer
	clock  clock.Clock
	log    zerolog.Logger
	state  *sema.Semaphore
}

// NewLoadLimiter returns the load limiter of one agent.
func NewLoadLimiter(node string, s plat.Store, w *logs.Writer, c clock.Clock, log zerolog.Logger) *LoadLimiter {
	return &LoadLimiter{node: node, store: s, writer: w, clock: c, log: log, state: sema.New()}
}

// Enqueue appends a request to load and returns its fencing token.
func (l *LoadLimiter) Enqueue(ctx context.Context) (int64, error) {
	off, err := l.appendRecord(ctx, false)
	return off + 1, err
}

// Release withdraws the request of this agent, granted or not. A new process calls
// it at startup, in case the one before it left a request.
func (l *LoadLimiter) Release(ctx context.Context) error {
	_, err := l.appendRecord(ctx, true)
	return err
}

func (l *LoadLimiter) appendRecord(ctx context.Context, release bool) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	raw, err := index.EncodeLoad(index.LoadRecord{Agent: l.node, Release: release})
	if err != nil {
		return 0, err
	}
	return l.writer.Append(ctx, index.LoadTopic, 0, raw)
}

// MayLoad reports whether the holder of a token may load now. It may if fewer than
// limit requests before it are still open.
func (l *LoadLimiter) MayLoad(ctx context.Context, token int64, limit int) (bool, error) {
	for l.state.NextOffset() < token {
		p, err := l.store.Read(ctx, index.LoadTopic, 0, l.state.NextOffset(), maxReadKB, 0)
		var gone *plat.GoneError
		if errors.As(err, &gone) {
			l.state.Skip(gone.First)
			continue
		}
		if err != nil {
			return false, err
		}
		if len(p.Records) == 0 {
			return false, errors.Errorf("record of token %d is not readable yet", token)
		}
		l.apply(p)
	}
	p, err := l.store.Read(ctx, index.LoadTopic, 0, l.state.NextOffset(), maxReadKB, 0)
	if err != nil {
		return false, err
	}
	l.apply(p)
	return l.state.MayLoad(l.clock.Now(), token-1, limit), nil
}

func (l *LoadLimiter) apply(p plat.Page) {
	for i, raw := range p.Records {
		record, err := index.DecodeLoad(raw)
		if err != nil {
			l.log.Warn().Int64("offset", p.From+int64(i)).Err(err).Msg("side: record skipped")
			l.state.Skip(p.From + int64(i) + 1)
			continue
		}
		l.state.Apply(p.From+int64(i), record.Agent, record.Release)
	}
}
