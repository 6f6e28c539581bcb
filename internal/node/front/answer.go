package front

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// readUpTo reads at most limit bytes. The result is complete if the body ended
// before the limit.
func readUpTo(r io.Reader, limit int) (b []byte, complete bool, err error) {
	b, err = io.ReadAll(io.LimitReader(r, int64(limit)))
	return b, err == nil && len(b) < limit, err
}

// trackedReader keeps the error that ended the reading.
type trackedReader struct {
	io.Reader
	err error
}

func (r *trackedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		r.err = err
	}
	return n, err
}

// writeResponse writes a response to the client (rule 4). The error wraps errTruncated if
// the server's answer breaks off.
func (c *requestState) writeResponse(ctx context.Context, w http.ResponseWriter, a *attempt) (string, error) {
	if c.lastFailure != a {
		c.closeLastFailure()
	}
	if a.complete && c.req.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	} else if a.response.ContentLength >= 0 { // To HEAD it is that of a body which isn't sent.
		w.Header().Set("Content-Length", itoa(a.response.ContentLength))
	}
	c.startResponse(w, a.response)
	if _, err := w.Write(a.body); err != nil {
		return "client-left", nil
	}
	if a.complete {
		return "served", nil
	}
	defer a.response.Body.Close()
	body := &trackedReader{Reader: a.response.Body}
	_, err := io.Copy(w, body)
	switch {
	case body.err == io.EOF && a.isFinal():
		c.quarantine.RecordAnswer(c.fingerprint)
	case body.err != nil && body.err != io.EOF:
		c.recordBreak(ctx, a.server)
	}
	if err != nil {
		c.proxy.Log.Warn().Str("request", c.req.ID).Str("server", a.server.ID).Err(err).Msg("front: answer truncated")
		return "truncated", fault.Wrap(fault.BrokenAnswer, errTruncated, "answer of "+a.server.ID)
	}
	return "served", nil
}

// startResponse writes the header of a response to the client.
func (c *requestState) startResponse(w http.ResponseWriter, resp *plat.Response) {
	h := w.Header()
	for k, vs := range resp.Header {
		h[k] = vs
	}
	c.response = resp
	w.WriteHeader(resp.Status)
}

// respondFailure ends a request that has no attempt left (rule 10).
func (c *requestState) respondFailure(ctx context.Context, w http.ResponseWriter) (string, error) {
	switch {
	case c.lastFailure != nil:
		if outcome, err := c.writeResponse(ctx, w, c.lastFailure); err != nil {
			return outcome, err
		}
		return "server-failed", nil
	case !c.mayHaveRun && c.place.refused:
		return c.respondNoPlace()
	case !c.mayHaveRun && c.rateWait > 0:
		return "rate-limited", fault.New(fault.Overloaded, "each server of "+c.service+" that takes work limits the rate of requests").
			WithRetryAfter(max(retryAfter, c.rateWait))
	case !c.mayHaveRun && c.attempts == 0 && c.software != option.None[string]():
		return "no-server", fault.New(fault.NoBackend, "no server of service "+c.service+" with the software that began the stream takes work").
			WithRetryAfter(retryAfter)
	case !c.mayHaveRun && c.attempts == 0:
		return "no-server", fault.New(fault.NoBackend, "no server of service "+c.service+" takes work").
			WithRetryAfter(retryAfter)
	case !c.mayHaveRun:
		return "refused", fault.New(fault.NotReady, "each server of "+c.service+" that was asked refused").
			WithRetryAfter(retryAfter)
	case isStopping(ctx):
		return "stopped", fault.New(fault.OutcomeUnknown, "this entry stops before the answer is complete; send an idempotent request again")
	case hasClientLeft(ctx) && c.proxy.Clock.Now() < c.deadline:
		return "client-left", fault.New(fault.Canceled, "the client left")
	case c.proxy.Clock.Now() >= c.deadline:
		return "late", fault.New(fault.OutcomeUnknown, "no answer within the time of the client and the route")
	}
	return "failed", fault.New(fault.BrokenAnswer, "no whole answer from "+itoa(int64(c.attempts))+" servers")
}
