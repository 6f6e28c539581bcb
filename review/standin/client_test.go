//go:build review

package standin

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"
)

// client sends requests to one entry over one connection, which it keeps open.
type client struct {
	world *world
	entry *process
	http  *http.Client
}

func (w *world) newClient(entry *process) *client {
	return &client{w, entry, &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}}
}

// answer is the response to a request.
type answer struct {
	kept       bool // the request was sent over a connection that had been used before
	written    bool // the whole request was written
	status     int  // 0 if there was no response header
	header     http.Header
	body       string
	err        error // the response is not complete
	sentAt     time.Time
	endedAt    time.Time
	lastEvent  int      // of a stream
	softwares  []string // that made the events of a stream
	deadlineAt time.Time
}

// refused reports whether the status proves that the request did not run.
func (a *answer) refused() bool {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// unreadable hides the type of a body, so that net/http can't send it again by itself.
type unreadable struct{ io.Reader }

// send sends a request and reads the response to its end. onEvent, if not nil, is called
// with the lines of a stream.
func (c *client) send(method, path, id, body string, limit time.Duration, header map[string]string, onLine func(string)) *answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a := &answer{sentAt: time.Now(), deadlineAt: time.Now().Add(limit)}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { a.kept = i.Reused },
		WroteRequest: func(i httptrace.WroteRequestInfo) { a.written = i.Err == nil },
	})
	var reader io.Reader
	if body != "" {
		reader = unreadable{strings.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.entry.frontAddr()+path, reader)
	if err != nil {
		a.err = err
		return a
	}
	req.Host, req.ContentLength = host, int64(len(body))
	if id != "" {
		req.Header.Set(headerAttempt, id)
		req.Header.Set(headerDeadline, strconv.FormatInt(limit.Milliseconds(), 10))
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	defer func() { a.endedAt = time.Now() }()
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	if onLine == nil {
		b, err := io.ReadAll(resp.Body)
		a.body, a.err = string(b), err
		return a
	}
	r := bufio.NewReader(resp.Body)
	for {
		line, err := r.ReadString('\n')
		if err == io.EOF {
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
		onLine(strings.TrimSpace(line))
	}
}

// stream is a stream that a client takes up again until it is complete.
type stream struct {
	first     string // ID of the attempt that brought the first event
	last      int    // last event
	softwares map[string]int
	complete  bool
	statuses  []int
}

// attempt sends one attempt at a stream. It reports whether a further attempt is due.
func (s *stream) attempt(c *client, path, id string, limit time.Duration) bool {
	header := map[string]string{}
	if s.last > 0 {
		header[headerLastEvent], header[headerResumes] = strconv.Itoa(s.last), s.first
	}
	from := s.last
	number := 0
	a := c.send(http.MethodPost, path, id, "ask "+path, limit, header, func(line string) {
		if rest, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(rest) // The servers send only numbers.
		}
		if _, software, ok := strings.Cut(line, " by "); ok && strings.HasPrefix(line, "data: ") {
			if s.last == 0 {
				s.first = id
			}
			s.last = number
			s.softwares[software]++
		}
	})
	s.statuses = append(s.statuses, a.status)
	s.complete = a.err == nil && a.status == http.StatusOK
	c.world.record.printf("client: %s at %s after event %d (resumes %q): status %d, events up to %d, complete %v, error %v",
		id, c.entry.name, from, header[headerResumes], a.status, s.last, s.complete, a.err)
	return !s.complete
}
