package trace

import (
	"hash/fnv"
	"io"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// queueSize is the number of events that can wait to be written.
const queueSize = 4096

// Recorder writes events to a trace. Record never blocks: if the queue is full,
// the event is dropped and counted. A Recorder is safe for concurrent use.
type Recorder struct {
	w          io.Writer
	maxBytes   int
	written    int // bytes
	events     chan Event
	stop       chan struct{}
	done       chan struct{}
	once       sync.Once
	dropped    atomic.Int64
	lastWorkID atomic.Uint64
	err        error // first write or encoding error; read only after done is closed
}

// NewRecorder writes the header and returns a recorder. The recorder writes at
// most maxBytes, plus an event that marks the end.
func NewRecorder(w io.Writer, maxBytes int, h Header) (*Recorder, error) {
	r := &Recorder{
		w:        w,
		maxBytes: maxBytes,
		events:   make(chan Event, queueSize),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	b, err := encodeHeader(h)
	if err != nil {
		return nil, errors.Wrap(err, "encode header of trace")
	}
	r.written = len(b)
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "write header of trace")
	}
	go r.run()
	return r, nil
}

// Record queues an event for writing.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	select {
	case <-r.stop:
	case r.events <- e:
	default:
		r.dropped.Add(1)
	}
}

// NextWorkID returns a new identifier for a piece of work, or 0 if r is nil.
func (r *Recorder) NextWorkID() uint64 {
	if r == nil {
		return 0
	}
	return r.lastWorkID.Add(1)
}

// Dropped returns the number of events dropped because the queue was full.
func (r *Recorder) Dropped() int {
	if r == nil {
		return 0
	}
	return int(r.dropped.Load())
}

// Close writes the queued events and stops the recorder. It returns the first
// error of encoding or writing an event.
func (r *Recorder) Close() error {
	if r == nil {
		return nil
	}
	r.once.Do(func() { close(r.stop) })
	<-r.done
	return r.err
}

func (r *Recorder) run() {
	defer close(r.done)
	for {
		select {
		case e := <-r.events:
			r.write(e)
		case <-r.stop:
			r.drain()
			return
		}
	}
}

func (r *Recorder) drain() {
	for {
		select {
		case e := <-r.events:
			r.write(e)
		default:
			return
		}
	}
}

// write appends an event. The first event beyond the limit is replaced by
// LimitReached, and nothing is written after that.
func (r *Recorder) write(e Event) {
	if r.err != nil || r.written >= r.maxBytes {
		return
	}
	b, err := encodeEvent(e)
	if err == nil && r.written+len(b) > r.maxBytes {
		r.written = r.maxBytes
		b, err = encodeEvent(Event{At: e.At, Kind: LimitReached})
	}
	if err != nil {
		r.err = errors.Wrap(err, "encode event")
		return
	}
	r.written += len(b)
	_, err = r.w.Write(b)
	r.err = errors.Wrap(err, "write event")
}

// Hash returns a short hash of a prefix, which a trace contains in its place.
func Hash(prefix string) string {
	if prefix == "" {
		return ""
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(prefix))
	return strconv.FormatUint(h.Sum64(), 36)
}
