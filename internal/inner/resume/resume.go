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
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
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
	return call(ctx, c, "http://"+addr+RecordPath, origins, nil)
}

// Find asks the node at an inner address.
func Find(ctx context.Context, c *http.Client, addr string, q Query) (Reply, error) {
	var reply Reply
	err := call(ctx, c, "http://"+addr+FindPath, q, &reply)
	return reply, err
}

func call(ctx context.Context, c *http.Client, url string, message, reply any) error {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(message); err != nil {
		return errors.Wrap(err, "stream origin")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, &buf)
	if err != nil {
		return errors.Wrap(err, "stream origin")
	}
	resp, err := c.Do(req)
	if err != nil {
		return errors.Wrap(err, "stream origin")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("stream origin: status %d from %s", resp.StatusCode, url)
	}
	body := io.LimitReader(resp.Body, maxBodyBytes)
	if reply == nil {
		_, err = io.Copy(io.Discard, body) // The connection can then be reused.
		return errors.Wrap(err, "stream origin")
	}
	return errors.Wrap(gob.NewDecoder(body).Decode(reply), "stream origin")
}

// decode reads a message of a request. It answers the request if that fails.
func decode(w http.ResponseWriter, req *http.Request, message any, log zerolog.Logger) bool {
	err := gob.NewDecoder(io.LimitReader(req.Body, maxBodyBytes)).Decode(message)
	if err != nil {
		log.Warn().Err(err).Str("from", req.RemoteAddr).Str("path", req.URL.Path).Msg("resume: message can't be decoded")
		http.Error(w, "not a message about the origin of streams", http.StatusBadRequest)
	}
	return err == nil
}

// RecordHandler passes the origins of messages to a function.
func RecordHandler(record func([]Origin), log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var origins []Origin
		if decode(w, req, &origins, log) {
			record(origins)
		}
	})
}

// FindHandler answers queries by a function.
func FindHandler(find func(Query) Reply, log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var q Query
		if !decode(w, req, &q, log) {
			return
		}
		reply := find(q)
		if err := gob.NewEncoder(w).Encode(&reply); err != nil {
			log.Info().Str("stream", q.Stream).Err(err).Msg("resume: reply not sent")
		}
	})
}
