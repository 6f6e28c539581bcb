package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// call is one request in progress.
type call struct {
	front    *Proxy
	req      *Request
	name     func() string // by which package crash knows the request
	route    *router.Route
	service  string
	start    clock.Millis
	until    clock.Millis
	tried    map[string]bool
	sent     int
	mayRun   bool     // a server may have run it
	failure  *attempt // the last answer of failure
	failures int
}

// attempt is the end of one send.
type attempt struct {
	server *fleet.Server
	answer *plat.Response
	body   []byte // whole, or the part that was read so far
	whole  bool
	notRun bool
	full   bool // refused for load
	err    error
}

// good reports whether an attempt's answer ends the request.
func (a *attempt) good() bool {
	return a.err == nil && !a.notRun && a.answer.Status < http.StatusInternalServerError
}

func (c *call) run(ctx context.Context, w http.ResponseWriter) (string, error) {
	if c.route.Kind == router.Streaming {
		return c.stream(ctx, w)
	}
	if c.route.IsRetryable() {
		return c.race(ctx, w)
	}
	for {
		s := c.next()
		if s == nil {
			return c.giveUp(ctx, w)
		}
		a := c.try(ctx, s)
		if a.good() {
			return c.pass(w, a)
		}
		c.note(a)
		if !a.notRun { // rule 2
			return c.giveUp(ctx, w)
		}
	}
}

// next applies rule 1.
func (c *call) next() *fleet.Server {
	if c.sent >= c.route.MaxAttempts {
		return nil
	}
	s := c.front.choose(c.service, c.tried)
	if s != nil {
		c.tried[s.ID] = true
		c.sent++
	}
	return s
}

func (c *call) note(a *attempt) {
	if !a.notRun {
		c.mayRun = true
	}
	if a.answer != nil && !a.notRun && a.err == nil {
		c.failure = a
		c.failures++
	}
	ev := c.front.Log.Info().Str("request", c.req.ID).Str("server", a.server.ID).Str("addr", a.server.Addr).
		Bool("not-run", a.notRun).Err(a.err)
	if a.answer != nil {
		ev = ev.Int("status", a.answer.Status)
	}
	ev.Msg("front: attempt failed")
}

// race applies rule 3.
func (c *call) race(ctx context.Context, w http.ResponseWriter) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan *attempt, c.route.MaxAttempts)
	open := 0
	launch := func() bool {
		s := c.next()
		if s == nil {
			return false
		}
		open++
		go func() { ends <- c.try(ctx, s) }()
		return true
	}
	launch()
	wait := max(hedgeLeast, clock.Millis(hedgeShare*float64(c.route.LatencyTarget)))
	hedge := time.NewTimer(wait.Duration())
	defer hedge.Stop()
	for open > 0 {
		select {
		case a := <-ends:
			open--
			if a.good() {
				go closeLater(ends, open)
				return c.pass(w, a)
			}
			c.note(a)
			if ctx.Err() == nil {
				launch()
			}
		case <-hedge.C:
			if c.sent < c.route.MaxAttempts && c.front.mayHedge() && launch() {
				hedge.Reset(wait.Duration())
			}
		}
	}
	return c.giveUp(ctx, w)
}

// closeLater frees the answers that lost the race.
func closeLater(ends <-chan *attempt, open int) {
	for range open {
		if a := <-ends; a.answer != nil {
			a.answer.Body.Close()
		}
	}
}

