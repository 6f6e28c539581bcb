// Package httpd is the HTTP interface of an entry towards callers, trainers
// and operators. It tells them apart, checks and decodes what they send, and
// hands it to a [Service].
//
// # Usage
//
//	h := httpd.New(svc, tokens, meter, metrics)
//	srv := &http.Server{Handler: h}
//
// Every error answer is a [codec.Fault].
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

// Role tells what a token allows.
type Role string

// The roles.
const (
	RoleCaller   Role = "caller"
	RoleTrainer  Role = "trainer"
	RoleOperator Role = "operator"
)

// Token admits one caller, trainer or operator.
type Token struct {
	Digest [sha256.Size]byte // of the bearer token
	Name   ident.Caller
	Role   Role
}

// maxBody bounds a body; a round's specification is the largest.
const maxBody = 8 << 20 // bytes

// Sink receives the parts of a streamed answer.
type Sink func(codec.Chunk) error

// Service is what the interface offers. Each call gets the name of who sent
// it.
type Service interface {
	Ready() error
	Request(ctx context.Context, who ident.Caller, m codec.Request, sink Sink) error
	Announce(ctx context.Context, who ident.Caller, m codec.Version) error
	OpenRound(ctx context.Context, who ident.Caller, m codec.Spec) error
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

// none is the empty message of calls without a body.
type none struct{}

// New returns the handler of an entry.
func New(s Service, tokens []Token, m *meter.Meter, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	g := guard{tokens: tokens, meter: m}
	mux.Handle("POST /v1/requests", stream(g, "requests", RoleCaller, s.Request))
	mux.Handle("POST /v1/versions", unary(g, "versions", RoleTrainer, noReply(s.Announce)))
	mux.Handle("POST /v1/rounds", unary(g, "open-round", RoleTrainer, noReply(s.OpenRound)))
	mux.Handle("POST /v1/rounds/read", unary(g, "read-round", RoleTrainer, s.ReadRound))
	mux.Handle("POST /v1/rounds/progress", unary(g, "round-progress", RoleTrainer, s.RoundProgress))
	mux.Handle("POST /v1/rounds/cancel", unary(g, "cancel-round", RoleTrainer, noReply(s.CancelRound)))
	mux.Handle("POST /v1/changes", unary(g, "changes", RoleOperator, s.Change))
	mux.Handle("GET /v1/config", unary(g, "config", RoleOperator, noArgs(s.Config)))
	mux.Handle("GET /v1/audit", unary(g, "audit", RoleOperator, noArgs(s.Audit)))
	mux.Handle("GET /v1/status", unary(g, "status", RoleOperator, noArgs(s.Status)))
	mux.Handle("GET /v1/nodes", unary(g, "nodes", RoleOperator, noArgs(s.Nodes)))
	mux.Handle("GET /v1/quarantine", unary(g, "quarantine", RoleOperator, noArgs(s.Quarantine)))
	mux.Handle("POST /v1/quarantine/lift", unary(g, "lift", RoleOperator, noReply(s.Lift)))
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { codec.WriteJSON(w, none{}) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := s.Ready(); err != nil {
			codec.WriteFault(w, err)
			return
		}
		codec.WriteJSON(w, none{})
	})
	return mux
}

func noReply[In any](fn func(context.Context, ident.Caller, In) error) func(context.Context, ident.Caller, In) (none, error) {
	return func(ctx context.Context, who ident.Caller, m In) (none, error) { return none{}, fn(ctx, who, m) }
}

func noArgs[Out any](fn func(context.Context) (Out, error)) func(context.Context, ident.Caller, none) (Out, error) {
	return func(ctx context.Context, _ ident.Caller, _ none) (Out, error) { return fn(ctx) }
}

// unary serves a call with one answer.
func unary[In, Out any](g guard, name string, role Role, fn func(context.Context, ident.Caller, In) (Out, error)) http.Handler {
	ep := func(ctx context.Context, m any) (any, error) { return fn(ctx, caller(ctx), m.(In)) }
	return kithttp.NewServer(g.meter.Wrap(name)(g.protect(role)(ep)), decode[In], encode,
		kithttp.ServerBefore(keepToken), kithttp.ServerErrorEncoder(encodeError))
}

// streamFunc writes a streamed answer.
type streamFunc func(Sink) error

// stream serves a call whose answer is a stream of lines.
func stream[In any](g guard, name string, role Role, fn func(context.Context, ident.Caller, In, Sink) error) http.Handler {
	ep := func(ctx context.Context, m any) (any, error) {
		began := time.Now()
		return streamFunc(func(sink Sink) error {
			err := fn(ctx, caller(ctx), m.(In), sink)
			g.meter.Record(ctx, name, began, err)
			return err
		}), nil
	}
	return kithttp.NewServer(g.protect(role)(ep), decode[In], encodeStream,
		kithttp.ServerBefore(keepToken), kithttp.ServerErrorEncoder(encodeError))
}

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

// encodeStream writes one line for each part. An error before the first line
// is a plain error answer; after it, the last line names the error.
func encodeStream(_ context.Context, w http.ResponseWriter, m any) error {
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	started := false
	err := m.(streamFunc)(func(c codec.Chunk) error {
		if !started {
			w.Header().Set("Content-Type", "application/x-ndjson")
			started = true
		}
		if err := enc.Encode(c); err != nil {
			return errors.Wrap(err, "write answer")
		}
		return errors.Wrap(flush.Flush(), "flush answer")
	})
	if err == nil || !started {
		return err
	}
	f := codec.FromFault(err)
	return enc.Encode(codec.Chunk{Fault: &f})
}

type tokenKey struct{}

type callerKey struct{}

func keepToken(ctx context.Context, r *http.Request) context.Context {
	t, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return context.WithValue(ctx, tokenKey{}, t)
}

func caller(ctx context.Context) ident.Caller {
	c, _ := ctx.Value(callerKey{}).(ident.Caller)
	return c
}

// guard admits the holders of listed tokens.
type guard struct {
	tokens []Token
	meter  *meter.Meter
}

// find compares with every token, so that the time taken tells nothing.
func (g guard) find(text string) (Token, bool) {
	d := sha256.Sum256([]byte(text))
	var found Token
	ok := 0
	for _, t := range g.tokens {
		if subtle.ConstantTimeCompare(d[:], t.Digest[:]) == 1 {
			found = t
			ok = 1
		}
	}
	return found, ok == 1
}

// protect lets only a role call the endpoint.
func (g guard) protect(role Role) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, m any) (any, error) {
			text, _ := ctx.Value(tokenKey{}).(string)
			t, ok := g.find(text)
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
