package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/agent"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
	"github.com/jujuberamp/jujuberamp/internal/stand/logsvc"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
	"github.com/jujuberamp/jujuberamp/internal/stand/plain"
	"github.com/jujuberamp/jujuberamp/internal/stand/vmlist"
)

// faultyLog is the log as one entry reaches it. Tests make it lose replies or delay
// a read.
type faultyLog struct {
	*logsvc.Log
	reads       atomic.Int64
	mu          sync.Mutex
	loseReplies bool          // all replies are lost, but appends take effect
	releaseRead chan struct{} // if set, the next read with records waits for this channel before it returns
	blocked     chan struct{} // closed when that read starts to wait

	releaseAppend chan struct{} // if set, the next append waits for this channel before it takes effect
	appendBlocked chan struct{} // closed when that append starts to wait
}

func (l *faultyLog) update(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
}

func (l *faultyLog) Append(ctx context.Context, name string, data [][]byte) (ident.Offset, error) {
	l.mu.Lock()
	release := l.releaseAppend
	if release != nil {
		l.releaseAppend = nil
		close(l.appendBlocked)
	}
	l.mu.Unlock()
	if release != nil {
		<-release
	}
	offset, err := l.Log.Append(ctx, name, data)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loseReplies {
		return 0, logsvc.ErrReplyLost
	}
	return offset, err
}

func (l *faultyLog) Read(ctx context.Context, name string, from ident.Offset, limit int, wait clock.Millis) (plat.Batch, error) {
	l.reads.Add(1)
	b, err := l.Log.Read(ctx, name, from, limit, wait)
	l.mu.Lock()
	releaseRead, loseReplies := l.releaseRead, l.loseReplies
	if releaseRead != nil && len(b.Records) > 0 {
		l.releaseRead = nil
		close(l.blocked)
	} else {
		releaseRead = nil
	}
	l.mu.Unlock()
	if releaseRead != nil {
		<-releaseRead
	}
	if loseReplies {
		return plat.Batch{}, logsvc.ErrDown
	}
	return b, err
}

// pauseRead makes the next read that returns records wait. blocked is closed when
// the read starts to wait. The test closes release to let it return.
func (l *faultyLog) pauseRead() (blocked, release chan struct{}) {
	blocked, release = make(chan struct{}), make(chan struct{})
	l.update(func() { l.blocked, l.releaseRead = blocked, release })
	return blocked, release
}

// pauseAppend makes the next append wait. blocked is closed when the append starts to
// wait. The test closes release to let it take effect.
func (l *faultyLog) pauseAppend() (blocked, release chan struct{}) {
	blocked, release = make(chan struct{}), make(chan struct{})
	l.update(func() { l.appendBlocked, l.releaseAppend = blocked, release })
	return blocked, release
}

type testEntry struct {
	*Claims
	faultyLog *faultyLog
	kill      context.CancelFunc
}

// testCluster is a log, a plain service, and some entries and agents.
type testCluster struct {
	c         *qt.C
	ctx       context.Context
	clock     clock.Clock
	log       *logsvc.Log
	runs      *plain.RunCounter
	svc       *plain.Service
	wallClock func() int64

	mu     sync.Mutex
	agents []*agent.Agent
	hosts  map[ident.Service]*agent.Agent
	calls  []*calls.Dispatcher
}

func newTestCluster(t testing.TB, runTime clock.Millis) *testCluster {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clk := clock.NewSystem()
	r := &testCluster{
		c:     qt.New(t),
		ctx:   ctx,
		clock: clk,
		log:   logsvc.New(clk, logsvc.Params{Seed: 1}),
		runs:  plain.NewRunCounter(),
		hosts: make(map[ident.Service]*agent.Agent),
	}
	r.svc = plain.New(r.runs, runTime)
	r.addPlainAgent()
	go r.sendReports()
	return r
}

var testKey = []byte("0123456789abcdef")

// addPlainAgent starts another agent of the plain service. Entries use the new
// agent from then on.
func (r *testCluster) addPlainAgent() *agent.Agent {
	a := r.startAgent(agent.Params{Node: "agent-1", Slots: 256, Service: "pages", Plain: r.svc})
	r.setHost("pages", a)
	return a
}

func (r *testCluster) startAgent(p agent.Params) *agent.Agent {
	p.InnerAddr, p.Key, p.Clock, p.Log = "127.0.0.1:0", testKey, r.clock, zerolog.Nop()
	p.ReportInterval, p.AnswerRetention = 100*clock.Milli, clock.Minute
	p.VMs, p.Meter = vmlist.New(r.clock, 0), noop.Meter{}
	a, err := agent.New(p)
	r.c.Assert(err, qt.IsNil)
	go a.Run(r.ctx)
	r.c.Cleanup(a.Close)
	return a
}

