package dial

import (
	"bytes"

	"github.com/pkg/errors"
)

// ErrMalformedHead is the error of an answer whose head has a line that is no field. It wraps
// what is wrong.
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

// headChecker checks the names of the fields in the head of an answer and of the interim answers
// before it, as their bytes arrive (RFC 9112, section 5). net/http refuses most names that are
// no tokens. But it passes on those with blanks, and it takes a line that begins with a blank
// for a part of the line before. Such a line can hide a field that says where the body ends.
//
// A head that doesn't begin like one is left to net/http.
type headChecker struct {
	part   headPart
	status []byte // start of the status line
}

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
				b = b[1:] // Before the end of the head. In any other place net/http refuses it.
			case '\n':
				b = b[1:]
				h.endHead()
			case ':':
				return errors.WithMessage(ErrMalformedHead, "a field without a name")
			default:
				h.part = inName
			}
		case inName:
			n := bytes.IndexFunc(b, func(r rune) bool { return !isTokenChar(r) })
			if n < 0 {
				return nil
			}
			if b[n] != ':' {
				return errors.WithMessagef(ErrMalformedHead, "byte %#02x in the name of a field", b[n])
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
		h.part = inStatusLine
	}
	h.status = h.status[:0]
}

// isInterim reports whether a status line is that of an interim answer. After status 101 the
// connection has another protocol.
func isInterim(statusLine []byte) bool {
	_, rest, _ := bytes.Cut(statusLine, []byte(" "))
	status := bytes.Fields(rest)
	return len(status) > 0 && len(status[0]) == 3 && status[0][0] == '1' && string(status[0]) != "101"
}

// isTokenChar reports whether a byte may stand in the name of a field (RFC 9110, section 5.6.2).
func isTokenChar(r rune) bool {
	switch {
	case '0' <= r && r <= '9', 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z':
		return true
	}
	return r < 0x80 && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), byte(r)) >= 0
}
