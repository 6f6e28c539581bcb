// Package plat holds the interfaces to everything outside the system: the
// platform's log, VM list and weight store, the model engines, the plain
// services and the scoring services.
//
// Each interface is small and is met twice: by an HTTP client for the real
// thing and by an in-process stand-in for tests. No implementation keeps
// anything that must last.
//
// # Usage
//
//	func follow(ctx context.Context, l plat.Log) error {
//		b, err := l.Read(ctx, "config", 0, 100)
//		...
//	}
//
// A call whose error is not a proven refusal may have taken effect; see
// [fault.Outcome].
package plat

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
)

// Record is one entry of a stream of the log.
type Record struct {
	Offset ident.Offset
	Data   []byte
}

// Batch is a run of records in offset order.
type Batch struct {
	Records []Record
	First   ident.Offset // oldest offset that is still kept
	Next    ident.Offset // offset to read from next
}

// Log is the platform's append-only log. Offsets of a stream start at 1 and
// rise; records expire from the front.
type Log interface {
	// Append adds the records in order and returns the offset of the first.
	// After an error the records may or may not have been added.
	Append(ctx context.Context, stream string, data [][]byte) (ident.Offset, error)
	// Read returns up to limit records from an offset on. It waits up to the
	// given span for one to arrive, and may return an empty batch.
	Read(ctx context.Context, stream string, from ident.Offset, limit int, wait clock.Millis) (Batch, error)
}

// Role tells which program runs on a VM.
type Role string

// The roles of a VM.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// VM is one line of the platform's list.
type VM struct {
	Node    ident.Node
	Role    Role
	Addr    string // inner address, IP:port
	Zone    ident.Zone
	Region  ident.Region
	Leaving bool
}

// VMLister is the platform's list of VMs. It lags and is at times wrong.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}

// Load is an engine's lagging report of its load.
type Load = model.Load

// Status is what an engine says of itself at this moment.
type Status = model.Status

// GenerateRequest is one piece of work for an engine.
type GenerateRequest struct {
	Attempt   ident.Attempt
	Prompt    []byte
	PrefixID  string // names the shared prefix of the prompt, empty for none
	Seed      int64
	MaxTokens int
	Delivered []uint32 // tokens already delivered; generation goes on after them
	Priority  int      // higher runs first
}

// Span is a run of tokens made by one version in one attempt.
type Span = model.Span

// Chunk is a part of a stream of tokens.
type Chunk struct {
	Tokens []uint32
	Done   bool // the answer is whole with this chunk
}

// Order tells an engine to load a version of a model.
type Order struct {
	Model   ident.Service
	Version ident.Version
	Fence   ident.Offset
}

// Engine is one model engine.
type Engine interface {
	// Generate streams the tokens after Work.Resume to sink. It returns nil
	// only after a chunk with Done. An error of sink ends the work.
	Generate(ctx context.Context, w GenerateRequest, sink func(Chunk) error) error
	// Status returns the engine's present state.
	Status(ctx context.Context) (Status, error)
	// Load swaps the weights; it returns when the swap has ended or failed.
	// After an error the order may still be running in the engine.
	Load(ctx context.Context, o Order) error
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Attempt    ident.Attempt
	Body       []byte
	AtMostOnce bool // the call may not be repeated
}

// PlainServer is one server of a plain service.
type PlainServer interface {
	// Do runs the call. A fault with the outcome [fault.NotRun] proves that it
	// did not run; after any other error it may have run.
	Do(ctx context.Context, c ServiceCall) ([]byte, error)
	// Boot returns the incarnation of the service, which changes with each start.
	Incarnation(ctx context.Context) (ident.Incarnation, error)
}

// WeightStore is the platform's rate-limited weight store.
type WeightStore interface {
	// Fetch asks for one transfer slot of the model's version. A fault of the
	// kind [fault.Overloaded] tells when to come back.
	AcquireTransfer(ctx context.Context, m ident.Service, v ident.Version) error
}

// Scorer is a scoring service for samples.
type Scorer interface {
	// Score returns the score of an answer; it is idempotent.
	Score(ctx context.Context, prompt []byte, tokens []uint32) (float64, error)
}
