// Package httpd serves the HTTP API of an entry to callers, trainers and operators.
// It authenticates them by bearer token, decodes their requests and calls a
// [Service].
//
// # Usage
//
//	h := httpd.New(svc, tokens, meter, metrics)
//	srv := &http.Server{Handler: h}
//
// The body of every error response is a [codec.Fault].
package httpd

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/meter"
)

// Role determines which calls a token permits.
type Role string

// The roles of clients.
const (
	RoleCaller   Role = "caller"
	RoleTrainer  Role = "trainer"
	RoleOperator Role = "operator"
)

// Token identifies one caller, trainer or operator.
type Token struct {
	Digest [sha256.Size]byte // of the bearer token
	Name   ident.Caller
	Role   Role
}

// maxBody is the maximum size of a request body in bytes. The specification of a round
// is the largest body.
const maxBody = 8 << 20

// Sink receives the chunks of a streamed answer.
type Sink func(codec.Chunk) error

// Service implements the calls of the API. The parameter who is the name of the
// authenticated client.
type Service interface {
	Ready() error
	Request(ctx context.Context, who ident.Caller, m codec.Request, sink Sink) error
	Announce(ctx context.Context, who ident.Caller, m codec.Version) error
	OpenRound(ctx context.Context, who ident.Caller, m codec.RoundSpec) error
	ReadRound(ctx context.Context, who ident.Caller, m codec.ReadRequest) (codec.Page, error)
	RoundProgress(ctx context.Context, who ident.Caller, m codec.Round) (codec.Progress, error)
	CancelRound(ctx context.Context, who ident.Caller, m codec.Round) error
	Change(ctx context.Context, who ident.Caller, m codec.Change) (codec.ChangeReply, error)
	Config(ctx context.Context) (codec.Config, error)
	Quarantine(ctx context.Context) ([]codec.QuarantinedRequest, error)
	Lift(ctx context.Context, who ident.Caller, m codec.LiftRequest) error
	Audit(ctx context.Context) ([]codec.AuditEntry, error)
	Status(ctx context.Context) (codec.EntryStatus, error)
	Nodes(ctx context.Context) (codec.Nodes, error)
}

// empty is the message of calls without a body.
type empty struct{}

// New returns the handler of the API.
func New(s Service, tokens []Token, m *meter.Meter, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	a := authenticator{tokens: tokens, meter: m}
	mux.Handle("POST /v1/requests", stream(a, "requests", RoleCaller, s.Request))
	mux.Handle("POST /v1/versions", unary(a, "versions", RoleTrainer, noReply(s.Announce)))
	mux.Handle("POST /v1/rounds", unary(a, "open-round", RoleTrainer, noReply(s.OpenRound)))
	mux.Handle("POST /v1/rounds/read", unary(a, "read-round", RoleTrainer, s.ReadRound))
	mux.Handle("POST /v1/rounds/progress", unary(a, "round-progress", RoleTrainer, s.RoundProgress))
	mux.Handle("POST /v1/rounds/cancel", unary(a, "cancel-round", RoleTrainer, noReply(s.CancelRound)))
	mux.Handle("POST /v1/changes", unary(a, "changes", RoleOperator, s.Change))
	mux.Handle("GET /v1/config", unary(a, "config", RoleOperator, noArgs(s.Config)))
	mux.Handle("GET /v1/audit", unary(a, "audit", RoleOperator, noArgs(s.Audit)))
	mux.Handle("GET /v1/status", unary(a, "status", RoleOperator, noArgs(s.Status)))
	mux.Handle("GET /v1/nodes", unary(a, "nodes", RoleOperator, noArgs(s.Nodes)))
	mux.Handle("GET /v1/quarantine", unary(a, "quarantine", RoleOperator, noArgs(s.Quarantine)))
	mux.Handle("POST /v1/quarantine/lift", unary(a, "lift", RoleOperator, noReply(s.Lift)))
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { codec.WriteJSON(w, empty{}) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := s.Ready(); err != nil {
			codec.WriteFault(w, err)
			return
		}
		codec.WriteJSON(w, empty{})
	})
	return mux
}

// noReply adapts a call without a result to [unary].
func noReply[In any](fn func(context.Context, ident.Caller, In) error) func(context.Context, ident.Caller, In) (empty, error) {
	return func(ctx context.Context, who ident.Caller, m In) (empty, error) { return empty{}, fn(ctx, who, m) }
}

// noArgs adapts a call without arguments to [unary].
func noArgs[Out any](fn func(context.Context) (Out, error)) func(context.Context, ident.Caller, empty) (Out, error) {
	return func(ctx context.Context, _ ident.Caller, _ empty) (Out, error) { return fn(ctx) }
}

