// Package resume defines the HTTP protocol by which entries tell each other which
// service, with which version of its software, began a client's stream.
//
// # Usage
//
//	mux.Handle(resume.RecordPath, resume.RecordHandler(store, log))
//	err := resume.Record(ctx, client, "10.0.0.7:7660", []resume.Origin{...})
//	reply, err := resume.Find(ctx, client, "10.0.0.7:7660", resume.Query{...})
package resume

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/inner/post"
)

// Paths at which an entry answers.
const (
	RecordPath = "/stream-origins"
	FindPath   = "/stream-origin"
)

// MaxOrigins is the number of origins that one message may have.
const MaxOrigins = 1000

// maxBodyBytes limits a message: an origin has some hundred bytes.
const maxBodyBytes = 1 << 20

// Origin tells where a stream began.
type Origin struct {
	Stream   string // ID of the client's attempt that brought the first event
	Service  string
	Software string // version of the software of the server that made the first event
}

// Query asks where a stream began.
type Query struct {
	Stream  string
	Service string // to which Reply.Mixed refers
}

// Reply is the answer. If Known is false, Origin is empty.
type Reply struct {
	Known  bool
	Origin Origin
	Mixed  bool // servers of the service with several versions of the software were listed recently
}

// Record sends origins to the node at an inner address.
func Record(ctx context.Context, c *http.Client, addr string, origins []Origin) error {
	return post.Send(ctx, c, "http://"+addr+RecordPath, origins, nil, maxBodyBytes)
}

// Find asks the node at an inner address.
func Find(ctx context.Context, c *http.Client, addr string, q Query) (Reply, error) {
	var reply Reply
	err := post.Send(ctx, c, "http://"+addr+FindPath, q, &reply, maxBodyBytes)
	return reply, err
}

// RecordHandler passes the origins of messages to a function.
func RecordHandler(record func([]Origin), log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var origins []Origin
		if post.Read(w, req, &origins, maxBodyBytes, log) {
			record(origins)
		}
	})
}

// FindHandler answers queries by a function.
func FindHandler(find func(Query) Reply, log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var q Query
		if post.Read(w, req, &q, maxBodyBytes, log) {
			reply := find(q)
			post.Reply(w, &reply, log)
		}
	})
}
