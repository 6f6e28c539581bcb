// Package opcli is the HTTP client of operators.
//
// # Usage
//
//	c := opcli.New("http://10.0.0.7:7400", token)
//	cfg, err := c.Config(ctx)
//	rev, err := c.Change(ctx, change)
package opcli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/edge/client"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
)

// Client talks to one entry.
type Client struct {
	url   string
	token string
	http  *http.Client
}

// New returns a client of the entry at a URL.
func New(url, token string) *Client { return &Client{url: url, token: token, http: client.NewHTTP()} }

// Config returns the configuration in force on the entry.
func (c *Client) Config(ctx context.Context) (codec.Config, error) {
	return get[codec.Config](ctx, c, "/v1/config")
}

// Audit returns the trail of changes.
func (c *Client) Audit(ctx context.Context) ([]codec.Audit, error) {
	return get[[]codec.Audit](ctx, c, "/v1/audit")
}

// Status returns what the entry knows of the deployment.
func (c *Client) Status(ctx context.Context) (codec.EntryStatus, error) {
	return get[codec.EntryStatus](ctx, c, "/v1/status")
}

// Change publishes a change; it returns once the entry has read it back.
func (c *Client) Change(ctx context.Context, m codec.Change) (codec.Changed, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return codec.Changed{}, errors.Wrap(err, "encode change")
	}
	return do[codec.Changed](ctx, c, http.MethodPost, "/v1/changes", bytes.NewReader(b))
}

func get[Out any](ctx context.Context, c *Client, path string) (Out, error) {
	return do[Out](ctx, c, http.MethodGet, path, nil)
}

func do[Out any](ctx context.Context, c *Client, method, path string, body io.Reader) (Out, error) {
	var out Out
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, body)
	if err != nil {
		return out, errors.Wrap(err, "make request")
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(r)
	if err != nil {
		return out, errors.Wrap(err, "call entry")
	}
	defer func() { _ = resp.Body.Close() }()
	dec := json.NewDecoder(resp.Body)
	if resp.StatusCode/100 != 2 {
		var m codec.Fault
		if err := dec.Decode(&m); err != nil {
			return out, errors.Errorf("entry answered %s", resp.Status)
		}
		return out, m.Err()
	}
	return out, errors.Wrap(dec.Decode(&out), "decode answer")
}
