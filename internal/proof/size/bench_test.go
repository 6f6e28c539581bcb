package size

import (
	"encoding/json"
	"fmt"
	"net"
	"net/rpc"
	"runtime"
	"testing"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
	"github.com/jujuberamp/jujuberamp/internal/decide/ledger"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/place"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

func node(i int) ident.Node { return ident.Node(fmt.Sprintf("agent-%04d", i)) }

func server(i int) match.Server {
	return match.Server{Node: node(i), Addr: "10.10.200.201:7401", Zone: zone(i), Region: "main", Service: "notice-model", Version: 17, Slots: 16}
}

func zone(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%02d", i%13)) }

// BenchmarkReport is one report over net/rpc, both sides, without a socket.
func BenchmarkReport(b *testing.B) {
	here, there := net.Pipe()
	srv := rpc.NewServer()
	_ = srv.RegisterName("Entry", entry{announced(1)})
	go srv.ServeConn(there)
	cl := rpc.NewClient(here)
	defer func() { _ = cl.Close() }()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_ = cl.Call("Entry.Report", report(i), &wire.ReportReply{})
	}
}

// BenchmarkMatchReport is what the matcher does with one report.
func BenchmarkMatchReport(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := match.New(match.DefaultPolicy())
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m.Report(clock.Second, match.Server{Node: node(i % n), Service: "notice-model", Slots: 16, Running: i % 16})
			}
		})
	}
}

// BenchmarkDecision is one request from its arrival to its end in the matcher,
// at a number of candidates that are half full.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := match.New(match.DefaultPolicy())
			now := clock.Minute
			for i := range n {
				m.Report(now, server(i))
			}
			id := uint64(0)
			arrive := func() {
				id++
				_ = m.Enqueue(now, match.Item{ID: id, Class: "live-draft", Service: "notice-model", StartBy: now + clock.Second, FinishBy: now + clock.Minute, MaxTokens: 200})
			}
			var running []match.Grant
			for range 8 * n {
				arrive()
				gs, _ := m.Dispatch(now)
				running = append(running, gs...)
			}
			b.ReportAllocs()
			for b.Loop() {
				arrive()
				gs, _ := m.Dispatch(now)
				running = append(running, gs...)
				m.Finish(now, running[0].Item, running[0].Node, match.Result{Outcome: match.Served})
				running = running[1:]
			}
		})
	}
}

// BenchmarkServerMemory reports what the matcher holds for one server.
func BenchmarkServerMemory(b *testing.B) {
	for b.Loop() {
		m := match.New(match.DefaultPolicy())
		b.ReportMetric(held(func() any {
			for i := range 1000 {
				m.Report(clock.Minute, server(i))
			}
			return m
		})/1000, "B/server")
	}
}

// BenchmarkMemberMemory reports what a node holds for one line of the VM list.
func BenchmarkMemberMemory(b *testing.B) {
	for b.Loop() {
		r := roster.New(roster.DefaultPolicy(), roster.Member{Node: "entry-1", Entry: true})
		b.ReportMetric(held(func() any {
			var ms []roster.Member
			for i := range 4300 {
				ms = append(ms, roster.Member{Node: node(i), Addr: "10.10.200.201:7401", Zone: zone(i), Region: "main"})
			}
			r.SetListed(clock.Minute, ms)
			return r
		})/4300, "B/member")
	}
}

// held returns how many bytes stay in use after fill.
func held(fill func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkSwapNext is one decision about the swaps of a model.
func BenchmarkSwapNext(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var ss []swap.Server
			for i := range n {
				ss = append(ss, swap.Server{Node: node(i), Zone: zone(i), Version: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, g := range swap.Groups(swap.DefaultPolicy(), ss) {
					_ = swap.Next(clock.Second, swap.DefaultPolicy(), 2, g)
				}
			}
		})
	}
}

// BenchmarkPlaceNext is one decision of the lease holder over all engines.
func BenchmarkPlaceNext(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var es []place.Engine
			for i := range n {
				es = append(es, place.Engine{Node: node(i), Zone: zone(i), Model: ident.Service(fmt.Sprint("model-", i%23))})
			}
			var ds []place.Demand
			for i := range 23 {
				ds = append(ds, place.Demand{Model: ident.Service(fmt.Sprint("model-", i)), Load: float64(10 + i)})
			}
			st := place.New(place.DefaultPolicy())
			b.ReportAllocs()
			for b.Loop() {
				_, _ = st.Next(clock.Second, es, ds)
			}
		})
	}
}

