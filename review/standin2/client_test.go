//go:build review

package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// channel is a client's connection that it keeps for several requests.
type channel struct {
	conn net.Conn
	in   *bufio.Reader
}

func openChannel(addr string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, errors.Wrap(err, "channel")
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

func (ch *channel) close() { _ = ch.conn.Close() } // Nothing is left to send.

// reply is the answer to a request. If err is set the channel ended before its end.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// complete reports whether the answer came whole.
func (r reply) complete() bool { return r.status > 0 && r.err == nil }

func (r reply) String() string {
	switch {
	case r.status == 0:
		return fmt.Sprintf("no answer: %v", r.err)
	case r.err != nil:
		return fmt.Sprintf("status %d, %d bytes, then: %v", r.status, len(r.body), r.err)
	}
	return fmt.Sprintf("status %d, stamp %q, %d bytes %.60q", r.status, r.header.Get(headerStamp), len(r.body), r.body)
}

// send sends a request and reads its answer.
func (ch *channel) send(method, path, id, body string, header map[string]string, timeout time.Duration) reply {
	_ = ch.conn.SetDeadline(time.Now().Add(timeout)) // Fails only on a closed connection.
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerAttempt, id)
	}
	fmt.Fprintf(&b, "%s: %d\r\n", headerDeadline, timeout.Milliseconds())
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if body != "" || method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(ch.conn, b.String()); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(ch.in, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(text), err}
}

// once sends a request on a channel of its own.
func once(addr, method, path, id, body string, header map[string]string, timeout time.Duration) reply {
	ch, err := openChannel(addr)
	if err != nil {
		return reply{err: err}
	}
	defer ch.close()
	return ch.send(method, path, id, body, header, timeout)
}
