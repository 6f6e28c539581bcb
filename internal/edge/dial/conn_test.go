package dial

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// TestSendOnce guards against an ID that is sent twice over one connection, and against
// requests that are sent twice or not at all because kept connections are refused.
func TestSendOnce(t *testing.T) {
	const senders, rounds, ids = 8, 60, 5
	c := qt.New(t)
	var mu sync.Mutex
	arrived := make(map[string]int)            // by ID
	carried := make(map[string]map[string]int) // by connection and ID
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		id := r.Header.Get("Id")
		c.Check(err, qt.IsNil)
		c.Check(string(b), qt.Equals, "body of "+id)
		mu.Lock()
		defer mu.Unlock()
		arrived[id]++
		if carried[r.RemoteAddr] == nil {
			carried[r.RemoteAddr] = make(map[string]int)
		}
		carried[r.RemoteAddr][id]++
	}))
	defer srv.Close()
	client := &http.Client{Transport: NewTransport(senders, 0)}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	for sender := range senders {
		wg.Go(func() {
			for round := range rounds {
				id := fmt.Sprintf("%d-%d", sender, round%ids)
				resp, err := SendOnce(context.Background(), client, id, func(ctx context.Context) (*http.Request, error) {
					req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, io.NopCloser(strings.NewReader("body of "+id)))
					if err == nil {
						req.Header.Set("Id", id)
					}
					return req, err
				})
				if !c.Check(err, qt.IsNil) {
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				c.Check(err, qt.IsNil)
				c.Check(resp.Body.Close(), qt.IsNil)
			}
		})
	}
	wg.Wait()
	c.Check(arrived, qt.HasLen, senders*ids)
	for id, n := range arrived {
		c.Check(n, qt.Equals, rounds/ids, qt.Commentf("requests with ID %s", id))
	}
	for addr, byID := range carried {
		for id, n := range byID {
			c.Check(n, qt.Equals, 1, qt.Commentf("ID %s on the connection from %s", id, addr))
		}
	}
	c.Check(len(carried) < senders*rounds, qt.IsTrue, qt.Commentf("%d connections, none is kept", len(carried)))
}

// TestRefusalWaitsForAnswerBefore guards against an answer that its sender loses because the
// connection is closed for a request with an ID that it has carried, to which the transport
// has passed it on already.
func TestRefusalWaitsForAnswerBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := qt.New(t)
		near, far := net.Pipe()
		defer far.Close()
		c := &conn{Conn: near}
		for i := range 3 {
			done := c.acquire(fmt.Sprint("r", i))
			check.Assert(done, qt.IsNotNil)
			close(done)
		}
		last := c.acquire("last")
		check.Assert(last, qt.IsNotNil)
		refused := make(chan bool, 1)
		go func() { refused <- c.acquire("r1") == nil }()
		synctest.Wait()
		check.Check(refused, qt.HasLen, 0, qt.Commentf("the last request has no answer yet"))
		check.Check(c.refused, qt.IsFalse)
		close(last)
		check.Check(<-refused, qt.IsTrue)
		_, err := c.Write([]byte("x"))
		check.Check(err, qt.ErrorIs, errCarriedID)
	})
}
