// Package topic is a stand-in for the platform's store: partitioned topics
// with offsets, producers whose repeats are dropped, keyed topics, retention,
// and the troubles that the store has.
//
// # Usage
//
//	s := topic.New()
//	s.Trouble(topic.Busy)
//	off, err := s.Append(ctx, plat.Append{Topic: "index", Records: recs})
package topic

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// FaultMode is what is wrong with the store.
type FaultMode uint8

// The troubles.
const (
	NoFault        FaultMode = iota
	Busy                     // calls are refused, proven as not done
	Unresponsive             // calls are not answered and have no effect
	LostReplies              // appends take effect, their answers are lost
	DelayedAppends           // appends are not answered and take effect when it ends
)

// ErrNoAnswer leaves open whether a call took effect.
var ErrNoAnswer = errors.New("the store did not answer")

// silentFor is how long a call without an answer takes.
const silentFor = 300 * clock.Milli

// remembered is how many answers of a producer are repeated.
const remembered = 5

type producer struct {
	epoch   int64
	next    int64
	answers map[int64]int64 // offset by sequence number
}

type part struct {
	first     int64
	records   [][]byte
	producers map[string]*producer
}

func (p *part) end() int64 { return p.first + int64(len(p.records)) }

type partKey struct {
	topic string
	part  int
}

// Store is the stand-in.
type Store struct {
	mu      sync.Mutex
	parts   map[partKey]*part
	newest  map[string]map[string]plat.Keyed // by topic and key
	trouble FaultMode
	late    []plat.Append
	changed chan struct{}
	calls   int
}

// New returns an empty store.
func New() *Store {
	return &Store{parts: make(map[partKey]*part), newest: make(map[string]map[string]plat.Keyed), changed: make(chan struct{})}
}

// SetFaultMode sets what is wrong from now on; appends that were late take effect.
func (s *Store) SetFaultMode(t FaultMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
	late := s.late
	s.late = nil
	for _, a := range late {
		_, _ = s.append(a) // Its caller has gone.
	}
}

// Calls returns how many calls came.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) at(topic string, n int) *part {
	k := partKey{topic, n}
	p := s.parts[k]
	if p == nil {
		p = &part{producers: make(map[string]*producer)}
		s.parts[k] = p
	}
	return p
}

// enter counts a call and returns the error that it ends with, if any.
func (s *Store) enter(ctx context.Context, a *plat.Append) error {
	s.mu.Lock()
	s.calls++
	t := s.trouble
	if t == DelayedAppends && a != nil {
		s.late = append(s.late, *a)
	}
	s.mu.Unlock()
	switch {
	case t == Busy:
		return plat.ErrNotApplied
	case t == Unresponsive, t == DelayedAppends && a != nil:
		clock.Sleep(ctx, silentFor)
		return ErrNoAnswer
	}
	return nil
}

// Append implements [plat.Store].
func (s *Store) Append(ctx context.Context, a plat.Append) (int64, error) {
	if err := s.enter(ctx, &a); err != nil {
		return 0, err
	}
	s.mu.Lock()
	off, err := s.append(a)
	lost := s.trouble == LostReplies
	s.mu.Unlock()
	if lost {
		clock.Sleep(ctx, silentFor)
		return 0, ErrNoAnswer
	}
	return off, err
}

func (s *Store) append(a plat.Append) (int64, error) {
	p := s.at(a.Topic, a.Part)
	if a.Producer.Name != "" {
		pr := p.producers[a.Producer.Name]
		if pr == nil || a.Producer.Epoch > pr.epoch {
			pr = &producer{epoch: a.Producer.Epoch, next: a.Producer.Seq, answers: make(map[int64]int64)}
			p.producers[a.Producer.Name] = pr
		}
		if a.Producer.Epoch < pr.epoch {
			return 0, &plat.SequenceError{Fenced: true}
		}
		if off, ok := pr.answers[a.Producer.Seq]; ok {
			return off, nil
		}
		if a.Producer.Seq != pr.next {
			return 0, &plat.SequenceError{Want: pr.next}
		}
		pr.next++
		pr.answers[a.Producer.Seq] = p.end()
		delete(pr.answers, a.Producer.Seq-remembered)
	}
	off := p.end()
	for _, r := range a.Records {
		p.records = append(p.records, append([]byte(nil), r...))
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return off, nil
}

// DecodeKeyed parses a record of a keyed topic: a length byte, the key, the value.
func DecodeKeyed(offset int64, rec []byte) (plat.Keyed, error) {
	if len(rec) == 0 || int(rec[0]) > len(rec)-1 {
		return plat.Keyed{}, errors.Errorf("record %d is cut short", offset)
	}
	n := 1 + int(rec[0])
	k := plat.Keyed{Key: string(rec[1:n]), Offset: offset}
	if len(rec) > n {
		k.Value = rec[n:]
	}
	return k, nil
}

// Put implements [plat.Store]; a nil value drops the key.
func (s *Store) Put(ctx context.Context, topic, key string, value []byte) error {
	if err := s.enter(ctx, nil); err != nil {
		return err
	}
	s.Write(topic, key, value)
	return nil
}

// Write writes a key as the operator does, whatever the trouble is.
func (s *Store) Write(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := append([]byte{byte(len(key))}, key...)
	off, err := s.append(plat.Append{Topic: topic, Records: [][]byte{append(rec, value...)}})
	if err != nil {
		panic(err) // An append without a producer is never refused.
	}
	if s.newest[topic] == nil {
		s.newest[topic] = make(map[string]plat.Keyed)
	}
	if value == nil {
		delete(s.newest[topic], key)
		return
	}
	s.newest[topic][key] = plat.Keyed{Key: key, Value: value, Offset: off}
}

// Expire deletes all records of a partition; newest values stay.
func (s *Store) Expire(topic string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.at(topic, n)
	p.first, p.records = p.end(), nil
}

// Read implements [plat.Store].
func (s *Store) Read(ctx context.Context, topic string, n int, from int64, maxKB int, wait clock.Millis) (plat.Page, error) {
	if err := s.enter(ctx, nil); err != nil {
		return plat.Page{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	for {
		s.mu.Lock()
		p := s.at(topic, n)
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
	if err := s.enter(ctx, nil); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []plat.Keyed
	for _, k := range s.newest[topic] {
		out = append(out, k)
	}
	return out, s.at(topic, 0).end(), nil
}
