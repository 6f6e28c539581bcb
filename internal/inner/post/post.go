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

// Read reads the message of a request, of at most maxBytes. It answers the request and
// returns false if that fails.
func Read(w http.ResponseWriter, req *http.Request, message any, maxBytes int64, log zerolog.Logger) bool {
	err := gob.NewDecoder(io.LimitReader(req.Body, maxBytes)).Decode(message)
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
