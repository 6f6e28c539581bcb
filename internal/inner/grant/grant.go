// Package grant defines the HTTP protocol by which a node asks another one whether it
// may send a request to a backend server that limits the rate of requests.
//
// # Usage
//
//	http.Handle(grant.Path, grant.Handler(decide, log))
//	reply, err := grant.Ask(ctx, client, "10.0.0.7:7660", grant.Request{...})
package grant

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/rate"
)

// Path is the path at which a node answers.
const Path = "/grant"

// maxBodyBytes limits a message, which has some hundred bytes.
const maxBodyBytes = 4 << 10

// Request asks for one request to a server.
type Request struct {
	Server    string  // incarnation of the server
	PerSecond float64 // limit that the server has stated to the asking node, 0 if that has no answer yet
	Rank      int     // of the asked node among the granters; see package rate
	MaxWait   clock.Millis
}

// Reply is the answer. A granted request may start after Wait. For a refused one, Wait
// is how long it would have to wait.
type Reply struct {
	Granted   bool
	Wait      clock.Millis
	PerSecond float64 // limit of the server, 0 if the asked node knows none
}

// Ask sends a request to the node at an inner address.
func Ask(ctx context.Context, c *http.Client, addr string, r Request) (Reply, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(&r); err != nil {
		return Reply{}, errors.Wrap(err, "grant")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Path, &buf)
	if err != nil {
		return Reply{}, errors.Wrap(err, "grant")
	}
	resp, err := c.Do(req)
	if err != nil {
		return Reply{}, errors.Wrap(err, "grant")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Reply{}, errors.Errorf("grant: status %d from %s", resp.StatusCode, addr)
	}
	var reply Reply
	err = gob.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&reply)
	return reply, errors.Wrap(err, "grant")
}

// Handler answers requests by the decision of this node.
func Handler(decide func(Request) Reply, log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var r Request
		err := gob.NewDecoder(io.LimitReader(req.Body, maxBodyBytes)).Decode(&r)
		if err != nil || !(r.PerSecond >= 0) || r.Rank < 0 || r.Rank >= rate.Granters {
			log.Warn().Err(err).Str("from", req.RemoteAddr).Float64("per-second", r.PerSecond).Int("rank", r.Rank).
				Msg("grant: request can't be decoded")
			http.Error(w, "not a request for a grant", http.StatusBadRequest)
			return
		}
		reply := decide(r)
		if err := gob.NewEncoder(w).Encode(&reply); err != nil {
			log.Info().Str("server", r.Server).Err(err).Msg("grant: reply not sent")
		}
	})
}
