// Package client reaches the platform, engines, plain services and scoring
// services over HTTP. Each type meets an interface of package plat.
//
// # Usage
//
//	l := client.NewLog("http://127.0.0.1:7001")
//	off, err := l.Append(ctx, "config", [][]byte{rec})
//
// An answer with a body of [codec.Fault] becomes that fault. Any other
// failure after the request was sent leaves the effect open.
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
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

const (
	connectTimeout = time.Second
	idlePerHost    = 64
	maxAnswer      = 64 << 20 // bytes
)

// NewHTTP returns an HTTP client with a bounded time to connect. The time of
// a whole call is bounded by its context.
func NewHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
	}}
}

// maxRest bounds what is read of a body beyond the part that was wanted.
const maxRest = 64 << 10 // bytes

// DrainAndClose reads a body to its end and closes it. A body that is closed before
// its end costs the connection, and the next call has to dial.
func DrainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxRest) // The end, or a connection that is of no use.
	_ = body.Close()
}

// base is one server that answers JSON.
type base struct {
	url  string
	http *http.Client
}

func newBase(u string) base { return base{url: u, http: NewHTTP()} }

// call sends a message and decodes the answer into out, both as JSON.
func (b base) call(ctx context.Context, method, path string, in, out any) error {
	u, err := url.Parse(b.url + path)
	if err != nil {
		return errors.Wrap(err, "parse URL")
	}
	c := kithttp.NewClient(method, u, encode, decodeInto(out), kithttp.SetClient(b.http))
	_, err = c.Endpoint()(ctx, in)
	return err
}

func encode(ctx context.Context, r *http.Request, in any) error {
	if in == nil {
		return nil
	}
	return kithttp.EncodeJSONRequest(ctx, r, in)
}

func decodeInto(out any) kithttp.DecodeResponseFunc {
	return func(_ context.Context, r *http.Response) (any, error) {
		defer DrainAndClose(r.Body)
		if r.StatusCode/100 != 2 {
			return nil, readFault(r)
		}
		if out == nil {
			return nil, nil
		}
		return nil, errors.Wrap(json.NewDecoder(io.LimitReader(r.Body, maxAnswer)).Decode(out), "decode answer")
	}
}

func readFault(r *http.Response) error {
	var m codec.Fault
	err := json.NewDecoder(io.LimitReader(r.Body, maxAnswer)).Decode(&m)
	if err != nil || m.Kind == "" {
		return errors.Errorf("%s answered %s", r.Request.URL.Path, r.Status)
	}
	return m.Err()
}

// Log is the platform's log.
type Log struct{ base }

// NewLog returns a client of the log at a URL.
func NewLog(u string) *Log { return &Log{newBase(u)} }

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

// VMs is the platform's list of VMs.
type VMs struct{ base }

// NewVMs returns a client of the VM list at a URL.
func NewVMs(u string) *VMs { return &VMs{newBase(u)} }

// List implements [plat.VMs].
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

// Weights is the weight store.
type Weights struct{ base }

// NewWeights returns a client of the weight store at a URL.
func NewWeights(u string) *Weights { return &Weights{newBase(u)} }

// AcquireTransfer implements [plat.Weights].
func (w *Weights) AcquireTransfer(ctx context.Context, m ident.Service, v ident.Version) error {
	return w.call(ctx, http.MethodPost, "/transfers", codec.Transfer{Model: string(m), Version: uint64(v)}, nil)
}

// Plain is one server of a plain service.
type Plain struct{ base }

// NewPlain returns a client of the plain service at a URL.
func NewPlain(u string) *Plain { return &Plain{newBase(u)} }

// Headers of a call of a plain service.
const (
	HeaderAttempt = "Jujuberamp-Attempt"
	HeaderOnce    = "Jujuberamp-Once"
)

// Do implements [plat.Plain].
func (p *Plain) Do(ctx context.Context, c plat.ServiceCall) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+"/call", bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	r.Header.Set(HeaderAttempt, string(c.Attempt))
	r.Header.Set(HeaderOnce, strconv.FormatBool(c.AtMostOnce))
	resp, err := p.http.Do(r)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" { // Nothing was sent.
		return nil, fault.Wrap(fault.NoBackend, err, "the service can't be reached")
	}
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	defer DrainAndClose(resp.Body)
	if resp.StatusCode/100 != 2 {
		return nil, readFault(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return body, errors.Wrap(err, "read answer")
}

// Incarnation implements [plat.Plain].
func (p *Plain) Incarnation(ctx context.Context) (ident.Incarnation, error) {
	var out codec.Incarnation
	err := p.call(ctx, http.MethodGet, "/boot", nil, &out)
	return codec.ToIncarnation(out), err
}

// Scorer is a scoring service.
type Scorer struct{ base }

// NewScorer returns a client of the scoring service at a URL.
func NewScorer(u string) *Scorer { return &Scorer{newBase(u)} }

// Score implements [plat.Scorer].
func (s *Scorer) Score(ctx context.Context, prompt []byte, tokens []uint32) (float64, error) {
	var out codec.ScoreReply
	err := s.call(ctx, http.MethodPost, "/score", codec.ScoreRequest{Prompt: prompt, Tokens: tokens}, &out)
	return out.Score, err
}
