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

// limited reads one message at a time and fails for good once a message is too
// large, since the rest of the stream can't be understood then.
type limited struct {
	r    *bufio.Reader
	left int
}

// Read implements [io.Reader].
func (l *limited) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// ReadByte implements [io.ByteReader], so that the decoder reads no further
// than one message.
func (l *limited) ReadByte() (byte, error) {
	if l.left <= 0 {
		return 0, errTooLarge
	}
	l.left--
	return l.r.ReadByte()
}

// counted counts the bytes of a connection in both directions.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements [net.Conn].
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// stream carries messages over a connection.
type stream struct {
	conn net.Conn
	in   *limited
	dec  *gob.Decoder
	out  *bufio.Writer
	enc  *gob.Encoder
}

func newStream(conn net.Conn, bytes *atomic.Int64) *stream {
	conn = &counted{conn, bytes}
	s := &stream{conn: conn, in: &limited{r: bufio.NewReader(conn)}, out: bufio.NewWriter(conn)}
	s.dec = gob.NewDecoder(s.in)
	s.enc = gob.NewEncoder(s.out)
	return s
}

// read decodes one message; after an error the connection is of no use.
func (s *stream) read(m any) error {
	s.in.left = maxMessage
	err := s.dec.Decode(m)
	if err != nil {
		_ = s.conn.Close()
	}
	if err == io.EOF { //nolint:errorlint // net/rpc compares it bare.
		return err
	}
	return errors.Wrap(err, "read message")
}

// write encodes a header and a body.
func (s *stream) write(head, body any) error {
	err := s.conn.SetWriteDeadline(time.Now().Add(writeFor))
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
	slots chan struct{} // one for each call being served
	once  sync.Once
	done  chan struct{}
}

func newServerCodec(conn net.Conn, bytes *atomic.Int64) *serverCodec {
	return &serverCodec{stream: newStream(conn, bytes), slots: make(chan struct{}, maxInFlight), done: make(chan struct{})}
}

// ReadRequestHeader implements [rpc.ServerCodec]. It waits while too many
// calls are being served.
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

// outgoing is the body of a call that remembers whether it was sent.
type outgoing struct {
	body any
	sent atomic.Bool
}

// clientCodec implements [rpc.ClientCodec].
type clientCodec struct {
	*stream
	answered atomic.Int64 // instant of the last answer, ns of the process
}

// WriteRequest implements [rpc.ClientCodec].
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	o, ok := body.(*outgoing)
	if !ok {
		return errors.Errorf("call %s was not made by a pool", r.ServiceMethod)
	}
	o.sent.Store(true)
	return c.write(r, o.body)
}

// ReadResponseHeader implements [rpc.ClientCodec].
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.read(r)
	c.answered.Store(int64(time.Since(processStart)))
	return err
}

// ReadResponseBody implements [rpc.ClientCodec].
func (c *clientCodec) ReadResponseBody(body any) error { return c.read(body) }

// Close implements [rpc.ClientCodec].
func (c *clientCodec) Close() error { return c.conn.Close() }

// processStart is the origin of instants in this package.
var processStart = time.Now()

// silence returns the time since the last answer.
func (c *clientCodec) silence() time.Duration {
	return time.Since(processStart) - time.Duration(c.answered.Load())
}
