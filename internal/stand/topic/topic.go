// Package topic is a fake of the platform's store. It has partitioned topics with
// offsets, producers with sequence numbers by which repeated appends are
// recognized, compacted topics, and fault modes. Tests can also expire records.
//
// # Usage
//
//	s := topic.New()
//	s.SetFaultMode(topic.Busy)
//	off, err := s.Append(ctx, plat.Append{Topic: "index", Records: recs})
package topic

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// FaultMode is the way in which the store fails.
type FaultMode uint8

// The fault modes.
const (
	NoFault        FaultMode = iota
	Busy                     // calls are refused with proof that they were not applied
	Unresponsive             // calls are not answered and have no effect
	LostReplies              // appends take effect, but are not answered
	DelayedAppends           // appends are not answered, and take effect when the mode changes
)

// ErrNoAnswer is returned by a call that was not answered. The call may have taken
// effect.
var ErrNoAnswer = errors.New("the store did not answer")

// noAnswerDelay is the time after which a call fails with ErrNoAnswer.
const noAnswerDelay = 300 * clock.Milli

// maxKeptOffsets is the number of recent appends per producer whose repetition is
// recognized and answered with the same offset.
const maxKeptOffsets = 5

// producer is the state of a producer in one partition.
type producer struct {
	epoch   int64
	nextSeq int64
	offsets map[int64]int64 // by sequence number
}

type partition struct {
	first     int64 // first retained offset
	records   [][]byte
	producers map[string]*producer
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

type partitionKey struct {
	topic string
	index int
}

// Store is the fake store.
type Store struct {
	mu         sync.Mutex
	partitions map[partitionKey]*partition
	latest     map[string]map[string]plat.Keyed // latest record by topic and key
	faultMode  FaultMode
	delayed    []plat.Append
	changed    chan struct{} // closed and replaced by each append
	calls      int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		partitions: make(map[partitionKey]*partition),
		latest:     make(map[string]map[string]plat.Keyed),
		changed:    make(chan struct{}),
	}
}

