package size

import (
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

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

func (e entry) Peer(_ *wire.PeerArgs, r *wire.PeerReply) error {
	r.Node, r.Boot, r.Offset, r.Fresh = "entry-123", 1<<62, 100_000, 900
	r.Versions = e.versions
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

func TestWireCosts(t *testing.T) {
	c := qt.New(t)
	r0, r20 := cost(c, 0, callReport), cost(c, 20, callReport)
	p0, p20 := cost(c, 0, callPeer), cost(c, 20, callPeer)
	t.Logf("report %.0f bytes, each version %.1f; peer %.0f, each version both ways %.1f", r0, (r20-r0)/20, p0, (p20-p0)/20)
}
