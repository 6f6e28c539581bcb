package front

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/listen"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// requestState is the state of one request in progress.
type requestState struct {
	proxy       *Proxy
	quarantine  Quarantine
	req         *Request
	fingerprint func() string // of the request, for crash detection
	route       *router.Route
	service     string
	startedAt   clock.Millis
	deadline    clock.Millis
	tried       map[string]bool
	attempts    int
	own         bool                  // a call of the system's own, not a client's request
	begun       sync.Once             // guards Params.OnStart
	mayHaveRun  bool                  // at least one attempt may have been executed
	response    *plat.Response        // that is written to the client, nil before
	lastFailure *attempt              // last attempt that ended with a server error
	failures    int                   // attempts that the server answered with status 500
	software    option.Option[string] // of the servers at which the stream may go on (rule 7)
	place       place
	rateWait    clock.Millis // how long the last attempt would have waited for a start, 0 if no server was limited
}

// attempt is the result of sending the request to one server.
type attempt struct {
	server      *fleet.Server
	response    *plat.Response
	body        []byte // the complete body, or its first maxBufferedBytes
	complete    bool
	notExecuted bool
	overloaded  bool // refused because the server is overloaded
	hasEvents   bool // the response is final and a stream of events, whose body is not read yet
	err         error
}

// begin records that a server began to run a client's request at a time, or most likely
// did. A stream that the client takes up again has begun before.
func (c *requestState) begin(at clock.Millis) {
	if c.own || c.req.LastEventID > 0 {
		return
	}
	c.begun.Do(func() { c.proxy.OnStart(c.req.Workspace, at) })
}

// isFinal reports whether the attempt's response is returned to the client
// without further attempts.
func (a *attempt) isFinal() bool {
	return a.err == nil && !a.notExecuted && a.response.Status < http.StatusInternalServerError
}

// run serves the request and returns its outcome, as passed to Params.Observe.
func (c *requestState) run(ctx context.Context, w http.ResponseWriter) (string, error) {
	if c.route.Kind == router.Streaming {
		return c.runStream(ctx, w)
	}
	if c.route.IsRetryable() {
		return c.runHedged(ctx, w)
	}
	for {
		s := c.nextServer(ctx, true)
		if s == nil {
			return c.respondFailure(ctx, w)
		}
		a := c.runAttempt(ctx, s)
		if a.isFinal() {
			return c.writeResponse(ctx, w, a)
		}
		c.recordFailure(a)
		if !a.notExecuted { // rule 2
			return c.respondFailure(ctx, w)
		}
	}
}

// nextServer returns a server that was not tried yet, or nil if the request has
// no attempt left (rule 1). A limited server is returned only if mayAcquire is set.
func (c *requestState) nextServer(ctx context.Context, mayAcquire bool) *fleet.Server {
	if c.attempts >= c.route.MaxAttempts {
		return nil
	}
	s, limited := c.takePlace(ctx)
	if !limited {
		s = c.acquireServer(ctx, mayAcquire)
		if s == nil && mayAcquire {
			s = c.acquireLastResort(ctx)
		}
		if s != nil {
			c.startPlace(s)
		}
	}
	if s != nil {
		c.proxy.startAttempt(s.ID)
		c.tried[s.ID] = true
		c.attempts++
	}
	return s
}

// acquireServer returns the best server at which the request may start now, if
// necessary after waiting for the limited server that is available first (rule 6).
func (c *requestState) acquireServer(ctx context.Context, mayAcquire bool) *fleet.Server {
	rates := c.proxy.Rates
	excluded := c.excludedServers()
	var first *fleet.Server
	var firstWait clock.Millis
	for {
		s := c.chooseServer(excluded)
		if s == nil {
			break
		}
		if !rates.IsLimited(s) {
			return s
		}
		excluded[s.ID] = true
		if !mayAcquire {
			continue
		}
		wait, ok := rates.Acquire(ctx, s, 0)
		if !c.proxy.takesWork(s) { // rule 8
			continue
		}
		if ok {
			return s
		}
		if first == nil || wait < firstWait {
			first, firstWait = s, wait
		}
	}
	if first == nil {
		return nil
	}
	c.rateWait = firstWait
	maxWait := c.maxRateWait()
	if firstWait > maxWait {
		return nil
	}
	wait, ok := rates.Acquire(ctx, first, maxWait)
	if ok && !clock.Sleep(ctx, wait) {
		return nil
	}
	if !c.proxy.takesWork(first) { // rule 8
		c.rateWait = 0
		return c.acquireServer(ctx, mayAcquire)
	}
	if !ok {
		c.rateWait = max(c.rateWait, wait)
		return nil
	}
	return first
}

