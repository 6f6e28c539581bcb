// Package trainer is a client for trainers: it announces versions, opens
// rounds and reads their samples, each exactly once.
//
// The client holds the specification and the cursor of a round, so any entry
// can go on with it after another one died. It tries the entries in turn.
//
// # Usage
//
//	c := trainer.New([]string{"http://10.0.0.7:7400"}, token)
//	err := c.Announce(ctx, "notice-model", 7)
//	r, err := c.Open(ctx, trainer.Spec{Name: "step-7", Class: "train-notices", Version: 7, ...})
//	for !r.Whole() {
//		samples, err := r.Read(ctx, 7)
//		...
//	}
//
// A class with a staleness bound of 1 or more lets a trainer open the round of
// step 8, for version 8, when it begins to train that version: the engines
// make its samples meanwhile, with version 7. It then waits far less.
package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/client"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
)

// Spec is a round to open.
type Spec struct {
	Name      string   // unique for this trainer
	Class     string   // a declared class of the kind round
	Version   uint64   // version for which the samples are wanted
	Prompts   []string // one a group
	Samples   int      // in each group
	Seed      int64
	MaxTokens int // 0 for the class's bound
}

// Sample is one sample.
type Sample = codec.Sample

// Span is a run of tokens made by one version.
type Span = codec.Span

// Client talks to the entries of a deployment.
type Client struct {
	entries []string
	token   string
	http    *http.Client
	next    atomic.Uint64
}

// New returns a client of the entries at the given URLs.
func New(entries []string, token string) *Client {
	return &Client{entries: entries, token: token, http: client.NewHTTP()}
}

const (
	retryWait = 100 * time.Millisecond
	callFor   = 30 * time.Second
	readWait  = 5 * time.Second
	maxAnswer = 64 << 20 // bytes
)

// call tries the entries in turn until one answers or the context ends.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	for {
		err := c.once(ctx, c.entry(), path, body, out)
		if err == nil || !mayRetry(err) {
			return err
		}
		c.next.Add(1)
		select {
		case <-ctx.Done():
			return errors.WithMessage(err, ctx.Err().Error())
		case <-time.After(retryWait):
		}
	}
}

func (c *Client) entry() string { return c.entries[c.next.Load()%uint64(len(c.entries))] }

// mayRetry reports whether another try can help. All calls of a trainer are
// idempotent.
func mayRetry(err error) bool {
	f, ok := fault.As(err)
	if !ok {
		return true
	}
	s := f.Kind().Info().Status
	return f.Outcome() == fault.Unknown || s >= http.StatusInternalServerError || s == http.StatusTooManyRequests
}

func (c *Client) once(ctx context.Context, entry, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "call entry")
	}
	defer client.DrainAndClose(resp.Body)
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer))
	if resp.StatusCode/100 != 2 {
		var m codec.Fault
		if err := dec.Decode(&m); err != nil {
			return errors.Errorf("entry answered %s", resp.Status)
		}
		return m.Err()
	}
	return errors.Wrap(dec.Decode(out), "decode answer")
}

type empty struct{}

// Announce tells the deployment that a version of a model is in the weight
// store.
func (c *Client) Announce(ctx context.Context, model string, version uint64) error {
	return c.call(ctx, "/v1/versions", codec.Version{Model: model, Version: version}, &empty{})
}

// Round is an open round. It is not safe for concurrent use.
type Round struct {
	c      *Client
	spec   codec.Spec
	cursor string
	have   map[int]bool
	groups []int
	whole  bool
}

// Open opens a round. Opening the same one again goes on with it.
func (c *Client) Open(ctx context.Context, s Spec) (*Round, error) {
	r := &Round{c: c, have: make(map[int]bool), spec: codec.Spec{
		Round:     s.Name,
		Class:     s.Class,
		Version:   s.Version,
		Prompts:   s.Prompts,
		Samples:   s.Samples,
		Seed:      s.Seed,
		MaxTokens: s.MaxTokens,
	}}
	return r, r.open(ctx)
}

// open opens the round, or opens it again at a new owner, which learns from
// the cursor what it need not make.
func (r *Round) open(ctx context.Context) error {
	r.spec.Cursor = r.cursor
	return r.c.call(ctx, "/v1/rounds", r.spec, &empty{})
}

// Whole reports whether every sample was read.
func (r *Round) Whole() bool { return r.whole }

// Complete returns the groups of which every sample was read and none was
// refused, in the order in which they became complete.
func (r *Round) Complete() []int { return append([]int(nil), r.groups...) }

// Progress is how far a round has come at its owner.
type Progress = codec.Progress

// Progress tells how far the round has come and what was made anew.
func (r *Round) Progress(ctx context.Context) (Progress, error) {
	var p Progress
	err := r.c.call(ctx, "/v1/rounds/progress", codec.Round{Round: r.spec.Round}, &p)
	return p, err
}

// Read waits for samples that were not read before, for the trainer's present
// version. It may return none.
func (r *Round) Read(ctx context.Context, version uint64) ([]Sample, error) {
	m := codec.ReadRequest{Round: r.spec.Round, Cursor: r.cursor, Version: version, WaitMS: readWait.Milliseconds()}
	var page codec.Page
	err := r.c.call(ctx, "/v1/rounds/read", m, &page)
	if fault.Is(err, fault.NotFound) { // The owner changed; the new one needs the specification.
		return nil, r.open(ctx)
	}
	if err != nil {
		return nil, err
	}
	r.cursor, r.whole = page.Cursor, page.Whole
	r.groups = append(r.groups, page.Complete...)
	var out []Sample
	for _, s := range page.Samples {
		if !r.have[s.Ordinal] {
			r.have[s.Ordinal] = true
			out = append(out, s)
		}
	}
	return out, nil
}

// Cancel ends the round.
func (r *Round) Cancel(ctx context.Context) error {
	return r.c.call(ctx, "/v1/rounds/cancel", codec.Round{Round: r.spec.Round}, &empty{})
}
