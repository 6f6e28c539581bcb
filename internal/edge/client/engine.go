package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// Engine is a client of one model engine.
type Engine struct{ jsonClient }

// NewEngine returns a client of the engine at the given URL.
func NewEngine(u string) *Engine { return &Engine{newJSONClient(u)} }

// Generate implements [plat.Engine]. It returns a fault of the kind
// [fault.BrokenAnswer] if the stream ends without its final line, so that a truncated
// stream never counts as success.
func (e *Engine) Generate(ctx context.Context, req plat.GenerateRequest, sink func(plat.Chunk) error) error {
	body, err := json.Marshal(codec.FromGenerateRequest(req))
	if err != nil {
		return errors.Wrap(err, "encode generate request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/generate", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	resp, err := e.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	if resp.StatusCode/100 != 2 {
		defer DrainAndClose(resp.Body)
		return readFault(resp)
	}
	if err := readStream(resp.Body, sink); err != nil {
		_ = resp.Body.Close() // without draining, so that the engine stops at once
		return err
	}
	DrainAndClose(resp.Body)
	return nil
}

// readStream passes the chunks of a stream to sink until the final one.
func readStream(r io.Reader, sink func(plat.Chunk) error) error {
	dec := json.NewDecoder(r)
	for {
		var m codec.Chunk
		if err := dec.Decode(&m); err != nil {
			return fault.Wrap(fault.BrokenAnswer, err, "stream of the engine broke")
		}
		if m.Fault != nil {
			return m.Fault.Err()
		}
		if err := sink(plat.Chunk{Tokens: m.Tokens, Done: m.Done}); err != nil {
			return err
		}
		if m.Done {
			return nil
		}
	}
}

// Status implements [plat.Engine].
func (e *Engine) Status(ctx context.Context) (plat.Status, error) {
	var out codec.Status
	err := e.call(ctx, http.MethodGet, "/status", nil, &out)
	return codec.ToStatus(out), err
}

// Load implements [plat.Engine].
func (e *Engine) Load(ctx context.Context, o plat.Order) error {
	m := codec.Order{Model: string(o.Model), Version: uint64(o.Version), Fence: int64(o.Fence)}
	return e.call(ctx, http.MethodPost, "/load", m, nil)
}
