// Package serve offers the stand-ins over HTTP, in the protocol that package
// client speaks.
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

const maxBody = 16 << 20 // bytes

// decode reads a JSON body and answers with an error if it can't.
func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var m T
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&m)
	if err != nil {
		codec.WriteFault(w, fault.Wrap(fault.BadRequest, err, "body is not valid JSON"))
		return m, false
	}
	return m, true
}

// finish answers with the message, or with the error if there is one. An
// error that is no fault is answered without a kind: it proves nothing.
func finish(w http.ResponseWriter, m any, err error) {
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

// Platform offers the log, the VM list and the weight store.
func Platform(l plat.Log, v plat.VMLister, s plat.WeightStore) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		m, ok := decode[codec.AppendRequest](w, r)
		if !ok {
			return
		}
		off, err := l.Append(r.Context(), r.PathValue("name"), m.Records)
		finish(w, codec.AppendReply{Offset: int64(off)}, err)
	})
	mux.HandleFunc("GET /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		b, err := l.Read(r.Context(), r.PathValue("name"), ident.Offset(number(r, "from")), int(number(r, "limit")), clock.Millis(number(r, "wait-ms")))
		finish(w, codec.FromBatch(b), err)
	})
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		vms, err := v.List(r.Context())
		out := make([]codec.VM, 0, len(vms))
		for _, vm := range vms {
			out = append(out, codec.FromVM(vm))
		}
		finish(w, out, err)
	})
	mux.HandleFunc("POST /transfers", func(w http.ResponseWriter, r *http.Request) {
		m, ok := decode[codec.Transfer](w, r)
		if !ok {
			return
		}
		finish(w, struct{}{}, s.AcquireTransfer(r.Context(), ident.Service(m.Model), ident.Version(m.Version)))
	})
	return mux
}

func number(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Engine offers a model engine.
func Engine(e plat.Engine) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", func(w http.ResponseWriter, r *http.Request) {
		if m, ok := decode[codec.Work](w, r); ok {
			generate(w, r, e, codec.ToWork(m))
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		st, err := e.Status(r.Context())
		finish(w, codec.FromStatus(st), err)
	})
	mux.HandleFunc("POST /load", func(w http.ResponseWriter, r *http.Request) {
		m, ok := decode[codec.Order](w, r)
		if !ok {
			return
		}
		o := plat.Order{Model: ident.Service(m.Model), Version: ident.Version(m.Version), Fence: ident.Offset(m.Fence)}
		finish(w, struct{}{}, e.Load(r.Context(), o))
	})
	return mux
}

// generate streams; a failure after the first line cuts the connection, as a
// crashed engine does.
func generate(w http.ResponseWriter, r *http.Request, e plat.Engine, work plat.GenerateRequest) {
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	started := false
	err := e.Generate(r.Context(), work, func(c plat.Chunk) error {
		started = true
		if err := enc.Encode(codec.Chunk{Tokens: c.Tokens, Done: c.Done}); err != nil {
			return err
		}
		return flush.Flush()
	})
	if err == nil {
		return
	}
	if started {
		panic(http.ErrAbortHandler)
	}
	finish(w, nil, err)
}

// Plain offers a server of a plain service.
func Plain(p plat.PlainServer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
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
			finish(w, nil, err)
			return
		}
		_, _ = w.Write(out) // The client has gone if this fails.
	})
	mux.HandleFunc("GET /boot", func(w http.ResponseWriter, r *http.Request) {
		b, err := p.Incarnation(r.Context())
		finish(w, codec.FromIncarnation(b), err)
	})
	return mux
}

// Scorer offers a scoring service.
func Scorer(s plat.Scorer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /score", func(w http.ResponseWriter, r *http.Request) {
		m, ok := decode[codec.ScoreRequest](w, r)
		if !ok {
			return
		}
		v, err := s.Score(r.Context(), m.Prompt, m.Tokens)
		finish(w, codec.ScoreReply{Score: v}, err)
	})
	return mux
}
