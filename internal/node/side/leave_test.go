package side

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/grant"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
)

// TestLeavingEngineGetsNoRun guards against runs that an agent sends to an engine which has
// stated, in a report or in the answer to a run, that it leaves, while its registry entry
// says that it is ready. Entries must learn that from the refusal.
func TestLeavingEngineGetsNoRun(t *testing.T) {
	stated := plat.Leaving{Stated: true}
	tests := map[string]struct {
		then func(env *testEnv) // after the engine was started at 7 and has answered
		want runs.Code
	}{
		"no statement": {func(*testEnv) {}, runs.Done},
		"a report":     {func(env *testEnv) { env.engine.set(func(e *fakeEngine) { e.reportLeaving = stated }) }, runs.Leaving},
		"the answer to a run": {func(env *testEnv) {
			env.engine.set(func(e *fakeEngine) { e.leaving, e.events = stated, []plat.Event{event(1, 1)} })
			env.runItem(runs.Run{Item: "w", Instance: "i-1", Model: "m", MinVersion: 1})
		}, runs.Leaving},
		"the refusal of a run": {func(env *testEnv) {
			env.engine.set(func(e *fakeEngine) { e.leaving, e.status, e.notRun = stated, 503, true })
			env.runItem(runs.Run{Item: "w", Instance: "i-1", Model: "m", MinVersion: 1})
			env.engine.set(func(e *fakeEngine) { e.status, e.notRun = 200, false })
		}, runs.Leaving},
		"a later report does not state it": {func(env *testEnv) {
			env.engine.set(func(e *fakeEngine) { e.reportLeaving = stated })
			time.Sleep(time.Second)
			env.engine.set(func(e *fakeEngine) { e.reportLeaving = plat.Leaving{} })
			time.Sleep(time.Minute)
		}, runs.Leaving},
		"its registry entry is written again": {func(env *testEnv) {
			env.engine.set(func(e *fakeEngine) { e.reportLeaving = stated })
			time.Sleep(time.Second)
			env.register("i-1")
		}, runs.Leaving},
		"a statement that can't be decoded": {func(env *testEnv) {
			env.engine.set(func(e *fakeEngine) { e.reportLeaving = plat.Leaving{Malformed: "soon"} })
		}, runs.Done},
		"the engine has restarted": {func(env *testEnv) {
			env.engine.set(func(e *fakeEngine) { e.reportLeaving = stated })
			time.Sleep(time.Second)
			env.engine.set(func(e *fakeEngine) { e.reportLeaving, e.startedAt = plat.Leaving{}, 8 })
		}, runs.Done},
		"a late answer of the engine before its restart": {func(env *testEnv) {
			env.engine.set(func(e *fakeEngine) {
				e.leaving, e.answerDelay, e.events = stated, time.Second, []plat.Event{event(1, 1)}
			})
			go env.runItem(runs.Run{Item: "w", Instance: "i-1", Model: "m", MinVersion: 1})
			time.Sleep(500 * time.Millisecond)
			env.engine.set(func(e *fakeEngine) { e.startedAt = 8 })
			time.Sleep(time.Second)
			env.engine.set(func(e *fakeEngine) { e.leaving, e.answerDelay = plat.Leaving{}, 0 })
		}, runs.Done},
		"a late answer of the incarnation before the leaving one": {func(env *testEnv) {
			env.engine.set(func(e *fakeEngine) {
				e.startedAt, e.leaving, e.answerDelay, e.events = 6, stated, time.Second, []plat.Event{event(1, 1)}
			})
			time.Sleep(500 * time.Millisecond)
			go env.runItem(runs.Run{Item: "w", Instance: "i-1", Model: "m", MinVersion: 1})
			time.Sleep(300 * time.Millisecond)
			env.engine.set(func(e *fakeEngine) { e.startedAt, e.reportLeaving = 7, stated })
			time.Sleep(300 * time.Millisecond)
			env.engine.set(func(e *fakeEngine) { e.reportLeaving = plat.Leaving{} })
			time.Sleep(time.Second)
			env.engine.set(func(e *fakeEngine) { e.leaving, e.answerDelay = plat.Leaving{}, 0 })
		}, runs.Leaving},
		"the agent has restarted": {func(env *testEnv) {
			env.engine.set(func(e *fakeEngine) { e.reportLeaving = stated })
			env.restartAgent()
		}, runs.Leaving},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(env *testEnv) {
				env.engine.set(func(e *fakeEngine) { e.startedAt = 7 })
				time.Sleep(500 * time.Millisecond)
				test.then(env)
				time.Sleep(500 * time.Millisecond) // The agent reads the report.
				env.engine.set(func(e *fakeEngine) { e.events = []plat.Event{event(1, 1)} })
				sent := env.engine.requests.Load()
				_, last := env.runItem(runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1})
				env.c.Check(last.Code, qt.Equals, test.want, qt.Commentf("%s", last.Detail))
				env.c.Check(env.engine.requests.Load()-sent, qt.Equals, map[runs.Code]int32{runs.Done: 1}[test.want])
				env.c.Check(last.EngineLeaving, qt.Equals, test.want == runs.Leaving)
				if last.EngineLeaving {
					env.c.Check(last.EngineStartedAt, qt.Equals, int64(7))
				}
			})
		})
	}
}

