package trace

import (
	"hash/fnv"
	"io"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// queue bounds the events that wait to be written.
const queue = 4096

// Recorder writes events to a trace. Record never waits: an event that finds
// the queue full is dropped and counted. It is safe for concurrent use.
type Recorder struct {
	w       io.Writer
	limit   int
	written int
	events  chan Event
	stop    chan struct{}
	ended   chan struct{}
	once    sync.Once
	dropped atomic.Int64
	work    atomic.Uint64
	err     error // of the writer; read after ended
}

// NewRecorder writes the header and returns a recorder that stops after limit
// bytes.
func NewRecorder(w io.Writer, limit int, h Header) (*Recorder, error) {
	r := &Recorder{
		w:      w,
		limit:  limit,
		events: make(chan Event, queue),
		stop:   make(chan struct{}),
		ended:  make(chan struct{}),
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

// Record takes in an event.
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

// NextWork returns a new name for a piece of work.
func (r *Recorder) NextWork() uint64 {
	if r == nil {
		return 0
	}
	return r.work.Add(1)
}

// Dropped returns how many events found the queue full.
func (r *Recorder) Dropped() int {
	if r == nil {
		return 0
	}
	return int(r.dropped.Load())
}

// Close writes what was taken in and ends the trace.
func (r *Recorder) Close() error {
	if r == nil {
		return nil
	}
	r.once.Do(func() { close(r.stop) })
	<-r.ended
	return r.err
}

func (r *Recorder) run() {
	defer close(r.ended)
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

// write appends an event, or marks the trace as full once.
func (r *Recorder) write(e Event) {
	if r.err != nil || r.written >= r.limit {
		return
	}
	b, err := encodeEvent(e)
	if err == nil && r.written+len(b) > r.limit {
		r.written = r.limit
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

// Hash returns a short hash that stands for a prefix in a trace.
func Hash(prefix string) string {
	if prefix == "" {
		return ""
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(prefix))
	return strconv.FormatUint(h.Sum64(), 36)
}
