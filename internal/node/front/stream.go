package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/lines"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/listen"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
)

var (
	// errClientWrite is the error of a stream whose client takes no more events.
	errClientWrite = errors.New("client")
	// errNoRoom is the error of a stream with an event for which this process has no room.
	errNoRoom = errors.New("no room for an event")
)

// runStream forwards the events of a stream as they arrive. It forwards only
// complete events, so that another server can resume after the last one if the
// route allows it. An answer that is no stream of events is forwarded like that of a plain
// request. The response starts with the first event, by the server that made it. The error
// wraps errTruncated if the response has started and the stream can't be completed.
func (c *requestState) runStream(ctx context.Context, w http.ResponseWriter) (string, error) {
	if outcome, err := c.takeUp(ctx); err != nil {
		return outcome, err
	}
	started := false
	last := c.req.LastEventID // last event that was forwarded to the client
	for {
		s := c.nextServer(ctx, true)
		if s == nil {
			break
		}
		a := c.startStream(ctx, s, last)
		if a.isFinal() && !a.hasEvents && !started {
			return c.writeResponse(ctx, w, a)
		}
		if !a.hasEvents {
			c.recordFailure(a)
			if a.notExecuted || c.route.IsRetryable() {
				continue
			}
			break
		}
		start := func() { // Until then the client can still get an error.
			if !started {
				started = true
				c.startResponse(w, a.response)
			}
		}
		n, err := copyEvents(w, a.response, listen.HeldFor(ctx), last, c.route.Resumable, func() {
			c.begin(c.proxy.Clock.Now())
			c.recordOrigin(ctx, s)
			start()
		})
		a.response.Body.Close()
		last = n
		if err == nil {
			start() // A stream may have no event.
			c.quarantine.RecordAnswer(c.fingerprint)
			return "served", nil
		}
		c.mayHaveRun = true
		own := errors.Is(err, errClientWrite) || errors.Is(err, errNoRoom)
		if !own {
			c.recordBreak(ctx, s)
		}
		c.proxy.Log.Info().Str("request", c.req.ID).Str("server", s.ID).Int("last-event", last).Err(err).
			Msg("front: stream truncated")
		if ctx.Err() != nil || errors.Is(err, errNoRoom) || !c.route.Resumable {
			break
		}
	}
	if started {
		outcome := "truncated"
		if hasClientLeft(ctx) {
			outcome = "client-left"
		}
		return outcome, fault.Wrap(fault.BrokenAnswer, errTruncated, "stream after event "+strconv.Itoa(last))
	}
	return c.respondFailure(ctx, w)
}

// takeUp restricts a stream that the client takes up again to the servers at which it may
// go on, or refuses it.
func (c *requestState) takeUp(ctx context.Context) (string, error) {
	if c.route.Kind != router.Streaming || c.req.LastEventID == 0 || !c.route.Resumable {
		return "", nil
	}
	if err := c.findOrigin(ctx); err != nil {
		return "no-origin", fault.New(fault.NotReady, err.Error()).WithRetryAfter(retryAfter)
	}
	return "", nil
}

// findOrigin restricts a stream that the client takes up again to the servers at which it
// may go on. It returns an error if they are not known, or if the route no longer sends
// requests to their service (rule 7).
func (c *requestState) findOrigin(ctx context.Context) error {
	assumed := "" // The service, unless it may have been another one.
	if len(c.route.Backends) == 1 {
		assumed = c.service
	}
	from, err := c.proxy.Origins.Find(ctx, c.req.Resumes, assumed)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(c.route.Backends, func(b router.Backend) bool { return b.Service == from.Service }) {
		return errors.Errorf("route %s no longer sends requests to service %s", c.route.Name, from.Service)
	}
	c.service, c.software = from.Service, option.Some(from.Software)
	return nil
}

// recordOrigin restricts the rest of a stream to the software of the server that made its
// first event.
func (c *requestState) recordOrigin(ctx context.Context, s *fleet.Server) {
	if _, known := c.software.Get(); known || !c.route.Resumable {
		return
	}
	c.software = option.Some(s.Software)
	c.proxy.Origins.Record(ctx, resume.Origin{Stream: c.req.ID, Service: c.service, Software: s.Software})
}

