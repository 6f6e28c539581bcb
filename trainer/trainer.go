// Package trainer is a client for trainers. It announces weight versions, opens rounds
// and reads the samples of a round, each exactly once.
//
// The client keeps the specification and the cursor of a round. So if the entry that
// owns the round fails, any other entry can continue the round. The client tries the
// entries one after another.
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
// If the staleness bound of a class is 1 or more, a trainer can open the round of step
// 8, for version 8, as soon as it begins to train version 8. The engines generate the
// samples with version 7 during the training, so the trainer waits far less for them.
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

// Spec is the specification of a round.
type Spec struct {
	Name      string   // unique among the rounds of this trainer
	Class     string   // a declared class of the kind "round"
	Version   uint64   // requested weight version; samples may be older, up to the staleness bound
	Prompts   []string // one for each group
	Samples   int      // samples per group
	Seed      int64
	MaxTokens int // per sample; 0 for the limit of the class
}

// Sample is one sample of a round.
type Sample = codec.Sample

// Span is a range of tokens that one weight version generated.
type Span = codec.Span

// Client calls the entries of a deployment. It is safe for concurrent use.
type Client struct {
	entries []string
	token   string
	http    *http.Client
	next    atomic.Uint64 // index of the entry to call, modulo the number of entries
}

// New returns a client of the entries at the given URLs.
func New(entries []string, token string) *Client {
	return &Client{entries: entries, token: token, http: client.NewHTTP()}
}

const (
	retryDelay       = 100 * time.Millisecond
	callTimeout      = 30 * time.Second
	readTimeout      = 5 * time.Second // how long the entry waits for samples
	maxResponseBytes = 64 << 20
)

// call sends a call to one entry after another, until an entry answers with a result or
// a final error, or the context ends.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	for {
		err := c.callEntry(ctx, c.entry(), path, body, out)
		if err == nil || !mayRetry(err) {
			return err
		}
		c.next.Add(1)
		select {
		case <-ctx.Done():
			return errors.WithMessage(err, ctx.Err().Error())
		case <-time.After(retryDelay):
		}
	}
}

// entry returns the URL of the entry to call next.
func (c *Client) entry() string { return c.entries[c.next.Load()%uint64(len(c.entries))] }

// mayRetry reports whether a retry can succeed. Retries are safe, since all calls of a
// trainer are idempotent.
func mayRetry(err error) bool {
	f, ok := fault.As(err)
	if !ok {
		return true
	}
	status := f.Kind().Info().Status
	return f.Outcome() == fault.Unknown || status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// callEntry sends one call to one entry and decodes the answer into out.
func (c *Client) callEntry(ctx context.Context, entry, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "call entry")
	}
	defer client.DrainAndClose(resp.Body)
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode/100 != 2 {
		var m codec.Fault
		if err := dec.Decode(&m); err != nil {
			return errors.Errorf("entry answered %s", resp.Status)
		}
		return m.Err()
	}
	return errors.Wrap(dec.Decode(out), "decode answer")
}

// empty is the answer of calls without a result.
type empty struct{}

// Announce announces that a version of a model is available in the weight store.
func (c *Client) Announce(ctx context.Context, model string, version uint64) error {
	return c.call(ctx, "/v1/versions", codec.Version{Model: model, Version: version}, &empty{})
}

// Round is an open round. It is not safe for concurrent use.
type Round struct {
	client         *Client
	spec           codec.RoundSpec
	cursor         string
	seen           map[int]bool // ordinals of the samples read
	completeGroups []int
	allRead        bool
}

// Open opens a round, or resumes the round if it is already open.
func (c *Client) Open(ctx context.Context, s Spec) (*Round, error) {
	r := &Round{client: c, seen: make(map[int]bool), spec: codec.RoundSpec{
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

// open opens the round, or reopens it at a new owner. The cursor shows a new owner which
// samples it need not generate.
func (r *Round) open(ctx context.Context) error {
	r.spec.Cursor = r.cursor
	return r.client.call(ctx, "/v1/rounds", r.spec, &empty{})
}

// Whole reports whether every sample of the round was read.
func (r *Round) Whole() bool { return r.allRead }

// Complete returns the indexes of the groups of which every sample was read and none
// was refused, in the order in which the groups became complete.
func (r *Round) Complete() []int { return append([]int(nil), r.completeGroups...) }

// Progress is the progress of a round, as its owner sees it.
type Progress = codec.Progress

// Progress returns the number of samples in each state, and how many were generated
// again for which reason.
func (r *Round) Progress(ctx context.Context) (Progress, error) {
	var progress Progress
	err := r.client.call(ctx, "/v1/rounds/progress", codec.Round{Round: r.spec.Round}, &progress)
	return progress, err
}

// Read waits for samples of the round and returns those that were not read before.
// version is the version that the trainer has now, against which the staleness bound is
// checked. Read may return no samples.
func (r *Round) Read(ctx context.Context, version uint64) ([]Sample, error) {
	m := codec.ReadRequest{Round: r.spec.Round, Cursor: r.cursor, Version: version, WaitMS: readTimeout.Milliseconds()}
	var page codec.Page
	err := r.client.call(ctx, "/v1/rounds/read", m, &page)
	if fault.Is(err, fault.NotFound) { // The round has a new owner, which needs the specification.
		return nil, r.open(ctx)
	}
	if err != nil {
		return nil, err
	}
	r.cursor, r.allRead = page.Cursor, page.RoundComplete
	r.completeGroups = append(r.completeGroups, page.CompleteGroups...)
	var out []Sample
	for _, s := range page.Samples {
		if !r.seen[s.Ordinal] {
			r.seen[s.Ordinal] = true
			out = append(out, s)
		}
	}
	return out, nil
}

// Cancel cancels the round.
func (r *Round) Cancel(ctx context.Context) error {
	return r.client.call(ctx, "/v1/rounds/cancel", codec.Round{Round: r.spec.Round}, &empty{})
}
