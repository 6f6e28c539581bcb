// Package post sends a gob message to another node over HTTP and reads the reply.
//
// # Usage
//
//	err := post.Send(ctx, client, "http://10.0.0.7:7660/grant", request, &reply, maxBytes)
//
//	if post.Read(w, req, &message, maxBytes, log) {
//		post.Reply(w, reply, log)
//	}
package post

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Send posts a message and reads the reply, of at most maxBytes, unless reply is nil.
func Send(ctx context.Context, c *http.Client, url string, message, reply any, maxBytes int64) error {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(message); err != nil {
		return errors.Wrap(err, url)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, &buf)
	if err != nil {
		return errors.Wrap(err, url)
	}
	resp, err := c.Do(req)
	if err != nil {
		return errors.Wrap(err, url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", url, resp.StatusCode)
	}
	body := io.LimitReader(resp.Body, maxBytes)
	if reply == nil {
		_, err = io.Copy(io.Discard, body) // The connection can then be reused.
		return errors.Wrap(err, url)
	}
	return errors.Wrap(gob.NewDecoder(body).Decode(reply), url)
}

// Decode decodes the message in a body of at most maxBytes. A body that is an [io.Seeker] must
// be as long as its parts announce: gob makes room for a part before it has read it. The
// message should have its maps already, as gob makes room for the entries that a nil map
// announces.
func Decode(body io.Reader, message any, maxBytes int64) error {
	if err := CheckParts(body, maxBytes); err != nil {
		return err
	}
	return gob.NewDecoder(io.LimitReader(body, maxBytes)).Decode(message)
}

// CheckParts checks that the parts of a message, each of which starts with its length, are
// whole, and returns to the start of the message. It does nothing unless the body is an
// [io.Seeker].
func CheckParts(r io.Reader, maxBytes int64) error {
	body, ok := r.(io.ReadSeeker)
	if !ok {
		return nil
	}
	end, err := body.Seek(0, io.SeekEnd)
	if err != nil {
		return errors.Wrap(err, "message")
	}
	for at := int64(0); at < end; {
		if at, err = body.Seek(at, io.SeekStart); err != nil {
			return errors.Wrap(err, "message")
		}
		n, size, err := readLength(body)
		if err != nil {
			return err
		}
		if at += size; n > uint64(max(0, min(end, maxBytes)-at)) {
			return errors.Errorf("a part of %d bytes in a message of %d", n, end)
		}
		at += int64(n)
	}
	_, err = body.Seek(0, io.SeekStart)
	return errors.Wrap(err, "message")
}

// readLength reads an unsigned integer of gob: one byte below 128, or the negated number of
// bytes and the bytes, of which the first is the highest. It returns how many bytes it read.
func readLength(r io.Reader) (n uint64, size int64, err error) {
	var b [8]byte
	if _, err := io.ReadFull(r, b[:1]); err != nil {
		return 0, 0, errors.Wrap(err, "length of a part")
	}
	if b[0] < 128 {
		return uint64(b[0]), 1, nil
	}
	count := -int(int8(b[0]))
	if count > len(b) {
		return 0, 0, errors.Errorf("length of a part in %d bytes", count)
	}
	if _, err := io.ReadFull(r, b[:count]); err != nil {
		return 0, 0, errors.Wrap(err, "length of a part")
	}
	for _, v := range b[:count] {
		n = n<<8 | uint64(v)
	}
	return n, int64(1 + count), nil
}

// Read reads the message of a request, of at most maxBytes. It answers the request and
// returns false if that fails.
func Read(w http.ResponseWriter, req *http.Request, message any, maxBytes int64, log zerolog.Logger) bool {
	err := Decode(req.Body, message, maxBytes)
	if err != nil {
		log.Warn().Err(err).Str("from", req.RemoteAddr).Str("path", req.URL.Path).Msg("post: message can't be decoded")
		http.Error(w, "message can't be decoded", http.StatusBadRequest)
	}
	return err == nil
}

// Reply answers a request.
func Reply(w http.ResponseWriter, reply any, log zerolog.Logger) {
	if err := gob.NewEncoder(w).Encode(reply); err != nil {
		log.Info().Err(err).Msg("post: reply not sent")
	}
}
