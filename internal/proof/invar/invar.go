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
	ID       ID
	Text     string
	Packages []string // packages that keep it
	Tests    []string // tests that attack it
}

// Table lists all promises.
var Table = []Promise{
	{
		ID:       TrueVersion,
		Text:     "each sample names the versions that made it",
		Packages: []string{"internal/decide/proof", "internal/node/agent", "internal/node/side", "internal/node/work"},
		Tests: []string{
			"internal/decide/proof TestEnd",
			"internal/node/agent TestMayOrder",
			"internal/node/agent TestMovedSample",
			"internal/node/agent TestRoundSurvivesAnything",
			"internal/node/side TestRun",
			"internal/node/work TestAdopt",
			"internal/node/work TestVersionOfTheLastEvent",
			"platform TestNamedVersion",
			"platform TestReadEvents",
			"platform/soak TestSoak",
		},
	},
	{
		ID:       FreshSample,
		Text:     "no sample handed over is older than the staleness bound",
		Packages: []string{"internal/decide/round", "internal/node/rounds", "internal/node/side"},
		Tests: []string{
			"internal/decide/round TestOnce",
			"internal/decide/round TestRules",
			"internal/node/agent TestRoundSurvivesAnything",
			"internal/node/side TestOrders",
			"internal/node/side TestRun",
			"internal/proof/replay TestBrokenDecisionShows",
			"internal/proof/replay TestRecordedTraces",
			"platform TestNamedVersion",
		},
	},
	{
		ID:       SampleOnce,
		Text:     "each sample reaches its trainer exactly once",
		Packages: []string{"internal/decide/joblog", "internal/decide/round", "internal/node/jobs", "internal/node/logs", "internal/node/rounds", "trainer"},
		Tests: []string{
			"internal/decide/joblog TestApply",
			"internal/decide/joblog TestSameListForEveryReader",
			"internal/decide/round TestCursor",
			"internal/decide/round TestOnce",
			"internal/node/agent TestRoundSurvives",
			"internal/node/agent TestRoundSurvivesAnything",
			"internal/node/jobs TestRestartOfAll",
			"internal/node/jobs TestWholePathOfAJob",
			"internal/node/logs TestAppendOnce",
			"internal/proof/procs TestProcesses",
			"internal/proof/replay TestBrokenDecisionShows",
			"internal/proof/replay TestRecordedTraces",
			"platform TestJob",
			"platform TestJobOutlivesItsOwner",
			"platform/soak TestSoak",
		},
	},
	{
		ID:       WholeAnswer,
		Text:     "each caller gets the whole answer to its own request",
		Packages: []string{"internal/edge/httpd", "internal/node/agent", "internal/node/calls", "internal/node/front", "internal/node/work", "platform"},
		Tests: []string{
			"internal/node/calls TestDo",
			"internal/node/calls TestEntryPausedInMidRequest",
			"internal/node/calls TestHedge",
			"internal/node/calls TestJoin",
			"internal/node/claims TestCallersApart",
			"internal/node/front TestServe",
			"internal/node/front TestStream",
			"internal/node/work TestAdopt",
			"internal/proof/demo TestTrainersApart",
			"internal/proof/procs TestProcesses",
			"platform TestReadEvents",
			"platform TestSend",
			"platform TestWriteList",
			"platform/soak TestSoak",
		},
	},
	{
		ID:       TrueRefusal,
		Text:     "a request refused as not run was not run",
		Packages: []string{"internal/base/fault", "internal/decide/claim", "internal/decide/limit", "internal/inner/wire", "internal/node/front", "internal/node/jobs", "internal/node/logs", "internal/node/relay"},
		Tests: []string{
			"internal/decide/claim TestAnyOrder",
			"internal/edge/client TestPlainOutcome",
			"internal/inner/wire TestUnsent",
			"internal/node/agent TestSubmitRefuses",
			"internal/node/claims TestAtMostOnce",
			"internal/node/front TestServe",
			"internal/node/jobs TestSubmitInTrouble",
			"internal/node/jobs TestUnknownJob",
			"internal/node/logs TestGivenUp",
			"internal/node/relay TestRelay",
			"platform/soak TestSoak",
		},
	},
	{
		ID:       AtMostOnce,
		Text:     "a request that is not idempotent runs at most once",
		Packages: []string{"internal/decide/claim", "internal/node/claims", "internal/node/front"},
		Tests: []string{
			"internal/decide/claim TestAnyOrder",
			"internal/decide/claim TestState",
			"internal/node/claims TestAtMostOnce",
			"internal/node/front TestServe",
			"platform/soak TestSoak",
		},
	},
	{
		ID:       LeavingIdle,
		Text:     "a leaving backend server gets no new work after a few seconds",
		Packages: []string{"internal/decide/fleet", "internal/decide/match", "internal/decide/pick", "internal/node/agent", "internal/node/peers"},
		Tests: []string{
			"internal/decide/fleet TestLapse",
			"internal/decide/pick TestLeavingServerGetsNothing",
			"internal/decide/share TestLeavingEngineHasNoModel",
			"internal/node/entry TestListedLeaving",
			"internal/proof/replay TestBrokenDecisionShows",
			"internal/proof/replay TestRecordedTraces",
		},
	},
	{
		ID:       CleanDrain,
		Text:     "a graceful shutdown cuts no request",
		Packages: []string{"internal/node/agent", "internal/node/entry", "internal/prod/roles"},
		Tests: []string{
			"internal/node/claims TestShutdownMoves",
			"internal/node/claims TestShutdownWaits",
			"internal/prod/roles TestTerminatedTwice",
			"internal/proof/procs TestProcesses",
			"platform TestJobOutlivesItsOwner",
			"platform/soak TestSoak",
		},
	},
	{
		ID:       ConfigStands,
		Text:     "an accepted configuration is in force within seconds and stays",
		Packages: []string{"internal/decide/lease", "internal/decide/ledger", "internal/decide/roster", "internal/node/conf", "internal/node/follow", "internal/node/logs", "internal/node/relay"},
		Tests: []string{
			"internal/decide/ledger TestReaders",
			"internal/node/entry TestColdStart",
			"internal/node/follow TestConcurrentSnapshot",
			"internal/node/follow TestLongOutage",
			"internal/node/follow TestRace",
			"internal/node/follow TestReplacedInOutage",
			"internal/node/follow TestRetention",
			"internal/node/logs TestFollowKeyed",
			"internal/node/logs TestStaleListChangesNothing",
			"internal/node/relay TestRelay",
			"internal/prod/cmds TestApplyRace",
			"internal/proof/replay TestBrokenDecisionShows",
			"platform TestPlainRequest",
			"platform/soak TestSoak",
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
