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

// Matcher assigns waiting work to servers; package match implements it.
type Matcher interface {
	Report(now clock.Millis, s match.Server)
	Enqueue(now clock.Millis, it match.Item) error
	Dispatch(now clock.Millis) ([]match.Grant, []match.Refusal)
	Progress(now clock.Millis, id uint64, n ident.Node, tokens int)
	Finish(now clock.Millis, id uint64, n ident.Node, res match.Result)
}

// Round decides which samples of a round to start and to deliver; package round
// implements it.
type Round interface {
	Start(now clock.Millis, limit int) []round.StartRequest
	Complete(s round.Sample, needsScore bool) bool
	Interrupt(now clock.Millis, ordinal int, partial round.Partial, why round.Reason) clock.Millis
	Read(cur round.Cursor, requestedVersion ident.Version, limit int) round.Page
	ApplyCursor(now clock.Millis, cur round.Cursor) round.CursorUpdate
}

// Ledger holds the state of the configuration; package ledger implements it.
type Ledger interface {
	Apply(at ident.Offset, r record.Record) ledger.Result
	Find(n ident.Class) (record.ActiveClass, bool)
	Offset() ident.Offset
}

// Crashes decides which requests are crash suspects or quarantined; package
// crash implements it.
type Crashes interface {
	Add(now clock.Millis, c crash.Crash) bool
	Clear(request string)
	IsSuspect(request string) bool
	IsQuarantined(request string) bool
}

// Claims holds the state of a stream of claims; package claim implements it.
type Claims interface {
	Claim(at ident.Offset, w record.Writer, c record.Claim) bool
	Outcome(o record.Outcome)
}

// Decisions are the implementations that a trace is replayed against. Tests
// replace one of them by a faulty version to check that the fault is detected.
type Decisions struct {
	Match  func() Matcher
	Round  func(now clock.Millis, s round.Spec, cursor round.Cursor) Round
	Swap   func(now clock.Millis, target ident.Version, servers []swap.Server) []ident.Node
	Ledger func() Ledger
	Crash  func() Crashes
	Claim  func() Claims // for one stream
}

// ProductDecisions returns the product's decisions with their default policies.
func ProductDecisions() Decisions {
	return Decisions{
		Match:  func() Matcher { return match.New(match.DefaultPolicy()) },
		Round:  func(now clock.Millis, s round.Spec, cursor round.Cursor) Round { return round.New(now, s, cursor) },
		Ledger: func() Ledger { return ledger.New() },
		Swap:   nextLoads,
		Claim:  func() Claims { return claim.New() },
		Crash:  func() Crashes { return crash.New(crash.DefaultPolicy()) },
	}
}

// nextLoads returns the servers that load the target version next, over all
// groups of a model. In the product each group has its own owner.
func nextLoads(now clock.Millis, target ident.Version, servers []swap.Server) []ident.Node {
	var out []ident.Node
	for _, g := range swap.Groups(swap.DefaultPolicy(), servers) {
		out = append(out, swap.Next(now, swap.DefaultPolicy(), target, g)...)
	}
	return out
}
