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
	// probeFor is how long an owner that is silent may take to answer: some ways
	// between regions. What was seen holds for probeKeep.
	probeFor  = 400 * clock.Milli
	probeKeep = clock.Second
	// mostBoot bounds the answer, in bytes.
	mostBoot = 256
)

// AlivePath is where a node tells its incarnation.
const AlivePath = "/alive"

// ServeAlive serves AlivePath.
func (w *Worker) ServeAlive(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(rw, w.Self.Boot) // One that does not hear it asks again.
}

// doubt is what a silent owner answered.
type doubt struct {
	at   clock.Millis // when it was asked
	gone bool
}

// without returns the nodes that may go on with a job: all that live, but not
// its owner while that one is only in doubt.
func without(alive []ident.Node, owner joblog.Node, inDoubt bool) []ident.Node {
	if !inDoubt {
		return alive
	}
	return slices.DeleteFunc(slices.Clone(alive), func(n ident.Node) bool { return string(n) == owner.Name })
}

// gone reports whether the owner of a job, silent for a while, has ended. It is
// asked beside the look, which comes again within lookEach.
func (w *Worker) gone(ctx context.Context, now clock.Millis, n joblog.Node, addr string) bool {
	d := w.doubts[n.Name]
	if now-d.at < probeKeep {
		return d.gone
	}
	w.doubts[n.Name] = doubt{at: now}
	go w.probe(ctx, n, addr)
	return false
}

func (w *Worker) probe(ctx context.Context, n joblog.Node, addr string) {
	ctx, cancel := context.WithTimeout(ctx, probeFor.Duration())
	defer cancel()
	boot, err := w.incarnation(ctx, addr)
	gone := err != nil || boot != n.Boot
	w.Log.Info().Str("owner", n.Name).Str("addr", addr).Bool("gone", gone).Err(err).Msg("work: a silent owner was asked")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.doubts[n.Name] = doubt{w.Clock.Now(), gone}
	w.Wake()
}

// incarnation asks a node which start of it runs.
func (w *Worker) incarnation(ctx context.Context, addr string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+AlivePath, nil)
	if err != nil {
		return "", errors.Wrap(err, "alive")
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "alive")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, mostBoot))
	return string(b), errors.Wrap(err, "alive")
}
