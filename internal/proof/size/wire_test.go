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

// counted counts the bytes of a connection in both directions.
type counted struct {
	net.Conn
	bytes  *atomic.Int64
	writes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	c.writes.Add(1)
	return n, err
}

// packet is the size of the headers of one packet: Ethernet, IPv4 and TCP
// with time stamps.
const packet = 66

// entry answers as an entry does in the steady state.
type entry struct{ versions []wire.Announced }

func (e entry) Report(_ *wire.ReportArgs, r *wire.ReportReply) error {
	r.Versions = e.versions
	return nil
}

func (entry) Demand(*wire.DemandArgs, *wire.Ack) error { return nil }

// Peer answers a peer that knows the same versions.
func (entry) Peer(_ *wire.PeerArgs, r *wire.PeerReply) error {
	r.Node, r.Boot, r.Offset, r.Fresh = "entry-123", 1<<62, 100_000, 900
	return nil
}

func hello() wire.Hello {
	return wire.Hello{Protocol: wire.Protocol, Node: "agent-1234", Boot: 1 << 62}
}

func report(seq int) *wire.ReportArgs {
	return &wire.ReportArgs{
		Hello: hello(), Addr: "10.10.200.201:7401", Zone: "zone-a", Region: "main", Seq: uint64(1_000_000 + seq),
		Hosted: wire.Hosted{Service: "notice-model", Version: 4000}, Running: 12, Waiting: 3, Slots: 16,
		Rate: 333.25, First: 120, Config: 100_000,
	}
}

func peer(vs []wire.Announced) *wire.PeerArgs {
	return &wire.PeerArgs{Hello: hello(), Addr: "10.10.200.201:7401", Zone: "zone-a", Region: "main", Config: 100_000, Versions: vs}
}

// announced returns n versions.
func announced(n int) []wire.Announced {
	var out []wire.Announced
	for range n {
		out = append(out, wire.Announced{Model: "notice-model", Version: 4000})
	}
	return out
}

const (
	warm    = 10 // calls that carry type descriptions
	counts  = 200
	perCall = 4 // packets: call, answer and their acknowledgements
)

// cost returns the bytes of one call in the steady state, with the headers of
// its packets.
func cost(c *qt.C, versions int, call func(cl *rpc.Client, i int, vs []wire.Announced) error) float64 {
	var bytes, writes atomic.Int64
	here, there := net.Pipe()
	srv := rpc.NewServer()
	vs := announced(versions)
	c.Assert(srv.RegisterName("Entry", entry{vs}), qt.IsNil)
	go srv.ServeConn(there)
	cl := rpc.NewClient(counted{here, &bytes, &writes})
	defer func() { _ = cl.Close() }()
	for i := range warm + counts {
		if i == warm {
			bytes.Store(0)
		}
		c.Assert(call(cl, i, vs), qt.IsNil)
	}
	return float64(bytes.Load())/counts + perCall*packet
}

func callReport(cl *rpc.Client, i int, _ []wire.Announced) error {
	return cl.Call("Entry.Report", report(i), &wire.ReportReply{})
}

func callPeer(cl *rpc.Client, _ int, vs []wire.Announced) error {
	return cl.Call("Entry.Peer", peer(vs), &wire.PeerReply{})
}

// callDemand tells the work of as many models as there are versions.
func callDemand(cl *rpc.Client, _ int, vs []wire.Announced) error {
	args := wire.DemandArgs{Hello: hello()}
	for _, v := range vs {
		args.Work = append(args.Work, wire.Demand{Service: v.Model, Work: 12})
	}
	return cl.Call("Entry.Demand", &args, &wire.Ack{})
}

// page holds the table; the test writes it anew with -update.
const page = "../../../docs/CAPACITY.md"

// The table stands between these lines of the page.
const (
	from = "<!-- table of internal/proof/size -->\n"
	to   = "<!-- end of the table -->\n"
)

var update = flag.Bool("update", false, "write the table of docs/CAPACITY.md anew")

// slopes measures what a message costs, rounded to bytes.
func slopes(c *qt.C) UnitCosts {
	const many = 20
	vm, err := json.Marshal(vms(4300))
	c.Assert(err, qt.IsNil)
	rec, err := record.Encode(change(c, 1))
	c.Assert(err, qt.IsNil)
	st := ledger.New()
	for i := range 100 {
		st.Apply(ident.Offset(i+1), change(c, i))
	}
	sn := st.Snapshot()
	classes, err := record.Encode(record.Record{Snapshot: &sn})
	c.Assert(err, qt.IsNil)
	p0, p20 := cost(c, 0, callPeer), cost(c, many, callPeer)
	return UnitCosts{
		Report:     math.Round(cost(c, 1, callReport)),
		Peer:       math.Round(p0),
		Demand:     math.Round(cost(c, RequiredTarget().Models, callDemand)),
		Version:    (p20 - p0) / many,
		VM:         float64(len(vm)) / 4300,
		FullConfig: float64(len(classes)),
		Change:     float64(len(rec)) + perCall*packet,
	}
}

func TestTableIsOnThePage(t *testing.T) {
	c := qt.New(t)
	s := slopes(c)
	t.Logf("%+v", s)
	l := RequiredTarget()
	want := Table(l, s, FullMesh(l), Current(l), Planned())
	b, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	head, rest, ok := strings.Cut(string(b), from)
	c.Assert(ok, qt.IsTrue)
	got, tail, ok := strings.Cut(rest, to)
	c.Assert(ok, qt.IsTrue)
	if *update {
		c.Assert(os.WriteFile(page, []byte(head+from+want+to+tail), 0o644), qt.IsNil)
		return
	}
	c.Assert(isNear(got, want), qt.IsTrue, qt.Commentf("run: go test ./internal/proof/size -run Table -update\n%s", want))
}

// isNear compares two tables; their numbers may differ by a tenth, so that a
// small field more in a message needs no change of the page.
func isNear(a, b string) bool {
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

func TestPlannedMeetsTheBound(t *testing.T) {
	c := qt.New(t)
	l := RequiredTarget()
	ls := Rows(l, Planned(), slopes(c))
	for _, r := range roles {
		c.Check(BytesOf(ls, r) <= l.MaxBytesPerSecond, qt.IsTrue, qt.Commentf("%s: %.0f bytes/s", r, BytesOf(ls, r)))
	}
}
