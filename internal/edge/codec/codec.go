// Package codec defines the JSON forms of the messages that the service exchanges with
// the platform, engines, plain services, callers, trainers and operators. JSON names
// are in kebab case. Domain types have no JSON tags; functions of this package convert
// them explicitly.
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

// Fault is the body of every error response.
type Fault struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"` // whether the request was executed
	Detail  string `json:"detail"`
	Remedy  string `json:"remedy"` // what the client can do
	AfterMS int64  `json:"retry-after-ms,omitempty"`
}

// FromFault converts an error. An error that is not a fault gets the
// kind [fault.Internal].
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

// Err converts the message back to a fault.
func (f Fault) Err() error {
	return fault.New(fault.Kind(f.Kind), f.Detail).WithRetryAfter(clock.Millis(f.AfterMS))
}

// WriteFault writes an error as the response to an HTTP request.
func WriteFault(w http.ResponseWriter, err error) {
	m := FromFault(err)
	w.Header().Set("Content-Type", "application/json")
	if m.AfterMS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(clock.Millis(m.AfterMS).Seconds()))))
	}
	w.WriteHeader(fault.Kind(m.Kind).Info().Status)
	_ = json.NewEncoder(w).Encode(m) // fails only if the client has disconnected
}

// WriteJSON writes a message as the response to an HTTP request.
func WriteJSON(w http.ResponseWriter, m any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(m) // fails only if the client has disconnected
}

// AppendRequest requests that records are appended to a stream of the log.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply is the answer to an [AppendRequest].
type AppendReply struct {
	Offset int64 `json:"offset"` // of the first record
}

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read of a stream.
type Batch struct {
	First   int64    `json:"first"` // first retained offset of the stream
	Next    int64    `json:"next"`  // offset to read from next
	Records []Record `json:"records"`
}

// FromBatch converts a batch of records to its JSON form.
func FromBatch(b plat.Batch) Batch {
	m := Batch{First: int64(b.First), Next: int64(b.Next)}
	for _, r := range b.Records {
		m.Records = append(m.Records, Record{Offset: int64(r.Offset), Data: r.Data})
	}
	return m
}

// ToBatch converts a batch of records from its JSON form.
func ToBatch(m Batch) plat.Batch {
	b := plat.Batch{First: ident.Offset(m.First), Next: ident.Offset(m.Next)}
	for _, r := range m.Records {
		b.Records = append(b.Records, plat.Record{Offset: ident.Offset(r.Offset), Data: r.Data})
	}
	return b
}

// VM is one VM of the platform's VM list.
type VM struct {
	Node    string `json:"node"`
	Role    string `json:"role"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving,omitempty"`
}

// FromVM converts a VM to its JSON form.
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

// ToVM converts a VM from its JSON form.
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

// GenerateRequest is the JSON form of a [plat.GenerateRequest].
type GenerateRequest struct {
	Attempt   string   `json:"attempt"`
	Prompt    []byte   `json:"prompt"`
	Prefix    string   `json:"prefix,omitempty"` // identifies the shared prefix of the prompt
	Seed      int64    `json:"seed"`
	MaxTokens int      `json:"max-tokens"`
	Resume    []uint32 `json:"resume,omitempty"`   // tokens already delivered, to be continued
	Priority  int      `json:"priority,omitempty"` // higher runs first
}

// FromGenerateRequest converts a generate request to its JSON form.
func FromGenerateRequest(r plat.GenerateRequest) GenerateRequest {
	return GenerateRequest{
		Attempt:   string(r.Attempt),
		Prompt:    r.Prompt,
		Prefix:    r.PrefixID,
		Seed:      r.Seed,
		MaxTokens: r.MaxTokens,
		Resume:    r.Delivered,
		Priority:  r.Priority,
	}
}

// ToGenerateRequest converts a generate request from its JSON form.
func ToGenerateRequest(m GenerateRequest) plat.GenerateRequest {
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

// Chunk is one line of a token stream. The last line of a stream has either Done or
// Fault set.
type Chunk struct {
	Tokens []uint32 `json:"tokens,omitempty"`
	Body   []byte   `json:"body,omitempty"` // answer of a plain service, with Done
	Done   bool     `json:"done,omitempty"`
	Count  int      `json:"count,omitempty"` // number of tokens in the complete answer, with Done
	Spans  []Span   `json:"versions,omitempty"`
	Fault  *Fault   `json:"fault,omitempty"`
}

// Span is a range of tokens, [From, To), that one weight version generated.
type Span struct {
	Version uint64 `json:"version"`
	Attempt string `json:"attempt,omitempty"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// FromSpans converts spans to their JSON form.
func FromSpans(ss []plat.Span) []Span {
	out := make([]Span, 0, len(ss))
	for _, s := range ss {
		out = append(out, Span{Version: uint64(s.Version), Attempt: string(s.Attempt), From: s.From, To: s.To})
	}
	return out
}

// ToSpans converts spans from their JSON form.
func ToSpans(ms []Span) []plat.Span {
	out := make([]plat.Span, 0, len(ms))
	for _, m := range ms {
		out = append(out, plat.Span{Version: ident.Version(m.Version), Attempt: ident.Attempt(m.Attempt), From: m.From, To: m.To})
	}
	return out
}

// Status is the state of an engine.
type Status struct {
	Boot    string `json:"boot"` // incarnation, in hexadecimal
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Loading bool   `json:"loading"` // whether it is loading weights
	Fence   int64  `json:"fence"`   // highest fencing token accepted, 0 if the engine ignores them
	Running int    `json:"running"` // number of requests
	Waiting int    `json:"waiting"` // number of requests
	Slots   int    `json:"slots"`
}

// FromStatus converts the state of an engine to its JSON form.
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

// ToStatus converts the state of an engine from its JSON form.
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

// Order orders an engine to load a weight version.
type Order struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Fence   int64  `json:"fence"` // fencing token
}

// Incarnation is the incarnation of a server of a plain service, in hexadecimal.
type Incarnation struct {
	Boot string `json:"boot"`
}

// FromIncarnation converts an incarnation to its JSON form.
func FromIncarnation(i ident.Incarnation) Incarnation {
	return Incarnation{Boot: strconv.FormatUint(uint64(i), 16)}
}

// ToIncarnation converts an incarnation from its JSON form. It returns 0 if the value
// is not a hexadecimal number.
func ToIncarnation(m Incarnation) ident.Incarnation {
	v, err := strconv.ParseUint(m.Boot, 16, 64)
	if err != nil {
		return 0
	}
	return ident.Incarnation(v)
}

// Transfer requests a transfer slot for a weight version from the weight store.
type Transfer struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// ScoreRequest requests the score of an answer.
type ScoreRequest struct {
	Prompt []byte   `json:"prompt"`
	Tokens []uint32 `json:"tokens"`
}

// ScoreReply is the answer to a [ScoreRequest].
type ScoreReply struct {
	Score float64 `json:"score"`
}
