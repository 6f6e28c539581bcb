package replay

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/claim"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/ledger"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

// Matcher is the decision about waiting work, as package match makes it.
type Matcher interface {
	Report(now clock.Millis, s match.Server)
	Enqueue(now clock.Millis, it match.Item) error
	Dispatch(now clock.Millis) ([]match.Grant, []match.Refusal)
	Progress(now clock.Millis, id uint64, n ident.Node, tokens int)
	Finish(now clock.Millis, id uint64, n ident.Node, res match.Result)
}

// Round is the decision about the samples of a round, as package round makes
// it.
type Round interface {
	Start(now clock.Millis, limit int) []round.StartRequest
	Complete(s round.Sample, needsScore bool) bool
	Interrupt(now clock.Millis, ordinal int, part round.Partial, why round.Reason) clock.Millis
	Read(cur round.Cursor, asked ident.Version, limit int) round.Page
	ApplyCursor(now clock.Millis, cur round.Cursor) round.CursorUpdate
}

// Ledger is the state of the configuration, as package ledger keeps it.
type Ledger interface {
	Apply(at ident.Offset, r record.Record) ledger.Result
	Find(n ident.Class) (record.ActiveClass, bool)
	Offset() ident.Offset
}

// Crashes is the decision about requests that crash servers, as package crash
// makes it.
type Crashes interface {
	Add(now clock.Millis, c crash.Crash) bool
	Clear(request string)
	IsSuspect(request string) bool
	IsQuarantined(request string) bool
}

// Claims is the state of a stream of claims, as package claim keeps it.
type Claims interface {
	Claim(at ident.Offset, w record.Writer, c record.Claim) bool
	Outcome(o record.Outcome)
}

// Decisions are what a trace is played against. Tests wrap one of them to see
// that a broken decision shows.
type Decisions struct {
	Match  func() Matcher
	Round  func(now clock.Millis, s round.Spec, held round.Cursor) Round
	Swap   func(now clock.Millis, target ident.Version, servers []swap.Server) []ident.Node
	Ledger func() Ledger
	Crash  func() Crashes
	Claim  func() Claims // of one stream
}

// ProductDecisions returns the decisions of the product with their standard policies.
func ProductDecisions() Decisions {
	return Decisions{
		Match:  func() Matcher { return match.New(match.DefaultPolicy()) },
		Round:  func(now clock.Millis, s round.Spec, held round.Cursor) Round { return round.New(now, s, held) },
		Ledger: func() Ledger { return ledger.New() },
		Swap:   nextSwaps,
		Claim:  func() Claims { return claim.New() },
		Crash:  func() Crashes { return crash.New(crash.DefaultPolicy()) },
	}
}

// nextSwaps decides over all groups of a model, as their owners do together.
func nextSwaps(now clock.Millis, target ident.Version, servers []swap.Server) []ident.Node {
	var out []ident.Node
	for _, g := range swap.Groups(swap.DefaultPolicy(), servers) {
		out = append(out, swap.Next(now, swap.DefaultPolicy(), target, g)...)
	}
	return out
}
