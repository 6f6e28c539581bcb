package dial

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"
)

// ErrMalformedHead is wrapped by the error of an answer whose head has a line that isn't a header
// field.
var ErrMalformedHead = errors.New("malformed head of an answer")

// maxStatusLineBytes bounds how much of a status line is kept to recognize an interim answer.
const maxStatusLineBytes = 64

// headPart is a part of the head of an answer.
type headPart uint8

const (
	inStatusLine headPart = iota
	atLineStart
	inName
	inValue
	afterHead
)

// headChecker checks the names of the header fields of an answer, and of the interim answers before
// it, as their bytes arrive (RFC 9112, section 5). net/http rejects most names that aren't tokens.
// But it keeps names with spaces, and appends a line that begins with whitespace to the value
// of the field before. Both can hide a field that says where the body ends.
//
// Bytes that don't begin like an HTTP answer are left to net/http.
type headChecker struct {
	part   headPart
	status []byte // start of the status line
}

// expect prepares for the next head.
func (h *headChecker) expect() { h.part, h.status = inStatusLine, h.status[:0] }

// check checks the next bytes of an answer. An error wraps ErrMalformedHead.
func (h *headChecker) check(b []byte) error {
	for len(b) > 0 && h.part != afterHead {
		switch h.part {
		case inStatusLine:
			line, rest, ended := bytes.Cut(b, []byte("\n"))
			h.status = append(h.status, line[:min(len(line), maxStatusLineBytes-len(h.status))]...)
			if !ended {
				return nil
			}
			h.part, b = atLineStart, rest
			if !bytes.HasPrefix(h.status, []byte("HTTP/")) {
				h.part = afterHead
			}
		case atLineStart:
			switch b[0] {
			case '\r':
				b = b[1:] // Part of the line break that ends the head; net/http rejects any other.
			case '\n':
				b = b[1:]
				h.endHead()
			case ':':
				return errors.WithMessage(ErrMalformedHead, "empty field name")
			default:
				h.part = inName
			}
		case inName:
			n := bytes.IndexFunc(b, func(r rune) bool { return !isTokenChar(r) })
			if n < 0 {
				return nil
			}
			if b[n] != ':' {
				return errors.WithMessagef(ErrMalformedHead, "byte %#02x in a field name", b[n])
			}
			h.part, b = inValue, b[n+1:]
		case inValue:
			n := bytes.IndexByte(b, '\n')
			if n < 0 {
				return nil
			}
			h.part, b = atLineStart, b[n+1:]
		}
	}
	return nil
}

// endHead is called at the end of a head. The head of an interim answer is followed by another.
func (h *headChecker) endHead() {
	h.part = afterHead
	if isInterim(h.status) {
		h.expect()
	}
}

// isInterim reports whether a status line is that of an interim answer. After status 101 the
// connection has another protocol.
func isInterim(statusLine []byte) bool {
	_, rest, _ := bytes.Cut(statusLine, []byte(" "))
	status := bytes.Fields(rest)
	return len(status) > 0 && len(status[0]) == 3 && status[0][0] == '1' && string(status[0]) != "101"
}

// isTokenChar reports whether a character may occur in a field name (RFC 9110, section 5.6.2).
func isTokenChar(r rune) bool {
	switch {
	case '0' <= r && r <= '9', 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z':
		return true
	}
	return strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
