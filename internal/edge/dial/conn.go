package dial

import (
	"context"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// rememberedIDs is the number of requests that a connection remembers. A second copy of an
// answer arrives where one of the next answers on its connection is due.
const rememberedIDs = 64

// errCarriedID is the error of a write to a connection that has refused a request.
var errCarriedID = errors.New("the connection has carried a request with this ID")

var idSeed = maphash.MakeSeed()

// conn is a connection that remembers the IDs of the requests that it has carried, and detects
// broken answers.
type conn struct {
	net.Conn
	writes writeState

	mu      sync.Mutex
	ids     []uint64      // hashes of the last IDs; a collision costs a new connection
	next    int           // index of the oldest ID once rememberedIDs are kept
	last    chan struct{} // closed when the sender of the last request has its answer
	refused bool
	head    headChecker // of the answer that is due
}

// acquire prepares the connection for a request with the ID. The sender closes the returned
// channel when it has its answer.
//
// The channel is nil if the connection has carried the ID before. It writes nothing from then
// on, so the transport closes it. Since the transport passes a connection on shortly before
// the sender of the last request has its answer, and would drop that answer, a refusal waits
// for that sender.
func (c *conn) acquire(id string) chan struct{} {
	last, carried := c.use(id)
	if !carried {
		return last
	}
	<-last
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = true
	return nil
}

// use records a request, unless the connection has carried its ID. It returns the channel
// of the last request.
func (c *conn) use(id string) (last chan struct{}, carried bool) {
	h := maphash.String(idSeed, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if id != "" && slices.Contains(c.ids, h) {
		return c.last, true
	}
	c.last = make(chan struct{})
	switch {
	case id == "":
	case len(c.ids) < rememberedIDs:
		c.ids = append(c.ids, h)
	default:
		c.ids[c.next] = h
		c.next = (c.next + 1) % rememberedIDs
	}
	return c.last, false
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		return 0, errCarriedID
	}
	c.writes.mu.Lock()
	defer c.writes.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.writes.record(err)
	return n, err
}

// Read returns io.EOF only if the peer has ended its direction of the connection. If the head of
// an answer is malformed, the error wraps ErrMalformedHead.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.writes.endOfRead(c.Conn)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.head.check(b[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// expectAnswer prepares the connection for the answer to a request that is sent next.
func (c *conn) expectAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.expect()
}

// SendOnce sends a request over a connection that has not carried its ID before, so that a
// second copy of an answer to an earlier request with the ID can't be taken for the answer.
// Kept connections that have carried the ID are closed without anything being sent on them.
// A request without an ID goes over any connection. The function returns the request for a
// context; it is called once for each connection. All requests of a client must be sent by
// SendOnce, and its transport must be one of [NewTransport].
func SendOnce(
	ctx context.Context, client *http.Client, id string, newRequest func(ctx context.Context) (*http.Request, error),
) (*http.Response, error) {
	for {
		var answered []chan struct{} // more than one if the transport tries again by itself
		admitted := true
		req, err := newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*conn)
			if !ok {
				return
			}
			done := c.acquire(id)
			if admitted = done != nil; admitted {
				answered = append(answered, done)
			}
		}}))
		if err != nil {
			return nil, err
		}
		resp, err := client.Do(req)
		for _, done := range answered {
			close(done)
		}
		if admitted {
			return resp, err
		}
		if err == nil {
			resp.Body.Close() // A copy that arrived on the refused connection.
		}
	}
}
