// Package invar is the table of promises to users, and counts how often each
// was put to the test and how often it broke.
//
// # Usage
//
//	c := invar.NewCounts()
//	c.Check(invar.WholeAnswer, ok, "request 17 got 3 of 24 tokens")
//	fmt.Print(c.Report())
//
// The table is the only list of promises; the demo's report, the replay and
// docs/PROMISES.md show it.
package invar

import (
	"fmt"
	"strings"
	"sync"
)

// ID names a promise.
type ID string

// The promises.
const (
	TrueVersion  ID = "true-version"
	FreshSample  ID = "fresh-sample"
	SampleOnce   ID = "sample-once"
	WholeAnswer  ID = "whole-answer"
	TrueRefusal  ID = "true-refusal"
	AtMostOnce   ID = "at-most-once"
	LeavingIdle  ID = "leaving-idle"
	CleanDrain   ID = "clean-drain"
	ConfigStands ID = "config-stands"
)

// Promise is one row of the table.
type Promise struct {
	ID    ID
	Text  string
	Keeps []string // packages that keep it
	Tests []string // tests that attack it
}

// Table lists all promises.
var Table = []Promise{
	{
		ID:    TrueVersion,
		Text:  "each sample names the versions that made it",
		Keeps: []string{"internal/decide/proof", "internal/node/agent"},
		Tests: []string{
			"internal/decide/proof TestEnd",
			"internal/node/agent TestMayOrder",
			"internal/node/agent TestMovedSample",
			"internal/node/agent TestRoundSurvivesAnything",
		},
	},
	{
		ID:    FreshSample,
		Text:  "no sample handed over is older than the staleness bound",
		Keeps: []string{"internal/decide/round", "internal/node/rounds"},
		Tests: []string{
			"internal/decide/round TestOnce",
			"internal/decide/round TestRules",
			"internal/node/agent TestRoundSurvivesAnything",
			"internal/proof/replay TestBrokenDecisionShows",
			"internal/proof/replay TestRecordedTraces",
		},
	},
	{
		ID:    SampleOnce,
		Text:  "each sample reaches its trainer exactly once",
		Keeps: []string{"internal/decide/round", "internal/node/rounds", "trainer"},
		Tests: []string{
			"internal/decide/round TestCursor",
			"internal/decide/round TestOnce",
			"internal/node/agent TestRoundSurvives",
			"internal/node/agent TestRoundSurvivesAnything",
			"internal/proof/procs TestProcesses",
			"internal/proof/replay TestBrokenDecisionShows",
			"internal/proof/replay TestRecordedTraces",
		},
	},
	{
		ID:    WholeAnswer,
		Text:  "each caller gets the whole answer to its own request",
		Keeps: []string{"internal/node/calls", "internal/node/agent", "internal/edge/httpd"},
		Tests: []string{
			"internal/node/calls TestDo",
			"internal/node/calls TestEntryPausedInMidRequest",
			"internal/node/calls TestHedge",
			"internal/node/calls TestJoin",
			"internal/node/claims TestCallersApart",
			"internal/proof/demo TestTrainersApart",
			"internal/proof/procs TestProcesses",
		},
	},
	{
		ID:    TrueRefusal,
		Text:  "a request refused as not run was not run",
		Keeps: []string{"internal/base/fault", "internal/decide/claim", "internal/decide/limit", "internal/inner/wire"},
		Tests: []string{
			"internal/decide/claim TestAnyOrder",
			"internal/edge/client TestPlainOutcome",
			"internal/inner/wire TestUnsent",
			"internal/node/agent TestSubmitRefuses",
			"internal/node/claims TestAtMostOnce",
		},
	},
	{
		ID:    AtMostOnce,
		Text:  "a request that is not idempotent runs at most once",
		Keeps: []string{"internal/decide/claim", "internal/node/claims"},
		Tests: []string{
			"internal/decide/claim TestAnyOrder",
			"internal/decide/claim TestState",
			"internal/node/claims TestAtMostOnce",
		},
	},
	{
		ID:    LeavingIdle,
		Text:  "a leaving backend server gets no new work after a few seconds",
		Keeps: []string{"internal/decide/match", "internal/node/agent", "internal/node/peers"},
		Tests: []string{
			"internal/node/entry TestListedLeaving",
			"internal/proof/replay TestBrokenDecisionShows",
			"internal/proof/replay TestRecordedTraces",
		},
	},
	{
		ID:    CleanDrain,
		Text:  "a graceful shutdown cuts no request",
		Keeps: []string{"internal/node/agent", "internal/node/entry"},
		Tests: []string{
			"internal/node/claims TestShutdownMoves",
			"internal/node/claims TestShutdownWaits",
			"internal/proof/procs TestProcesses",
		},
	},
	{
		ID:    ConfigStands,
		Text:  "an accepted configuration is in force within seconds and stays",
		Keeps: []string{"internal/decide/ledger", "internal/decide/lease", "internal/decide/roster", "internal/node/follow"},
		Tests: []string{
			"internal/decide/ledger TestReaders",
			"internal/node/entry TestColdStart",
			"internal/node/follow TestConcurrentSnapshot",
			"internal/node/follow TestLongOutage",
			"internal/node/follow TestRace",
			"internal/node/follow TestReplacedInOutage",
			"internal/node/follow TestRetention",
			"internal/prod/cmds TestApplyRace",
			"internal/proof/replay TestBrokenDecisionShows",
		},
	},
}

// maxShown bounds the failures listed for one promise.
const maxShown = 5

type count struct {
	tested int
	broken []string
}

// Counts counts tests and breaches. It is safe for concurrent use.
type Counts struct {
	mu sync.Mutex
	by map[ID]*count
}

// NewCounts returns counts of zero.
func NewCounts() *Counts {
	c := &Counts{by: make(map[ID]*count)}
	for _, p := range Table {
		c.by[p.ID] = &count{}
	}
	return c
}

// Check notes one test of a promise; what tells what was seen if it broke.
func (c *Counts) Check(id ID, ok bool, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.by[id]
	n.tested++
	if !ok {
		n.broken = append(n.broken, what)
	}
}

// Kept returns how many promises were tested and never broke, and how many
// there are.
func (c *Counts) Kept() (kept, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.by {
		if n.tested > 0 && len(n.broken) == 0 {
			kept++
		}
	}
	return kept, len(c.by)
}

// Broken returns how many checks failed.
func (c *Counts) Broken() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, n := range c.by {
		sum += len(n.broken)
	}
	return sum
}

// Report lists each promise with its counts and the first breaches.
func (c *Counts) Report() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b strings.Builder
	for _, p := range Table {
		n := c.by[p.ID]
		fmt.Fprintf(&b, "%-14s tested %6d  broken %4d  %s\n", p.ID, n.tested, len(n.broken), p.Text)
		for _, w := range n.broken[:min(maxShown, len(n.broken))] {
			fmt.Fprintf(&b, "    broke: %s\n", w)
		}
	}
	return b.String()
}
