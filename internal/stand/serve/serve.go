// Package serve provides HTTP handlers for the fakes, in the protocol of package
// client.
//
// # Usage
//
//	srv := &http.Server{Handler: serve.Engine(e)}
//	srv := &http.Server{Handler: serve.Platform(log, vms, weights)}
package serve

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/client"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

const maxBodyBytes = 16 << 20

// decodeBody decodes a JSON body. If the body is invalid, decodeBody writes the
// error response and returns false.
func decodeBody[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var m T
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&m)
	if err != nil {
		codec.WriteFault(w, fault.Wrap(fault.BadRequest, err, "body is not valid JSON"))
		return m, false
	}
	return m, true
}

// writeReply writes a message as the response, or an error if there is one. An
// error that is not a fault is written as plain text without a kind, so that the
// client can't conclude that the request had no effect.
func writeReply(w http.ResponseWriter, m any, err error) {
	if err == nil {
		codec.WriteJSON(w, m)
		return
	}
	if _, ok := fault.As(err); ok {
		codec.WriteFault(w, err)
		return
	}
	http.Error(w, err.Error(), http.StatusInternalServerError)
}

// Platform returns a handler for the log, the VM list and the weight store.
func Platform(l plat.Log, v plat.VMLister, s plat.WeightStore) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		m, ok := decodeBody[codec.AppendRequest](w, r)
		if !ok {
			return
		}
		off, err := l.Append(r.Context(), r.PathValue("name"), m.Records)
		writeReply(w, codec.AppendReply{Offset: int64(off)}, err)
	})
	mux.HandleFunc("GET /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		b, err := l.Read(r.Context(), r.PathValue("name"), ident.Offset(intParam(r, "from")), int(intParam(r, "limit")), clock.Millis(intParam(r, "wait-ms")))
		writeReply(w, codec.FromBatch(b), err)
	})
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		vms, err := v.List(r.Context())
		out := make([]codec.VM, 0, len(vms))
		for _, vm := range vms {
			out = append(out, codec.FromVM(vm))
		}
		writeReply(w, out, err)
	})
	mux.HandleFunc("POST /transfers", func(w http.ResponseWriter, r *http.Request) {
		m, ok := decodeBody[codec.Transfer](w, r)
		if !ok {
			return
		}
		writeReply(w, struct{}{}, s.AcquireTransfer(r.Context(), ident.Service(m.Model), ident.Version(m.Version)))
	})
	return mux
}

// intParam returns an integer from the query of a request, or 0 if the query has
// no valid one.
func intParam(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Engine returns a handler for a model engine.
func Engine(e plat.Engine) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", func(w http.ResponseWriter, r *http.Request) {
		if m, ok := decodeBody[codec.GenerateRequest](w, r); ok {
			generate(w, r, e, codec.ToGenerateRequest(m))
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		st, err := e.Status(r.Context())
		writeReply(w, codec.FromStatus(st), err)
	})
	mux.HandleFunc("POST /load", func(w http.ResponseWriter, r *http.Request) {
		m, ok := decodeBody[codec.Order](w, r)
		if !ok {
			return
		}
		o := plat.Order{Model: ident.Service(m.Model), Version: ident.Version(m.Version), Fence: ident.Offset(m.Fence)}
		writeReply(w, struct{}{}, e.Load(r.Context(), o))
	})
	return mux
}

// generate streams the tokens of a request, one JSON line for each chunk. If an
// error occurs after the first chunk, generate aborts the connection, as a crashed
// engine does.
func generate(w http.ResponseWriter, r *http.Request, e plat.Engine, req plat.GenerateRequest) {
	enc := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	started := false
	err := e.Generate(r.Context(), req, func(c plat.Chunk) error {
		started = true
		if err := enc.Encode(codec.Chunk{Tokens: c.Tokens, Done: c.Done}); err != nil {
			return err
		}
		return controller.Flush()
	})
	if err == nil {
		return
	}
	if started {
		panic(http.ErrAbortHandler)
	}
	writeReply(w, nil, err)
}

// Plain returns a handler for one server of a plain service.
func Plain(p plat.PlainServer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			codec.WriteFault(w, fault.Wrap(fault.TooLarge, err, "body"))
			return
		}
		out, err := p.Do(r.Context(), plat.ServiceCall{
			Attempt:    ident.Attempt(r.Header.Get(client.HeaderAttempt)),
			Body:       body,
			AtMostOnce: r.Header.Get(client.HeaderOnce) == "true",
		})
		if err != nil {
			writeReply(w, nil, err)
			return
		}
		_, _ = w.Write(out) // Write fails only if the client has disconnected.
	})
	mux.HandleFunc("GET /boot", func(w http.ResponseWriter, r *http.Request) {
		incarnation, err := p.Incarnation(r.Context())
		writeReply(w, codec.FromIncarnation(incarnation), err)
	})
	return mux
}

// Scorer returns a handler for a scoring service.
func Scorer(s plat.Scorer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /score", func(w http.ResponseWriter, r *http.Request) {
		m, ok := decodeBody[codec.ScoreRequest](w, r)
		if !ok {
			return
		}
		v, err := s.Score(r.Context(), m.Prompt, m.Tokens)
		writeReply(w, codec.ScoreReply{Score: v}, err)
	})
	return mux
}
