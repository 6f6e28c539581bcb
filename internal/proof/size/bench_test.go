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

// server returns a server with the usual sizes of its fields.
func server(i int) match.Server {
	return match.Server{
		Node: node(i), Addr: "10.10.200.201:7401", Zone: zone(i), Region: "main",
		Service: "notice-model", Version: 17, Slots: 16,
	}
}

func zone(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%02d", i%13)) }

// BenchmarkReport measures one report over net/rpc on both sides, without a socket.
func BenchmarkReport(b *testing.B) {
	clientConn, serverConn := net.Pipe()
	srv := rpc.NewServer()
	_ = srv.RegisterName("Entry", fakeEntry{announcedVersions(1)})
	go srv.ServeConn(serverConn)
	cl := rpc.NewClient(clientConn)
	defer func() { _ = cl.Close() }()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_ = cl.Call("Entry.Report", reportArgs(i), &wire.ReportReply{})
	}
}

// BenchmarkMatchReport measures how the matcher handles one report.
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

// BenchmarkDecision measures one request in the matcher from its arrival to its
// end, with candidate engines that have half of their slots in use.
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
				_ = m.Enqueue(now, match.Item{
					ID: id, Class: "live-draft", Service: "notice-model",
					StartBy: now + clock.Second, FinishBy: now + clock.Minute, MaxTokens: 200,
				})
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

// BenchmarkServerMemory reports the memory of the matcher for one server.
func BenchmarkServerMemory(b *testing.B) {
	for b.Loop() {
		m := match.New(match.DefaultPolicy())
		b.ReportMetric(heapBytes(func() any {
			for i := range 1000 {
				m.Report(clock.Minute, server(i))
			}
			return m
		})/1000, "B/server")
	}
}

// BenchmarkMemberMemory reports the memory of a node for one VM of the VM list.
func BenchmarkMemberMemory(b *testing.B) {
	for b.Loop() {
		r := roster.New(roster.DefaultPolicy(), roster.Member{Node: "entry-1", Entry: true})
		b.ReportMetric(heapBytes(func() any {
			var ms []roster.Member
			for i := range 4300 {
				ms = append(ms, roster.Member{Node: node(i), Addr: "10.10.200.201:7401", Zone: zone(i), Region: "main"})
			}
			r.SetListed(clock.Minute, ms)
			return r
		})/4300, "B/member")
	}
}

// heapBytes returns the size of the value that fill returns, with all that it
// refers to on the heap.
func heapBytes(fill func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkSwapNext measures one decision about the weight swaps of a model.
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

// BenchmarkPlaceNext measures one placement decision of the lease holder over all
// engines.
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

// BenchmarkOwner measures the choice of a round's owner.
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

// Sizes of the measured round.
const (
	groupCount      = 256
	samplesPerGroup = 8
	sampleTokens    = 1024
)

func spec() round.Spec {
	s := round.Spec{ID: "trainer-1/step-17", Version: 17, Staleness: 1, SamplesPerGroup: samplesPerGroup}
	for range groupCount {
		s.Prompts = append(s.Prompts, make([]byte, 1024))
	}
	return s
}

func sample(i int) round.Sample {
	return round.Sample{
		Ordinal: i,
		Attempt: ident.NewAttempt(),
		Node:    "agent-1234",
		Tokens:  make([]uint32, sampleTokens),
		Spans:   []model.Span{{Version: 17, To: sampleTokens}},
	}
}

// completeRound returns a round that has results for all samples.
func completeRound() *round.State {
	s := spec()
	st := round.New(clock.Second, s, round.NewCursor(s.Total()))
	st.Start(clock.Second, s.Total())
	for i := range s.Total() {
		st.Complete(sample(i), false)
	}
	return st
}

// BenchmarkRoundMemory reports the memory of one finished sample and of a whole
// round.
func BenchmarkRoundMemory(b *testing.B) {
	for b.Loop() {
		bytes := heapBytes(func() any { return completeRound() })
		b.ReportMetric(bytes/(groupCount*samplesPerGroup), "B/sample")
		b.ReportMetric(bytes/1e6, "MB/round")
	}
}

// BenchmarkRoundStart measures the choice of samples to start in a complete round
// of 2,048 samples.
func BenchmarkRoundStart(b *testing.B) {
	st := completeRound()
	b.ReportAllocs()
	for b.Loop() {
		_ = st.Start(clock.Second, 64)
	}
}

// BenchmarkRoundRead measures reading one page of 256 samples with its cursor.
func BenchmarkRoundRead(b *testing.B) {
	st := completeRound()
	cursorCodec := round.NewCursorCodec([]byte("key"), st.Spec())
	cur := round.NewCursor(st.Spec().Total())
	b.ReportAllocs()
	for b.Loop() {
		_ = cursorCodec.Encode(st.Read(cur, 17, 256).Cursor)
	}
	b.ReportMetric(float64(len(cursorCodec.Encode(cur))), "B/cursor")
}

// fataler is the part of tests and benchmarks that changeRecord needs.
type fataler interface{ Fatal(args ...any) }

// changeRecord returns the record of a change that defines the class with number i.
func changeRecord(b fataler, i int) record.Record {
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

// BenchmarkChange measures how a follower applies one change, for several numbers
// of classes.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			st := ledger.New()
			for i := range n {
				st.Apply(ident.Offset(i+1), changeRecord(b, i))
			}
			data, _ := record.Encode(changeRecord(b, n))
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

// vms returns a VM list of n agents.
func vms(n int) []codec.VM {
	var out []codec.VM
	for i := range n {
		out = append(out, codec.FromVM(plat.VM{Node: node(i), Role: plat.RoleAgent, Addr: "10.10.200.201:7401", Zone: zone(i), Region: "main"}))
	}
	return out
}

// BenchmarkList measures decoding the VM list.
func BenchmarkList(b *testing.B) {
	data, _ := json.Marshal(vms(4300))
	b.ReportAllocs()
	for b.Loop() {
		var out []codec.VM
		_ = json.Unmarshal(data, &out)
	}
	b.ReportMetric(float64(len(data))/4300, "B/VM")
}