// acquireLastResort returns a server that states that it leaves, nil if the request can't
// start at any of them now (rule 8).
func (c *requestState) acquireLastResort(ctx context.Context) *fleet.Server {
	excluded := c.excludedServers()
	for ctx.Err() == nil {
		s := c.proxy.lastResort(c.service, excluded)
		if s == nil {
			return nil
		}
		excluded[s.ID] = true
		if c.proxy.Rates.IsLimited(s) {
			continue
		}
		c.proxy.Log.Info().Str("request", c.req.ID).Str("server", s.ID).Int64("stated-ms", int64(c.proxy.Clock.Now()-s.LeavingSince)).
			Msg("front: request goes to a server that states that it leaves, no other takes it")
		return s
	}
	return nil
}

// excludedServers returns the servers that were tried, and those at which a stream can't
// go on (rule 7).
func (c *requestState) excludedServers() map[string]bool {
	excluded := maps.Clone(c.tried)
	if software, ok := c.software.Get(); ok {
		for _, s := range c.proxy.Conf.Servers().ByService(c.service) {
			excluded[s.ID] = excluded[s.ID] || s.Software != software
		}
	}
	return excluded
}

// maxRateWait returns how long the request may wait for a limited server.
func (c *requestState) maxRateWait() clock.Millis {
	left := c.deadline - c.proxy.Clock.Now()
	if c.route.LatencyTarget == 0 {
		return left / 2
	}
	return min(left/2, clock.Millis(hedgeDelayShare*float64(c.route.LatencyTarget)))
}

func (c *requestState) recordFailure(a *attempt) {
	if !a.notExecuted {
		c.mayHaveRun = true
	}
	if a.response != nil && !a.notExecuted && a.err == nil {
		c.closeLastFailure()
		c.lastFailure = a // Its body is forwarded if no further attempt succeeds.
		if a.response.Status == http.StatusInternalServerError {
			c.failures++
		}
	} else if a.response != nil {
		a.response.Body.Close()
	}
	event := c.proxy.Log.Info().Str("request", c.req.ID).Str("server", a.server.ID).Str("addr", a.server.Addr).
		Bool("not-run", a.notExecuted).Err(a.err)
	if a.response != nil {
		event = event.Int("status", a.response.Status)
	}
	event.Msg("front: attempt failed")
}

// closeLastFailure closes the body of the last failure, which is not forwarded.
func (c *requestState) closeLastFailure() {
	if c.lastFailure != nil {
		c.lastFailure.response.Body.Close()
	}
}

// runHedged runs the attempts of a request that may run twice (rule 3).
func (c *requestState) runHedged(ctx context.Context, w http.ResponseWriter) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan *attempt, c.route.MaxAttempts)
	running := 0
	startAttempt := func() bool {
		s := c.nextServer(ctx, running == 0) // Don't wait while an answer may arrive.
		if s == nil {
			return false
		}
		running++
		go func() { results <- c.runAttempt(ctx, s) }()
		return true
	}
	startAttempt()
	delay := max(minHedgeDelay, clock.Millis(hedgeDelayShare*float64(c.route.LatencyTarget)))
	hedge := time.NewTimer(delay.Duration())
	defer hedge.Stop()
	for running > 0 {
		select {
		case a := <-results:
			running--
			if a.isFinal() {
				go closeBodies(results, running)
				return c.writeResponse(ctx, w, a)
			}
			c.recordFailure(a)
			if ctx.Err() == nil {
				startAttempt()
			}
		case <-hedge.C:
			if c.attempts < c.route.MaxAttempts {
				if c.proxy.withdrawHedgeBudget() {
					startAttempt()
				}
				hedge.Reset(delay.Duration()) // The budget may be larger by then.
			}
		}
	}
	return c.respondFailure(ctx, w)
}

// closeBodies closes the response bodies of the remaining attempts.
func closeBodies(results <-chan *attempt, running int) {
	for range running {
		if a := <-results; a.response != nil {
			a.response.Body.Close()
		}
	}
}

