package work

import (
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
)

const (
	// probeTimeout is how long a suspect owner may take to answer: a few one-way
	// trips between regions. The result of a probe is valid for probeTTL.
	probeTimeout = 400 * clock.Milli
	probeTTL     = clock.Second
	// maxIncarnationBytes limits the size of the answer.
	maxIncarnationBytes = 256
)

// IncarnationPath is the path at which a node returns its incarnation.
const IncarnationPath = "/alive"

// ServeIncarnation serves IncarnationPath.
func (w *Worker) ServeIncarnation(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(rw, w.Self.Boot) // A node that does not receive the answer asks again.
}

// probeResult is the result of asking a suspect owner for its incarnation.
type probeResult struct {
	at   clock.Millis // when the probe started or ended
	gone bool
}

// takeoverCandidates returns the nodes that may take over a job: all live nodes,
// except the owner while it is only suspect.
func takeoverCandidates(alive []ident.Node, owner joblog.Node, suspect bool) []ident.Node {
	if !suspect {
		return alive
	}
	return slices.DeleteFunc(slices.Clone(alive), func(n ident.Node) bool { return string(n) == owner.Name })
}

// ownerGone reports whether the last probe of a suspect owner got no answer, or the
// answer of another incarnation. If there is no recent probe, one is started in the
// background, and a later call returns its result.
func (w *Worker) ownerGone(ctx context.Context, now clock.Millis, n joblog.Node, addr string) bool {
	last := w.probes[n.Name]
	if now-last.at < probeTTL {
		return last.gone
	}
	w.probes[n.Name] = probeResult{at: now}
	go w.probeOwner(ctx, n, addr)
	return false
}

func (w *Worker) probeOwner(ctx context.Context, n joblog.Node, addr string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	boot, err := w.fetchIncarnation(ctx, addr)
	gone := err != nil || boot != n.Boot
	w.Log.Info().Str("owner", n.Name).Str("addr", addr).Bool("gone", gone).Err(err).Msg("work: a silent owner was asked")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probes[n.Name] = probeResult{w.Clock.Now(), gone}
	w.Wake()
}

// fetchIncarnation asks a node for its current incarnation.
func (w *Worker) fetchIncarnation(ctx context.Context, addr string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+IncarnationPath, nil)
	if err != nil {
		return "", errors.Wrap(err, "alive")
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "alive")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxIncarnationBytes))
	return string(b), errors.Wrap(err, "alive")
}
