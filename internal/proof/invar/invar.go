// Package invar lists the guarantees that the service gives its users, and counts
// how often each was checked and violated.
//
// # Usage
//
//	c := invar.NewCounts()
//	c.Check(invar.WholeAnswer, ok, "request 17 got 3 of 24 tokens")
//	fmt.Print(c.Report())
//
// The table is the only list of the guarantees. The report of the demonstration
// and docs/PROMISES.md are printed from it. Both call the guarantees promises.
package invar

import (
	"fmt"
	"strings"
	"sync"
)

// ID is the name of a guarantee.
type ID string

// The guarantees, explained by their texts in Table.
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
	OwnWorkspace ID = "own-workspace"
	OneHolder    ID = "one-holder"
	TrueUsage    ID = "true-usage"
	RoomForOwn   ID = "room-for-own"
)

// Guarantee is one row of the table.
type Guarantee struct {
	ID       ID
	Text     string
	Packages []string // packages that implement it
	Tests    []string // tests that try to violate it
	// PlatformOnly is set if only the users' platform asks for it. The demonstration, which
	// runs without that platform, can't test it.
	PlatformOnly bool
}

// Table lists all guarantees.
var Table = []Guarantee{
	{
		ID:       TrueVersion,
		Text:     "each sample names the versions that made it",
		Packages: []string{"internal/decide/proof", "internal/node/agent", "internal/node/side", "internal/node/work"},
		Tests: []string{
			"internal/decide/proof TestEnd",
			"internal/node/agent TestCheckOrder",
			"internal/node/agent TestMigratedSample",
			"internal/node/agent TestRoundSurvivesAnything",
			"internal/node/side TestRun",
			"internal/node/work TestPromoteSuccessor",
			"internal/node/work TestVersionOfTheLastEvent",
			"platform TestAnnouncedVersion",
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
			"platform TestAnnouncedVersion",
		},
	},
	{
		ID:       SampleOnce,
		Text:     "each sample reaches its trainer exactly once",
		Packages: []string{"internal/decide/joblog", "internal/decide/round", "internal/node/jobs", "internal/node/logs", "internal/node/rounds", "internal/node/work", "trainer"},
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
			"internal/node/work TestAllAnswersFaulty",
			"internal/node/work TestOutputAboveARecord",
			"internal/node/work TestOutputThatIsNotStored",
			"internal/node/work TestSlotsThatTheItemCannotTake",
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
		Packages: []string{"internal/decide/output", "internal/edge/dial", "internal/edge/httpd", "internal/node/agent", "internal/node/calls", "internal/node/front", "internal/node/origin", "internal/node/side", "internal/node/work", "platform"},
		Tests: []string{
			"internal/decide/output TestDefectIsDropped",
			"internal/decide/output TestJudge",
			"internal/node/calls TestDo",
			"internal/node/calls TestEntryPausedInMidRequest",
			"internal/node/calls TestHedge",
			"internal/node/calls TestJoin",
			"internal/node/claims TestCallersApart",
			"internal/node/front TestServe",
			"internal/node/front TestStream",
			"internal/node/front TestStreamStaysWithOneSoftwareVersion",
			"internal/node/front TestTruncatedAnswerOfOwnCall",
			"internal/node/front TestCrashAnywhereInARequest",
			"internal/node/front TestStreamThatCrashesEachServer",
			"internal/node/origin TestCrashBehindTheFirstEvent",
			"internal/node/origin TestLateAppend",
			"internal/node/origin TestNobodyKnowsOrNobodyWasThere",
			"internal/node/origin TestRestoreManyOrigins",
			"internal/node/origin TestStreamGoesOnWhereItBegan",
			"internal/node/origin TestStreamsOutliveAllEntries",
			"internal/node/origin TestUnknownOrigin",
			"internal/node/quar TestAnswerBeforeCrashIsKnown",
			"internal/node/quar TestAnswersAreTold",
			"internal/node/work TestEventsSmallerThanStated",
			"internal/node/work TestFaultyAnswerDuringMove",
			"internal/node/work TestFaultyAnswerIsNotTakenOver",
			"internal/node/work TestFaultyAnswers",
			"internal/node/work TestNoMoveToFaultyEngine",
			"internal/node/work TestStoredEventsAreJudged",
			"internal/node/work TestTextStaysWithOneSoftwareVersion",
			"internal/node/work TestPromoteSuccessor",
			"internal/proof/demo TestTrainersApart",
			"internal/proof/procs TestProcesses",
			"internal/node/front TestEventWithoutEnd",
			"internal/node/front TestLongServerError",
			"internal/node/side TestSlowAndStalledStreams",
			"internal/edge/client TestPlainMalformedHead",
			"internal/edge/client TestPlainResetDuringUpload",
			"internal/edge/dial TestEndAfterFailedWrite",
			"internal/edge/dial TestEndDuringUpload",
			"internal/edge/dial TestHeadChecker",
			"internal/edge/dial TestHeadsOnOneConnection",
			"internal/edge/dial TestRefusalWaitsForAnswerBefore",
			"internal/edge/dial TestSendOnce",
			"platform TestAnswerResetDuringUpload",
			"platform TestAnswersOfServers",
			"platform TestBytesWithoutEnd",
			"platform TestEarlyAnswers",
			"platform TestFaultyText",
			"platform TestInvalidStatus",
			"platform TestInvalidStatusOfText",
			"platform TestMalformedHead",
			"platform TestMalformedHeadOfCalls",
			"platform TestMalformedHeadOfText",
			"platform TestReadEvents",
			"platform TestSecondCopyOfAnAnswer",
			"platform TestSecondCopyOfAnswerToSameID",
			"platform TestSend",
			"platform TestTextResetDuringUpload",
			"platform TestWriteResults",
			"platform/soak TestSoak",
		},
	},
	{
		ID:   TrueRefusal,
		Text: "a request refused as not run was not run",
		Packages: []string{
			"internal/base/fault", "internal/decide/admit", "internal/decide/claim", "internal/decide/hold", "internal/decide/limit",
			"internal/edge/listen", "internal/inner/wire", "internal/node/front", "internal/node/jobs", "internal/node/logs",
			"internal/node/places", "internal/node/relay", "platform",
		},
		Tests: []string{
			"internal/decide/claim TestAnyOrder",
			"internal/decide/claim TestRefusedKeyIsSentAgain",
			"internal/edge/client TestPlainOutcome",
			"internal/edge/listen TestHeadWithoutRoom",
			"internal/edge/listen TestHeldForRequest",
			"internal/inner/wire TestUnsent",
			"internal/node/agent TestSubmitRefuses",
			"internal/node/claims TestAtMostOnce",
			"internal/node/claims TestRefusalHoldsForConcurrentSends",
			"internal/node/claims TestRefusedKeyThatIsSentAgainRunsOnce",
			"internal/node/front TestLimitedServers",
			"internal/node/front TestPlaces",
			"internal/node/front TestServe",
			"internal/node/jobs TestLaggingNodeKnowsNoEnd",
			"internal/node/jobs TestSubmitDuringStoreFault",
			"internal/node/jobs TestUnknownJob",
			"internal/node/logs TestGivenUp",
			"internal/node/relay TestRelay",
			"platform TestReadBody",
			"platform/crowd TestCrowd",
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
		ID:   LeavingIdle,
		Text: "a leaving backend server gets no new work after a few seconds",
		Packages: []string{
			"internal/decide/fleet", "internal/decide/match", "internal/decide/pick", "internal/node/agent", "internal/node/conf",
			"internal/node/front", "internal/node/peers", "internal/node/rates", "internal/node/side", "internal/node/work",
		},
		Tests: []string{
			"internal/decide/fleet TestServerRemoval",
			"internal/decide/fleet TestStatementOutlivesOlderNews",
			"internal/decide/pick TestLeavingServerGetsNothing",
			"internal/decide/share TestLeavingEngineHasNoModel",
			"internal/node/entry TestListedLeaving",
			"internal/node/front TestAllServersLeaveAtOnce",
			"internal/node/front TestLeavingServerGetsNoRequest",
			"internal/node/front TestServerLeavesBetweenChoiceAndSend",
			"internal/node/front TestStreamIsTakenUpElsewhere",
			"internal/node/rates TestGranterTellsThatAServerLeaves",
			"internal/node/side TestAgentTellsThatItsEngineLeaves",
			"internal/node/side TestLeavingEngineGetsNoRun",
			"internal/node/side TestLeavingEngineLoadsNoVersion",
			"internal/node/work TestLeavingEnginesAreAvoided",
			"internal/proof/replay TestBrokenDecisionShows",
			"internal/proof/replay TestRecordedTraces",
			"platform TestEngineStatesThatItLeaves",
			"platform/soak TestSoak",
		},
	},
	{
		ID:       CleanDrain,
		Text:     "a graceful shutdown cuts no request",
		Packages: []string{"internal/edge/listen", "internal/node/agent", "internal/node/entry", "internal/prod/roles"},
		Tests: []string{
			"internal/edge/listen TestConnectionDuringShutdown",
			"internal/edge/listen TestShutdownAfterChangesOfLimits",
			"internal/node/claims TestBusyUntilOutcomeIsAppended",
			"internal/node/claims TestShutdownMigrates",
			"internal/node/claims TestShutdownWaits",
			"internal/node/jobs TestStopAnswersWaitingClients",
			"internal/prod/roles TestConnectionsAreToldInTime",
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
	{
		PlatformOnly: true,
		ID:           OwnWorkspace,
		Text:         "each request runs for the workspace of its key, and nobody else reads a workspace's jobs",
		Packages:     []string{"internal/decide/access", "internal/decide/joblog", "internal/node/conf", "internal/node/front", "internal/node/jobs", "platform"},
		Tests: []string{
			"internal/decide/access TestDecide",
			"internal/decide/access TestProblems",
			"internal/decide/access TestWithoutWorkspaces",
			"internal/inner/index TestWorkspaceOfAJob",
			"internal/node/front TestAuthorizeJob",
			"internal/node/front TestKeysOfAnEntryCutFromTheStore",
			"internal/node/jobs TestJobIsSubmittedAgainWithAnotherKey",
			"internal/node/jobs TestResolve",
			"platform TestJobFromBeforeWorkspaces",
			"platform TestJobOfAWorkspace",
			"platform TestKeyIsNotThatOfTheConnection",
			"platform TestKeysComeAndGo",
			"platform TestKeysWithoutTheStore",
			"platform TestWorkspaceOfARequest",
		},
	},
	{
		PlatformOnly: true,
		ID:           OneHolder,
		Text:         "calls of a duty come from one VM at a time, with tokens that never fall",
		Packages:     []string{"internal/base/clock", "internal/decide/lease", "internal/node/duties", "internal/node/leases", "platform"},
		Tests: []string{
			"internal/decide/lease TestNoReturnWithinATerm",
			"internal/decide/lease TestOneHolder",
			"internal/decide/lease TestStayOut",
			"internal/node/duties TestFrozenHolder",
			"internal/node/duties TestKilledHolder",
			"internal/node/duties TestOrdersOfNextHolder",
			"internal/node/duties TestReports",
			"platform TestDutyCallIsReset",
			"platform TestDutyCalls",
		},
	},
	{
		PlatformOnly: true,
		ID:           TrueUsage,
		Text:         "the use of a window is reported with one content, by its true counts",
		Packages:     []string{"internal/decide/epoch", "internal/decide/usage", "internal/node/duties", "internal/node/front"},
		Tests: []string{
			"internal/decide/epoch TestJumps",
			"internal/decide/usage TestOneReport",
			"internal/node/duties TestHistoryForgotten",
			"internal/node/duties TestKilledHolder",
			"internal/node/duties TestRefusedReport",
			"internal/node/duties TestReports",
			"internal/node/duties TestTwoBelieve",
			"internal/node/front TestOnStart",
		},
	},
	{
		PlatformOnly: true,
		ID:           RoomForOwn,
		Text:         "while a zone serves, the share of its requests that an entry sends to another zone leaves room for that zone's callers",
		Packages:     []string{"internal/decide/zones", "internal/node/front"},
		Tests: []string{
			"internal/decide/zones TestHotZone",
			"internal/decide/zones TestSlowZone",
			"internal/decide/zones TestSteps",
		},
	},
}

// maxListedViolations bounds the violations that Report lists for each guarantee.
const maxListedViolations = 5

// guaranteeCount counts the checks of one guarantee.
type guaranteeCount struct {
	checks     int
	violations []string // descriptions
}

// Counts counts the checks and violations of all guarantees. It is safe for
// concurrent use.
type Counts struct {
	mu   sync.Mutex
	byID map[ID]*guaranteeCount
}

// NewCounts returns counts without any checks, of the guarantees that the demonstration can
// test.
func NewCounts() *Counts {
	c := &Counts{byID: make(map[ID]*guaranteeCount)}
	for _, g := range Table {
		if !g.PlatformOnly {
			c.byID[g.ID] = &guaranteeCount{}
		}
	}
	return c
}

// Check counts one check of a guarantee. If it is not ok, description states how
// the guarantee was violated.
func (c *Counts) Check(id ID, ok bool, description string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.byID[id]
	n.checks++
	if !ok {
		n.violations = append(n.violations, description)
	}
}

// Held returns how many guarantees were checked and never violated, and the total
// number of guarantees.
func (c *Counts) Held() (held, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.byID {
		if n.checks > 0 && len(n.violations) == 0 {
			held++
		}
	}
	return held, len(c.byID)
}

// Violations returns the number of failed checks.
func (c *Counts) Violations() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, n := range c.byID {
		sum += len(n.violations)
	}
	return sum
}

// Report lists each guarantee with its counts and its first violations.
func (c *Counts) Report() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b strings.Builder
	for _, g := range Table {
		n, ok := c.byID[g.ID]
		if !ok {
			continue
		}
		fmt.Fprintf(&b, "%-14s tested %6d  broken %4d  %s\n", g.ID, n.checks, len(n.violations), g.Text)
		for _, v := range n.violations[:min(maxListedViolations, len(n.violations))] {
			fmt.Fprintf(&b, "    broke: %s\n", v)
		}
	}
	return b.String()
}
