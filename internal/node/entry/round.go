package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// Paths of the forwarded calls for rounds. The owner of the round serves them, but
// pathDropRound goes to all entries.
const (
	pathOpenRound   = "rounds/open"
	pathReadRound   = "rounds/read"
	pathProgress    = "rounds/progress"
	pathCancelRound = "rounds/cancel"
	pathDropRound   = "rounds/forget"
)

type (
	forwardReply = wire.ForwardReply
	empty        struct{}
)

func newForwardArgs(e *Entry, path string, body []byte, wait clock.Millis) wire.ForwardArgs {
	return wire.ForwardArgs{Hello: e.hello(), Path: path, Body: body, Wait: int64(wait)}
}

// serveForward runs a call that another entry forwarded.
func (e *Entry) serveForward(ctx context.Context, path string, body []byte) ([]byte, error) {
	switch path {
	case pathRunRequest:
		return serveJSON(ctx, body, e.runRequestLocally)
	case pathNodes:
		return serveJSON(ctx, body, e.nodesLocally)
	case pathOpenRound:
		return serveJSON(ctx, body, e.openRoundLocally)
	case pathReadRound:
		return serveJSON(ctx, body, e.readRoundLocally)
	case pathProgress:
		return serveJSON(ctx, body, e.progressLocally)
	case pathCancelRound:
		return serveJSON(ctx, body, e.cancelRoundLocally)
	case pathDropRound:
		return serveJSON(ctx, body, e.dropRoundLocally)
	case pathRunAction:
		return serveJSON(ctx, body, e.runActionLocally)
	}
	return nil, fault.New(fault.BadPeer, "call "+path+" is not known")
}

// serveJSON decodes a forwarded call, runs it, and encodes the result.
func serveJSON[In, Out any](ctx context.Context, body []byte, fn func(context.Context, In) (Out, error)) ([]byte, error) {
	var m In
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "forwarded call")
	}
	out, err := fn(ctx, m)
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(out)
	return b, errors.Wrap(err, "encode answer")
}

// roundID prefixes a round's name with its trainer, so that other trainers can't
// access the round.
func roundID(who ident.Caller, name string) string { return string(who) + "/" + name }

// Announce implements [httpd.Service].
func (e *Entry) Announce(_ context.Context, _ ident.Caller, m codec.Version) error {
	if m.Model == "" || m.Version == 0 {
		return fault.New(fault.BadRequest, "model and version must be set")
	}
	e.traceEvent(trace.Event{Kind: trace.Announce, Service: ident.Service(m.Model), Version: ident.Version(m.Version)})
	e.swaps.Announce(ident.Service(m.Model), ident.Version(m.Version))
	go e.gossipOnce(e.ctx)
	return nil
}

// OpenRound implements [httpd.Service].
func (e *Entry) OpenRound(ctx context.Context, who ident.Caller, m codec.RoundSpec) error {
	if _, _, err := e.parseSpec(m); err != nil {
		return err
	}
	m.Round = roundID(who, m.Round)
	_, err := callRoundOwner(ctx, e, m.Round, pathOpenRound, 0, m, e.openRoundLocally)
	return err
}

func (e *Entry) openRoundLocally(ctx context.Context, m codec.RoundSpec) (empty, error) {
	s, c, err := e.parseSpec(m)
	if err != nil {
		return empty{}, err
	}
	e.traceOpen(s)
	return empty{}, e.rounds.Open(ctx, s, c, m.Cursor)
}

// maxSamples bounds the samples of a round.
const maxSamples = 1 << 16

// parseSpec validates and converts the specification of a round. It also returns
// the round's class.
func (e *Entry) parseSpec(m codec.RoundSpec) (round.Spec, class.Class, error) {
	c, err := e.findClass(m.Class, class.Round)
	if err != nil {
		return round.Spec{}, class.Class{}, err
	}
	switch {
	case m.Round == "":
		return round.Spec{}, class.Class{}, fault.New(fault.BadRequest, "round must be set")
	case len(m.Prompts) == 0, m.Samples <= 0:
		return round.Spec{}, class.Class{}, fault.New(fault.BadRequest, "prompts and samples-per-group must be set")
	case len(m.Prompts)*m.Samples > maxSamples:
		return round.Spec{}, class.Class{}, fault.New(fault.TooLarge, "a round holds at most 65536 samples")
	}
	s := round.Spec{
		ID:                 ident.Round(m.Round),
		Class:              c.Name(),
		Model:              c.Service(),
		Version:            ident.Version(m.Version),
		Staleness:          c.Staleness(),
		RequestedMaxTokens: m.MaxTokens,
		SamplesPerGroup:    m.Samples,
		Seed:               m.Seed,
		MaxTokens:          c.MaxTokens(),
	}
	if m.MaxTokens > 0 {
		s.MaxTokens = min(s.MaxTokens, m.MaxTokens)
	}
	for _, p := range m.Prompts {
		s.Prompts = append(s.Prompts, []byte(p))
	}
	return s, c, nil
}

