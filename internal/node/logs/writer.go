// Package logs appends records to the topics of the platform's store and
// follows keyed topics.
//
// A [Writer] gives each append a producer sequence number, so that an append
// whose answer was lost can be resent without adding its records twice. Appends
// that arrive while another one is in progress are batched.
//
// # Usage
//
//	w := logs.NewWriter(ctx, store, producerName, maxBytes, log)
//	offset, err := w.Append(ctx, index.Topic, 0, rec)
package logs

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// ErrOutcomeUnknown means that an append got no answer and may still take
// effect.
var ErrOutcomeUnknown = errors.New("the append got no answer and may still take effect; check later whether it did")

// TooLargeError means that a record exceeds the maximum size of a record, or the records
// that of one append. None was added, and a later attempt would have the same result.
type TooLargeError struct {
	Size, Limit int // bytes
	Record      bool
}

func (e *TooLargeError) Error() string {
	if e.Record {
		return fmt.Sprintf("record of %d bytes exceeds the limit of %d bytes", e.Size, e.Limit)
	}
	return fmt.Sprintf("append of %d bytes exceeds the limit of %d bytes", e.Size, e.Limit)
}

// Is reports that the error matches [plat.ErrNotApplied].
func (*TooLargeError) Is(target error) bool { return target == plat.ErrNotApplied }

// appendRetryDelay is the delay after a failed append. It limits the load on a
// failing store to about 10 appends a second for each partition.
const appendRetryDelay = 100 * clock.Milli

const (
	// resendInterval is how long an append waits for an answer before it is
	// resent. The store answers within some 5 ms, a slow one within 300 ms.
	resendInterval = 350 * clock.Milli
	// maxConcurrentAttempts bounds the concurrent copies of one append.
	maxConcurrentAttempts = 3
)

// Writer appends to partitions, in order within each partition.
type Writer struct {
	ctx          context.Context
	store        plat.Store
	producerName string // unique to this process
	maxBytes     int    // of one append
	maxRecord    int    // bytes of one record, 0 for no limit
	log          zerolog.Logger

	mu         sync.Mutex
	partitions map[partitionKey]*partition
}

type partitionKey struct {
	topic     string
	partition int
}

// appendRequest contains the records of one Append call.
type appendRequest struct {
	ctx            context.Context
	records        [][]byte
	size           int
	done           chan result   // receives one value
	outcomeUnknown chan struct{} // closed when an attempt may still take effect
}

type result struct {
	offset int64
	err    error
}

type partition struct {
	key     partitionKey
	waiting []*appendRequest
	wake    chan struct{}
	epoch   int64
	seq     int64
}

// NewWriter returns a writer. The producer name must be unique to this process.
func NewWriter(ctx context.Context, store plat.Store, name string, maxBytes int, log zerolog.Logger) *Writer {
	return &Writer{
		ctx:          ctx,
		store:        store,
		producerName: name,
		maxBytes:     maxBytes,
		log:          log,
		partitions:   make(map[partitionKey]*partition),
	}
}

// SetMaxRecordBytes limits the size of one record, which the store would never take. It is
// to be called before the first Append.
func (w *Writer) SetMaxRecordBytes(n int) { w.maxRecord = n }

// Append adds records at consecutive offsets and returns the offset of the
// first one. The error [plat.ErrNotApplied] proves that the records were not
// and will not be added; with [ErrOutcomeUnknown] they may be.
func (w *Writer) Append(ctx context.Context, topic string, p int, recs ...[]byte) (int64, error) {
	a := &appendRequest{ctx: ctx, records: recs, done: make(chan result, 1), outcomeUnknown: make(chan struct{})}
	for _, r := range recs {
		if w.maxRecord > 0 && len(r) > w.maxRecord {
			return 0, &TooLargeError{Size: len(r), Limit: w.maxRecord, Record: true}
		}
		a.size += 4 + len(r)
	}
	if a.size > w.maxBytes {
		return 0, &TooLargeError{Size: a.size, Limit: w.maxBytes}
	}
	w.mu.Lock()
	key := partitionKey{topic, p}
	part := w.partitions[key]
	if part == nil {
		part = &partition{key: key, wake: make(chan struct{}, 1), epoch: 1}
		w.partitions[key] = part
		go w.writePartition(part)
	}
	part.waiting = append(part.waiting, a)
	w.mu.Unlock()
	select {
	case part.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-a.done:
		return r.offset, r.err
	case <-ctx.Done():
	}
	if w.removeWaiting(part, a) {
		return 0, plat.ErrNotApplied
	}
	// The attempt in progress may still prove its outcome; its duration is
	// bounded.
	select {
	case r := <-a.done:
		return r.offset, r.err
	case <-a.outcomeUnknown:
		return 0, ErrOutcomeUnknown
	case <-w.ctx.Done():
		return 0, ErrOutcomeUnknown
	}
}

