package roles

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
)

// maxWorkspaceLabels bounds the series of the metric of workspaces: several times the
// workspaces of the largest deployment. Further workspaces are counted together.
const maxWorkspaceLabels = 500

// workspaceCounter counts the accepted requests of each workspace. Names come from the
// configuration, never from a client.
type workspaceCounter struct {
	counter metric.Int64Counter

	mu     sync.Mutex
	labels sets.Set[ident.Workspace]
}

func newWorkspaceCounter(m metric.Meter) (*workspaceCounter, error) {
	c, err := m.Int64Counter("workspace.requests", metric.WithDescription("Accepted requests, jobs and calls for jobs by workspace"))
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	return &workspaceCounter{counter: c, labels: make(sets.Set[ident.Workspace])}, nil
}

// count counts a request of a kind. Requests of no workspace are not counted.
func (c *workspaceCounter) count(w ident.Workspace, kind string) {
	if w == "" {
		return
	}
	c.counter.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("workspace", c.label(w)), attribute.String("kind", kind)))
}

func (c *workspaceCounter) label(w ident.Workspace) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.labels.Has(w) {
		if len(c.labels) >= maxWorkspaceLabels {
			return "other"
		}
		c.labels.Add(w)
	}
	return string(w)
}
