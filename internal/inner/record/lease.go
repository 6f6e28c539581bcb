package record

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// LeaseStream returns the stream of a lease; each lease has its own.
func LeaseStream(name string) string { return "lease-" + name }

// LeaseKind tells what a record of a lease does.
type LeaseKind string

// The kinds of lease records.
const (
	Bid     LeaseKind = "bid"     // takes the lease
	Renew   LeaseKind = "renew"   // the holder keeps it
	Release LeaseKind = "release" // the holder gives it up
)

// Lease is one record of a lease's stream.
type Lease struct {
	Kind         LeaseKind
	Node         ident.Node
	Boot         ident.Incarnation
	Seq          uint64       // of the writer
	LastRead     ident.Offset // last offset that the writer had read
	FencingToken ident.Offset // of the holder; 0 for a bid
	Term         clock.Millis // how long the lease lasts from the moment of sending
}

type leaseMsg struct {
	Format int    `json:"format"`
	Needs  int    `json:"needs"`
	Kind   string `json:"kind"`
	Node   string `json:"node"`
	Boot   uint64 `json:"boot,string"`
	Seq    uint64 `json:"seq"`
	Read   int64  `json:"read"`
	Fence  int64  `json:"fence,omitempty"`
	TermMS int64  `json:"term-ms"`
}

// EncodeLease returns the bytes of a lease record.
func EncodeLease(l Lease) ([]byte, error) {
	b, err := json.Marshal(leaseMsg{
		Format: Format,
		Needs:  oldest,
		Kind:   string(l.Kind),
		Node:   string(l.Node),
		Boot:   uint64(l.Boot),
		Seq:    l.Seq,
		Read:   int64(l.LastRead),
		Fence:  int64(l.FencingToken),
		TermMS: int64(l.Term),
	})
	return b, errors.Wrap(err, "encode lease record")
}

// DecodeLease reads a lease record. The error is [ErrNewer] for one that this
// program version must not pass over.
func DecodeLease(data []byte) (Lease, error) {
	var m leaseMsg
	if err := json.Unmarshal(data, &m); err != nil {
		return Lease{}, errors.Wrap(err, "decode lease record")
	}
	if m.Needs > Format {
		return Lease{}, ErrNewer
	}
	k := LeaseKind(m.Kind)
	if k != Bid && k != Renew && k != Release {
		return Lease{}, errors.Errorf("decode lease record: kind %q is not known", m.Kind)
	}
	return Lease{
		Kind:         k,
		Node:         ident.Node(m.Node),
		Boot:         ident.Incarnation(m.Boot),
		Seq:          m.Seq,
		LastRead:     ident.Offset(m.Read),
		FencingToken: ident.Offset(m.Fence),
		Term:         clock.Millis(m.TermMS),
	}, nil
}
