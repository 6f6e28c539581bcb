// Package client provides the HTTP clients of the platform, engines, plain services and
// scoring services. Each type implements an interface of package plat.
//
// # Usage
//
//	l := client.NewLog("http://127.0.0.1:7001")
//	off, err := l.Append(ctx, "config", [][]byte{rec})
//
// If the body of an error response is a [codec.Fault], the error is that fault. After
// any other failure of a request that was sent, it is unknown whether the request
// took effect.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/dial"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

const (
	connectTimeout   = time.Second
	maxIdlePerHost   = 64
	maxResponseBytes = 64 << 20
)

// NewHTTP returns an HTTP client that limits the time to connect. Only the context
// limits the duration of a call.
func NewHTTP() *http.Client {
	return &http.Client{Transport: &dial.Transport{Transport: &http.Transport{
		DialContext:         dial.Checked((&net.Dialer{Timeout: connectTimeout}).DialContext),
		MaxIdleConnsPerHost: maxIdlePerHost,
	}}}
}

// maxDrainBytes limits how much DrainAndClose reads of a body.
const maxDrainBytes = 64 << 10

// DrainAndClose reads the rest of a response body and closes it. The HTTP client can't
// reuse the connection of a body that is closed before its end, and has to dial again
// for the next call.
func DrainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes) // After an error the connection can't be reused anyway.
	_ = body.Close()
}

// jsonClient calls one server with requests and responses in JSON.
type jsonClient struct {
	url  string
	http *http.Client
}

func newJSONClient(u string) jsonClient { return jsonClient{url: u, http: NewHTTP()} }

// call sends in, unless it is nil, and decodes the response into out, unless that is
// nil.
func (c jsonClient) call(ctx context.Context, method, path string, in, out any) error {
	u, err := url.Parse(c.url + path)
	if err != nil {
		return errors.Wrap(err, "parse URL")
	}
	kit := kithttp.NewClient(method, u, encodeJSON, decodeInto(out), kithttp.SetClient(c.http))
	_, err = kit.Endpoint()(ctx, in)
	return err
}

// encodeJSON sets the body of a request, unless in is nil.
func encodeJSON(ctx context.Context, r *http.Request, in any) error {
	if in == nil {
		return nil
	}
	return kithttp.EncodeJSONRequest(ctx, r, in)
}

// decodeInto returns a function that decodes a successful response into out, unless
// that is nil, and returns the fault of any other response.
func decodeInto(out any) kithttp.DecodeResponseFunc {
	return func(_ context.Context, r *http.Response) (any, error) {
		defer DrainAndClose(r.Body)
		if r.StatusCode/100 != 2 {
			return nil, readFault(r)
		}
		if out == nil {
			return nil, nil
		}
		return nil, errors.Wrap(json.NewDecoder(io.LimitReader(r.Body, maxResponseBytes)).Decode(out), "decode answer")
	}
}

// readFault returns the error that an unsuccessful response describes.
func readFault(r *http.Response) error {
	var m codec.Fault
	err := json.NewDecoder(io.LimitReader(r.Body, maxResponseBytes)).Decode(&m)
	if err != nil || m.Kind == "" {
		return errors.Errorf("%s answered %s", r.Request.URL.Path, r.Status)
	}
	return m.Err()
}

// Log is a client of the platform's log.
type Log struct{ jsonClient }

// NewLog returns a client of the log at the given URL.
func NewLog(u string) *Log { return &Log{newJSONClient(u)} }

// Append implements [plat.Log].
func (l *Log) Append(ctx context.Context, stream string, data [][]byte) (ident.Offset, error) {
	var out codec.AppendReply
	err := l.call(ctx, http.MethodPost, "/streams/"+url.PathEscape(stream), codec.AppendRequest{Records: data}, &out)
	return ident.Offset(out.Offset), err
}

// Read implements [plat.Log].
func (l *Log) Read(ctx context.Context, stream string, from ident.Offset, limit int, wait clock.Millis) (plat.Batch, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatInt(int64(from), 10))
	q.Set("limit", strconv.Itoa(limit))
	q.Set("wait-ms", strconv.FormatInt(int64(wait), 10))
	var out codec.Batch
	err := l.call(ctx, http.MethodGet, "/streams/"+url.PathEscape(stream)+"?"+q.Encode(), nil, &out)
	return codec.ToBatch(out), err
}

// VMs is a client of the platform's VM list.
type VMs struct{ jsonClient }

// NewVMs returns a client of the VM list at the given URL.
func NewVMs(u string) *VMs { return &VMs{newJSONClient(u)} }

// List implements [plat.VMLister].
func (v *VMs) List(ctx context.Context) ([]plat.VM, error) {
	var ms []codec.VM
	if err := v.call(ctx, http.MethodGet, "/vms", nil, &ms); err != nil {
		return nil, err
	}
	out := make([]plat.VM, 0, len(ms))
	for _, m := range ms {
		out = append(out, codec.ToVM(m))
	}
	return out, nil
}

// Weights is a client of the weight store.
type Weights struct{ jsonClient }

// NewWeights returns a client of the weight store at the given URL.
func NewWeights(u string) *Weights { return &Weights{newJSONClient(u)} }

// AcquireTransfer implements [plat.WeightStore].
func (w *Weights) AcquireTransfer(ctx context.Context, m ident.Service, v ident.Version) error {
	return w.call(ctx, http.MethodPost, "/transfers", codec.Transfer{Model: string(m), Version: uint64(v)}, nil)
}

// Plain is a client of one server of a plain service.
type Plain struct{ jsonClient }

// NewPlain returns a client of the server of a plain service at the given URL.
func NewPlain(u string) *Plain { return &Plain{newJSONClient(u)} }

// Headers of the calls to plain services.
const (
	HeaderAttempt = "Jujuberamp-Attempt" // identifier of the attempt
	HeaderOnce    = "Jujuberamp-Once"    // whether the call must run at most once
)

// Do implements [plat.PlainServer].
func (p *Plain) Do(ctx context.Context, c plat.ServiceCall) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+"/call", bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	r.Header.Set(HeaderAttempt, string(c.Attempt))
	r.Header.Set(HeaderOnce, strconv.FormatBool(c.AtMostOnce))
	resp, err := p.http.Do(r)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" { // The request was not sent.
		return nil, fault.Wrap(fault.NoBackend, err, "the service can't be reached")
	}
	if err != nil {
		return nil, errors.Wrap(err, "call service")
	}
	defer DrainAndClose(resp.Body)
	if resp.StatusCode/100 != 2 {
		return nil, readFault(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return body, errors.Wrap(err, "read answer")
}

// Incarnation implements [plat.PlainServer].
func (p *Plain) Incarnation(ctx context.Context) (ident.Incarnation, error) {
	var out codec.Incarnation
	err := p.call(ctx, http.MethodGet, "/boot", nil, &out)
	return codec.ToIncarnation(out), err
}

// Scorer is a client of a scoring service.
type Scorer struct{ jsonClient }

// NewScorer returns a client of the scoring service at the given URL.
func NewScorer(u string) *Scorer { return &Scorer{newJSONClient(u)} }

// Score implements [plat.Scorer].
func (s *Scorer) Score(ctx context.Context, prompt []byte, tokens []uint32) (float64, error) {
	var out codec.ScoreReply
	err := s.call(ctx, http.MethodPost, "/score", codec.ScoreRequest{Prompt: prompt, Tokens: tokens}, &out)
	return out.Score, err
}
