package origin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
)

const (
	// writeInterval is the minimum time between two appends of one entry.
	writeInterval = 200 * clock.Milli
	// gatherTime is how long the first of some origins waits for others that come with it.
	// Without it the rest of a burst would wait for the interval to pass.
	gatherTime = 20 * clock.Milli
	// writeTimeout and readTimeout bound one call of the platform's store.
	writeTimeout = clock.Second
	readTimeout  = clock.Second
	// A segment is rewritten with each append until it is full or old, so that an entry that
	// reads them all reads few records. Its JSON has 22 bytes for each stream and must fit
	// into a record of the store of 256 KB.
	maxSegmentStreams = 2000
	maxSegmentAge     = 10 * clock.Second
	// maxWriteStreams is the number of streams from which on an append takes no more messages.
	maxWriteStreams = 4000
	// readInterval bounds how old a read may be that shows that a stream is not in the journal.
	readInterval = 100 * clock.Milli
	// readKB is the size of one read.
	readKB = 512
)

// journal writes origins to a compacted topic of the platform's store and reads them there. Any
// number of entries may write: each has segments of its own, which nobody else changes.
type journal struct {
	store       plat.Store
	topic       string
	decodeKeyed func(offset int64, rec []byte) (plat.Keyed, error)
	clock       clock.Clock
	log         zerolog.Logger
	keyPrefix   string // of the segments of this process
	wake        chan struct{}
	readWake    chan struct{}

	queueMu sync.Mutex
	queue   []*addition

	// The segment that is written. Only the writing goroutine uses it.
	segment   index.Segment
	number    int
	startedAt clock.Millis

	mu       sync.Mutex
	read     map[string]readSegment // by key
	next     int64                  // offset of the next record to read, -1 before the first read
	reading  *reading               // nil if none is in progress
	lastRead clock.Millis           // when the last complete read began, 0 before
	usedAt   clock.Millis
}

// addition is a set of origins that waits to be written.
type addition struct {
	origins []resume.Stored
	done    chan error
}

// readSegment is a segment with the offset of its record and the time at which that was read.
type readSegment struct {
	index.Segment
	offset    int64
	changedAt clock.Millis
}

// reading is a read in progress.
type reading struct {
	done chan struct{} // closed at its end
	err  error
}

func newJournal(p Params) *journal {
	// Keys have at most 255 bytes, so they contain a hash of the names.
	sum := sha256.Sum256([]byte(string(p.Self) + "\x00" + p.Boot))
	return &journal{
		store: p.Platform, topic: p.Topic, decodeKeyed: p.DecodeKeyed, clock: p.Clock, log: p.Log,
		keyPrefix: hex.EncodeToString(sum[:8]) + "/", wake: make(chan struct{}, 1), readWake: make(chan struct{}, 1), next: -1,
	}
}

// add writes origins. It returns once they are written.
func (j *journal) add(ctx context.Context, origins []resume.Stored) error {
	a := &addition{origins, make(chan error, 1)}
	j.queueMu.Lock()
	j.queue = append(j.queue, a)
	j.queueMu.Unlock()
	wakeUp(j.wake)
	select {
	case err := <-a.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "write origins")
	}
}

// run writes origins until the context ends.
func (j *journal) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
		}
		clock.Sleep(ctx, gatherTime)
		for batch := j.nextBatch(); len(batch) > 0; batch = j.nextBatch() {
			err := j.write(ctx, batch)
			for _, a := range batch {
				a.done <- err
			}
			if !clock.Sleep(ctx, writeInterval) {
				return
			}
		}
	}
}

// nextBatch removes additions from the queue.
func (j *journal) nextBatch() []*addition {
	j.queueMu.Lock()
	defer j.queueMu.Unlock()
	n, streams := 0, 0
	for n < len(j.queue) && streams < maxWriteStreams {
		streams += len(j.queue[n].origins)
		n++
	}
	batch := j.queue[:n:n]
	j.queue = j.queue[n:]
	return batch
}

// write appends the segment with further origins.
func (j *journal) write(ctx context.Context, batch []*addition) error {
	if now := j.clock.Now(); j.segment == nil || len(j.segment) >= maxSegmentStreams || now-j.startedAt >= maxSegmentAge {
		j.segment, j.startedAt = make(index.Segment), now
		j.number++
	}
	for _, a := range batch {
		for _, o := range a.origins {
			j.segment[o.Stream] = index.Release{Service: o.Service, Software: o.Software}
		}
	}
	value, err := index.EncodeSegment(j.segment)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
		defer cancel()
		err = j.store.Put(ctx, j.topic, j.keyPrefix+strconv.Itoa(j.number), value)
	}
	if err != nil {
		j.segment = nil // The store may still apply this append after later ones.
	}
	return err
}

