// Package opcli is the HTTP client of operators.
//
// # Usage
//
//	c := opcli.New(token, "http://10.0.0.7:7400", "http://10.0.0.8:7400")
//	cfg, err := c.Config(ctx)
//	rev, err := c.Change(ctx, change)
package opcli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/client"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
)

// Client talks to the first entry that can be reached.
type Client struct {
	urls  []string
	token string
	http  *http.Client
}

// New returns a client of the entries at some URLs.
func New(token string, urls ...string) *Client {
	return &Client{urls: urls, token: token, http: client.NewHTTP()}
}

// Config returns the configuration in force on the entry.
func (c *Client) Config(ctx context.Context) (codec.Config, error) {
	return get[codec.Config](ctx, c, "/v1/config")
}

// Audit returns the trail of changes.
func (c *Client) Audit(ctx context.Context) ([]codec.AuditEntry, error) {
	return get[[]codec.AuditEntry](ctx, c, "/v1/audit")
}

// Status returns what the entry knows of the deployment.
func (c *Client) Status(ctx context.Context) (codec.EntryStatus, error) {
	return get[codec.EntryStatus](ctx, c, "/v1/status")
}

// Overview is the state of a deployment: one entry's view, and all nodes.
type Overview struct {
	Entry codec.EntryStatus  `json:"entry"`
	Nodes []codec.NodeStatus `json:"nodes"`
}

// Overview returns what one entry knows, and all nodes.
func (c *Client) Overview(ctx context.Context) (Overview, error) {
	e, err := c.Status(ctx)
	if err != nil {
		return Overview{}, err
	}
	n, err := c.Nodes(ctx)
	e.Nodes = nil // listed once
	return Overview{Entry: e, Nodes: n.Nodes}, err
}

// Nodes returns all nodes that any entry hears.
func (c *Client) Nodes(ctx context.Context) (codec.Nodes, error) {
	return get[codec.Nodes](ctx, c, "/v1/nodes")
}

// Quarantine lists the requests that are refused because they crash servers.
func (c *Client) Quarantine(ctx context.Context) ([]codec.QuarantinedRequest, error) {
	return get[[]codec.QuarantinedRequest](ctx, c, "/v1/quarantine")
}

// Lift lets a quarantined request run again.
func (c *Client) Lift(ctx context.Context, request string) error {
	b, err := json.Marshal(codec.LiftRequest{Request: request})
	if err != nil {
		return errors.Wrap(err, "encode lift")
	}
	_, err = do[struct{}](ctx, c, http.MethodPost, "/v1/quarantine/lift", b)
	return err
}

// Change publishes a change; it returns once the entry has read it back.
func (c *Client) Change(ctx context.Context, m codec.Change) (codec.ChangeReply, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return codec.ChangeReply{}, errors.Wrap(err, "encode change")
	}
	return do[codec.ChangeReply](ctx, c, http.MethodPost, "/v1/changes", b)
}

func get[Out any](ctx context.Context, c *Client, path string) (Out, error) {
	return do[Out](ctx, c, http.MethodGet, path, nil)
}

// do asks the entries in turn until one answers. An entry that was not reached
// did nothing; of one whose answer was lost that is not known, and asking the
// next one is safe since all calls here may be repeated.
func do[Out any](ctx context.Context, c *Client, method, path string, body []byte) (Out, error) {
	var out Out
	err := errors.New("no entry is named")
	for _, u := range c.urls {
		var answered bool
		out, answered, err = ask[Out](ctx, c, method, u+path, body)
		if answered || ctx.Err() != nil {
			return out, err
		}
	}
	return out, err
}

func ask[Out any](ctx context.Context, c *Client, method, u string, body []byte) (out Out, answered bool, err error) {
	r, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return out, true, errors.Wrap(err, "make request")
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(r)
	if err != nil {
		return out, false, fault.Wrap(fault.EntryUnreachable, err, "call entry")
	}
	defer client.DrainAndClose(resp.Body)
	dec := json.NewDecoder(resp.Body)
	if resp.StatusCode/100 == 2 {
		return out, true, errors.Wrap(dec.Decode(&out), "decode answer")
	}
	var m codec.Fault
	if err := dec.Decode(&m); err != nil {
		return out, true, errors.Errorf("entry answered %s", resp.Status)
	}
	return out, true, m.Err()
}