// try sends the request to one server and reads its answer.
func (c *call) try(ctx context.Context, s *fleet.Server) *attempt {
	began := c.front.Clock.Now()
	a := &attempt{server: s}
	outcome := pick.Failed
	defer func() { c.front.ended(s.ID, began, outcome) }()
	a.answer, a.err = c.send(ctx, s, began, c.req.LastEventID)
	if a.err != nil {
		a.notRun = errors.Is(a.err, plat.ErrNotSent)
		switch {
		case ctx.Err() != nil:
			outcome = pick.Canceled
		case !a.notRun && !errors.Is(a.err, plat.ErrResponseMismatch):
			c.front.Quarantine.RecordDisconnect(s.Incarnation(), c.name()) // rule 5
		}
		return a
	}
	c.front.Quarantine.RecordAnswer(c.name)
	a.notRun = a.answer.NotRun
	a.full = a.notRun && !a.answer.Misdirected
	a.body, a.whole, a.err = readSome(a.answer.Body, buffered)
	if a.err != nil || a.whole {
		a.answer.Body.Close()
	}
	switch {
	case a.err != nil && ctx.Err() != nil:
		outcome = pick.Canceled
	case a.full:
		outcome = pick.Refused
	case a.good():
		outcome = pick.Served
	}
	return a
}

func (c *call) send(ctx context.Context, s *fleet.Server, now clock.Millis, resume int) (*plat.Response, error) {
	return c.front.Sender.Send(ctx, plat.Target{ID: s.ID, Addr: s.Addr}, plat.Request{
		ID: c.req.ID, Method: c.req.Method, URI: c.req.URI, Host: c.req.Host, Header: c.req.Header, Body: c.req.Body,
		Timeout: c.until - now, LastEventID: resume,
	})
}

// readSome reads a body up to a size; whole tells that it ended before.
func readSome(r io.Reader, most int) (b []byte, whole bool, err error) {
	b, err = io.ReadAll(io.LimitReader(r, int64(most)))
	return b, err == nil && len(b) < most, err
}

// pass applies rule 4.
func (c *call) pass(w http.ResponseWriter, a *attempt) (string, error) {
	head(w, a.answer)
	if a.whole {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	} else if a.answer.ContentLength >= 0 {
		w.Header().Set("Content-Length", itoa(a.answer.ContentLength))
	}
	if rec, ok := w.(*recorder); ok {
		rec.answer, rec.failures, rec.attempts = a.answer, c.failures, c.route.MaxAttempts
	}
	w.WriteHeader(a.answer.Status)
	if _, err := w.Write(a.body); err != nil {
		return "client-left", nil
	}
	if a.whole {
		return "served", nil
	}
	defer a.answer.Body.Close()
	if _, err := io.Copy(w, a.answer.Body); err != nil {
		c.front.Log.Warn().Str("request", c.req.ID).Str("server", a.server.ID).Err(err).Msg("front: answer broke off, connection closed")
		panic(http.ErrAbortHandler)
	}
	return "served", nil
}

func head(w http.ResponseWriter, a *plat.Response) {
	h := w.Header()
	for k, vs := range a.Header {
		h[k] = vs
	}
}

// giveUp applies rule 6.
func (c *call) giveUp(ctx context.Context, w http.ResponseWriter) (string, error) {
	switch {
	case c.failure != nil:
		_, err := c.pass(w, c.failure)
		return "server-failed", err
	case !c.mayRun && c.sent == 0:
		return "no-server", fault.New(fault.NoBackend, "no server of service "+c.service+" takes work").WithRetryAfter(comeBack)
	case !c.mayRun:
		return "refused", fault.New(fault.NotReady, "each server of "+c.service+" that was asked refused").WithRetryAfter(comeBack)
	case errors.Is(ctx.Err(), context.Canceled) && c.front.Clock.Now() < c.until:
		return "client-left", fault.New(fault.Canceled, "the client left")
	case c.front.Clock.Now() >= c.until:
		return "late", fault.New(fault.OutcomeUnknown, "no answer within the time of the client and the route")
	}
	return "failed", fault.New(fault.BrokenAnswer, "no whole answer from "+itoa(int64(c.sent))+" servers")
}

// recorder keeps an answer for a call of the system itself.
type recorder struct {
	header   http.Header
	answer   *plat.Response
	failures int
	attempts int
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(int)             {}
func (r *recorder) Write(b []byte) (int, error) { return len(b), nil }
