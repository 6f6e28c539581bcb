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

// The intervals are the defaults of the command line.
const (
	benchPollInterval   = clock.Second
	benchReportInterval = 500 * clock.Milli
	benchIdleTime       = 10 * time.Second
	benchChanges        = 20 // changes per measurement
)

// countingListener counts the bytes of all accepted connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// countingConn counts the bytes of one connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// benchCluster is a fake platform on loopback and the nodes that receive the
// configuration.
type benchCluster struct {
	c             *qt.C
	clock         clock.Clock
	url           string
	platformBytes atomic.Int64 // bytes exchanged with the platform
	innerBytes    []func() int64
	offsets       []func() ident.Offset
	vms           *vmlist.List
	author        *Entry
}

func newBenchCluster(b *testing.B) *benchCluster {
	clk := clock.NewSystem()
	bc := &benchCluster{c: qt.New(b), clock: clk, vms: vmlist.New(clk, 0)}
	srv := httptest.NewUnstartedServer(serve.Platform(logsvc.New(clk, logsvc.Params{}), bc.vms, weight.New(clk, 6)))
	srv.Listener = countingListener{srv.Listener, &bc.platformBytes}
	srv.Start()
	b.Cleanup(srv.Close)
	bc.url = srv.URL
	return bc
}

func (bc *benchCluster) startEntry(b *testing.B, i int) {
	e, err := New(Params{
		Node: ident.Node(fmt.Sprintf("entry-%d", i)), Zone: "z", Region: "r",
		HTTPAddr: anyPort, InnerAddr: anyPort, Key: []byte(testKey), PollInterval: benchPollInterval,
		Roster: roster.DefaultPolicy(), Policy: match.DefaultPolicy(), Clock: bc.clock, Log: zerolog.Nop(),
		Meter: noop.Meter{}, Metrics: http.NotFoundHandler(), Source: client.NewLog(bc.url), VMs: client.NewVMs(bc.url),
	})
	bc.c.Assert(err, qt.IsNil)
	go e.Run(b.Context())
	b.Cleanup(e.Close)
	bc.vms.Put(plat.VM{Node: e.p.Node, Role: plat.RoleEntry, Addr: e.Addr(), Zone: "z", Region: "r"})
	bc.innerBytes = append(bc.innerBytes, e.InnerBytes)
	bc.offsets = append(bc.offsets, func() ident.Offset { return e.config.State().Offset() })
	bc.author = e
}

func (bc *benchCluster) startAgent(b *testing.B, i int) {
	n := ident.Node(fmt.Sprintf("agent-%d", i))
	a, err := agent.New(agent.Params{
		Node: n, Zone: "z", Region: "r", InnerAddr: anyPort, Key: []byte(testKey), Slots: 4, Service: "s",
		ReportInterval: benchReportInterval, PollInterval: benchPollInterval, AnswerRetention: clock.Minute,
		Clock: bc.clock, Log: zerolog.Nop(), Meter: noop.Meter{}, VMs: client.NewVMs(bc.url),
		Plain: plain.New(plain.NewRunCounter(), 0),
	})
	bc.c.Assert(err, qt.IsNil)
	go a.Run(b.Context())
	b.Cleanup(a.Close)
	bc.vms.Put(plat.VM{Node: n, Role: plat.RoleAgent, Addr: a.Addr(), Zone: "z", Region: "r"})
	bc.innerBytes = append(bc.innerBytes, a.InnerBytes)
	bc.offsets = append(bc.offsets, a.ConfigOffset)
}

// startPoller starts a node that polls the log itself, as a baseline.
func (bc *benchCluster) startPoller(ctx context.Context) {
	r := ledger.NewReader()
	var offset atomic.Int64
	bc.offsets = append(bc.offsets, func() ident.Offset { return ident.Offset(offset.Load()) })
	log := client.NewLog(bc.url)
	go func() {
		t := time.NewTicker(benchPollInterval.Duration())
		defer t.Stop()
		for ctx.Err() == nil {
			batch, err := log.Read(ctx, record.ConfigStream, r.NextOffset(), 256, 0)
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

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (bc *benchCluster) totalBytes() int64 {
	sum := bc.platformBytes.Load()
	for _, fn := range bc.innerBytes {
		sum += fn()
	}
	return sum
}

// change publishes a change and returns the time until all nodes have received it.
func (bc *benchCluster) change(lateness clock.Millis) time.Duration {
	st := bc.author.config.State()
	rev, err := bc.author.config.Change(context.Background(), classChange(st.Revision("a"), lateness))
	bc.c.Assert(err, qt.IsNil)
	accepted := time.Now()
	for _, offset := range bc.offsets {
		for offset() < rev {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(accepted)
}

// measure reports the time until a change is in force on all nodes, and the cost
// of the nodes while nothing changes.
func (bc *benchCluster) measure(b *testing.B) {
	bc.change(1) // returns when all nodes are up and have received the change
	time.Sleep(2 * benchPollInterval.Duration())
	for b.Loop() {
		var delays []time.Duration
		for i := range benchChanges {
			time.Sleep(time.Duration(i*271%1000) * time.Millisecond) // varies the phase relative to the nodes' polls
			delays = append(delays, bc.change(clock.Millis(2+i)))
		}
		slices.Sort(delays)
		b.ReportMetric(1000*delays[len(delays)/2].Seconds(), "median-ms")
		b.ReportMetric(1000*delays[len(delays)-1].Seconds(), "max-ms")
		nodes := float64(len(bc.offsets))
		bytesBefore, cpuBefore, platformBefore := bc.totalBytes(), cpuTime(), bc.platformBytes.Load()
		time.Sleep(benchIdleTime)
		b.ReportMetric(float64(bc.totalBytes()-bytesBefore)/nodes/benchIdleTime.Seconds(), "B/s/node")
		b.ReportMetric(float64(bc.platformBytes.Load()-platformBefore)/nodes/benchIdleTime.Seconds(), "platform-B/s/node")
		b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/nodes/benchIdleTime.Seconds(), "core-%/node")
	}
}

// BenchmarkSpread measures how fast a configuration change reaches all nodes and
// what this costs, compared with nodes that all poll the log. The fakes run in
// the same process, so their CPU time is included.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{3, 0}, {3, 9}, {10, 90}} {
		nodes := size.entries + size.agents
		b.Run(fmt.Sprintf("product/%d", nodes), func(b *testing.B) {
			bc := newBenchCluster(b)
			for i := range size.entries {
				bc.startEntry(b, i)
			}
			for i := range size.agents {
				bc.startAgent(b, i)
			}
			bc.measure(b)
		})
		b.Run(fmt.Sprintf("polling/%d", nodes), func(b *testing.B) {
			bc := newBenchCluster(b)
			bc.startEntry(b, 0) // publishes the changes and is not measured
			bc.offsets, bc.innerBytes = nil, nil
			for range nodes {
				time.Sleep(benchPollInterval.Duration() / time.Duration(nodes))
				bc.startPoller(b.Context())
			}
			bc.measure(b)
		})
	}
}