// startStream sends the request to one server and returns once the response
// header has been read. If the response is no stream of events, it also reads the body.
func (c *requestState) startStream(ctx context.Context, s *fleet.Server, last int) *attempt {
	startedAt := c.proxy.Clock.Now()
	a := &attempt{server: s}
	c.startAttemptIn(s, startedAt)
	a.response, a.err = c.send(ctx, s, startedAt, last)
	outcome := pick.Served
	switch {
	case a.err != nil:
		c.handleSendError(ctx, a)
		outcome = pick.Failed
	case a.response.NotExecuted:
		a.notExecuted = true
		a.response.Body.Close()
		outcome = pick.Refused
	case c.req.Method != http.MethodHead && hasEvents(a.response):
		a.hasEvents = true
	default:
		c.readBody(ctx, a)
		if !a.isFinal() {
			outcome = pick.Failed
		}
	}
	c.endAttempt(a, startedAt, outcome)
	return a
}

// copyEvents forwards complete events and returns the ID of the last one. The
// error is nil if the stream is complete: it ends after an event, or with the length that its
// header states. An ID that is no number is an error only where the stream can be resumed. The
// function is called before each event.
func copyEvents(
	w http.ResponseWriter, resp *plat.Response, held listen.Held, last int, resumable bool, beforeEvent func(),
) (int, error) {
	r := bufio.NewReader(resp.Body)
	controller := http.NewResponseController(w)
	event := eventBuffer{held: held}
	defer event.release()
	id := last
	for {
		line, err := event.readLine(r)
		if err == io.EOF {
			return last, copyRest(w, event.b, resp.ContentLength, beforeEvent)
		}
		if err != nil {
			return last, errors.WithMessage(err, "stream")
		}
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.Atoi(string(bytes.TrimSpace(rest)))
			switch {
			case err == nil:
				id = n
			case resumable:
				return last, errors.Wrap(err, "event ID")
			}
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		beforeEvent()
		if _, err := w.Write(event.b); err != nil {
			return last, fmt.Errorf("%w: %w", errClientWrite, err)
		}
		if err := controller.Flush(); err != nil {
			return last, fmt.Errorf("%w: %w", errClientWrite, err)
		}
		last, event.b = id, event.b[:0]
	}
}

// copyRest forwards what follows the last event of a stream. The rest is part of an event that
// was cut off, unless it is blank or the header stated the length of the whole stream.
func copyRest(w io.Writer, rest []byte, length int64, beforeEvent func()) error {
	if len(rest) == 0 {
		return nil
	}
	if length < 0 && len(bytes.TrimSpace(rest)) > 0 {
		return io.ErrUnexpectedEOF
	}
	beforeEvent()
	if _, err := w.Write(rest); err != nil {
		return fmt.Errorf("%w: %w", errClientWrite, err)
	}
	return nil
}

// eventBuffer is an event that is held until it is complete. Its room is counted.
type eventBuffer struct {
	b    []byte
	held listen.Held
}

// readLine appends the next line to the event and returns it, or the bytes before the end of
// the input with the error of the reader.
func (e *eventBuffer) readLine(r *bufio.Reader) ([]byte, error) {
	start := len(e.b)
	err := lines.Each(r, plat.MaxEventBytes-start, func(part []byte) error {
		if err := e.reserve(len(part)); err != nil {
			return err
		}
		e.b = append(e.b, part...)
		return nil
	})
	return e.b[start:], err
}

// reserve makes room for n further bytes.
func (e *eventBuffer) reserve(n int) error {
	before, need := cap(e.b), len(e.b)+n
	if need <= before {
		return nil
	}
	after := max(need, min(2*before, plat.MaxEventBytes))
	if err := e.held.Grow(int64(after)); err != nil {
		return fmt.Errorf("%w: %w", errNoRoom, err)
	}
	e.b = append(make([]byte, 0, after), e.b...)
	e.held.Shrink(int64(before))
	return nil
}

func (e *eventBuffer) release() { e.held.Shrink(int64(cap(e.b))) }