// find returns the origin of a stream, and false if the journal has none.
func (j *journal) find(ctx context.Context, stream string) (resume.Origin, bool, error) {
	key, calledAt := index.StreamKeyOf(stream), j.clock.Now()
	for {
		release, found, r := j.lookUp(key, calledAt)
		if found {
			return resume.Origin{Stream: stream, Service: release.Service, Software: release.Software}, true, nil
		}
		if r == nil {
			return resume.Origin{}, false, nil
		}
		select {
		case <-r.done:
			if r.err != nil {
				return resume.Origin{}, false, r.err
			}
		case <-ctx.Done():
			return resume.Origin{}, false, errors.Wrap(ctx.Err(), "read origins")
		}
	}
}

// lookUp returns the release that began a stream. If no segment that was read names it, lookUp
// returns the read in progress, or nil if the last one is recent enough for a call at a time.
func (j *journal) lookUp(key index.StreamKey, calledAt clock.Millis) (index.Release, bool, *reading) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.usedAt = j.clock.Now()
	for _, s := range j.read {
		if r, ok := s.Segment[key]; ok {
			return r, true, nil
		}
	}
	if j.lastRead > 0 && j.lastRead >= calledAt-readInterval {
		return index.Release{}, false, nil
	}
	return index.Release{}, false, j.startRead()
}

// startRead starts a read unless one is in progress, and returns it. It does not end with the
// request that needs it, since others wait for it as well. The caller holds the lock.
func (j *journal) startRead() *reading {
	if j.reading == nil {
		j.reading = &reading{done: make(chan struct{})}
		j.readWake <- struct{}{} // It has room, since one read is in progress at most.
	}
	return j.reading
}

// runReads reads the topic when a read is started, until the context ends.
func (j *journal) runReads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.readWake:
		}
		startedAt := j.clock.Now()
		readCtx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
		err := j.refresh(readCtx)
		cancel()
		j.mu.Lock()
		r := j.reading
		if j.reading = nil; err == nil {
			j.lastRead = startedAt
		}
		r.err = err
		close(r.done)
		j.mu.Unlock()
	}
}

// readAhead starts a read unless the journal was read before.
func (j *journal) readAhead() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.usedAt = j.clock.Now(); j.next < 0 {
		j.startRead()
	}
}

// refresh reads all segments, or what has changed since the last read.
func (j *journal) refresh(ctx context.Context) error {
	j.mu.Lock()
	next := j.next
	j.mu.Unlock()
	for next >= 0 {
		page, err := j.store.Read(ctx, j.topic, 0, next, readKB, 0)
		var gone *plat.GoneError
		if errors.As(err, &gone) {
			break
		}
		if err != nil {
			return err
		}
		var records []plat.Keyed
		for i, rec := range page.Records {
			k, err := j.decodeKeyed(page.From+int64(i), rec)
			if err != nil {
				j.log.Error().Err(err).Int64("offset", page.From+int64(i)).Msg("origin: undecodable record skipped")
				continue
			}
			records = append(records, k)
		}
		next = page.From + int64(len(page.Records))
		j.apply(records, next, false)
		if next >= page.End || len(page.Records) == 0 {
			return nil
		}
	}
	records, end, err := j.store.Newest(ctx, j.topic)
	if err != nil {
		return err
	}
	j.apply(records, end, true)
	return nil
}

// apply applies records that were read up to an offset. They replace what was read before if
// they are all.
func (j *journal) apply(records []plat.Keyed, next int64, all bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	before := j.read
	if all {
		j.read = make(map[string]readSegment, len(records))
	}
	for _, k := range records {
		if k.Value == nil {
			delete(j.read, k.Key)
			continue
		}
		if b, ok := before[k.Key]; ok && b.offset == k.Offset {
			j.read[k.Key] = b
			continue
		}
		s, err := index.DecodeSegment(k.Value)
		if err != nil {
			j.log.Error().Err(err).Int64("offset", k.Offset).Msg("origin: undecodable segment skipped")
			continue
		}
		j.read[k.Key] = readSegment{s, k.Offset, j.clock.Now()}
	}
	j.next = next
}

// clean removes segments that have not changed for the lifetime of a stream, as far as this
// process knows.
func (j *journal) clean(ctx context.Context) {
	j.mu.Lock()
	j.usedAt = j.clock.Now()
	r := j.startRead()
	j.mu.Unlock()
	select {
	case <-r.done:
	case <-ctx.Done():
		return
	}
	if r.err != nil {
		j.log.Info().Err(r.err).Msg("origin: journal not read, cleaned later")
		return
	}
	for _, key := range j.expired() {
		putCtx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
		err := j.store.Put(putCtx, j.topic, key, nil)
		cancel()
		if err != nil {
			j.log.Info().Err(err).Msg("origin: segment not removed, tried again")
			return
		}
	}
}

// expired returns the keys of segments that have not changed for the lifetime of a stream.
func (j *journal) expired() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock.Now()
	var keys []string
	for key, s := range j.read {
		if now-s.changedAt > lifetime {
			keys = append(keys, key)
		}
	}
	return keys
}

// isEmpty reports whether no segment is known.
func (j *journal) isEmpty() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.read) == 0
}

// prune forgets what was read if it was not used for the lifetime of a stream.
func (j *journal) prune() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.reading == nil && j.next >= 0 && j.clock.Now()-j.usedAt > lifetime {
		j.read, j.next, j.lastRead = nil, -1, 0
	}
}
