// Package tally defines the topic in the platform's store by which nodes agree on reports
// of usage and on orders of servers, and the JSON encoding of its records.
//
// # Usage
//
//	b, err := tally.Encode(tally.Record{Kind: tally.Count, Node: "entry-1", Window: k, Counts: counts})
//	rec, err := tally.Decode(b)
package tally

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/decide/usage"
)

// Topic is the topic of all records. It has one partition.
const Topic = "usage"

// Kind is the kind of a record.
type Kind string

// The kinds of records.
const (
	Count  Kind = "count"  // the counts of one node
	Report Kind = "report" // the sum over all nodes, before it is sent
	Sent   Kind = "sent"   // the report has reached its receiver
	Order  Kind = "order"  // the number of servers of a service in a zone, before it is sent
)

// Record is one record of the topic.
type Record struct {
	Kind   Kind         `json:"kind"`
	Node   string       `json:"node"`
	Boot   string       `json:"boot,omitempty"`
	Window int64        `json:"window,omitempty"`
	Counts usage.Counts `json:"counts,omitempty"`
	// BusyMS is the time of a window that requests of the node spent at services with servers
	// on order, in a Count record.
	BusyMS map[string]int64 `json:"busy-ms,omitempty"`
	// These are set in an Order record.
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Servers int    `json:"servers,omitempty"`
}

// Encode returns the bytes of a record.
func Encode(r Record) ([]byte, error) {
	b, err := json.Marshal(r)
	return b, errors.Wrap(err, "usage record")
}

// Decode parses a record. It returns an error for a record of an unknown kind.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, errors.Wrap(err, "usage record")
	}
	switch r.Kind {
	case Count, Report, Sent, Order:
		return r, nil
	}
	return Record{}, errors.Errorf("usage record of unknown kind %q", r.Kind)
}
