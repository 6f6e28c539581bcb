package size

import (
	"encoding/json"
	"flag"
	"math"
	"net"
	"net/rpc"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/ledger"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// countingConn counts the bytes that a connection transfers in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// packetHeaderBytes is the size of the headers of a packet: Ethernet, IPv4 and TCP
// with time stamps.
const packetHeaderBytes = 66

// fakeEntry answers like an entry in the steady state.
type fakeEntry struct{ versions []wire.Announced }

// Report answers with the announced versions.
func (e fakeEntry) Report(_ *wire.ReportArgs, r *wire.ReportReply) error {
	r.Versions = e.versions
	return nil
}

// Demand acknowledges a message about demand.
func (fakeEntry) Demand(*wire.DemandArgs, *wire.Ack) error { return nil }

// Peer answers like a peer that knows the same versions.
func (fakeEntry) Peer(_ *wire.PeerArgs, r *wire.PeerReply) error {
	r.Node, r.Boot, r.Offset, r.Fresh = "entry-123", 1<<62, 100_000, 900
	return nil
}

func hello() wire.Hello {
	return wire.Hello{Protocol: wire.Protocol, Node: "agent-1234", Boot: 1 << 62}
}

func reportArgs(seq int) *wire.ReportArgs {
	return &wire.ReportArgs{
		Hello: hello(), Addr: "10.10.200.201:7401", Zone: "zone-a", Region: "main", Seq: uint64(1_000_000 + seq),
		Hosted: wire.Hosted{Service: "notice-model", Version: 4000}, Running: 12, Waiting: 3, Slots: 16,
		Rate: 333.25, First: 120, Config: 100_000,
	}
}

func peerArgs(vs []wire.Announced) *wire.PeerArgs {
	return &wire.PeerArgs{Hello: hello(), Addr: "10.10.200.201:7401", Zone: "zone-a", Region: "main", Config: 100_000, Versions: vs}
}

// announcedVersions returns n versions.
func announcedVersions(n int) []wire.Announced {
	var out []wire.Announced
	for range n {
		out = append(out, wire.Announced{Model: "notice-model", Version: 4000})
	}
	return out
}

// Parameters of callBytes.
const (
	warmupCalls    = 10 // first calls, which also transfer the type descriptions of gob
	measuredCalls  = 200
	packetsPerCall = 4 // request, reply and their acknowledgements
)

// callBytes returns the bytes of one call in the steady state, with the headers of
// its packets.
func callBytes(c *qt.C, versions int, call func(cl *rpc.Client, i int, vs []wire.Announced) error) float64 {
	var bytes atomic.Int64
	here, there := net.Pipe()
	srv := rpc.NewServer()
	vs := announcedVersions(versions)
	c.Assert(srv.RegisterName("Entry", fakeEntry{vs}), qt.IsNil)
	go srv.ServeConn(there)
	cl := rpc.NewClient(countingConn{here, &bytes})
	defer func() { _ = cl.Close() }()
	for i := range warmupCalls + measuredCalls {
		if i == warmupCalls {
			bytes.Store(0)
		}
		c.Assert(call(cl, i, vs), qt.IsNil)
	}
	return float64(bytes.Load())/measuredCalls + packetsPerCall*packetHeaderBytes
}

func callReport(cl *rpc.Client, i int, _ []wire.Announced) error {
	return cl.Call("Entry.Report", reportArgs(i), &wire.ReportReply{})
}

func callPeer(cl *rpc.Client, _ int, vs []wire.Announced) error {
	return cl.Call("Entry.Peer", peerArgs(vs), &wire.PeerReply{})
}

// callDemand sends the work of one model for each version.
func callDemand(cl *rpc.Client, _ int, vs []wire.Announced) error {
	args := wire.DemandArgs{Hello: hello()}
	for _, v := range vs {
		args.Work = append(args.Work, wire.Demand{Service: v.Model, Work: 12})
	}
	return cl.Call("Entry.Demand", &args, &wire.Ack{})
}

// capacityPage holds the table. With -update, the test writes the table into it.
const capacityPage = "../../../docs/CAPACITY.md"

// The table is between these lines of the page.
const (
	tableStart = "<!-- table of internal/proof/size -->\n"
	tableEnd   = "<!-- end of the table -->\n"
)

var update = flag.Bool("update", false, "rewrite the table of docs/CAPACITY.md")

// measureUnitCosts measures the unit costs. Those of calls are rounded to bytes.
func measureUnitCosts(c *qt.C) UnitCosts {
	const manyVersions = 20
	vm, err := json.Marshal(vms(4300))
	c.Assert(err, qt.IsNil)
	rec, err := record.Encode(changeRecord(c, 1))
	c.Assert(err, qt.IsNil)
	st := ledger.New()
	for i := range 100 {
		st.Apply(ident.Offset(i+1), changeRecord(c, i))
	}
	sn := st.Snapshot()
	classes, err := record.Encode(record.Record{Snapshot: &sn})
	c.Assert(err, qt.IsNil)
	withoutVersions, withVersions := callBytes(c, 0, callPeer), callBytes(c, manyVersions, callPeer)
	return UnitCosts{
		Report:     math.Round(callBytes(c, 1, callReport)),
		Peer:       math.Round(withoutVersions),
		Demand:     math.Round(callBytes(c, RequiredTarget().Models, callDemand)),
		Version:    (withVersions - withoutVersions) / manyVersions,
		VM:         float64(len(vm)) / 4300,
		FullConfig: float64(len(classes)),
		Change:     float64(len(rec)) + packetsPerCall*packetHeaderBytes,
	}
}

// TestTableIsOnThePage compares the table in docs/CAPACITY.md with the measured
// unit costs.
func TestTableIsOnThePage(t *testing.T) {
	c := qt.New(t)
	costs := measureUnitCosts(c)
	t.Logf("%+v", costs)
	target := RequiredTarget()
	want := Table(target, costs, FullMesh(target), Current(target), Planned())
	b, err := os.ReadFile(capacityPage)
	c.Assert(err, qt.IsNil)
	head, rest, ok := strings.Cut(string(b), tableStart)
	c.Assert(ok, qt.IsTrue)
	got, tail, ok := strings.Cut(rest, tableEnd)
	c.Assert(ok, qt.IsTrue)
	if *update {
		c.Assert(os.WriteFile(capacityPage, []byte(head+tableStart+want+tableEnd+tail), 0o644), qt.IsNil)
		return
	}
	c.Assert(tablesNearlyEqual(got, want), qt.IsTrue, qt.Commentf("run: go test ./internal/proof/size -run Table -update\n%s", want))
}

// tablesNearlyEqual compares two tables. Numbers may differ by a tenth, so that a
// small new field in a message requires no change of the page.
func tablesNearlyEqual(a, b string) bool {
	as, bs := strings.Fields(a), strings.Fields(b)
	if len(as) != len(bs) {
		return false
	}
	for i := range as {
		x, err := strconv.ParseFloat(as[i], 64)
		if err != nil {
			x = math.NaN()
		}
		y, err := strconv.ParseFloat(bs[i], 64)
		if err != nil && as[i] != bs[i] || math.Abs(x-y) > 0.1*y {
			return false
		}
	}
	return true
}

// TestPlannedMeetsTheBound checks the planned topology against the bound on bytes
// per second for each role.
func TestPlannedMeetsTheBound(t *testing.T) {
	c := qt.New(t)
	target := RequiredTarget()
	rows := Rows(target, Planned(), measureUnitCosts(c))
	for _, r := range roles {
		c.Check(BytesOf(rows, r) <= target.MaxBytesPerSecond, qt.IsTrue, qt.Commentf("%s: %.0f bytes/s", r, BytesOf(rows, r)))
	}
}
