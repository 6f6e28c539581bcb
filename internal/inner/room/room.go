// Package room defines the HTTP protocol by which an entry reports its demand for the
// places of a service to their holder and gets a lease on some of them.
//
// # Usage
//
//	http.Handle(room.Path, room.Handler(decide, log))
//	lease, err := room.Ask(ctx, client, "10.0.0.7:7660", room.Request{...})
package room

import (
	"context"
	"net/http"
	"strconv"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/decide/admit"
	"github.com/jujuberamp/jujuberamp/internal/inner/post"
)

// Path is the path at which a holder answers.
const Path = "/places"

// maxBodyBytes limits a message, which has some hundred bytes for each server and group.
const maxBodyBytes = 256 << 10

// Request is the report of an entry about one service.
type Request struct {
	Service string
	Shard   int // of the entry, see [admit.Shard]
	Shards  int
	Report  admit.Report
}

// Key returns the key of the places that the report is about.
func (r *Request) Key() string {
	return "places/" + r.Service + "/" + strconv.Itoa(r.Shard) + "/" + strconv.Itoa(r.Shards)
}

// Ask sends a report to the holder at an inner address.
func Ask(ctx context.Context, c *http.Client, addr string, r Request) (admit.Lease, error) {
	var lease admit.Lease
	err := post.Send(ctx, c, "http://"+addr+Path, &r, &lease, maxBodyBytes)
	return lease, err
}

// Handler answers reports by the decision of this node.
func Handler(decide func(Request) admit.Lease, log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r := Request{Report: admit.Report{Servers: make(map[string]admit.Shown)}}
		if !post.Read(w, req, &r, maxBodyBytes, log) {
			return
		}
		if r.Service == "" || r.Report.Entry == "" || r.Shard < 0 || r.Shard >= r.Shards {
			log.Warn().Str("from", req.RemoteAddr).Str("service", r.Service).Int("shard", r.Shard).Int("shards", r.Shards).
				Msg("room: report is not valid")
			http.Error(w, "not a report", http.StatusBadRequest)
			return
		}
		lease := decide(r)
		post.Reply(w, &lease, log)
	})
}
