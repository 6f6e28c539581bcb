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
		TrueVersion, "each sample names the versions that made it",
		[]string{"internal/decide/proof", "internal/node/agent"},
		[]string{"internal/node/agent TestMayOrder"},
	},
	{
		FreshSample, "no sample handed over is older than the staleness bound",
		[]string{"internal/decide/round"},
		[]string{"internal/proof/replay TestBrokenDecisionShows", "internal/proof/replay TestRecordedTraces"},
	},
	{
		SampleOnce, "each sample reaches its trainer exactly once",
		[]string{"internal/decide/round", "internal/node/rounds", "trainer"},
		[]string{"internal/proof/procs TestProcesses", "internal/proof/replay TestBrokenDecisionShows", "internal/proof/replay TestRecordedTraces"},
	},
	{
		WholeAnswer, "each caller gets the whole answer to its own request",
		[]string{"internal/node/calls", "internal/node/agent"},
		[]string{"internal/node/claims TestCallersApart", "internal/proof/procs TestProcesses"},
	},
	{
		TrueRefusal, "a request refused as not run was not run",
		[]string{"internal/base/fault", "internal/decide/claim", "internal/decide/limit"},
		[]string{"internal/decide/claim TestAnyOrder", "internal/node/agent TestSubmitRefuses", "internal/node/claims TestAtMostOnce", "internal/proof/demo TestRefusals"},
	},
	{
		AtMostOnce, "a request that is not idempotent runs at most once",
		[]string{"internal/decide/claim", "internal/node/claims"},
		[]string{"internal/decide/claim TestAnyOrder", "internal/decide/claim TestState", "internal/node/claims TestAtMostOnce"},
	},
	{
		LeavingIdle, "a leaving backend server gets no new work after a few seconds",
		[]string{"internal/node/agent", "internal/decide/match"},
		[]string{"internal/node/entry TestListedLeaving", "internal/proof/replay TestBrokenDecisionShows"},
	},
	{
		CleanDrain, "a graceful shutdown cuts no request",
		[]string{"internal/node/agent", "internal/node/entry"},
		[]string{"internal/node/claims TestShutdownMoves", "internal/node/claims TestShutdownWaits", "internal/proof/procs TestProcesses"},
	},
	{
		ConfigStands, "an accepted configuration is in force within seconds and stays",
		[]string{"internal/decide/ledger", "internal/node/follow"},
		[]string{
			"internal/decide/ledger TestReaders", "internal/node/entry TestColdStart", "internal/node/follow TestConcurrentSnapshot",
			"internal/node/follow TestLongOutage", "internal/node/follow TestRace", "internal/node/follow TestReplacedInOutage",
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
