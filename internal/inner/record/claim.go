package record

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Claim asks for the right to run a request that may run at most once. With Refuses
// set it names no agent: its writer refuses the request for all sends of the key that
// are in progress.
type Claim struct {
	Key        string // digest of the caller and its idempotency key
	BodyDigest string // digest of the request
	KeyTime    int64  // time in the idempotency key, ms since 1970 by the caller's clock
	Agent      ident.Node
	Addr       string            // inner address of the agent
	Boot       ident.Incarnation // of the agent; no other incarnation may run the request
	Replaces   ident.Offset      // offset of the refused claim that this claim replaces, 0 for none
	Refuses    bool
}

// State is the state of a claim.
type State string

// The states of a claim.
const (
	Open    State = ""        // no outcome is known yet
	Done    State = "done"    // the request ran, and the outcome has its answer
	Refused State = "refused" // the request was not executed and never will be
	Unknown State = "lost"    // whether the request ran can't be determined any more
)

// Outcome records the outcome of a claim.
type Outcome struct {
	Key         string
	ClaimOffset ident.Offset // of the claim
	State       State
	Body        []byte // the answer, unless Truncated
	Truncated   bool   // the answer was too long for the log and is left out
	Detail      string // why the outcome is unknown
}

// ClaimRecord is one record of a stream of claims. Either Claim or Outcome is
// set.
type ClaimRecord struct {
	Writer  Writer
	Claim   *Claim
	Outcome *Outcome
}

type claimRecordMsg struct {
	Format  int         `json:"format"`
	Node    string      `json:"node"`
	Boot    uint64      `json:"boot,string"`
	Seq     uint64      `json:"seq"`
	Claim   *claimMsg   `json:"claim,omitempty"`
	Outcome *outcomeMsg `json:"outcome,omitempty"`
}

type claimMsg struct {
	Key        string `json:"key"`
	BodyDigest string `json:"body-digest"`
	KeyTimeMS  int64  `json:"time-ms"`
	Agent      string `json:"agent"`
	Addr       string `json:"addr"`
	Boot       uint64 `json:"boot,string"`
	Replaces   int64  `json:"after,omitempty"`
	Refuses    bool   `json:"refuses,omitempty"`
}

type outcomeMsg struct {
	Key         string `json:"key"`
	ClaimOffset int64  `json:"at"`
	State       string `json:"state"`
	Body        []byte `json:"body,omitempty"`
	Truncated   bool   `json:"cut,omitempty"`
	Detail      string `json:"detail,omitempty"`
}

// EncodeClaimRecord encodes a record of a stream of claims.
func EncodeClaimRecord(e ClaimRecord) ([]byte, error) {
	m := claimRecordMsg{Format: Format, Node: string(e.Writer.Node), Boot: uint64(e.Writer.Boot), Seq: e.Writer.Seq}
	if c := e.Claim; c != nil {
		m.Claim = &claimMsg{c.Key, c.BodyDigest, c.KeyTime, string(c.Agent), c.Addr, uint64(c.Boot), int64(c.Replaces), c.Refuses}
	}
	if o := e.Outcome; o != nil {
		m.Outcome = &outcomeMsg{o.Key, int64(o.ClaimOffset), string(o.State), o.Body, o.Truncated, o.Detail}
	}
	b, err := json.Marshal(m)
	return b, errors.Wrap(err, "encode claim record")
}

// DecodeClaimRecord decodes a record of a stream of claims. Claim records have no
// field "needs": a record in a newer format gives [ErrNewer].
func DecodeClaimRecord(data []byte) (ClaimRecord, error) {
	var m claimRecordMsg
	if err := json.Unmarshal(data, &m); err != nil {
		return ClaimRecord{}, errors.Wrap(err, "decode claim record")
	}
	if m.Format > Format {
		return ClaimRecord{}, ErrNewer
	}
	if (m.Claim == nil) == (m.Outcome == nil) {
		return ClaimRecord{}, errors.New("decode claim record: must have exactly one of claim and outcome")
	}
	e := ClaimRecord{Writer: Writer{ident.Node(m.Node), ident.Incarnation(m.Boot), m.Seq}}
	if c := m.Claim; c != nil {
		e.Claim = &Claim{c.Key, c.BodyDigest, c.KeyTimeMS, ident.Node(c.Agent), c.Addr, ident.Incarnation(c.Boot), ident.Offset(c.Replaces), c.Refuses}
	}
	if o := m.Outcome; o != nil {
		e.Outcome = &Outcome{o.Key, ident.Offset(o.ClaimOffset), State(o.State), o.Body, o.Truncated, o.Detail}
	}
	return e, nil
}
