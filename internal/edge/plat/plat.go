// Package plat defines the interfaces to everything outside the system: the
// platform's settings, store, log, VM list and weight store, the model engines, the
// plain services and the scoring services.
//
// Each interface is implemented by an HTTP client and by an in-process fake for
// tests. No implementation holds state that must survive a restart.
//
// # Usage
//
//	func readConfig(ctx context.Context, l plat.Log) error {
//		batch, err := l.Read(ctx, "config", 0, 100, clock.Second)
//		...
//	}
//
// A call that returns an error may have taken effect, unless the error proves that it
// was refused; see [fault.Outcome].
package plat

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
)

// Record is a record of a stream of the log.
type Record struct {
	Offset ident.Offset
	Data   []byte
}

// Batch is a sequence of records in offset order.
type Batch struct {
	Records []Record
	First   ident.Offset // oldest offset that the log retains
	Next    ident.Offset // offset at which the next read starts
}

// Log is the platform's append-only log. Offsets of a stream start at 1 and increase;
// the oldest records expire.
type Log interface {
	// Append appends the records in order and returns the offset of the first one.
	// After an error the records may or may not have been appended.
	Append(ctx context.Context, stream string, data [][]byte) (ident.Offset, error)
	// Read returns up to limit records, starting at an offset. If there is none, it
	// waits up to the given time, and may then return an empty batch.
	Read(ctx context.Context, stream string, from ident.Offset, limit int, wait clock.Millis) (Batch, error)
}

// Role is the program that runs on a VM.
type Role string

// The roles of a VM.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// VM is an element of the platform's list of VMs.
type VM struct {
	Node    ident.Node
	Role    Role
	Addr    string // inner address, IP:port
	Zone    ident.Zone
	Region  ident.Region
	Leaving bool
}

// VMLister reads the platform's list of VMs. The list lags and is sometimes wrong.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}

// Load is an engine's report of its load, which lags.
type Load = model.Load

// Status is an engine's current state.
type Status = model.Status

// GenerateRequest is a request to an engine to generate tokens.
type GenerateRequest struct {
	Attempt   ident.Attempt
	Prompt    []byte
	PrefixID  string // identifies a prefix that prompts share, empty for none
	Seed      int64
	MaxTokens int
	Delivered []uint32 // tokens already delivered, after which generation continues
	Priority  int      // higher runs first
}

// Span is a sequence of tokens that one version generated in one attempt.
type Span = model.Span

// Chunk is a piece of a stream of tokens.
type Chunk struct {
	Tokens []uint32
	Done   bool // the stream is complete with this chunk
}

// Order is an order to an engine to load a version of a model.
type Order struct {
	Model   ident.Service
	Version ident.Version
	Fence   ident.Offset
}

// Engine is a model engine.
type Engine interface {
	// Generate streams the tokens that follow w.Delivered to sink. It returns nil
	// only after a chunk with Done. It stops if sink returns an error.
	Generate(ctx context.Context, w GenerateRequest, sink func(Chunk) error) error
	// Status returns the engine's current state.
	Status(ctx context.Context) (Status, error)
	// Load loads the weights of a version and returns when that is complete or has
	// failed. After an error the engine may still be loading.
	Load(ctx context.Context, o Order) error
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Attempt    ident.Attempt
	Body       []byte
	AtMostOnce bool // the call must not be repeated
}

// PlainServer is a server of a plain service.
type PlainServer interface {
	// Do runs the call. A fault with the outcome [fault.NotRun] proves that the
	// call did not run; after any other error it may have run.
	Do(ctx context.Context, c ServiceCall) ([]byte, error)
	// Incarnation returns the server's incarnation, which changes with each start.
	Incarnation(ctx context.Context) (ident.Incarnation, error)
}

// WeightStore is the platform's weight store, which limits the rate of transfers.
type WeightStore interface {
	// AcquireTransfer acquires a transfer slot for a version of a model. A fault of
	// the kind [fault.Overloaded] contains the time after which to retry.
	AcquireTransfer(ctx context.Context, m ident.Service, v ident.Version) error
}

// Scorer is a scoring service for samples.
type Scorer interface {
	// Score returns the score of the tokens that were generated for a prompt. It is
	// idempotent.
	Score(ctx context.Context, prompt []byte, tokens []uint32) (float64, error)
}