// runAttempt sends the request to one server and reads its response.
func (c *requestState) runAttempt(ctx context.Context, s *fleet.Server) *attempt {
	startedAt := c.proxy.Clock.Now()
	a := &attempt{server: s}
	outcome := pick.Failed
	c.startAttemptIn(s, startedAt)
	defer func() { c.endAttempt(a, startedAt, outcome) }()
	a.response, a.err = c.send(ctx, s, startedAt, c.req.LastEventID)
	if a.err != nil {
		c.handleSendError(ctx, a)
		if ctx.Err() != nil {
			outcome = pick.Canceled
		}
		if !a.notExecuted {
			c.begin(startedAt) // The answer is lost, or the client has left; servers begin at once.
		}
		return a
	}
	a.notExecuted = a.response.NotExecuted
	a.overloaded = a.notExecuted && !a.response.Misdirected
	if !a.notExecuted {
		c.begin(startedAt)
	}
	c.readBody(ctx, a)
	if a.err != nil || a.complete {
		a.response.Body.Close()
	}
	switch {
	case a.err != nil && ctx.Err() != nil:
		outcome = pick.Canceled
	case a.overloaded:
		outcome = pick.Refused
	case a.isFinal():
		outcome = pick.Served
	}
	return a
}

// handleSendError records whether an attempt without a response was executed, and
// whether its server disconnected (rule 5). A server that answers, if not as it should, has not.
func (c *requestState) handleSendError(ctx context.Context, a *attempt) {
	a.notExecuted = errors.Is(a.err, plat.ErrNotSent)
	answered := errors.Is(a.err, plat.ErrResponseMismatch) || errors.Is(a.err, plat.ErrInvalidStatus) || errors.Is(a.err, plat.ErrMalformedHead)
	if !a.notExecuted && !answered {
		c.recordBreak(ctx, a.server)
	}
}

// recordBreak records that a server broke off the request before the end of its answer,
// unless the request was over for its client or its route (rule 5).
func (c *requestState) recordBreak(ctx context.Context, s *fleet.Server) {
	if ctx.Err() == nil {
		c.quarantine.RecordDisconnect(s.Incarnation(), c.fingerprint())
	}
}

// readBody reads the body of an attempt's response, up to maxBufferedBytes. It records how
// the response ends, if it does: only a whole answer of a server that ran the request shows
// that the request does not crash servers (rule 5).
func (c *requestState) readBody(ctx context.Context, a *attempt) {
	a.body, a.complete, a.err = readUpTo(a.response.Body, maxBufferedBytes)
	switch {
	case a.err != nil && !a.notExecuted:
		c.recordBreak(ctx, a.server)
	case a.complete && a.isFinal():
		c.quarantine.RecordAnswer(c.fingerprint)
	}
}

func (c *requestState) send(
	ctx context.Context, s *fleet.Server, now clock.Millis, lastEventID int,
) (*plat.Response, error) {
	resp, err := c.proxy.Sender.Send(ctx, plat.Target{ID: s.ID, Addr: s.Addr}, plat.Request{
		ID:          c.req.ID,
		Method:      c.req.Method,
		URI:         c.req.URI,
		Host:        c.req.Host,
		Header:      c.req.Header,
		Body:        c.req.Body,
		Workspace:   c.req.Workspace,
		Timeout:     c.deadline - now,
		LastEventID: lastEventID,
	})
	if err == nil && !resp.Misdirected {
		c.proxy.Rates.Observe(s, now, resp.RateLimit)
		c.observeLeaving(s, resp.Leaving)
	}
	return resp, err
}

// observeLeaving records what an answer of a server states about its end.
func (c *requestState) observeLeaving(s *fleet.Server, stated plat.Leaving) {
	if stated.Malformed != "" {
		c.proxy.Log.Warn().Str("server", s.ID).Str("leaving", stated.Malformed).
			Msg("front: statement that a server leaves can't be decoded and is ignored")
	}
	if stated.Stated {
		c.proxy.Conf.RecordLeaving(s.ID, s.StartedAt, "answer")
	}
}

// isStopping reports whether a request was canceled because this entry stops.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), listen.ErrStopping) }

// hasClientLeft reports whether a request was canceled because its client closed the
// connection.
func hasClientLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !isStopping(ctx)
}

// endAttempt records the end of an attempt for the choice of servers and zones, and gives
// back its place.
func (c *requestState) endAttempt(a *attempt, startedAt clock.Millis, o pick.Outcome) {
	c.finishAttemptIn(a, startedAt, o)
	c.endPlace(a, startedAt, o)
}
