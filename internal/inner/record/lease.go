package record

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// LeaseStream returns the name of the stream of a lease. Each lease has a stream
// of its own.
func LeaseStream(name string) string { return "lease-" + name }

// LeaseKind is the kind of a lease record.
type LeaseKind string

// The kinds of lease records.
const (
	Bid     LeaseKind = "bid"     // asks for the lease
	Renew   LeaseKind = "renew"   // the holder extends the lease
	Release LeaseKind = "release" // the holder releases the lease
)

// Lease is one record of the stream of a lease.
type Lease struct {
	Kind         LeaseKind
	Node         ident.Node
	Boot         ident.Incarnation
	Seq          uint64       // number of the record at its writer
	LastRead     ident.Offset // last offset of the stream that the writer has read
	FencingToken ident.Offset // fencing token of the holder, 0 for a bid
	Term         clock.Millis // duration of the lease, counted from when the record is sent
}

type leaseMsg struct {
	Format       int    `json:"format"`
	Needs        int    `json:"needs"`
	Kind         string `json:"kind"`
	Node         string `json:"node"`
	Boot         uint64 `json:"boot,string"`
	Seq          uint64 `json:"seq"`
	LastRead     int64  `json:"read"`
	FencingToken int64  `json:"fence,omitempty"`
	TermMS       int64  `json:"term-ms"`
}

// EncodeLease encodes a lease record.
func EncodeLease(l Lease) ([]byte, error) {
	b, err := json.Marshal(leaseMsg{
		Format:       Format,
		Needs:        requiredFormat,
		Kind:         string(l.Kind),
		Node:         string(l.Node),
		Boot:         uint64(l.Boot),
		Seq:          l.Seq,
		LastRead:     int64(l.LastRead),
		FencingToken: int64(l.FencingToken),
		TermMS:       int64(l.Term),
	})
	return b, errors.Wrap(err, "encode lease record")
}

// DecodeLease decodes a lease record. It returns [ErrNewer] for a record that a
// newer program version wrote and that this one must not skip.
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
		return Lease{}, errors.Errorf("decode lease record: unknown kind %q", m.Kind)
	}
	return Lease{
		Kind:         k,
		Node:         ident.Node(m.Node),
		Boot:         ident.Incarnation(m.Boot),
		Seq:          m.Seq,
		LastRead:     ident.Offset(m.LastRead),
		FencingToken: ident.Offset(m.FencingToken),
		Term:         clock.Millis(m.TermMS),
	}, nil
}