// Bounds of one read.
const (
	maxReadWait  = 20 * clock.Second
	maxReadLimit = 256
)

// ReadRound implements [httpd.Service].
func (e *Entry) ReadRound(ctx context.Context, who ident.Caller, m codec.ReadRequest) (codec.Page, error) {
	m.Round = roundID(who, m.Round)
	wait := min(clock.Millis(m.WaitMS), maxReadWait)
	return callRoundOwner(ctx, e, m.Round, pathReadRound, wait, m, e.readRoundLocally)
}

func (e *Entry) readRoundLocally(ctx context.Context, m codec.ReadRequest) (codec.Page, error) {
	limit := maxReadLimit
	if m.Limit > 0 {
		limit = min(limit, m.Limit)
	}
	wait := max(0, min(clock.Millis(m.WaitMS), maxReadWait))
	id := ident.Round(m.Round)
	page, err := e.rounds.Read(ctx, id, m.Cursor, ident.Version(m.Version), limit, wait)
	if err != nil {
		return codec.Page{}, err
	}
	e.traceRead(id, ident.Version(m.Version), len(page.Samples))
	out := codec.Page{Cursor: page.Cursor, CompleteGroups: page.CompleteGroups, RoundComplete: page.RoundComplete}
	for _, s := range page.Samples {
		out.Samples = append(out.Samples, codec.Sample{
			Ordinal: s.Ordinal,
			Group:   s.Group,
			Attempt: string(s.Attempt),
			Node:    string(s.Node),
			Tokens:  s.Tokens,
			Spans:   codec.FromSpans(s.Spans),
			Score:   s.Score,
			Refused: s.Refused,
		})
	}
	return out, nil
}

// RoundProgress implements [httpd.Service].
func (e *Entry) RoundProgress(ctx context.Context, who ident.Caller, m codec.Round) (codec.Progress, error) {
	m.Round = roundID(who, m.Round)
	return callRoundOwner(ctx, e, m.Round, pathProgress, 0, m, e.progressLocally)
}

func (e *Entry) progressLocally(_ context.Context, m codec.Round) (codec.Progress, error) {
	p, err := e.rounds.Progress(ident.Round(m.Round))
	if err != nil {
		return codec.Progress{}, err
	}
	out := codec.Progress{
		Idle:     p.Idle,
		Running:  p.Running,
		Scoring:  p.Scoring,
		Finished: p.Finished,
		Released: p.Released,
	}
	for r, n := range p.Regenerated {
		out.Remade = append(out.Remade, codec.ReasonCount{Reason: string(r), Count: n})
	}
	slices.SortFunc(out.Remade, func(a, b codec.ReasonCount) int { return cmp.Compare(a.Reason, b.Reason) })
	return out, nil
}

// CancelRound implements [httpd.Service]. All entries drop the round, since an
// earlier owner may still run it. Then the owner makes the agents drop its
// samples.
func (e *Entry) CancelRound(ctx context.Context, who ident.Caller, m codec.Round) error {
	m.Round = roundID(who, m.Round)
	e.forEachPeer(func(peer roster.Member) {
		if _, err := forward[codec.Round, empty](ctx, e, peer.Addr, pathDropRound, 0, m); err != nil {
			e.p.Log.Debug().Err(err).Str("peer", string(peer.Node)).Msg("entry: peer did not drop the round")
		}
	})
	_, err := callRoundOwner(ctx, e, m.Round, pathCancelRound, 0, m, e.cancelRoundLocally)
	return err
}

func (e *Entry) cancelRoundLocally(_ context.Context, m codec.Round) (empty, error) {
	e.traceEvent(trace.Event{Kind: trace.RoundEnd, Round: ident.Round(m.Round)})
	e.rounds.Cancel(ident.Round(m.Round))
	return empty{}, nil
}

func (e *Entry) dropRoundLocally(_ context.Context, m codec.Round) (empty, error) {
	e.rounds.Close(ident.Round(m.Round))
	return empty{}, nil
}