// setHost makes an agent the one that is reported to the entries for a service.
func (r *testCluster) setHost(svc ident.Service, a *agent.Agent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents = append(r.agents, a)
	r.hosts[svc] = a
}

func (r *testCluster) sendReports() {
	for seq := uint64(1); r.ctx.Err() == nil; seq++ {
		r.mu.Lock()
		for svc, a := range r.hosts {
			for _, c := range r.calls {
				c.Report(match.Server{
					Node:    ident.Node("at-" + a.Addr()),
					Seq:     seq,
					Boot:    a.Incarnation(),
					Addr:    a.Addr(),
					Service: svc,
					Version: 1,
					Slots:   256,
				})
			}
		}
		r.mu.Unlock()
		clock.Sleep(r.ctx, 20)
	}
}

func (r *testCluster) newEntry(name ident.Node) *testEntry {
	ctx, kill := context.WithCancel(r.ctx)
	pool := wire.NewPool(testKey)
	boot := ident.NewIncarnation()
	cs := calls.New(calls.Params{Node: name, Boot: boot, Policy: match.DefaultPolicy(), Pool: pool, Clock: r.clock, Log: zerolog.Nop()})
	go cs.Run(ctx)
	fl := &faultyLog{Log: r.log}
	cl := New(ctx, Params{
		Node:         name,
		Boot:         boot,
		Source:       fl,
		Calls:        cs,
		Pool:         pool,
		ClaimTimeout: clock.Second,
		Clock:        r.clock,
		Wall:         r.wallClock,
		Log:          zerolog.Nop(),
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, cs)
	return &testEntry{Claims: cl, faultyLog: fl, kill: func() { kill(); pool.Close() }}
}

func newKey(c *qt.C) string {
	u, err := uuid.NewV7()
	c.Assert(err, qt.IsNil)
	return u.String()
}

func (r *testCluster) newRequest(key, body string) Request {
	cl, err := class.New(class.Params{Name: "notice", Kind: class.Action, Service: "pages", Lateness: clock.Minute, Waiting: clock.Second})
	r.c.Assert(err, qt.IsNil)
	return Request{
		Caller:     "app",
		Key:        key,
		BodyDigest: body,
		Work:       calls.Work{Request: ident.Request(key), Class: cl, Body: []byte(body)},
	}
}

func (r *testCluster) send(e *testEntry, key, body string) ([]byte, error) {
	ans, err := e.Do(r.ctx, r.newRequest(key, body))
	return ans.Body, err
}

// sendAsync sends a request in the background and checks the answer.
func (r *testCluster) sendAsync(e *testEntry, key, body string) chan error {
	ch := make(chan error, 1)
	go func() {
		b, err := r.send(e, key, body)
		if err == nil && string(b) != string(oracle.Reply([]byte(body))) {
			err = fmt.Errorf("unexpected answer: %q", b)
		}
		ch <- err
	}()
	return ch
}

// waitForServer runs a request with another key, which waits until the entry knows the
// server.
func (r *testCluster) waitForServer(e *testEntry) {
	r.assertAnswer(e, newKey(r.c), "first")
}

// waitUntilIdle waits until the outcomes of earlier requests are on the log. Else their
// appends or reads could be taken for those of the next request.
func (r *testCluster) waitUntilIdle(entries ...*testEntry) {
	for _, e := range entries {
		for e.IsBusy() {
			r.c.Assert(r.ctx.Err(), qt.IsNil)
			clock.Sleep(r.ctx, clock.Milli)
		}
	}
}

func (r *testCluster) waitUntilRunning(body string) {
	for r.runs.Runs(body) == 0 {
		r.c.Assert(r.ctx.Err(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
}

func (r *testCluster) assertAnswer(e *testEntry, key, body string) {
	r.c.Helper()
	b, err := r.send(e, key, body)
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(string(b), qt.Equals, string(oracle.Reply([]byte(body))))
}

func kindOf(err error) fault.Kind {
	if f, ok := fault.As(err); ok {
		return f.Kind()
	}
	return ""
}

// scenarios are failures between a request and its answer. Each scenario returns
// how often the service must have run the body x.
var scenarios = map[string]func(r *testCluster, a, b *testEntry, key string) int{
	"retried through any entry": func(r *testCluster, a, b *testEntry, key string) int {
		r.assertAnswer(a, key, "x")
		r.assertAnswer(b, key, "x")
		r.assertAnswer(a, key, "x")
		r.assertAnswer(r.newEntry("new"), key, "x")
		return 1
	},
	"same key with another body": func(r *testCluster, a, b *testEntry, key string) int {
		r.assertAnswer(a, key, "x")
		for _, e := range []*testEntry{a, b} {
			_, err := r.send(e, key, "y")
			r.c.Assert(kindOf(err), qt.Equals, fault.KeyReused)
		}
		r.c.Assert(r.runs.Runs("y"), qt.Equals, 0)
		return 1
	},
	"two entries at once": func(r *testCluster, a, b *testEntry, key string) int {
		first, second := r.sendAsync(a, key, "x"), r.sendAsync(b, key, "x")
		r.c.Assert(<-first, qt.IsNil)
		r.c.Assert(<-second, qt.IsNil)
		return 1
	},
	"log down": func(r *testCluster, a, b *testEntry, key string) int {
		r.log.SetDown(true)
		req := r.newRequest(key, "x")
		req.FirstSend = true
		_, err := a.Do(r.ctx, req)
		r.c.Assert(kindOf(err), qt.Equals, fault.LogUnavailable)
		_, err = r.send(b, key, "x")
		r.c.Assert(kindOf(err), qt.Equals, fault.ClaimUnsettled)
		r.c.Assert(r.runs.Runs("x"), qt.Equals, 0)
		r.log.SetDown(false)
		r.assertAnswer(b, key, "x")
		r.assertAnswer(a, key, "x")
		return 1
	},
	"all append replies lost": func(r *testCluster, a, b *testEntry, key string) int {
		r.log.SetReplyLossRate(1)
		r.assertAnswer(a, key, "x")
		r.assertAnswer(b, key, "x")
		return 1
	},
	"claim written in an outage, retried at another entry": func(r *testCluster, a, b *testEntry, key string) int {
		a.faultyLog.update(func() { a.faultyLog.loseReplies = true })
		_, err := r.send(a, key, "x")
		r.c.Assert(kindOf(err), qt.Equals, fault.ClaimUnsettled)
		r.assertAnswer(b, key, "x")
		a.faultyLog.update(func() { a.faultyLog.loseReplies = false })
		r.assertAnswer(a, key, "x")
		return 1
	},
	"claim written in an outage, retried at the same entry": func(r *testCluster, a, _ *testEntry, key string) int {
		a.faultyLog.update(func() { a.faultyLog.loseReplies = true })
		_, err := r.send(a, key, "x")
		r.c.Assert(kindOf(err), qt.Equals, fault.ClaimUnsettled)
		a.faultyLog.update(func() { a.faultyLog.loseReplies = false })
		r.assertAnswer(a, key, "x")
		return 1
	},
	"entry killed between claim and send": func(r *testCluster, a, b *testEntry, key string) int {
		blocked, _ := a.faultyLog.pauseRead()
		r.sendAsync(a, key, "x")
		<-blocked
		a.kill()
		r.assertAnswer(b, key, "x")
		return 1
	},
	"entry pauses between claim and send": func(r *testCluster, a, b *testEntry, key string) int {
		blocked, release := a.faultyLog.pauseRead()
		first := r.sendAsync(a, key, "x")
		<-blocked
		r.assertAnswer(b, key, "x")
		close(release)
		r.c.Assert(<-first, qt.IsNil)
		return 1
	},
	"entry killed between run and answer": func(r *testCluster, a, b *testEntry, key string) int {
		r.sendAsync(a, key, "x")
		r.waitUntilRunning("x")
		a.kill()
		r.assertAnswer(b, key, "x")
		return 1
	},
	"service crashes during the run": func(r *testCluster, a, b *testEntry, key string) int {
		first := r.sendAsync(a, key, "x")
		r.waitUntilRunning("x")
		r.svc.Crash()
		r.c.Assert(kindOf(<-first), qt.Equals, fault.OutcomeUnknown)
		r.svc.Restart()
		for _, e := range []*testEntry{b, a} {
			_, err := r.send(e, key, "x")
			r.c.Assert(kindOf(err), qt.Equals, fault.OutcomeUnknown)
		}
		return 1
	},
	"agent restarts during the run": func(r *testCluster, a, b *testEntry, key string) int {
		first := r.sendAsync(a, key, "x")
		r.waitUntilRunning("x")
		r.agents[0].Close()
		r.addPlainAgent()
		r.c.Assert(kindOf(<-first), qt.Equals, fault.OutcomeUnknown)
		_, err := r.send(b, key, "x")
		r.c.Assert(kindOf(err), qt.Equals, fault.OutcomeUnknown)
		return 1
	},
	"agent restarts between claim and send": func(r *testCluster, a, b *testEntry, key string) int {
		blocked, release := a.faultyLog.pauseRead()
		first := r.sendAsync(a, key, "x")
		<-blocked
		r.agents[0].Close()
		r.addPlainAgent()
		_, err := r.send(b, key, "x")
		r.c.Assert(kindOf(err), qt.Equals, fault.OutcomeUnknown)
		close(release)
		if err := <-first; err != nil { // The pause may have been longer than the claim timeout.
			r.assertAnswer(a, key, "x")
		}
		return 1
	},
	"entry that has read only an older claim": func(r *testCluster, a, b *testEntry, key string) int {
		blocked, _ := a.faultyLog.pauseRead()
		r.sendAsync(a, key, "x")
		<-blocked
		late := r.newEntry("late")
		r.c.Assert(late.streams[streamIndex(KeyDigest("app", key))].sync(r.ctx), qt.IsNil)
		a.kill()
		r.assertAnswer(b, key, "x")
		for b.IsBusy() { // The outcome is not on the log yet.
			clock.Sleep(r.ctx, clock.Milli)
		}
		clock.Sleep(r.ctx, outcomeDelay)
		r.agents[0].Close()
		r.addPlainAgent()
		r.assertAnswer(late, key, "x")
		return 1
	},
	"records expired unread": func(r *testCluster, a, b *testEntry, key string) int {
		name := StreamOf("app", key)
		other, third := newKeyInStream(r.c, name), newKeyInStream(r.c, name)
		r.assertAnswer(a, key, "x")
		r.assertAnswer(b, other, "y")
		r.log.Expire(name, 1000)
		_, err := r.send(a, other, "y")
		r.c.Assert(kindOf(err), qt.Equals, fault.KeyExpired)
		_, err = r.send(a, third, "z")
		r.c.Assert(kindOf(err), qt.Equals, fault.KeyExpired)
		r.c.Assert(r.runs.Runs("y"), qt.Equals, 1)
		r.c.Assert(r.runs.Runs("z"), qt.Equals, 0)
		return 1
	},
}

// refuseBesideSend sends a key to entry a, whose claim waits to be appended until release is
// closed, and then to entry b, which knows no server and refuses it as not run. The channel
// first receives the result of the send to a.
func (r *testCluster) refuseBesideSend(key string) (a, b *testEntry, first chan error, release chan struct{}) {
	a, b = r.newEntry("entry-a"), r.newEntry("entry-b")
	r.waitForServer(a)
	r.waitUntilIdle(a)
	appending, release := a.faultyLog.pauseAppend()
	first = r.sendAsync(a, key, "x")
	<-appending
	refused := r.newRequest(key, "x")
	refused.Work.Deadline = r.clock.Now() + 1
	time.Sleep(5 * time.Millisecond)
	_, err := b.Do(r.ctx, refused)
	r.c.Assert(kindOf(err), qt.Equals, fault.PastDeadline)
	r.c.Assert(r.runs.Runs("x"), qt.Equals, 0)
	return a, b, first, release
}

// TestRefusalHoldsForConcurrentSends sends a key to two entries at once. One has no
// server for it and refuses it as not run while the other still waits to claim it. The
// other must then not run it either. A send after the refusal runs it.
func TestRefusalHoldsForConcurrentSends(t *testing.T) {
	r := newTestCluster(t, 10*clock.Milli)
	key := newKey(r.c)
	a, b, first, release := r.refuseBesideSend(key)
	close(release)
	r.c.Assert(kindOf(<-first), qt.Equals, fault.ClaimRefused)
	r.c.Assert(r.runs.Runs("x"), qt.Equals, 0)
	r.assertAnswer(a, key, "x")
	r.assertAnswer(b, key, "x")
	r.c.Assert(r.runs.Runs("x"), qt.Equals, 1)
}

// TestRefusedKeyThatIsSentAgainRunsOnce guards against two runs, or a wrong "not run", where a
// key that was refused is sent again while a send that began before the refusal is still in
// progress. The earlier send may settle the claim of the later one and run the key: all
// callers but the refused one get the answer.
func TestRefusedKeyThatIsSentAgainRunsOnce(t *testing.T) {
	r := newTestCluster(t, 10*clock.Milli)
	key := newKey(r.c)
	_, b, first, releaseAppend := r.refuseBesideSend(key)
	r.waitForServer(b)
	r.waitUntilIdle(b)
	r.c.Assert(b.streams[streamIndex(KeyDigest("app", key))].sync(r.ctx), qt.IsNil)
	reading, releaseRead := b.faultyLog.pauseRead()
	second := r.sendAsync(b, key, "x")
	select {
	case <-reading: // Its claim is on the log and is not sent yet.
	case err := <-second:
		r.c.Fatalf("the request ended before its claim was read back: %v, %d runs", err, r.runs.Runs("x"))
	}
	close(releaseAppend)
	r.c.Assert(<-first, qt.IsNil)
	r.c.Assert(r.runs.Runs("x"), qt.Equals, 1)
	close(releaseRead)
	r.c.Assert(<-second, qt.IsNil)
	r.assertAnswer(b, key, "x")
	r.c.Assert(r.runs.Runs("x"), qt.Equals, 1)
}

// TestLaterSendIsNotGivenAnEarlierRefusal guards against a key that is sent again right after
// its refusal and gets the same refusal, since it joins the execution that has just ended.
func TestLaterSendIsNotGivenAnEarlierRefusal(t *testing.T) {
	r := newTestCluster(t, 10*clock.Milli)
	e := r.newEntry("entry-a")
	for range 2000 {
		req := r.newRequest(newKey(r.c), "x")
		req.FirstSend = true
		req.Work.Deadline = 1
		_, err := e.Do(r.ctx, req)
		r.c.Assert(kindOf(err), qt.Equals, fault.PastDeadline)
		e.mu.Lock()
		running := len(e.executions)
		e.mu.Unlock()
		r.c.Assert(running, qt.Equals, 0)
	}
}

// newKeyInStream returns a key that belongs to a stream.
func newKeyInStream(c *qt.C, name string) string {
	for {
		if k := newKey(c); StreamOf("app", k) == name {
			return k
		}
	}
}

// TestAtMostOnce checks that in each scenario the service runs the request once.
func TestAtMostOnce(t *testing.T) {
	for name, run := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestCluster(t, 100*clock.Milli)
			a, b := r.newEntry("entry-a"), r.newEntry("entry-b")
			want := run(r, a, b, newKey(r.c))
			r.c.Assert(r.runs.Runs("x"), qt.Equals, want)
		})
	}
}

// TestCheckKey checks which keys are accepted, by format and time.
func TestCheckKey(t *testing.T) {
	c := qt.New(t)
	key := newKey(c)
	keyTime, err := New(context.Background(), Params{Clock: clock.NewManual(1)}).CheckKey(key)
	c.Assert(err, qt.IsNil)
	tests := map[string]struct {
		key  string
		wall int64
		want fault.Kind
	}{
		"fresh":       {key, keyTime, ""},
		"old":         {key, keyTime + int64(DefaultKeyLifetime) + 1, fault.KeyExpired},
		"far future":  {key, keyTime - int64(maxClockSkew) - 1, fault.BadRequest},
		"near future": {key, keyTime - int64(maxClockSkew), ""},
		"empty":       {"", keyTime, fault.BadRequest},
		"version 4":   {"6f1d3a52-0b1c-4d3e-9f00-112233445566", keyTime, fault.BadRequest},
		"braces":      {"{" + key + "}", keyTime, fault.BadRequest},
		"not a UUID":  {"my-key", keyTime, fault.BadRequest},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(context.Background(), Params{Clock: clock.NewManual(1), Wall: func() int64 { return tc.wall }})
			_, err := s.CheckKey(tc.key)
			qt.Assert(t, kindOf(err), qt.Equals, tc.want)
		})
	}
}

// TestCallersApart checks that the same key used by two callers counts as two
// keys.
func TestCallersApart(t *testing.T) {
	c := qt.New(t)
	c.Assert(KeyDigest("a", "bc"), qt.Not(qt.Equals), KeyDigest("ab", "c"))
	r := newTestCluster(t, 1)
	e, key := r.newEntry("entry-a"), newKey(c)
	r.assertAnswer(e, key, "x")
	other := r.newRequest(key, "y")
	other.Caller = "other"
	ans, err := e.Do(r.ctx, other)
	c.Assert(err, qt.IsNil)
	c.Assert(string(ans.Body), qt.Equals, string(oracle.Reply([]byte("y"))))
}
