// Package codec holds the JSON forms of the messages that cross the outer
// edges: the platform, engines, plain services, callers, trainers and
// operators. Names are in kebab case. Domain types carry no tags; the
// functions here map them by hand.
//
// # Usage
//
//	err := json.NewEncoder(w).Encode(codec.FromStatus(st))
//	st := codec.ToStatus(msg)
package codec

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// Fault is the body of every error answer.
type Fault struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
	Remedy  string `json:"remedy"`
	AfterMS int64  `json:"retry-after-ms,omitempty"`
}

// FromFault maps an error; one that is no fault becomes internal.
func FromFault(err error) Fault {
	f, ok := fault.As(err)
	if !ok {
		f = fault.New(fault.Internal, err.Error())
	}
	return Fault{
		Kind:    string(f.Kind()),
		Outcome: f.Outcome().String(),
		Detail:  f.Detail(),
		Remedy:  f.Remedy(),
		AfterMS: int64(f.RetryAfter()),
	}
}

// Err maps the message back to a fault.
func (f Fault) Err() error {
	return fault.New(fault.Kind(f.Kind), f.Detail).WithRetryAfter(clock.Millis(f.AfterMS))
}

// WriteFault answers an HTTP request with an error.
func WriteFault(w http.ResponseWriter, err error) {
	m := FromFault(err)
	w.Header().Set("Content-Type", "application/json")
	if m.AfterMS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(clock.Millis(m.AfterMS).Seconds()))))
	}
	w.WriteHeader(fault.Kind(m.Kind).Info().Status)
	_ = json.NewEncoder(w).Encode(m) // The client has gone if this fails.
}

// WriteJSON answers an HTTP request with a message.
func WriteJSON(w http.ResponseWriter, m any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(m) // The client has gone if this fails.
}

// AppendRequest is the body of an append to a stream of the log.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply is the answer to an append.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read of a stream.
type Batch struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// FromBatch maps a batch of records.
func FromBatch(b plat.Batch) Batch {
	m := Batch{First: int64(b.First), Next: int64(b.Next)}
	for _, r := range b.Records {
		m.Records = append(m.Records, Record{Offset: int64(r.Offset), Data: r.Data})
	}
	return m
}

// ToBatch maps a message back to records.
func ToBatch(m Batch) plat.Batch {
	b := plat.Batch{First: ident.Offset(m.First), Next: ident.Offset(m.Next)}
	for _, r := range m.Records {
		b.Records = append(b.Records, plat.Record{Offset: ident.Offset(r.Offset), Data: r.Data})
	}
	return b
}

// VM is one line of the VM list.
type VM struct {
	Node    string `json:"node"`
	Role    string `json:"role"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving,omitempty"`
}

// FromVM maps a VM.
func FromVM(v plat.VM) VM {
	return VM{
		Node:    string(v.Node),
		Role:    string(v.Role),
		Addr:    v.Addr,
		Zone:    string(v.Zone),
		Region:  string(v.Region),
		Leaving: v.Leaving,
	}
}

// ToVM maps a message back to a VM.
func ToVM(m VM) plat.VM {
	return plat.VM{
		Node:    ident.Node(m.Node),
		Role:    plat.Role(m.Role),
		Addr:    m.Addr,
		Zone:    ident.Zone(m.Zone),
		Region:  ident.Region(m.Region),
		Leaving: m.Leaving,
	}
}

// Work is the body of a generation.
type Work struct {
	Attempt   string   `json:"attempt"`
	Prompt    []byte   `json:"prompt"`
	Prefix    string   `json:"prefix,omitempty"`
	Seed      int64    `json:"seed"`
	MaxTokens int      `json:"max-tokens"`
	Resume    []uint32 `json:"resume,omitempty"`
	Priority  int      `json:"priority,omitempty"`
}

// FromWork maps a piece of work.
func FromWork(w plat.GenerateRequest) Work {
	return Work{
		Attempt:   string(w.Attempt),
		Prompt:    w.Prompt,
		Prefix:    w.PrefixID,
		Seed:      w.Seed,
		MaxTokens: w.MaxTokens,
		Resume:    w.Delivered,
		Priority:  w.Priority,
	}
}