// TestRunsOfLeavingEngineEnd guards against runs that are cut because their engine states
// that it leaves: it completes them.
func TestRunsOfLeavingEngineEnd(t *testing.T) {
	withTestEnv(t, func(env *testEnv) {
		env.engine.set(func(e *fakeEngine) {
			e.eventDelay, e.events = 500*time.Millisecond, []plat.Event{event(1, 1), event(2, 0), event(3, 0), event(4, 0)}
		})
		time.AfterFunc(700*time.Millisecond, func() {
			env.engine.set(func(e *fakeEngine) { e.reportLeaving = plat.Leaving{Stated: true} })
		})
		versions, last := env.runItem(runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1})
		env.c.Check(last.Code, qt.Equals, runs.Done)
		env.c.Check(versions, qt.HasLen, 4)
		env.c.Check(last.EngineLeaving, qt.IsTrue)
	})
}

// TestLeavingEngineLoadsNoVersion guards against load orders to an engine that leaves: a
// load would stop its last runs.
func TestLeavingEngineLoadsNoVersion(t *testing.T) {
	withTestEnv(t, func(env *testEnv) {
		env.engine.set(func(e *fakeEngine) { e.reportLeaving = plat.Leaving{Stated: true} })
		time.Sleep(time.Second)
		env.announce("2")
		time.Sleep(10 * time.Second)
		synctest.Wait()
		env.engine.set(func(e *fakeEngine) { env.c.Check(e.sent, qt.HasLen, 0) })
	})
}

// TestAgentTellsThatItsEngineLeaves guards against grants for requests to an engine that
// has stated to its agent that it leaves.
func TestAgentTellsThatItsEngineLeaves(t *testing.T) {
	tests := map[string]struct {
		server  string // incarnation of which the entry asks
		stated  bool
		leaving bool
	}{
		"no statement":        {"i-1/0", false, false},
		"stated":              {"i-1/0", true, true},
		"another engine":      {"i-0/0", true, false},
		"another incarnation": {"i-1/9", true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(env *testEnv) {
				env.engine.set(func(e *fakeEngine) { e.reportLeaving = plat.Leaving{Stated: test.stated} })
				time.Sleep(time.Second)
				reply := env.agent.Grant(grant.Request{Server: test.server})
				env.c.Check(reply.Leaving, qt.Equals, test.leaving)
				env.c.Check(reply.Granted, qt.Equals, !test.leaving)
			})
		})
	}
}

// TestEngineLeavesBetweenAdmissionAndSend guards against a run that is sent to an engine which
// stated that it leaves after the run was admitted.
func TestEngineLeavesBetweenAdmissionAndSend(t *testing.T) {
	withTestEnv(t, func(env *testEnv) {
		x := &run{agent: env.agent, Run: &runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1}}
		env.engine.set(func(e *fakeEngine) { e.reportLeaving = plat.Leaving{Stated: true} })
		time.Sleep(time.Second)
		code, _ := x.readEvents(env.ctx)
		env.c.Check(code, qt.Equals, runs.Leaving)
		env.c.Check(env.engine.requests.Load(), qt.Equals, int32(0))
	})
}
