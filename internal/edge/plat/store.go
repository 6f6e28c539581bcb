package plat

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// Producer names the writer of an append, so that the store drops repeats.
type Producer struct {
	Name  string
	Epoch int64
	Seq   int64 // rises by one with each append to one partition
}

// Append is one append of records to a partition.
type Append struct {
	Topic    string
	Part     int
	Producer Producer // an empty name appends without a check for repeats
	Records  [][]byte
}

// Page is a run of records of a partition.
type Page struct {
	End     int64 // offset after the newest record of the partition
	First   int64 // oldest offset that is kept
	From    int64 // offset of the first record below
	Records [][]byte
}

// Keyed is one record of a keyed topic. A nil value means the key was dropped.
type Keyed struct {
	Key    string
	Value  []byte
	Offset int64
}

// Store is the platform's store: partitioned topics with offsets from 0.
type Store interface {
	// Append adds all records or none and returns the offset of the first.
	// ErrNotDone proves that nothing was done; after another error the
	// records may be added later.
	Append(ctx context.Context, a Append) (int64, error)
	// Read returns records from an offset on, waiting up to wait for one.
	Read(ctx context.Context, topic string, part int, from int64, maxKB int, wait clock.Millis) (Page, error)
	// Newest returns the newest record of each key and the end of the
	// partition before the first of its pages was read.
	Newest(ctx context.Context, topic string) ([]Keyed, int64, error)
	// Put writes the newest record of a key of a topic that keeps those.
	Put(ctx context.Context, topic, key string, value []byte) error
}

// ErrNotApplied proves that the store has done nothing.
var ErrNotApplied = errors.New("the store refused the call; send it again later")

// GoneError tells that the wanted records were deleted.
type GoneError struct{ First int64 }

func (e *GoneError) Error() string {
	return fmt.Sprintf("records before offset %d were deleted; read on from there", e.First)
}

// SequenceError tells that an append does not follow the producer's last one.
type SequenceError struct {
	Fenced bool  // a higher epoch of the producer was seen
	Want   int64 // the expected sequence number
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("append out of sequence (fenced %t, want %d); start a new epoch", e.Fenced, e.Want)
}
