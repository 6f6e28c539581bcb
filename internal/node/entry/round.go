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

// Paths of the calls that a round's owner serves.
const (
	pathOpen     = "rounds/open"
	pathRead     = "rounds/read"
	pathProgress = "rounds/progress"
	pathCancel   = "rounds/cancel"
	pathForget   = "rounds/forget"
)

type (
	fwdReply = wire.ForwardReply
	none     struct{}
)

func fwdArgs(e *Entry, path string, body []byte, wait clock.Millis) wire.ForwardArgs {
	return wire.ForwardArgs{Hello: e.hello(), Path: path, Body: body, Wait: int64(wait)}
}

// serveForward runs a call that another entry passed on.
func (e *Entry) serveForward(ctx context.Context, path string, body []byte) ([]byte, error) {
	switch path {
	case pathRequest:
		return serveOne(ctx, body, e.requestHere)
	case pathNodes:
		return serveOne(ctx, body, e.nodesHere)
	case pathOpen:
		return serveOne(ctx, body, e.openHere)
	case pathRead:
		return serveOne(ctx, body, e.readHere)
	case pathProgress:
		return serveOne(ctx, body, e.progressHere)
	case pathCancel:
		return serveOne(ctx, body, e.cancelHere)
	case pathForget:
		return serveOne(ctx, body, e.forgetHere)
	case pathAction:
		return serveOne(ctx, body, e.actionHere)
	}
	return nil, fault.New(fault.BadPeer, "call "+path+" is not known")
}

func serveOne[In, Out any](ctx context.Context, body []byte, fn func(context.Context, In) (Out, error)) ([]byte, error) {
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

// scoped ties a round's name to its trainer, so that no other one can read it.
func scoped(who ident.Caller, name string) string { return string(who) + "/" + name }

// Announce implements [httpd.Service].
func (e *Entry) Announce(_ context.Context, _ ident.Caller, m codec.Version) error {
	if m.Model == "" || m.Version == 0 {
		return fault.New(fault.BadRequest, "model and version must be set")
	}
	e.record(trace.Event{Kind: trace.Announce, Service: ident.Service(m.Model), Version: ident.Version(m.Version)})
	e.swaps.Announce(ident.Service(m.Model), ident.Version(m.Version))
	go e.gossipOnce(e.ctx)
	return nil
}

// OpenRound implements [httpd.Service].
func (e *Entry) OpenRound(ctx context.Context, who ident.Caller, m codec.Spec) error {
	if _, _, err := e.spec(m); err != nil {
		return err
	}
	m.Round = scoped(who, m.Round)
	_, err := owned(ctx, e, m.Round, pathOpen, 0, m, e.openHere)
	return err
}

func (e *Entry) openHere(ctx context.Context, m codec.Spec) (none, error) {
	s, c, err := e.spec(m)
	if err != nil {
		return none{}, err
	}
	e.recordOpen(s)
	return none{}, e.rounds.Open(ctx, s, c, m.Cursor)
}

// maxSamples bounds a round.
const maxSamples = 1 << 16

// spec checks a specification, maps it and returns its class.
func (e *Entry) spec(m codec.Spec) (round.Spec, class.Class, error) {
	c, err := e.classOf(m.Class, class.Round)
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
	m.Round = scoped(who, m.Round)
	wait := min(clock.Millis(m.WaitMS), maxReadWait)
	return owned(ctx, e, m.Round, pathRead, wait, m, e.readHere)
}

func (e *Entry) readHere(ctx context.Context, m codec.ReadRequest) (codec.Page, error) {
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
	e.recordRead(id, ident.Version(m.Version), len(page.Samples))
	out := codec.Page{Cursor: page.Cursor, Complete: page.CompleteGroups, Whole: page.RoundComplete}
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
	m.Round = scoped(who, m.Round)
	return owned(ctx, e, m.Round, pathProgress, 0, m, e.progressHere)
}

func (e *Entry) progressHere(_ context.Context, m codec.Round) (codec.Progress, error) {
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

// CancelRound implements [httpd.Service]. Every entry forgets the round, since
// an earlier owner may still run it; then the owner lets the agents drop it.
func (e *Entry) CancelRound(ctx context.Context, who ident.Caller, m codec.Round) error {
	m.Round = scoped(who, m.Round)
	e.eachPeer(func(vm roster.Member) {
		if _, err := forward[codec.Round, none](ctx, e, vm.Addr, pathForget, 0, m); err != nil {
			e.p.Log.Debug().Err(err).Str("peer", string(vm.Node)).Msg("Peer did not forget the round.")
		}
	})
	_, err := owned(ctx, e, m.Round, pathCancel, 0, m, e.cancelHere)
	return err
}

func (e *Entry) cancelHere(_ context.Context, m codec.Round) (none, error) {
	e.record(trace.Event{Kind: trace.RoundEnd, Round: ident.Round(m.Round)})
	e.rounds.Cancel(ident.Round(m.Round))
	return none{}, nil
}

func (e *Entry) forgetHere(_ context.Context, m codec.Round) (none, error) {
	e.rounds.Forget(ident.Round(m.Round))
	return none{}, nil
}
