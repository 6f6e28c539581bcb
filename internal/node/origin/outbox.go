package origin

import (
	"context"
	"slices"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
)

const (
	// entriesPerWriter is the number of entries for which one of them uses the journal. It
	// bounds the calls of a large fleet and the messages to a writer.
	entriesPerWriter = 25
	// sendInterval is the minimum time between two messages to a writer.
	sendInterval = 200 * clock.Milli
	// maxSendDoublings bounds how often the interval is doubled while messages fail.
	maxSendDoublings = 3
	// storeTimeout bounds a message to a writer: it waits for an append in progress and for
	// its own.
	storeTimeout = 2 * writeTimeout
	// lookUpTimeout bounds the answer of a writer, so that there is time to read the journal
	// here.
	lookUpTimeout = findTimeout / 2
	// readAheadInterval is the interval at which an entry checks whether it has become a writer.
	readAheadInterval = clock.Second
	// cleanInterval is the interval at which old segments are removed.
	cleanInterval = 10 * clock.Second
	// writersKey is the key by which the writers are chosen.
	writersKey = "stream-origins"
)

// takeUnstored removes streams from the queue, at most one message of them, and returns them
// with their origins.
func (s *Store) takeUnstored() (streams []string, origins []resume.Stored) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.unstored), resume.MaxOrigins)
	for _, stream := range s.unstored[:n] {
		if k, ok := s.origins[stream]; ok {
			streams = append(streams, stream)
			origins = append(origins, resume.Stored{Stream: index.StreamKeyOf(stream), Service: k.Service, Software: k.Software})
		}
	}
	if s.unstored = s.unstored[n:]; len(s.unstored) == 0 {
		s.unstored = nil
	}
	return streams, origins
}

// putBackUnstored puts streams back whose origins were not stored.
func (s *Store) putBackUnstored(streams []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unstored = append(s.unstored, streams...)
}

// storeOrigins writes the origins of streams in the queue to the platform's store, until the
// context ends (rule 7).
func (s *Store) storeOrigins(ctx context.Context) {
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.unstoredWake:
		}
		clock.Sleep(ctx, gatherTime)
		for {
			streams, origins := s.takeUnstored()
			if len(origins) == 0 {
				break
			}
			if err := s.storeBatch(ctx, origins, failures); err != nil {
				failures++
				s.putBackUnstored(streams)
				s.Log.Info().Int("streams", len(origins)).Int("failures", failures).Err(err).
					Msg("origin: origins of streams not stored, tried again")
			} else {
				failures = 0
			}
			if !clock.Sleep(ctx, sendInterval<<min(failures, maxSendDoublings)) {
				return
			}
		}
	}
}

// storeBatch writes origins by the writer that comes after a number of failures in a row: the
// two writers by rank, and then this entry itself.
func (s *Store) storeBatch(ctx context.Context, origins []resume.Stored, failures int) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	writers := s.writers(string(s.Self), 2)
	if i := failures % (len(writers) + 1); i < len(writers) && writers[i].Name != s.Self {
		return resume.Store(ctx, s.http, writers[i].Addr, origins)
	}
	return s.journal.add(ctx, origins)
}

// writers returns up to n of the entries that use the journal for others, by their rank for a
// key.
func (s *Store) writers(key string, n int) []spread.Peer {
	return spread.TopPeers(writersKey+"/"+key, s.allWriters(), n)
}

// allWriters returns the entries that use the journal for others. The first one by rank cleans
// it.
func (s *Store) allWriters() []spread.Peer {
	peers, _ := s.Peers()
	return spread.TopPeers(writersKey, peers, (len(peers)+entriesPerWriter-1)/entriesPerWriter)
}

// readAhead reads the journal if this entry is a writer that has not read it yet, so that the
// first search after a start does not wait for it.
func (s *Store) readAhead() {
	isSelf := func(p spread.Peer) bool { return p.Name == s.Self }
	if s.Resumable() && slices.ContainsFunc(s.allWriters(), isSelf) {
		s.journal.readAhead()
	}
}

// StoreAll writes origins of other entries to the platform's store.
func (s *Store) StoreAll(ctx context.Context, origins []resume.Stored) error {
	return s.journal.add(ctx, origins)
}

// lookUpStored looks an origin up in the platform's store: by a writer or, if that one does not
// answer, here.
func (s *Store) lookUpStored(ctx context.Context, q resume.Query, log zerolog.Logger) resume.LookUpReply {
	for _, w := range s.writers(q.Stream, 1) {
		if w.Name == s.Self {
			break
		}
		askCtx, cancel := context.WithTimeout(ctx, lookUpTimeout.Duration())
		reply, err := resume.LookUp(askCtx, s.http, w.Addr, q)
		cancel()
		if err == nil {
			return reply
		}
		log.Info().Str("stream", q.Stream).Str("from", string(w.Name)).Err(err).Msg("origin: a writer does not answer")
	}
	reply, err := s.LookUp(ctx, q)
	if err != nil {
		log.Info().Str("stream", q.Stream).Err(err).Msg("origin: origins can't be read from the platform's store")
	}
	return reply
}

// LookUp looks an origin up in the platform's store.
func (s *Store) LookUp(ctx context.Context, q resume.Query) (resume.LookUpReply, error) {
	o, found, err := s.journal.find(ctx, q.Stream)
	return resume.LookUpReply{Found: found, Origin: o}, err
}

// cleanJournal removes old segments if this entry is the first writer.
func (s *Store) cleanJournal(ctx context.Context) {
	if !s.Resumable() && s.journal.isEmpty() {
		return
	}
	if all := s.allWriters(); len(all) > 0 && all[0].Name == s.Self {
		s.journal.clean(ctx)
	}
}