// unary returns a handler for a call with a single answer.
func unary[In, Out any](a authenticator, name string, role Role, fn func(context.Context, ident.Caller, In) (Out, error)) http.Handler {
	ep := func(ctx context.Context, m any) (any, error) { return fn(ctx, callerFrom(ctx), m.(In)) }
	return kithttp.NewServer(a.meter.Wrap(name)(a.requireRole(role)(ep)), decode[In], encode,
		kithttp.ServerBefore(withToken), kithttp.ServerErrorEncoder(encodeError))
}

// streamFunc passes the chunks of an answer to a sink.
type streamFunc func(Sink) error

// stream returns a handler for a call whose answer is a stream of lines.
func stream[In any](a authenticator, name string, role Role, fn func(context.Context, ident.Caller, In, Sink) error) http.Handler {
	ep := func(ctx context.Context, m any) (any, error) {
		startedAt := time.Now()
		return streamFunc(func(sink Sink) error {
			err := fn(ctx, callerFrom(ctx), m.(In), sink)
			a.meter.Record(ctx, name, startedAt, err)
			return err
		}), nil
	}
	return kithttp.NewServer(a.requireRole(role)(ep), decode[In], encodeStream,
		kithttp.ServerBefore(withToken), kithttp.ServerErrorEncoder(encodeError))
}

// decode reads the message of a request. It returns the zero message for a GET, which
// has no body.
func decode[In any](_ context.Context, r *http.Request) (any, error) {
	var m In
	if r.Method == http.MethodGet {
		return m, nil
	}
	dec := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, fault.Wrap(fault.TooLarge, err, "body")
		}
		return nil, fault.Wrap(fault.BadRequest, err, "body is not a valid message")
	}
	if dec.More() {
		return nil, fault.New(fault.BadRequest, "body holds more than one message")
	}
	return m, nil
}

func encode(_ context.Context, w http.ResponseWriter, m any) error {
	codec.WriteJSON(w, m)
	return nil
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) { codec.WriteFault(w, err) }

// encodeStream writes one line for each chunk. An error before the first line becomes
// an error response; a later error is written as the last line.
func encodeStream(_ context.Context, w http.ResponseWriter, m any) error {
	enc := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	started := false
	err := m.(streamFunc)(func(c codec.Chunk) error {
		if !started {
			w.Header().Set("Content-Type", "application/x-ndjson")
			started = true
		}
		if err := enc.Encode(c); err != nil {
			return errors.Wrap(err, "write answer")
		}
		return errors.Wrap(controller.Flush(), "flush answer")
	})
	if err == nil || !started {
		return err
	}
	f := codec.FromFault(err)
	return enc.Encode(codec.Chunk{Fault: &f})
}

// tokenKey is the context key of the bearer token.
type tokenKey struct{}

// callerKey is the context key of the name of the authenticated client.
type callerKey struct{}

// withToken stores the bearer token of a request in the context.
func withToken(ctx context.Context, r *http.Request) context.Context {
	t, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return context.WithValue(ctx, tokenKey{}, t)
}

// callerFrom returns the name of the authenticated client.
func callerFrom(ctx context.Context) ident.Caller {
	c, _ := ctx.Value(callerKey{}).(ident.Caller)
	return c
}

// authenticator authenticates clients by their bearer tokens.
type authenticator struct {
	tokens []Token
	meter  *meter.Meter
}

// findToken returns the token with the given text. It compares the digest with that of
// every token, so that the time it takes reveals nothing about the tokens.
func (a authenticator) findToken(text string) (Token, bool) {
	digest := sha256.Sum256([]byte(text))
	var found Token
	ok := 0
	for _, t := range a.tokens {
		if subtle.ConstantTimeCompare(digest[:], t.Digest[:]) == 1 {
			found = t
			ok = 1
		}
	}
	return found, ok == 1
}

// requireRole returns a middleware that rejects clients without the given role.
func (a authenticator) requireRole(role Role) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, m any) (any, error) {
			text, _ := ctx.Value(tokenKey{}).(string)
			t, ok := a.findToken(text)
			if !ok {
				return nil, fault.New(fault.Unauthorized, "the bearer token is missing or not known")
			}
			if t.Role != role {
				return nil, fault.New(fault.Forbidden, "the token of "+string(t.Name)+" has the role "+string(t.Role)+", this call needs "+string(role))
			}
			return next(context.WithValue(ctx, callerKey{}, t.Name), m)
		}
	}
}