// BenchmarkOwner is the choice of a round's owner.
func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{3, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var ns []ident.Node
			for i := range n {
				ns = append(ns, node(i))
			}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = spread.Owner("round/trainer-1/step-17", ns)
			}
		})
	}
}

const (
	groups       = 256
	perGroup     = 8
	sampleTokens = 1024
)

func spec() round.Spec {
	s := round.Spec{ID: "trainer-1/step-17", Version: 17, Staleness: 1, SamplesPerGroup: perGroup}
	for range groups {
		s.Prompts = append(s.Prompts, make([]byte, 1024))
	}
	return s
}

func sample(i int) round.Sample {
	return round.Sample{Ordinal: i, Attempt: ident.NewAttempt(), Node: "agent-1234", Tokens: make([]uint32, sampleTokens), Spans: []model.Span{{Version: 17, To: sampleTokens}}}
}

// full returns a round whose samples are all made.
func full() *round.State {
	s := spec()
	st := round.New(clock.Second, s, round.NewCursor(s.Total()))
	st.Start(clock.Second, s.Total())
	for i := range s.Total() {
		st.Complete(sample(i), false)
	}
	return st
}

// BenchmarkRoundMemory reports what one finished sample and one round hold.
func BenchmarkRoundMemory(b *testing.B) {
	for b.Loop() {
		bytes := held(func() any { return full() })
		b.ReportMetric(bytes/(groups*perGroup), "B/sample")
		b.ReportMetric(bytes/1e6, "MB/round")
	}
}

// BenchmarkRoundStart is one look at what a round of 2,048 samples may start.
func BenchmarkRoundStart(b *testing.B) {
	st := full()
	b.ReportAllocs()
	for b.Loop() {
		_ = st.Start(clock.Second, 64)
	}
}

// BenchmarkRoundRead is one page of 256 samples with its cursor.
func BenchmarkRoundRead(b *testing.B) {
	st := full()
	seal := round.NewCursorCodec([]byte("key"), st.Spec())
	cur := round.NewCursor(st.Spec().Total())
	b.ReportAllocs()
	for b.Loop() {
		_ = seal.Encode(st.Read(cur, 17, 256).Cursor)
	}
	b.ReportMetric(float64(len(seal.Encode(cur))), "B/cursor")
}

// fataler ends a test or a benchmark.
type fataler interface{ Fatal(args ...any) }

func change(b fataler, i int) record.Record {
	c, err := class.New(class.Params{
		Name: ident.Class(fmt.Sprint("live-draft-", i)), Kind: class.Draft, Service: "notice-model",
		Lateness: 20 * clock.Second, Waiting: 500, MaxTokens: 1024,
	})
	if err != nil {
		b.Fatal(err)
	}
	return record.Record{
		Writer: record.Writer{Node: "entry-123", Boot: 1 << 62, Seq: uint64(i) + 1},
		Change: &record.Change{Author: "operator-1", Comment: "more time for drafts", Edits: []record.Edit{{Name: c.Name(), Class: c}}},
	}
}

// BenchmarkChange is one change taken in by a follower, at a number of classes.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			st := ledger.New()
			for i := range n {
				st.Apply(ident.Offset(i+1), change(b, i))
			}
			data, _ := record.Encode(change(b, n))
			b.ReportAllocs()
			for b.Loop() {
				next := st.Clone()
				r, _ := record.Decode(data)
				next.Apply(ident.Offset(n+1), r)
			}
			sn := st.Snapshot()
			all, _ := record.Encode(record.Record{Snapshot: &sn})
			b.ReportMetric(float64(len(data)), "B/change")
			b.ReportMetric(float64(len(all)), "B/snapshot")
		})
	}
}

func vms(n int) []codec.VM {
	var out []codec.VM
	for i := range n {
		out = append(out, codec.FromVM(plat.VM{Node: node(i), Role: plat.RoleAgent, Addr: "10.10.200.201:7401", Zone: zone(i), Region: "main"}))
	}
	return out
}

// BenchmarkList is the decoding of the VM list.
func BenchmarkList(b *testing.B) {
	data, _ := json.Marshal(vms(4300))
	b.ReportAllocs()
	for b.Loop() {
		var out []codec.VM
		_ = json.Unmarshal(data, &out)
	}
	b.ReportMetric(float64(len(data))/4300, "B/VM")
}
