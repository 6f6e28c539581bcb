package plat

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// Producer identifies the writer of an append, so that the store detects duplicates.
type Producer struct {
	Name  string
	Epoch int64
	Seq   int64 // increases by one with each append to a partition
}

// Append is a request to append records to a partition.
type Append struct {
	Topic    string
	Part     int
	Producer Producer // if its name is empty, the store doesn't check for duplicates
	Records  [][]byte
}

// Page is a sequence of records of a partition.
type Page struct {
	End     int64 // offset after the last record of the partition
	First   int64 // first retained offset
	From    int64 // offset of the first element of Records
	Records [][]byte
}

// Keyed is a record of a compacted topic. A nil value means that the key was deleted.
type Keyed struct {
	Key    string
	Value  []byte
	Offset int64
}

// Store is the platform's store. It has topics with partitions, whose offsets start
// at 0.
type Store interface {
	// Append appends all records or none and returns the offset of the first one.
	// ErrNotApplied proves that no record was appended; after any other error the
	// records may still be appended later.
	Append(ctx context.Context, a Append) (int64, error)
	// Read returns records starting at an offset. If there is none, it waits up to
	// the given time.
	Read(ctx context.Context, topic string, part int, from int64, maxKB int, wait clock.Millis) (Page, error)
	// Newest returns the latest record of each key, and the offset after the last
	// record of the topic at the time when the reading started.
	Newest(ctx context.Context, topic string) ([]Keyed, int64, error)
	// Put appends a record of a key to a compacted topic.
	Put(ctx context.Context, topic, key string, value []byte) error
}

// ErrNotApplied proves that the store did not apply a call.
var ErrNotApplied = errors.New("the store refused the call; retry later")

// GoneError reports that the requested records were deleted.
type GoneError struct {
	First int64 // first retained offset
}

func (e *GoneError) Error() string {
	return fmt.Sprintf("records before offset %d were deleted; continue reading at that offset", e.First)
}

// SequenceError reports that an append's sequence number doesn't follow the producer's
// last one.
type SequenceError struct {
	Fenced bool  // the store has seen a higher epoch of the producer
	Want   int64 // expected sequence number
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("append out of sequence (fenced %t, want %d); start a new epoch", e.Fenced, e.Want)
}