// removeWaiting removes a request from the queue. It returns false if the request
// was already taken into a batch.
func (w *Writer) removeWaiting(part *partition, a *appendRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, o := range part.waiting {
		if o == a {
			part.waiting = append(part.waiting[:i:i], part.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// nextBatch removes the requests of the next append from the queue and returns
// them.
func (w *Writer) nextBatch(part *partition) []*appendRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(part.waiting) && (n == 0 || size+part.waiting[n].size <= w.maxBytes) {
		size += part.waiting[n].size
		n++
	}
	batch := part.waiting[:n:n]
	part.waiting = part.waiting[n:]
	return batch
}

func (w *Writer) writePartition(part *partition) {
	for {
		batch := w.nextBatch(part)
		if len(batch) == 0 {
			select {
			case <-part.wake:
				continue
			case <-w.ctx.Done():
				return
			}
		}
		w.appendBatch(part, batch)
		if w.ctx.Err() != nil {
			return
		}
	}
}

// appendBatch retries until the batch was added or has no request left.
func (w *Writer) appendBatch(part *partition, batch []*appendRequest) {
	outcomeUnknown := false // an attempt may still take effect
	for attempt := 1; ; attempt++ {
		var recs [][]byte
		for _, a := range batch {
			recs = append(recs, a.records...)
		}
		if len(recs) == 0 {
			return
		}
		off, err := w.appendWithResends(plat.Append{
			Topic: part.key.topic, Part: part.key.partition, Records: recs,
			Producer: plat.Producer{Name: w.producerName, Epoch: part.epoch, Seq: part.seq},
		})
		if err == nil {
			part.seq++
			for _, a := range batch {
				a.done <- result{offset: off}
				off += int64(len(a.records))
			}
			return
		}
		if !errors.Is(err, plat.ErrNotApplied) && !outcomeUnknown {
			outcomeUnknown = true
			for _, a := range batch {
				close(a.outcomeUnknown)
			}
		}
		w.log.Warn().Err(err).Str("topic", part.key.topic).Int("partition", part.key.partition).
			Int64("sequence", part.seq).Int("records", len(recs)).Int("try", attempt).
			Bool("open", outcomeUnknown).Msg("logs: append failed")
		var sequenceErr *plat.SequenceError
		if errors.As(err, &sequenceErr) {
			// A new epoch may start at any sequence number. It may add records
			// twice; readers ignore repeated records.
			part.epoch++
			part.seq = 0
		}
		if !clock.Sleep(w.ctx, appendRetryDelay) {
			return
		}
		if !outcomeUnknown {
			batch = dropCanceled(batch)
		}
	}
}

// appendWithResends sends an append, and resends it concurrently while there is
// no answer: a lost answer never arrives, and the store answers a resent append
// as it answered the first. If all attempts fail, it prefers an error that
// leaves the outcome unknown over one that proves "not applied".
func (w *Writer) appendWithResends(a plat.Append) (int64, error) {
	results := make(chan result, maxConcurrentAttempts)
	running := 0
	send := func() {
		running++
		go func() {
			off, err := w.store.Append(w.ctx, a)
			results <- result{off, err}
		}()
	}
	send()
	resend := time.NewTimer(resendInterval.Duration())
	defer resend.Stop()
	var finalErr error
	for attempts := 1; ; {
		select {
		case r := <-results:
			running--
			if r.err == nil {
				return r.offset, nil
			}
			if finalErr == nil || errors.Is(finalErr, plat.ErrNotApplied) {
				finalErr = r.err
			}
			if running == 0 {
				return 0, finalErr
			}
		case <-resend.C:
			if attempts < maxConcurrentAttempts {
				attempts++
				send()
				resend.Reset(resendInterval.Duration())
			}
		}
	}
}

// dropCanceled answers the requests whose context ended and returns the others.
// None of them was sent in an attempt that may still take effect.
func dropCanceled(batch []*appendRequest) []*appendRequest {
	var remaining []*appendRequest
	for _, a := range batch {
		if a.ctx.Err() != nil {
			a.done <- result{err: plat.ErrNotApplied}
			continue
		}
		remaining = append(remaining, a)
	}
	return remaining
}
