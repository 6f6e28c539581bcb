package dial

import (
	"context"
	"hash/maphash"
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

// conn is a connection that remembers the IDs of the requests that it has carried.
type conn struct {
	net.Conn

	mu      sync.Mutex
	ids     []uint64 // hashes of the last IDs; a collision costs a new connection
	next    int      // index of the oldest ID once rememberedIDs are kept
	refused bool
}

// admit reports whether a request with the ID may be sent. If the connection has carried
// the ID before, it writes nothing from then on.
func (c *conn) admit(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := maphash.String(idSeed, id)
	switch {
	case slices.Contains(c.ids, h):
		c.refused = true
		return false
	case len(c.ids) < rememberedIDs:
		c.ids = append(c.ids, h)
	default:
		c.ids[c.next] = h
		c.next = (c.next + 1) % rememberedIDs
	}
	return true
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		return 0, errCarriedID
	}
	return c.Conn.Write(b)
}

// SendOnce sends a request over a connection that has not carried its ID before, so that a
// second copy of an answer to an earlier request with the ID can't be taken for the answer.
// Kept connections that have carried the ID are closed without anything being sent on them.
// The function returns the request for a context; it is called once for each connection.
// The client's transport must be one of [NewTransport].
func SendOnce(
	ctx context.Context, client *http.Client, id string, newRequest func(ctx context.Context) (*http.Request, error),
) (*http.Response, error) {
	for {
		admitted := true
		req, err := newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				admitted = c.admit(id)
			}
		}}))
		if err != nil {
			return nil, err
		}
		resp, err := client.Do(req)
		if admitted {
			return resp, err
		}
		if err == nil {
			resp.Body.Close() // A copy that arrived on the refused connection.
		}
	}
}
