package record

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Claim asks for the right to run one request that may run at most once.
type Claim struct {
	Key        string // digest of the caller and its idempotency key
	BodyDigest string // digest of the request
	KeyTime    int64  // of the idempotency key, ms since 1970 by the caller's clock
	Agent      ident.Node
	Addr       string            // inner address of the agent
	Boot       ident.Incarnation // of the agent; no other may run it
	Replaces   ident.Offset      // the refused claim that this one follows, 0 for the first
}

// State is what became of a claim.
type State string

// The states of a claim.
const (
	Open    State = ""        // no outcome is known
	Done    State = "done"    // it ran; the answer follows
	Refused State = "refused" // it is proven as not run and never will be
	Unknown State = "lost"    // nobody can tell any more whether it ran
)

// Outcome tells what became of a claim.
type Outcome struct {
	Key         string
	ClaimOffset ident.Offset // offset of the claim
	State       State
	Body        []byte // the answer, unless Cut
	Truncated   bool   // the answer was too long for the log
	Detail      string // why the outcome is lost
}

// ClaimRecord is one record of a stream of claims; exactly one part is set.
type ClaimRecord struct {
	Writer  Writer
	Claim   *Claim
	Outcome *Outcome
}

type eventMsg struct {
	Format  int         `json:"format"`
	Node    string      `json:"node"`
	Boot    uint64      `json:"boot,string"`
	Seq     uint64      `json:"seq"`
	Claim   *claimMsg   `json:"claim,omitempty"`
	Outcome *outcomeMsg `json:"outcome,omitempty"`
}

type claimMsg struct {
	Key    string `json:"key"`
	Body   string `json:"body-digest"`
	TimeMS int64  `json:"time-ms"`
	Agent  string `json:"agent"`
	Addr   string `json:"addr"`
	Boot   uint64 `json:"boot,string"`
	After  int64  `json:"after,omitempty"`
}

type outcomeMsg struct {
	Key    string `json:"key"`
	At     int64  `json:"at"`
	State  string `json:"state"`
	Body   []byte `json:"body,omitempty"`
	Cut    bool   `json:"cut,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// EncodeClaimRecord returns the bytes of a record of a stream of claims.
func EncodeClaimRecord(e ClaimRecord) ([]byte, error) {
	m := eventMsg{Format: Format, Node: string(e.Writer.Node), Boot: uint64(e.Writer.Boot), Seq: e.Writer.Seq}
	if c := e.Claim; c != nil {
		m.Claim = &claimMsg{c.Key, c.BodyDigest, c.KeyTime, string(c.Agent), c.Addr, uint64(c.Boot), int64(c.Replaces)}
	}
	if o := e.Outcome; o != nil {
		m.Outcome = &outcomeMsg{o.Key, int64(o.ClaimOffset), string(o.State), o.Body, o.Truncated, o.Detail}
	}
	b, err := json.Marshal(m)
	return b, errors.Wrap(err, "encode claim record")
}

// DecodeClaimRecord reads a record of a stream of claims.
func DecodeClaimRecord(data []byte) (ClaimRecord, error) {
	var m eventMsg
	if err := json.Unmarshal(data, &m); err != nil {
		return ClaimRecord{}, errors.Wrap(err, "decode claim record")
	}
	if m.Format > Format {
		return ClaimRecord{}, ErrNewer
	}
	if (m.Claim == nil) == (m.Outcome == nil) {
		return ClaimRecord{}, errors.New("decode claim record: must hold exactly one of claim and outcome")
	}
	e := ClaimRecord{Writer: Writer{ident.Node(m.Node), ident.Incarnation(m.Boot), m.Seq}}
	if c := m.Claim; c != nil {
		e.Claim = &Claim{c.Key, c.Body, c.TimeMS, ident.Node(c.Agent), c.Addr, ident.Incarnation(c.Boot), ident.Offset(c.After)}
	}
	if o := m.Outcome; o != nil {
		e.Outcome = &Outcome{o.Key, ident.Offset(o.At), State(o.State), o.Body, o.Cut, o.Detail}
	}
	return e, nil
}
