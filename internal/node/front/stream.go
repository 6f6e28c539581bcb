package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// stream passes the events of a stream on as they come. Only whole events are
// passed on, so that another server can go on after the last one where the
// route allows it. Once the answer has begun, a stream that can't go on breaks
// the client's connection.
func (c *call) stream(ctx context.Context, w http.ResponseWriter) (string, error) {
	begun := false
	last := c.req.LastEventID
	for {
		s := c.next()
		if s == nil {
			break
		}
		a := c.begin(ctx, s, last)
		if !a.good() {
			c.note(a)
			if a.answer != nil && !a.notRun {
				a.answer.Body.Close()
			}
			if a.notRun || c.route.IsRetryable() {
				continue
			}
			break
		}
		if !begun {
			begun = true
			head(w, a.answer)
			w.WriteHeader(a.answer.Status)
		}
		n, err := copyEvents(w, a.answer.Body, last)
		a.answer.Body.Close()
		last = n
		if err == nil {
			return "served", nil
		}
		c.mayRun = true
		c.front.Log.Info().Str("request", c.req.ID).Str("server", s.ID).Int("last-event", last).Err(err).Msg("front: stream broke off")
		if ctx.Err() != nil || !c.route.Resumable {
			break
		}
	}
	if begun {
		panic(http.ErrAbortHandler)
	}
	return c.giveUp(ctx, w)
}

func (c *call) begin(ctx context.Context, s *fleet.Server, last int) *attempt {
	began := c.front.Clock.Now()
	a := &attempt{server: s}
	a.answer, a.err = c.send(ctx, s, began, last)
	outcome := pick.Served
	switch {
	case a.err != nil:
		a.notRun = errors.Is(a.err, plat.ErrNotSent)
		outcome = pick.Failed
	case a.answer.NotRun:
		a.notRun = true
		a.answer.Body.Close()
		outcome = pick.Refused
	case a.answer.Status >= http.StatusInternalServerError:
		a.body, a.whole, a.err = readSome(a.answer.Body, buffered)
		outcome = pick.Failed
	}
	c.front.ended(s.ID, began, outcome)
	return a
}

// copyEvents writes whole events and returns the number of the last one. The
// error is nil after the end of a whole stream.
func copyEvents(w http.ResponseWriter, body io.Reader, last int) (int, error) {
	r := bufio.NewReader(body)
	flush := http.NewResponseController(w)
	var event []byte
	number := last
	for {
		line, err := r.ReadBytes('\n')
		event = append(event, line...)
		if err == io.EOF && len(bytes.TrimSpace(event)) == 0 {
			return last, nil
		}
		if err == io.EOF {
			return last, io.ErrUnexpectedEOF
		}
		if err != nil {
			return last, errors.Wrap(err, "stream")
		}
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if number, err = strconv.Atoi(string(bytes.TrimSpace(rest))); err != nil {
				return last, errors.Wrap(err, "number of an event")
			}
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if _, err := w.Write(event); err != nil {
			return last, errors.Wrap(err, "client")
		}
		if err := flush.Flush(); err != nil {
			return last, errors.Wrap(err, "client")
		}
		last, event = number, event[:0]
	}
}
