package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/ledger"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/edge/client"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/node/agent"
	"github.com/jujuberamp/jujuberamp/internal/stand/logsvc"
	"github.com/jujuberamp/jujuberamp/internal/stand/plain"
	"github.com/jujuberamp/jujuberamp/internal/stand/serve"
	"github.com/jujuberamp/jujuberamp/internal/stand/vmlist"
	"github.com/jujuberamp/jujuberamp/internal/stand/weight"
)

// The settings that the command line has by default.
const (
	benchPoll   = clock.Second
	benchReport = 500 * clock.Milli
	benchIdle   = 10 * time.Second
	benchTimes  = 20 // changes
)

// tally counts the bytes of all connections that a listener accepts.
type tally struct {
	net.Listener
	bytes *atomic.Int64
}

type tallied struct {
	net.Conn
	bytes *atomic.Int64
}

func (t tally) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	return tallied{c, t.bytes}, err
}

func (t tallied) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	t.bytes.Add(int64(n))
	return n, err
}

func (t tallied) Write(p []byte) (int, error) {
	n, err := t.Conn.Write(p)
	t.bytes.Add(int64(n))
	return n, err
}

// field is a platform on loopback with nodes that hold the configuration.
type field struct {
	c       *qt.C
	clock   clock.Clock
	url     string
	plat    atomic.Int64 // bytes exchanged with the platform
	inner   []func() int64
	offsets []func() ident.Offset
	vms     *vmlist.List
	writer  *Entry
}

func newField(b *testing.B) *field {
	clk := clock.NewSystem()
	f := &field{c: qt.New(b), clock: clk, vms: vmlist.New(clk, 0)}
	srv := httptest.NewUnstartedServer(serve.Platform(logsvc.New(clk, logsvc.Params{}), f.vms, weight.New(clk, 6)))
	srv.Listener = tally{srv.Listener, &f.plat}
	srv.Start()
	b.Cleanup(srv.Close)
	f.url = srv.URL
	return f
}

func (f *field) entry(b *testing.B, i int) {
	e, err := New(Params{
		Node: ident.Node(fmt.Sprintf("entry-%d", i)), Zone: "z", Region: "r", HTTPAddr: anyPort, InnerAddr: anyPort, Key: []byte(siteKey),
		PollInterval: benchPoll, Roster: roster.DefaultPolicy(), Policy: match.DefaultPolicy(), Clock: f.clock, Log: zerolog.Nop(),
		Meter: noop.Meter{}, Metrics: http.NotFoundHandler(), Source: client.NewLog(f.url), VMs: client.NewVMs(f.url),
	})
	f.c.Assert(err, qt.IsNil)
	go e.Run(b.Context())
	b.Cleanup(e.Close)
	f.vms.Put(plat.VM{Node: e.p.Node, Role: plat.RoleEntry, Addr: e.Addr(), Zone: "z", Region: "r"})
	f.inner = append(f.inner, e.InnerBytes)
	f.offsets = append(f.offsets, func() ident.Offset { return e.config.State().Offset() })
	f.writer = e
}

func (f *field) agent(b *testing.B, i int) {
	n := ident.Node(fmt.Sprintf("agent-%d", i))
	a, err := agent.New(agent.Params{
		Node: n, Zone: "z", Region: "r", InnerAddr: anyPort, Key: []byte(siteKey), Slots: 4, Service: "s", ReportInterval: benchReport, PollInterval: benchPoll,
		AnswerRetention: clock.Minute, Clock: f.clock, Log: zerolog.Nop(), Meter: noop.Meter{}, VMs: client.NewVMs(f.url),
		Plain: plain.New(plain.NewRunCounter(), 0),
	})
	f.c.Assert(err, qt.IsNil)
	go a.Run(b.Context())
	b.Cleanup(a.Close)
	f.vms.Put(plat.VM{Node: n, Role: plat.RoleAgent, Addr: a.Addr(), Zone: "z", Region: "r"})
	f.inner = append(f.inner, a.InnerBytes)
	f.offsets = append(f.offsets, a.ConfigOffset)
}

// poller is the simplest alternative: a node that reads the log by itself.
func (f *field) poller(ctx context.Context) {
	r := ledger.NewReader()
	var offset atomic.Int64
	f.offsets = append(f.offsets, func() ident.Offset { return ident.Offset(offset.Load()) })
	log := client.NewLog(f.url)
	go func() {
		t := time.NewTicker(benchPoll.Duration())
		defer t.Stop()
		for ctx.Err() == nil {
			batch, err := log.Read(ctx, record.Stream, r.Position(), 256, 0)
			for _, rec := range batch.Records {
				if d, err := record.Decode(rec.Data); err == nil {
					r.Apply(rec.Offset, d)
				}
			}
			if err == nil {
				offset.Store(int64(r.State().Offset()))
			}
			<-t.C
		}
	}()
}

// cpu returns the processor time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (f *field) bytes() int64 {
	sum := f.plat.Load()
	for _, fn := range f.inner {
		sum += fn()
	}
	return sum
}

// change publishes a change and returns the time until all nodes have it.
func (f *field) change(lateness clock.Millis) time.Duration {
	st := f.writer.config.State()
	rev, err := f.writer.config.Change(context.Background(), declared(st.Revision("a"), lateness))
	f.c.Assert(err, qt.IsNil)
	accepted := time.Now()
	for _, offset := range f.offsets {
		for offset() < rev {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(accepted)
}

// measure reports the time to be in force everywhere, and what the nodes cost
// without changes.
func (f *field) measure(b *testing.B) {
	f.change(1) // all nodes know each other afterwards
	time.Sleep(2 * benchPoll.Duration())
	for b.Loop() {
		var took []time.Duration
		for i := range benchTimes {
			time.Sleep(time.Duration(i*271%1000) * time.Millisecond) // at another phase of the nodes' polls each time
			took = append(took, f.change(clock.Millis(2+i)))
		}
		slices.Sort(took)
		b.ReportMetric(1000*took[len(took)/2].Seconds(), "median-ms")
		b.ReportMetric(1000*took[len(took)-1].Seconds(), "max-ms")
		nodes := float64(len(f.offsets))
		bytes, busy, plat := f.bytes(), cpu(), f.plat.Load()
		time.Sleep(benchIdle)
		b.ReportMetric(float64(f.bytes()-bytes)/nodes/benchIdle.Seconds(), "B/s/node")
		b.ReportMetric(float64(f.plat.Load()-plat)/nodes/benchIdle.Seconds(), "platform-B/s/node")
		b.ReportMetric(100*(cpu()-busy).Seconds()/nodes/benchIdle.Seconds(), "core-%/node")
	}
}

// BenchmarkSpread measures how a change reaches all nodes, and what the control
// costs, beside nodes that all poll the log. Stand-ins run in the same process
// and count as cost of the nodes.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{3, 0}, {3, 9}, {10, 90}} {
		nodes := size.entries + size.agents
		b.Run(fmt.Sprintf("product/%d", nodes), func(b *testing.B) {
			f := newField(b)
			for i := range size.entries {
				f.entry(b, i)
			}
			for i := range size.agents {
				f.agent(b, i)
			}
			f.measure(b)
		})
		b.Run(fmt.Sprintf("polling/%d", nodes), func(b *testing.B) {
			f := newField(b)
			f.entry(b, 0) // writes the changes, and is not counted
			f.offsets, f.inner = nil, nil
			for range nodes {
				time.Sleep(benchPoll.Duration() / time.Duration(nodes))
				f.poller(b.Context())
			}
			f.measure(b)
		})
	}
}
