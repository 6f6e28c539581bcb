// Package opcli is the HTTP client for operators.
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

// Client sends each call to the first entry that it can reach.
type Client struct {
	urls  []string
	token string
	http  *http.Client
}

// New returns a client of the entries at the given URLs. The token is empty for calls that
// need none.
func New(token string, urls ...string) *Client {
	return &Client{urls: urls, token: token, http: client.NewHTTP()}
}

// Config returns the configuration in force on an entry.
func (c *Client) Config(ctx context.Context) (codec.Config, error) {
	return get[codec.Config](ctx, c, "/v1/config")
}

// Audit returns the audit trail of the configuration.
func (c *Client) Audit(ctx context.Context) ([]codec.AuditEntry, error) {
	return get[[]codec.AuditEntry](ctx, c, "/v1/audit")
}

// Status returns the deployment as one entry sees it.
func (c *Client) Status(ctx context.Context) (codec.EntryStatus, error) {
	return get[codec.EntryStatus](ctx, c, "/v1/status")
}

// Overview is the state of a deployment: the status of one entry and the nodes that
// are known to any entry.
type Overview struct {
	Entry codec.EntryStatus  `json:"entry"`
	Nodes []codec.NodeStatus `json:"nodes"`
}

// Overview returns the status of one entry and all nodes.
func (c *Client) Overview(ctx context.Context) (Overview, error) {
	status, err := c.Status(ctx)
	if err != nil {
		return Overview{}, err
	}
	nodes, err := c.Nodes(ctx)
	status.Nodes = nil // Overview.Nodes includes them
	return Overview{Entry: status, Nodes: nodes.Nodes}, err
}

// Nodes returns all nodes that are known to any entry.
func (c *Client) Nodes(ctx context.Context) (codec.Nodes, error) {
	return get[codec.Nodes](ctx, c, "/v1/nodes")
}

// Quarantine returns the requests that are refused because they crash servers.
func (c *Client) Quarantine(ctx context.Context) ([]codec.QuarantinedRequest, error) {
	return get[[]codec.QuarantinedRequest](ctx, c, "/v1/quarantine")
}

// Lift lifts the quarantine of a request.
func (c *Client) Lift(ctx context.Context, request string) error {
	b, err := json.Marshal(codec.LiftRequest{Request: request})
	if err != nil {
		return errors.Wrap(err, "encode lift request")
	}
	_, err = callAny[struct{}](ctx, c, http.MethodPost, "/v1/quarantine/lift", b)
	return err
}

// ExplainPath is the path at which entries on the users' platform answer questions about
// requests and jobs.
const ExplainPath = "/v1/explain"

// Explain asks where a request or an item would go now. An entry answers that from its own
// view.
func (c *Client) Explain(ctx context.Context, q codec.ExplainRequest) (codec.Explanation, error) {
	b, err := json.Marshal(q)
	if err != nil {
		return codec.Explanation{}, errors.Wrap(err, "encode question")
	}
	return callAny[codec.Explanation](ctx, c, http.MethodPost, ExplainPath, b)
}

// Change submits a change of the configuration. It returns after the entry has read
// the change back from the log.
func (c *Client) Change(ctx context.Context, m codec.Change) (codec.ChangeReply, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return codec.ChangeReply{}, errors.Wrap(err, "encode change")
	}
	return callAny[codec.ChangeReply](ctx, c, http.MethodPost, "/v1/changes", b)
}

// get calls any entry with the method GET.
func get[Out any](ctx context.Context, c *Client, path string) (Out, error) {
	return callAny[Out](ctx, c, http.MethodGet, path, nil)
}

// callAny calls the entries one after another until one answers. If the connection to
// an entry breaks, the entry may have executed the call. Calling the next entry is safe
// even then, since all calls of this package are idempotent.
func callAny[Out any](ctx context.Context, c *Client, method, path string, body []byte) (Out, error) {
	var out Out
	err := errors.New("no entry URLs given")
	for _, u := range c.urls {
		var answered bool
		out, answered, err = callEntry[Out](ctx, c, method, u+path, body)
		if answered || ctx.Err() != nil {
			return out, err
		}
	}
	return out, err
}

// callEntry sends one call to the URL u. answered is false if no response arrived, so
// that another entry may be tried.
func callEntry[Out any](ctx context.Context, c *Client, method, u string, body []byte) (out Out, answered bool, err error) {
	r, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return out, true, errors.Wrap(err, "create request")
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
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
