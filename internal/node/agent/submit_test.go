package agent

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/stand/plain"
	"github.com/jujuberamp/jujuberamp/internal/stand/vmlist"
)

// TestSubmitRefuses submits one valid job and then jobs that must be refused.
// The run counter of the service shows that no refused job was executed.
func TestSubmitRefuses(t *testing.T) {
	c := qt.New(t)
	clk := clock.NewSystem()
	runs := plain.NewRunCounter()
	a, err := New(Params{
		Node: "agent-1", InnerAddr: "127.0.0.1:0", Key: []byte("0123456789abcdef"), Slots: 4, Service: "pages",
		ReportInterval: clock.Second, AnswerRetention: clock.Minute, Clock: clk, Log: zerolog.Nop(), Meter: noop.Meter{},
		Plain: plain.New(runs, 0), VMs: vmlist.New(clk, 0),
	})
	c.Assert(err, qt.IsNil)
	defer a.Close()
	s := &service{a}
	claim := func(offset int64, key string) wire.Claim {
		return wire.Claim{Stream: "claims-1", Offset: offset, Key: key, Boot: uint64(a.Incarnation())}
	}
	stale := claim(9, "k9")
	stale.Boot++
	var settled wire.SettleReply
	hello := wire.NewHello("entry-1", 1)
	c.Assert(s.Settle(&wire.SettleArgs{Hello: hello, Claim: claim(8, "k8")}, &settled), qt.IsNil)
	c.Assert(settled.State, qt.Equals, "refused")

	job := func(attempt string, cl wire.Claim) wire.Job {
		return wire.Job{Attempt: attempt, Service: "pages", Call: true, Once: true, Body: []byte(attempt), Claim: cl}
	}
	var first wire.SubmitReply
	c.Assert(s.Submit(&wire.SubmitArgs{Hello: hello, Job: job("first", claim(1, "k1"))}, &first), qt.IsNil)
	c.Assert(first.Fault.Err(), qt.IsNil)

	model := job("model", claim(3, "k3"))
	model.Call = false
	other := job("other", claim(4, "k4"))
	other.Service = "maps"
	tests := map[string]struct {
		hello wire.Hello
		job   wire.Job
		want  fault.Kind
	}{
		"another protocol":                 {wire.Hello{Protocol: 99, Node: "entry-1"}, job("a", claim(2, "k2")), fault.BadPeer},
		"no claim":                         {hello, job("b", wire.Claim{}), fault.BadRequest},
		"attempt used before":              {hello, job("first", claim(5, "k5")), fault.StaleAttempt},
		"claim used before":                {hello, job("c", claim(1, "k1")), fault.OutcomeUnknown},
		"key used under claim 1":           {hello, job("d", claim(6, "k1")), fault.OutcomeUnknown},
		"claim for an earlier incarnation": {hello, job("e", stale), fault.ClaimRefused},
		"claim settled before":             {hello, job("f", claim(8, "k8")), fault.ClaimRefused},
		"a model's work":                   {hello, model, fault.NoBackend},
		"another service's work":           {hello, other, fault.NoBackend},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var r wire.SubmitReply
			qt.Assert(t, s.Submit(&wire.SubmitArgs{Hello: tc.hello, Job: tc.job}, &r), qt.IsNil)
			qt.Assert(t, r.Fault.Kind, qt.Equals, string(tc.want))
			if tc.job.Attempt != "first" {
				qt.Assert(t, runs.Runs(tc.job.Attempt), qt.Equals, 0)
			}
		})
	}
	// The claim of a job that was refused for another reason stays refused.
	var late wire.SubmitReply
	c.Assert(s.Submit(&wire.SubmitArgs{Hello: hello, Job: job("late", claim(4, "k4"))}, &late), qt.IsNil)
	c.Assert(late.Fault.Kind, qt.Equals, string(fault.ClaimRefused))
}

// Every call of the inner protocol must be refused if its sender speaks another version.
func TestFetchChecksTheProtocol(t *testing.T) {
	c := qt.New(t)
	var r wire.FetchReply
	c.Assert((&service{}).Fetch(&wire.FetchArgs{Hello: wire.Hello{Protocol: 99, Node: "entry-1"}, Attempt: "a"}, &r), qt.IsNil)
	c.Check(fault.Is(r.Fault.Err(), fault.BadPeer), qt.IsTrue)
}
