package listen

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

// firstBodyBytes is the room for the first bytes of a body. Most bodies are smaller.
const firstBodyBytes = 16 << 10

// BodyLimits bound the body of a request.
type BodyLimits struct {
	Bytes int64
	Pause time.Duration // in which each read brings bytes, 0 for no bound
	Total time.Duration // in which the whole body arrives
}

// CheckSize returns an error if a body of the stated size is larger than allowed. The size is
// in bytes, negative if it isn't stated.
func CheckSize(size, limit int64) error {
	if size > limit {
		return fault.New(fault.TooLarge, "body of "+strconv.FormatInt(size, 10)+" bytes")
	}
	return nil
}

// ReadBody reads the body of a request. Room for it is counted as its bytes arrive, before
// further ones are read. The error is a fault that says that the request did not run.
func ReadBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) ([]byte, error) {
	if err := CheckSize(r.ContentLength, limits.Bytes); err != nil {
		return nil, err
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body := &pacedReader{
		r: r.Body, controller: http.NewResponseController(w), end: time.Now().Add(limits.Total), pause: limits.Pause,
	}
	size := r.ContentLength
	if size < 0 {
		size = limits.Bytes
	}
	b, err := readCounted(body, size, HeldFor(r.Context()))
	if err != nil {
		return nil, err
	}
	if r.ContentLength < 0 && int64(len(b)) == limits.Bytes { // There may be more.
		if n, err := io.ReadFull(body, make([]byte, 1)); n > 0 {
			return nil, fault.New(fault.TooLarge, "body above "+strconv.FormatInt(limits.Bytes, 10)+" bytes")
		} else if err != io.EOF {
			return nil, fault.Wrap(fault.BadRequest, err, "body cut short")
		}
	}
	if int64(len(b)) < r.ContentLength {
		return nil, fault.Wrap(fault.BadRequest, io.ErrUnexpectedEOF, "body cut short")
	}
	return b, nil
}

// readCounted reads until the end of r or until size bytes have been read. Its buffer grows
// with the bytes that have arrived. Its last growth is from half of the size to the size, so
// that no more than one and a half times the size is held.
func readCounted(r io.Reader, size int64, held Held) ([]byte, error) {
	var b []byte
	for {
		if len(b) == cap(b) {
			before := int64(cap(b))
			if before == size {
				return b, nil
			}
			after := size
			for half := (after + 1) / 2; half > before && half >= firstBodyBytes; half = (after + 1) / 2 {
				after = half
			}
			if err := held.Grow(after); err != nil {
				return nil, err
			}
			grown := make([]byte, len(b), after)
			copy(grown, b)
			b = grown
			held.Shrink(before)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return nil, fault.Wrap(fault.BadRequest, err, "body cut short")
		}
	}
}

// pacedReader reads a body until its end time. Each read must bring bytes within a pause.
type pacedReader struct {
	r          io.Reader
	controller *http.ResponseController
	end        time.Time
	pause      time.Duration // 0 for no bound
}

// Read sets a deadline only when the time is over. One that was cleared after the body could
// still end the read by which the server notices that the client leaves.
func (p *pacedReader) Read(b []byte) (int, error) {
	left := time.Until(p.end)
	if p.pause > 0 {
		left = min(left, p.pause)
	}
	timer := time.AfterFunc(left, func() {
		_ = p.controller.SetReadDeadline(time.Now()) // Not all writers have one.
	})
	n, err := p.r.Read(b)
	if !timer.Stop() && (err == nil || err == io.EOF) {
		return n, os.ErrDeadlineExceeded
	}
	return n, err
}

// wholeBody is a body that has been read.
type wholeBody struct{ *bytes.Reader }

func (wholeBody) Close() error { return nil }

// ReadWhole returns a handler that reads the bodies of requests before it calls h. The body
// that h gets is an [io.Seeker]. It counts twice: h decodes it.
func ReadWhole(h http.Handler, limits BodyLimits) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := HeldFor(r.Context())
		b, err := ReadBody(w, r, limits)
		if err == nil {
			err = held.Grow(int64(len(b)))
		}
		if f, refused := fault.As(err); refused {
			w.Header().Set("Connection", "close")
			http.Error(w, f.Error(), f.Kind().Info().Status)
			return
		}
		held.Whole()
		r.Body = wholeBody{bytes.NewReader(b)}
		h.ServeHTTP(w, r)
	})
}
