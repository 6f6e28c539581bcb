package plat

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
)

// Target is the backend server to which a request is sent.
type Target struct {
	ID   string // server's ID; any other server at the address refuses the request
	Addr string // IP:port
}

// Request is one attempt to run a client's request on a backend server.
type Request struct {
	ID          string // returned in the response
	Method      string
	URI         string // path and query as the client sent them
	Host        string
	Header      http.Header // end-to-end headers, forwarded unchanged
	Body        []byte
	Workspace   ident.Workspace // told to the server, empty for none
	Timeout     clock.Millis    // time after which the server stops running the request
	LastEventID int             // last event already delivered, 0 for none
}

// Response is a backend server's response. The caller must close Body; closing it
// before its end also closes the connection.
type Response struct {
	Status        int // from 200 to 599
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64  // size of the body, -1 if unknown
	Stamp         string // proof that the server produced the response
	NotExecuted   bool   // the server proves that it did not run the request
	Misdirected   bool   // another server now has the address
	RateLimit     RateLimit
	Leaving       Leaving
}

// RateLimit is what an answer states about the rate of requests that the server takes
// from all nodes together.
type RateLimit struct {
	PerSecond option.Option[float64] // absent if the answer states no limit
	Malformed string                 // a statement that can't be decoded, empty for none
}

// Leaving is what an answer states about the end of its server.
type Leaving struct {
	Stated    bool   // the server leaves; it answers for some time yet
	Malformed string // a statement that can't be decoded, empty for none
}

// Errors of [Sender.Send]. After any other error it is unknown whether the request
// ran.
var (
	ErrNotSent          = errors.New("no connection to the server; try another one")
	ErrResponseMismatch = errors.New("the answer belongs to another request; the connection is dropped")
	ErrInvalidStatus    = errors.New("the status is none of a final HTTP answer; the connection is dropped")
	ErrMalformedHead    = errors.New("the head of the answer is malformed; the connection is dropped")
	ErrMalformedEvent   = errors.New("bytes of the stream are no event; the connection is dropped")
)

// Sender sends requests to backend servers.
type Sender interface {
	Send(ctx context.Context, to Target, r Request) (*Response, error)
}

// MaxEventBytes limits an event of a stream, which is held in memory until it is
// complete.
const MaxEventBytes = 1 << 20

// Event is one event of a token stream.
type Event struct {
	ID      int
	Version int64 // version of the weights, 0 if the same as for the previous event
	Data    []byte
}

// EventReader reads the events of a response in order.
type EventReader interface {
	// Next returns io.EOF at the end of a complete stream, and [ErrMalformedEvent] for
	// bytes that are no event. Any other error means that the stream is truncated.
	Next() (Event, error)
}

// EngineState is an engine's report of its state. Only the agent on the engine's VM
// reads it.
type EngineState struct {
	Busy           bool             // an order is in progress
	AcceptedOrders int64            // number of orders accepted since the engine started
	Versions       map[string]int64 // loaded version of each model
	StartedAt      int64            // start of the engine's incarnation, 0 if not known; compare for equality only
	RateLimit      RateLimit
	Leaving        Leaving
}

// LoadOrder orders an engine to load a version of a model.
type LoadOrder struct {
	Model          string
	Version        int64
	Fence          int64 // fencing token, larger in each order
	ExpectedOrders int64 // number of orders accepted so far; the engine refuses the order if it differs
	Owner          string
	Drain          bool // complete runs in progress first; else they continue with the new version
}

// LoadResult is an engine's response to an order.
type LoadResult uint8

// Results of an order.
const (
	LoadUnknown     LoadResult = iota // no response
	LoadStarted                       // the engine is loading the version
	LoadAlreadyDone                   // the version is loaded already
	LoadConflict                      // another order is in progress or was accepted in the meantime
	LoadRefused                       // the order is not valid
)

// EngineControl reads an engine's state and sends it load orders.
type EngineControl interface {
	State(ctx context.Context, to Target) (EngineState, error)
	Load(ctx context.Context, to Target, o LoadOrder) (LoadResult, error)
}
