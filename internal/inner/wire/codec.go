package wire

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var errTooLarge = errors.New("message is larger than 32 MB")

// messageReader bounds the bytes read for one message. After a message that is
// too large every read fails, since the rest of the stream can't be decoded.
type messageReader struct {
	r         *bufio.Reader
	remaining int
}

// Read implements [io.Reader].
func (l *messageReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// ReadByte implements [io.ByteReader]. A gob decoder wraps a reader without this
// method in a buffer, which would read beyond the end of the message.
func (l *messageReader) ReadByte() (byte, error) {
	if l.remaining <= 0 {
		return 0, errTooLarge
	}
	l.remaining--
	return l.r.ReadByte()
}

// countingConn counts the bytes that a connection sends and receives.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements [net.Conn].
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// stream encodes and decodes the messages of one connection.
type stream struct {
	conn net.Conn
	in   *messageReader
	dec  *gob.Decoder
	out  *bufio.Writer
	enc  *gob.Encoder
}

func newStream(conn net.Conn, bytes *atomic.Int64) *stream {
	conn = &countingConn{conn, bytes}
	s := &stream{conn: conn, in: &messageReader{r: bufio.NewReader(conn)}, out: bufio.NewWriter(conn)}
	s.dec = gob.NewDecoder(s.in)
	s.enc = gob.NewEncoder(s.out)
	return s
}

// read decodes one message. It closes the connection after an error.
func (s *stream) read(m any) error {
	s.in.remaining = maxMessage
	err := s.dec.Decode(m)
	if err != nil {
		_ = s.conn.Close()
	}
	if err == io.EOF { //nolint:errorlint // net/rpc compares it bare.
		return err
	}
	return errors.Wrap(err, "read message")
}

// write sends a header and a body. It closes the connection after an error.
func (s *stream) write(head, body any) error {
	err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	for _, m := range []any{head, body} {
		if err == nil {
			err = s.enc.Encode(m)
		}
	}
	if err == nil {
		err = s.out.Flush()
	}
	if err != nil {
		_ = s.conn.Close()
	}
	return errors.Wrap(err, "write message")
}

// serverCodec implements [rpc.ServerCodec].
type serverCodec struct {
	*stream
	slots chan struct{} // one element for each call in progress
	once  sync.Once
	done  chan struct{}
}

func newServerCodec(conn net.Conn, bytes *atomic.Int64) *serverCodec {
	return &serverCodec{
		stream: newStream(conn, bytes),
		slots:  make(chan struct{}, maxInFlight),
		done:   make(chan struct{}),
	}
}

// ReadRequestHeader implements [rpc.ServerCodec]. It waits while maxInFlight
// calls of the connection are in progress.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	select {
	case c.slots <- struct{}{}:
	case <-c.done:
		return io.EOF
	}
	return c.read(r)
}

// ReadRequestBody implements [rpc.ServerCodec].
func (c *serverCodec) ReadRequestBody(body any) error { return c.read(body) }

// WriteResponse implements [rpc.ServerCodec].
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	<-c.slots
	return c.write(r, body)
}

// Close implements [rpc.ServerCodec].
func (c *serverCodec) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.conn.Close()
}

// trackedBody is the body of a call. It records whether sending the call has
// begun.
type trackedBody struct {
	body any
	sent atomic.Bool
}

// clientCodec implements [rpc.ClientCodec].
type clientCodec struct {
	*stream
	lastAnswer atomic.Int64 // time of the last answer, ns since processStart
}

// WriteRequest implements [rpc.ClientCodec].
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	tracked, ok := body.(*trackedBody)
	if !ok {
		return errors.Errorf("call of %s was not made by a pool", r.ServiceMethod)
	}
	tracked.sent.Store(true)
	return c.write(r, tracked.body)
}

// ReadResponseHeader implements [rpc.ClientCodec].
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.read(r)
	c.lastAnswer.Store(int64(time.Since(processStart)))
	return err
}

// ReadResponseBody implements [rpc.ClientCodec].
func (c *clientCodec) ReadResponseBody(body any) error { return c.read(body) }

// Close implements [rpc.ClientCodec].
func (c *clientCodec) Close() error { return c.conn.Close() }

// processStart is the zero point of the times in lastAnswer.
var processStart = time.Now()

// sinceLastAnswer returns the time since the last answer, or since the
// connection was opened if there was no answer yet.
func (c *clientCodec) sinceLastAnswer() time.Duration {
	return time.Since(processStart) - time.Duration(c.lastAnswer.Load())
}