// ToWork maps a message back to a piece of work.
func ToWork(m Work) plat.GenerateRequest {
	return plat.GenerateRequest{
		Attempt:   ident.Attempt(m.Attempt),
		Prompt:    m.Prompt,
		PrefixID:  m.Prefix,
		Seed:      m.Seed,
		MaxTokens: m.MaxTokens,
		Delivered: m.Resume,
		Priority:  m.Priority,
	}
}

// Chunk is one line of a stream of tokens. The last line of a stream has
// either Done or Fault set.
type Chunk struct {
	Tokens []uint32 `json:"tokens,omitempty"`
	Body   []byte   `json:"body,omitempty"` // of a plain service, with Done
	Done   bool     `json:"done,omitempty"`
	Count  int      `json:"count,omitempty"` // tokens of the whole answer, with Done
	Spans  []Span   `json:"versions,omitempty"`
	Fault  *Fault   `json:"fault,omitempty"`
}

// Span is a run of tokens made by one version, [From, To).
type Span struct {
	Version uint64 `json:"version"`
	Attempt string `json:"attempt,omitempty"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// FromSpans maps spans.
func FromSpans(ss []plat.Span) []Span {
	out := make([]Span, 0, len(ss))
	for _, s := range ss {
		out = append(out, Span{Version: uint64(s.Version), Attempt: string(s.Attempt), From: s.From, To: s.To})
	}
	return out
}

// ToSpans maps messages back to spans.
func ToSpans(ms []Span) []plat.Span {
	out := make([]plat.Span, 0, len(ms))
	for _, m := range ms {
		out = append(out, plat.Span{Version: ident.Version(m.Version), Attempt: ident.Attempt(m.Attempt), From: m.From, To: m.To})
	}
	return out
}

// Status is an engine's state.
type Status struct {
	Boot    string `json:"boot"`
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Loading bool   `json:"loading"`
	Fence   int64  `json:"fence"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Slots   int    `json:"slots"`
}

// FromStatus maps an engine's state.
func FromStatus(s plat.Status) Status {
	return Status{
		Boot:    strconv.FormatUint(uint64(s.Boot), 16),
		Model:   string(s.Model),
		Version: uint64(s.Version),
		Loading: s.Loading,
		Fence:   int64(s.Fence),
		Running: s.Load.Running,
		Waiting: s.Load.Waiting,
		Slots:   s.Load.Slots,
	}
}

// ToStatus maps a message back to an engine's state.
func ToStatus(m Status) plat.Status {
	return plat.Status{
		Boot:    ToIncarnation(Incarnation{Boot: m.Boot}),
		Model:   ident.Service(m.Model),
		Version: ident.Version(m.Version),
		Loading: m.Loading,
		Fence:   ident.Offset(m.Fence),
		Load:    plat.Load{Running: m.Running, Waiting: m.Waiting, Slots: m.Slots},
	}
}

// Order tells an engine to load a version.
type Order struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Fence   int64  `json:"fence"`
}

// Incarnation is the incarnation of a plain service, in hexadecimal.
type Incarnation struct {
	Boot string `json:"boot"`
}

// FromIncarnation maps an incarnation.
func FromIncarnation(b ident.Incarnation) Incarnation {
	return Incarnation{Boot: strconv.FormatUint(uint64(b), 16)}
}

// ToIncarnation maps a message back; one that can't be read is 0.
func ToIncarnation(m Incarnation) ident.Incarnation {
	v, err := strconv.ParseUint(m.Boot, 16, 64)
	if err != nil {
		return 0
	}
	return ident.Incarnation(v)
}

// Transfer asks the weight store for a transfer.
type Transfer struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// ScoreRequest asks for the score of an answer.
type ScoreRequest struct {
	Prompt []byte   `json:"prompt"`
	Tokens []uint32 `json:"tokens"`
}

// ScoreReply is the answer of a scoring service.
type ScoreReply struct {
	Score float64 `json:"score"`
}
