// Package grant defines the HTTP protocol by which a node asks another one whether it
// may send a request to a backend server that limits the rate of requests.
//
// # Usage
//
//	http.Handle(grant.Path, grant.Handler(decide, log))
//	reply, err := grant.Ask(ctx, client, "10.0.0.7:7660", grant.Request{...})
package grant

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/rate"
	"github.com/jujuberamp/jujuberamp/internal/inner/post"
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
	Leaving   bool    // the server has stated to the asked node that it leaves; nothing is granted
}

// Ask sends a request to the node at an inner address.
func Ask(ctx context.Context, c *http.Client, addr string, r Request) (Reply, error) {
	var reply Reply
	err := post.Send(ctx, c, "http://"+addr+Path, &r, &reply, maxBodyBytes)
	return reply, err
}

// Handler answers requests by the decision of this node.
func Handler(decide func(Request) Reply, log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var r Request
		if !post.Read(w, req, &r, maxBodyBytes, log) {
			return
		}
		if !(r.PerSecond >= 0) || r.Rank < 0 || r.Rank >= rate.Granters {
			log.Warn().Str("from", req.RemoteAddr).Float64("per-second", r.PerSecond).Int("rank", r.Rank).Msg("grant: request is not valid")
			http.Error(w, "not a request for a grant", http.StatusBadRequest)
			return
		}
		reply := decide(r)
		post.Reply(w, &reply, log)
	})
}
