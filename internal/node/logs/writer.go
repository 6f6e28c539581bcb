// Package logs appends to the topics of the platform's store and follows them.
//
// A [Writer] gives each append a producer's sequence number, so that one whose
// answer was lost can be sent again. Appends that come while one is under way
// go together in the next.
//
// # Usage
//
//	w := logs.NewWriter(ctx, store, boot, callBytes, log)
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

// ErrOutcomeUnknown tells that an append may still take effect.
var ErrOutcomeUnknown = errors.New("the append has no answer yet and may take effect; ask again whether it did")

// TooLargeError tells that records exceed one append; they were not added.
type TooLargeError struct{ Size, Limit int } // bytes

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%d bytes in one append, %d are allowed", e.Size, e.Limit)
}

// Is makes it a proof that nothing was done.
func (*TooLargeError) Is(target error) bool { return target == plat.ErrNotApplied }

// pause is between two tries of an append, so that a store that is down gets
// some 10 calls a second from a node.
const pause = 100 * clock.Milli

const (
	// repeatAfter is how long an append may have no answer before it is sent
	// again: the store answers within some 5 ms, a slow one within 300 ms.
	repeatAfter = 350 * clock.Milli
	// mostTries go beside each other.
	mostTries = 3
)

// Writer appends to partitions, in order for each of them.
type Writer struct {
	ctx   context.Context
	store plat.Store
	name  string // of the producer
	most  int    // bytes of one append
	log   zerolog.Logger

	mu    sync.Mutex
	parts map[partKey]*part
}

type partKey struct {
	topic string
	part  int
}

// ask is the records of one caller.
type ask struct {
	ctx  context.Context
	recs [][]byte
	size int
	done chan result   // one value
	open chan struct{} // closed when a try ended without proof
}

type result struct {
	offset int64
	err    error
}

type part struct {
	key     partKey
	waiting []*ask
	wake    chan struct{}
	epoch   int64
	seq     int64
}

// NewWriter returns a writer under a producer's name that no other process has.
func NewWriter(ctx context.Context, store plat.Store, name string, most int, log zerolog.Logger) *Writer {
	return &Writer{ctx: ctx, store: store, name: name, most: most, log: log, parts: make(map[partKey]*part)}
}

// Append adds records one after the other and returns the offset of the first.
// [plat.ErrNotDone] proves that they never will be added; [ErrOpen] leaves
// that open.
func (w *Writer) Append(ctx context.Context, topic string, p int, recs ...[]byte) (int64, error) {
	a := &ask{ctx: ctx, recs: recs, done: make(chan result, 1), open: make(chan struct{})}
	for _, r := range recs {
		a.size += 4 + len(r)
	}
	if a.size > w.most {
		return 0, &TooLargeError{a.size, w.most}
	}
	w.mu.Lock()
	key := partKey{topic, p}
	q := w.parts[key]
	if q == nil {
		q = &part{key: key, wake: make(chan struct{}, 1), epoch: 1}
		w.parts[key] = q
		go w.run(q)
	}
	q.waiting = append(q.waiting, a)
	w.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-a.done:
		return r.offset, r.err
	case <-ctx.Done():
	}
	if w.withdraw(q, a) {
		return 0, plat.ErrNotApplied
	}
	// The try under way may still prove what becomes of it; it is bounded.
	select {
	case r := <-a.done:
		return r.offset, r.err
	case <-a.open:
		return 0, ErrOutcomeUnknown
	case <-w.ctx.Done():
		return 0, ErrOutcomeUnknown
	}
}

// withdraw takes an ask out that was not sent yet.
func (w *Writer) withdraw(q *part, a *ask) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, o := range q.waiting {
		if o == a {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// next takes the asks of the next append.
func (w *Writer) next(q *part) []*ask {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(q.waiting) && (n == 0 || size+q.waiting[n].size <= w.most) {
		size += q.waiting[n].size
		n++
	}
	batch := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	return batch
}

func (w *Writer) run(q *part) {
	for {
		batch := w.next(q)
		if len(batch) == 0 {
			select {
			case <-q.wake:
				continue
			case <-w.ctx.Done():
				return
			}
		}
		w.send(q, batch)
		if w.ctx.Err() != nil {
			return
		}
	}
}

// send tries until the batch is added, or is proven not to be.
func (w *Writer) send(q *part, batch []*ask) {
	open := false // a try may still take effect
	for try := 1; ; try++ {
		var recs [][]byte
		for _, a := range batch {
			recs = append(recs, a.recs...)
		}
		if len(recs) == 0 {
			return
		}
		off, err := w.append(plat.Append{
			Topic: q.key.topic, Part: q.key.part, Records: recs,
			Producer: plat.Producer{Name: w.name, Epoch: q.epoch, Seq: q.seq},
		})
		if err == nil {
			q.seq++
			for _, a := range batch {
				a.done <- result{offset: off}
				off += int64(len(a.recs))
			}
			return
		}
		if !errors.Is(err, plat.ErrNotApplied) && !open {
			open = true
			for _, a := range batch {
				close(a.open)
			}
		}
		w.log.Warn().Err(err).Str("topic", q.key.topic).Int("partition", q.key.part).Int64("sequence", q.seq).
			Int("records", len(recs)).Int("try", try).Bool("open", open).Msg("logs: append failed")
		var bad *plat.SequenceError
		if errors.As(err, &bad) {
			// Another epoch starts at any number. Records that were added
			// twice are repeats to every reader.
			q.epoch++
			q.seq = 0
		}
		if !clock.Sleep(w.ctx, pause) {
			return
		}
		if !open {
			batch = expire(batch)
		}
	}
}

// append sends an append, and sends it again beside itself while there is no
// answer: the store answers a repeat as it did before, and an answer that was
// lost never comes. An error that is no proof wins over one that is.
func (w *Writer) append(a plat.Append) (int64, error) {
	ends := make(chan result, mostTries)
	open := 0
	send := func() {
		open++
		go func() {
			off, err := w.store.Append(w.ctx, a)
			ends <- result{off, err}
		}()
	}
	send()
	again := time.NewTimer(repeatAfter.Duration())
	defer again.Stop()
	var failed error
	for tries := 1; ; {
		select {
		case r := <-ends:
			open--
			if r.err == nil {
				return r.offset, nil
			}
			if failed == nil || errors.Is(failed, plat.ErrNotApplied) {
				failed = r.err
			}
			if open == 0 {
				return 0, failed
			}
		case <-again.C:
			if tries < mostTries {
				tries++
				send()
				again.Reset(repeatAfter.Duration())
			}
		}
	}
}

// expire answers the asks whose callers have gone; nothing was sent of them
// that could take effect.
func expire(batch []*ask) []*ask {
	var left []*ask
	for _, a := range batch {
		if a.ctx.Err() != nil {
			a.done <- result{err: plat.ErrNotApplied}
			continue
		}
		left = append(left, a)
	}
	return left
}
