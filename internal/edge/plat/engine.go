package plat

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// Target is the backend server that a request is meant for.
type Target struct {
	ID   string // another server at the address refuses the request
	Addr string // IP:port
}

// Request is one attempt of a client's request at a backend server.
type Request struct {
	ID          string // echoed by the answer
	Method      string
	URI         string // path and query as the client sent them
	Host        string
	Header      http.Header // end-to-end headers, passed on as they are
	Body        []byte
	Timeout     clock.Millis // the server stops work after this
	LastEventID int          // last event already delivered, 0 for none
}

// Response is a backend server's answer. Body must be closed; closing it before
// its end closes the connection.
type Response struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64  // of the body, -1 if not known
	Stamp         string // the server's proof of the answer
	NotRun        bool   // the server proves that it did not run the request
	Misdirected   bool   // another server has the address
}

// Errors of a send. Any other error leaves open whether the request ran.
var (
	ErrNotSent          = errors.New("no connection to the server; try another one")
	ErrResponseMismatch = errors.New("the answer belongs to another request; the connection is dropped")
)

// Sender sends requests to backend servers.
type Sender interface {
	Send(ctx context.Context, to Target, r Request) (*Response, error)
}

// Event is one event of a token stream.
type Event struct {
	ID      int
	Version int64 // of the weights, 0 if unchanged since the event before
	Data    []byte
}

// EventReader reads the events of an answer's body in order.
type EventReader interface {
	// Next returns io.EOF after the end of a whole stream; another error tells
	// that the stream was cut short.
	Next() (Event, error)
}

// EngineState is an engine's own report, read on its VM.
type EngineState struct {
	Busy           bool  // an order is in progress
	AcceptedOrders int64 // accepted since the engine started
	Waiting        int
	Running        int
	Versions       map[string]int64 // loaded version of each model
}

// SwapOrder tells an engine to load a version of a model.
type SwapOrder struct {
	Model          string
	Version        int64
	Fence          int64 // rises with each order
	ExpectedOrders int64 // orders accepted so far; another count refuses the order
	Owner          string
	Drain          bool // runs in progress finish first, else they go on under the new version
}

// SwapResult is an engine's answer to an order.
type SwapResult uint8

// Answers to an order.
const (
	SwapUnknown       SwapResult = iota // no answer
	SwapStarted                         // it is being carried out
	SwapAlreadyLoaded                   // the version is loaded already
	SwapConflict                        // another order is in progress or was accepted meanwhile
	SwapRefused                         // the order is not valid
)

// EngineControl reads an engine's state and gives it orders.
type EngineControl interface {
	State(ctx context.Context, to Target) (EngineState, error)
	Swap(ctx context.Context, to Target, o SwapOrder) (SwapResult, error)
}
