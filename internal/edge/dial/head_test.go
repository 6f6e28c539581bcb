package dial

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// headTests are heads of answers, of which those that are malformed must not reach a caller.
var headTests = map[string]struct {
	head string
	ok   bool
}{
	"fields":               {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-!#$%&'*+.^_`|~9: a b\r\n\r\n", true},
	"no field":             {"HTTP/1.1 200 OK\r\n\r\n", true},
	"short lines":          {"HTTP/1.1 200 OK\nA:1\nB:\n\n", true},
	"values":               {"HTTP/1.1 200 OK\r\nA: b : c\r\nB: \xff\r\nC:\td\r\n\r\n", true},
	"no reason":            {"HTTP/1.1 200\r\nA: 1\r\n\r\n", true},
	"long reason":          {"HTTP/1.1 200 " + strings.Repeat("x", 200) + "\r\nA: 1\r\n\r\n", true},
	"like one in the body": {"HTTP/1.1 200 OK\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nX Bad: 1\r\n Y: 1\r\n\r\n", true},
	"interim":              {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n\r\n", true},
	"another protocol":     {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nX Bad: 1\r\n\r\n", true},
	"blank inside":         {"HTTP/1.1 200 OK\r\nX Bad: 1\r\n\r\n", false},
	"blank before colon":   {"HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length : 2\r\n\r\n", false},
	"tab before colon":     {"HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length\t: 2\r\n\r\n", false},
	"blank first":          {"HTTP/1.1 200 OK\r\nA: 1\r\n Content-Length: 2\r\n\r\n", false},
	"tab first":            {"HTTP/1.1 200 OK\r\nA: 1\r\n\tContent-Length: 2\r\n\r\n", false},
	"blank at the start":   {"HTTP/1.1 200 OK\r\n Content-Length: 2\r\n\r\n", false},
	"continued":            {"HTTP/1.1 200 OK\r\nA: 1\r\n 2\r\n\r\n", false},
	"no name":              {"HTTP/1.1 200 OK\r\n: 1\r\n\r\n", false},
	"no colon":             {"HTTP/1.1 200 OK\r\nA\r\n\r\n", false},
	"no colon, short line": {"HTTP/1.1 200 OK\nA\n\n", false},
	"zero byte":            {"HTTP/1.1 200 OK\r\nA\x00: 1\r\n\r\n", false},
	"control byte":         {"HTTP/1.1 200 OK\r\nA\x7f: 1\r\n\r\n", false},
	"high byte":            {"HTTP/1.1 200 OK\r\nA\xe9: 1\r\n\r\n", false},
	"delimiter":            {"HTTP/1.1 200 OK\r\n(A): 1\r\n\r\n", false},
	"in an interim answer": {"HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false},
	"after an interim one": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX Bad: 1\r\n\r\n", false},
	"after two blanks":     {"HTTP/1.1  103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX Bad: 1\r\n\r\n", false},
}

// checkInParts checks a text that arrives in parts of n bytes.
func checkInParts(text string, n int) error {
	var h headChecker
	for ; len(text) > n; text = text[n:] {
		if err := h.check([]byte(text[:n])); err != nil {
			return err
		}
	}
	return h.check([]byte(text))
}

func TestHeadChecker(t *testing.T) {
	for name, test := range headTests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for _, n := range []int{1, 2, 7, len(test.head)} {
				err := checkInParts(test.head, n)
				c.Check(err == nil, qt.Equals, test.ok, qt.Commentf("parts of %d bytes: %v", n, err))
				c.Check(test.ok || errors.Is(err, ErrMalformedHead), qt.IsTrue)
			}
		})
	}
}

// FuzzHeadChecker checks that it doesn't matter in which parts a head arrives, and that no name
// with a blank passes net/http and the checker.
func FuzzHeadChecker(f *testing.F) {
	for _, test := range headTests {
		f.Add(test.head)
	}
	f.Fuzz(func(t *testing.T, text string) {
		err := checkInParts(text, len(text)+1)
		if inParts := checkInParts(text, 1); (inParts == nil) != (err == nil) {
			t.Fatalf("%v at once, %v in parts", err, inParts)
		}
		resp, readErr := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil || readErr != nil {
			return
		}
		for name := range resp.Header {
			if strings.Contains(name, " ") {
				t.Fatalf("name %q", name)
			}
		}
	})
}

// TestHeadsOnOneConnection guards against a check that takes part of a body for a head, or that
// misses the head of a later answer on a connection.
func TestHeadsOnOneConnection(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	const body = "HTTP/1.1 200 OK\r\nX Bad: 1\r\n\r\n"
	rest := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	whole := "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest
	answers := []string{whole, whole, "HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + rest}
	go func() {
		conn, err := ln.Accept() // All requests must come over this one.
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		for _, answer := range answers {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, answer) // The client checks what it gets.
		}
	}()
	client := &http.Client{Transport: NewTransport(1, 0)}
	defer client.CloseIdleConnections()
	for i := range answers {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+ln.Addr().String(), io.NopCloser(strings.NewReader("x")))
		c.Assert(err, qt.IsNil)
		resp, err := client.Do(req)
		if i == len(answers)-1 {
			c.Check(err, qt.ErrorIs, ErrMalformedHead)
			return
		}
		c.Assert(err, qt.IsNil)
		b, err := io.ReadAll(resp.Body)
		c.Check(err, qt.IsNil)
		c.Check(string(b), qt.Equals, body)
		c.Check(resp.Body.Close(), qt.IsNil)
	}
}
