// Package resume defines the HTTP protocol by which entries tell each other which
// service, with which version of its software, began a client's stream.
//
// # Usage
//
//	mux.Handle(resume.RecordPath, resume.RecordHandler(store, log))
//	err := resume.Record(ctx, client, "10.0.0.7:7660", []resume.Origin{...}, false)
//	reply, err := resume.Find(ctx, client, "10.0.0.7:7660", resume.Query{...})
//	held, err := resume.Hold(ctx, client, "10.0.0.7:7660", resume.HoldQuery{Node: self})
//	reply, err := resume.LookUp(ctx, client, "10.0.0.7:7660", resume.Query{...})
//	err := resume.Store(ctx, client, "10.0.0.7:7660", []resume.Stored{...})
package resume

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/inner/post"
)

// Paths at which an entry answers.
const (
	RecordPath = "/stream-origins"
	FindPath   = "/stream-origin"
	HoldPath   = "/stream-origins-held"
	StorePath  = "/stream-origins-stored"
	LookUpPath = "/stream-origin-stored"
)

// Why the origin of a stream is not found.
var (
	// ErrUnknown tells that an entry that may know the origin was not asked, did not
	// answer or has not known all origins for long enough.
	ErrUnknown = errors.New("it is not known which server began the stream")
	// ErrNotBegun tells that each entry that would know the origin has known all origins
	// for the lifetime of a stream, and none has seen the stream begin.
	ErrNotBegun = errors.New("no entry has seen the stream begin")
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

// Stored is an origin as it is written to the platform's store, of fixed size but for the names.
type Stored struct {
	Stream   index.StreamKey
	Service  string
	Software string
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
	// KnowsFor tells for how many ms the entry has known all origins that it is to keep. It
	// is 0 from an entry of an older build.
	KnowsFor int64
}

// LookUpReply tells whether the platform's store has the origin of a stream. If Found is false,
// Origin is empty.
type LookUpReply struct {
	Found  bool
	Origin Origin
}

// HoldQuery asks an entry for the origins that it holds and that another entry, which has
// started, is to keep as well.
type HoldQuery struct {
	Node  ident.Node // that asks
	After string     // the last stream of the reply before, empty at first
}

// HoldReply is the answer, with at most [MaxOrigins] origins in the order of their streams.
type HoldReply struct {
	Origins  []Held
	More     bool
	KnowsFor int64 // as in Reply
}

// Held is an origin with the time for which it is still kept, in ms.
type Held struct {
	Origin
	Left int64
}

// storeParam is the query parameter of RecordPath by which the receiver is to write the origins
// to the platform's store as well. Nodes of an older build ignore it.
const storeParam = "store"

// Record sends origins to the node at an inner address. That node also writes them to the
// platform's store if store is set.
func Record(ctx context.Context, c *http.Client, addr string, origins []Origin, store bool) error {
	url := "http://" + addr + RecordPath
	if store {
		url += "?" + storeParam + "=1"
	}
	return post.Send(ctx, c, url, origins, nil, maxBodyBytes)
}

// Find asks the node at an inner address.
func Find(ctx context.Context, c *http.Client, addr string, q Query) (Reply, error) {
	var reply Reply
	err := post.Send(ctx, c, "http://"+addr+FindPath, q, &reply, maxBodyBytes)
	return reply, err
}

// Hold asks the node at an inner address for origins that the asking node is to keep.
func Hold(ctx context.Context, c *http.Client, addr string, q HoldQuery) (HoldReply, error) {
	var reply HoldReply
	err := post.Send(ctx, c, "http://"+addr+HoldPath, q, &reply, maxBodyBytes)
	return reply, err
}

// Store asks the node at an inner address to write origins to the platform's store. The error
// is nil once they are written.
func Store(ctx context.Context, c *http.Client, addr string, origins []Stored) error {
	return post.Send(ctx, c, "http://"+addr+StorePath, origins, nil, maxBodyBytes)
}

// LookUp asks the node at an inner address for an origin in the platform's store.
func LookUp(ctx context.Context, c *http.Client, addr string, q Query) (LookUpReply, error) {
	var reply LookUpReply
	err := post.Send(ctx, c, "http://"+addr+LookUpPath, q, &reply, maxBodyBytes)
	return reply, err
}

// LookUpHandler answers queries for origins in the platform's store by a function.
func LookUpHandler(lookUp func(context.Context, Query) (LookUpReply, error), log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var q Query
		if !post.Read(w, req, &q, maxBodyBytes, log) {
			return
		}
		reply, err := lookUp(req.Context(), q)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		post.Reply(w, &reply, log)
	})
}

// StoreHandler writes the origins of messages by a function.
func StoreHandler(store func(context.Context, []Stored) error, log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var origins []Stored
		if !post.Read(w, req, &origins, maxBodyBytes, log) {
			return
		}
		if err := store(req.Context(), origins); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
}

// RecordHandler passes the origins of messages to a function.
func RecordHandler(record func(origins []Origin, store bool), log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var origins []Origin
		if post.Read(w, req, &origins, maxBodyBytes, log) {
			record(origins, req.URL.Query().Has(storeParam))
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

// HoldHandler answers queries for held origins by a function.
func HoldHandler(hold func(HoldQuery) HoldReply, log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var q HoldQuery
		if post.Read(w, req, &q, maxBodyBytes, log) {
			reply := hold(q)
			post.Reply(w, &reply, log)
		}
	})
}