// SetFaultMode changes the fault mode. Appends that [DelayedAppends] delayed take
// effect first.
func (s *Store) SetFaultMode(m FaultMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultMode = m
	delayed := s.delayed
	s.delayed = nil
	for _, a := range delayed {
		_, _ = s.append(a) // The caller no longer waits for the result.
	}
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ensurePartition returns a partition of a topic and creates it if necessary.
func (s *Store) ensurePartition(topic string, index int) *partition {
	k := partitionKey{topic, index}
	p := s.partitions[k]
	if p == nil {
		p = &partition{producers: make(map[string]*producer)}
		s.partitions[k] = p
	}
	return p
}

// beginCall counts a call and returns the error of the fault mode, if any. a is
// nil unless the call is an append.
func (s *Store) beginCall(ctx context.Context, a *plat.Append) error {
	s.mu.Lock()
	s.calls++
	mode := s.faultMode
	if mode == DelayedAppends && a != nil {
		s.delayed = append(s.delayed, *a)
	}
	s.mu.Unlock()
	switch {
	case mode == Busy:
		return plat.ErrNotApplied
	case mode == Unresponsive, mode == DelayedAppends && a != nil:
		clock.Sleep(ctx, noAnswerDelay)
		return ErrNoAnswer
	}
	return nil
}

// Append implements [plat.Store].
func (s *Store) Append(ctx context.Context, a plat.Append) (int64, error) {
	if err := s.beginCall(ctx, &a); err != nil {
		return 0, err
	}
	s.mu.Lock()
	off, err := s.append(a)
	replyLost := s.faultMode == LostReplies
	s.mu.Unlock()
	if replyLost {
		clock.Sleep(ctx, noAnswerDelay)
		return 0, ErrNoAnswer
	}
	return off, err
}

// append appends records and returns the offset of the first one. A repeated
// append of a producer adds no records.
func (s *Store) append(a plat.Append) (int64, error) {
	p := s.ensurePartition(a.Topic, a.Part)
	if a.Producer.Name != "" {
		prod := p.producers[a.Producer.Name]
		if prod == nil || a.Producer.Epoch > prod.epoch {
			prod = &producer{epoch: a.Producer.Epoch, nextSeq: a.Producer.Seq, offsets: make(map[int64]int64)}
			p.producers[a.Producer.Name] = prod
		}
		if a.Producer.Epoch < prod.epoch {
			return 0, &plat.SequenceError{Fenced: true}
		}
		if off, ok := prod.offsets[a.Producer.Seq]; ok {
			return off, nil
		}
		if a.Producer.Seq != prod.nextSeq {
			return 0, &plat.SequenceError{Want: prod.nextSeq}
		}
		prod.nextSeq++
		prod.offsets[a.Producer.Seq] = p.end()
		delete(prod.offsets, a.Producer.Seq-maxKeptOffsets)
	}
	off := p.end()
	for i, r := range a.Records {
		r = append([]byte(nil), r...)
		p.records = append(p.records, r)
		s.recordLatest(a.Topic, off+int64(i), r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return off, nil
}

// DecodeKeyed parses a record of a compacted topic: the length of the key in one
// byte, the key, and the value.
func DecodeKeyed(offset int64, rec []byte) (plat.Keyed, error) {
	if len(rec) == 0 || int(rec[0]) > len(rec)-1 {
		return plat.Keyed{}, errors.Errorf("record at offset %d is truncated", offset)
	}
	n := 1 + int(rec[0])
	k := plat.Keyed{Key: string(rec[1:n]), Offset: offset}
	if len(rec) > n {
		k.Value = rec[n:]
	}
	return k, nil
}

// Put implements [plat.Store]. A nil value removes the key.
func (s *Store) Put(ctx context.Context, topic, key string, value []byte) error {
	if err := s.beginCall(ctx, nil); err != nil {
		return err
	}
	s.Write(topic, key, value)
	return nil
}

// Compact makes a topic compacted: [Store.Newest] returns the latest record of each key that
// is appended from now on. Put and Write need no call of it.
func (s *Store) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest[topic] == nil {
		s.latest[topic] = make(map[string]plat.Keyed)
	}
}

// recordLatest records a record of a compacted topic as the latest one of its key. The
// caller holds the lock.
func (s *Store) recordLatest(topic string, offset int64, rec []byte) {
	latest := s.latest[topic]
	if latest == nil {
		return
	}
	switch k, err := DecodeKeyed(offset, rec); {
	case err != nil: // Readers skip the record.
	case k.Value == nil:
		delete(latest, k.Key)
	default:
		latest[k.Key] = k
	}
}

// Write writes a key as an operator does, regardless of the fault mode. A nil
// value removes the key.
func (s *Store) Write(topic, key string, value []byte) {
	s.Compact(topic)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := append([]byte{byte(len(key))}, key...)
	if _, err := s.append(plat.Append{Topic: topic, Records: [][]byte{append(rec, value...)}}); err != nil {
		panic(err) // An append without a producer is never refused.
	}
}

// Expire removes all records of a partition, as the end of their retention does.
// The latest values of a compacted topic stay.
func (s *Store) Expire(topic string, index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.ensurePartition(topic, index)
	p.first, p.records = p.end(), nil
}

// Read implements [plat.Store].
func (s *Store) Read(ctx context.Context, topic string, index int, from int64, maxKB int, wait clock.Millis) (plat.Page, error) {
	if err := s.beginCall(ctx, nil); err != nil {
		return plat.Page{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	for {
		s.mu.Lock()
		p := s.ensurePartition(topic, index)
		if from < p.first {
			s.mu.Unlock()
			return plat.Page{}, &plat.GoneError{First: p.first}
		}
		page := plat.Page{End: p.end(), First: p.first, From: from}
		size := 0
		for i := from - p.first; i < int64(len(p.records)) && (size == 0 || size < maxKB<<10); i++ {
			page.Records = append(page.Records, p.records[i])
			size += len(p.records[i])
		}
		changed := s.changed
		s.mu.Unlock()
		if len(page.Records) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return page, nil
		}
	}
}

// Newest implements [plat.Store].
func (s *Store) Newest(ctx context.Context, topic string) ([]plat.Keyed, int64, error) {
	if err := s.beginCall(ctx, nil); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []plat.Keyed
	for _, k := range s.latest[topic] {
		out = append(out, k)
	}
	return out, s.ensurePartition(topic, 0).end(), nil
}
