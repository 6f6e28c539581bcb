package claims

import (
	"context"
	"sync"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/flight"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/claim"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

const (
	maxReadRecords    = 512
	readTimeout       = 2 * clock.Second
	appendTimeout     = 2 * clock.Second
	maxBatchRecords   = 256 // per append
	maxPendingRecords = 4096
	batchInterval     = 50 * clock.Milli  // between two appends to a stream
	outageRetryDelay  = 200 * clock.Milli // between appends after a failed append
	outcomeDelay      = 300 * clock.Milli // how long outcomes wait to be appended together with a claim
	retryDelay        = 100 * clock.Milli // before a claim that was not read back is appended again
	pruneInterval     = clock.Minute
)

// pendingRecord is a record that waits to be appended.
type pendingRecord struct {
	data []byte
	done chan error // nil if no caller waits; then a failed append of the record is retried
}

// stream is one stream of claims: its state after the records read so far, and
// the records that wait to be appended.
type stream struct {
	c    *Claims
	name string

	reads  *flight.Flight // of the stream to its end
	urgent chan struct{}  // has an element if a caller waits for an append

	mu         sync.Mutex
	state      *claim.State
	next       ident.Offset                // of the next record to read
	lastReadAt clock.Millis                // when the last read to the end completed
	results    map[uint64]chan claimResult // by sequence number of own claims not read back yet
	unsent     map[uint64]int64            // key times of own abandoned claims, which were never sent, by sequence number
	pending    []pendingRecord
	appending  int // records that were taken from pending and are being appended
	flushing   bool
	lastPrune  clock.Millis
}

// claimResult is the state of an own claim at the moment it was read back.
type claimResult struct {
	offset    ident.Offset
	seq       uint64
	won       bool // the claim holds its key
	decidable bool // see [claim.State.CanDecide]
}

func newStream(c *Claims, name string) *stream {
	return &stream{
		c:       c,
		name:    name,
		reads:   flight.New(),
		urgent:  make(chan struct{}, 1),
		state:   claim.New(),
		next:    1,
		results: make(map[uint64]chan claimResult),
		unsent:  make(map[uint64]int64),
	}
}

// lookup returns the claim that holds a key, if there is one. unsent reports
// whether this entry wrote the claim and abandoned it before it was sent.
func (s *stream) lookup(key string) (h claim.Holder, found, unsent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, found = s.state.Lookup(key)
	if found && s.c.isOwn(h.Writer) {
		_, unsent = s.unsent[h.Writer.Seq]
	}
	return h, found, unsent
}

// canDecide reports whether a key of the given time in ms is too new to be in
// records that expired before they were read.
func (s *stream) canDecide(keyTime int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.CanDecide(keyTime)
}

// sync reads the stream to its end at the time of the call, or further. Concurrent
// calls share a read.
func (s *stream) sync(ctx context.Context) error { return s.reads.Do(ctx, s.readToEnd) }

func (s *stream) nextOffset() ident.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// readToEnd reads once to the end of the stream.
func (s *stream) readToEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	for {
		b, err := s.c.p.Source.Read(ctx, s.name, s.nextOffset(), maxReadRecords, 0)
		if err != nil {
			return err
		}
		if s.applyBatch(b) {
			return nil
		}
	}
}

// applyBatch applies a batch and reports whether it reached the end of the stream.
func (s *stream) applyBatch(b plat.Batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.c.p.Clock.Now()
	// Records that are younger than the required retention were removed unread.
	if b.First > s.next && s.next > 1 && now-s.lastReadAt < s.c.retention() {
		s.c.p.Log.Error().Str("stream", s.name).Msg("claims: log retention is too short, keys made until now are refused")
		s.state.RaiseHorizon(s.c.p.Wall() + int64(maxClockSkew))
	}
	for _, r := range b.Records {
		if r.Offset >= s.next {
			s.apply(r)
		}
	}
	s.next = max(s.next, b.Next)
	if len(b.Records) >= maxReadRecords {
		return false
	}
	s.lastReadAt = now
	s.prune(now)
	return true
}

func (s *stream) apply(r plat.Record) {
	rec, err := record.DecodeClaimRecord(r.Data)
	if err != nil {
		s.c.p.Log.Error().Err(err).Str("stream", s.name).Int64("offset", int64(r.Offset)).Msg("claims: undecodable record skipped")
		return
	}
	s.c.recordEvent(s.name, r.Offset, rec)
	if rec.Outcome != nil {
		s.state.Outcome(*rec.Outcome)
		return
	}
	won := s.state.Claim(r.Offset, rec.Writer, *rec.Claim)
	if !s.c.isOwn(rec.Writer) {
		return
	}
	if ch, ok := s.results[rec.Writer.Seq]; ok {
		delete(s.results, rec.Writer.Seq)
		ch <- claimResult{r.Offset, rec.Writer.Seq, won, s.state.CanDecide(rec.Claim.KeyTime)}
		return
	}
	if _, ok := s.unsent[rec.Writer.Seq]; ok && won {
		s.enqueueOutcome(record.Outcome{Key: rec.Claim.Key, ClaimOffset: r.Offset, State: record.Refused})
	}
}

// prune removes the state of keys that are too old to be accepted.
func (s *stream) prune(now clock.Millis) {
	if now-s.lastPrune < pruneInterval {
		return
	}
	s.lastPrune = now
	before := s.c.p.Wall() - int64(s.c.p.KeyLifetime+2*maxClockSkew)
	s.state.Prune(before)
	for seq, t := range s.unsent {
		if t < before {
			delete(s.unsent, seq)
		}
	}
}

// registerClaim returns a sequence number for a new claim of this entry and the
// channel that receives the claim's result.
func (s *stream) registerClaim() (uint64, chan claimResult) {
	seq := s.c.seq.Add(1)
	ch := make(chan claimResult, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[seq] = ch
	return seq, ch
}

// abandon records that a claim of this entry will never be sent to its agent.
func (s *stream) abandon(seq uint64, keyTime int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.results, seq)
	s.unsent[seq] = keyTime
}

// claim appends a claim and returns its result once it was read back. After an
// error the claim is abandoned: it may be on the log but is never sent.
func (s *stream) claim(ctx context.Context, c record.Claim) (claimResult, error) {
	seq, ch := s.registerClaim()
	w := record.Writer{Node: s.c.p.Node, Boot: s.c.p.Boot, Seq: seq}
	data, err := record.EncodeClaimRecord(record.ClaimRecord{Writer: w, Claim: &c})
	if err != nil {
		return claimResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.c.p.ClaimTimeout.Duration())
	defer cancel()
	for {
		err := s.append(ctx, data)
		appendFailed := err != nil
		if f, ok := fault.As(err); !ok || f.Outcome() != fault.NotRun {
			err = s.sync(ctx)
		}
		select {
		case res := <-ch:
			if appendFailed {
				s.c.resetLogBackoff()
			}
			return res, nil
		case <-ctx.Done():
			s.abandon(seq, c.KeyTime)
			return claimResult{}, fault.New(fault.LogUnavailable, "the claim could not be written and read back in time").WithRetryAfter(clock.Second)
		case <-time.After(retryDelay.Duration()):
			s.c.p.Log.Debug().Err(err).Str("stream", s.name).Msg("claims: claim not read back, retrying")
		}
	}
}

// append queues a record and waits for the result of its append.
func (s *stream) append(ctx context.Context, data []byte) error {
	rec := pendingRecord{data: data, done: make(chan error, 1)}
	s.mu.Lock()
	if len(s.pending) >= maxPendingRecords {
		s.mu.Unlock()
		return fault.New(fault.Overloaded, "too many claims wait for the log").WithRetryAfter(clock.Second)
	}
	s.enqueue(rec)
	s.mu.Unlock()
	select {
	case err := <-rec.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enqueueOutcome queues an outcome that no caller waits for. Losing it is harmless:
// an entry can still get the outcome from the agent. The caller holds mu.
func (s *stream) enqueueOutcome(o record.Outcome) {
	if len(s.pending) >= maxPendingRecords {
		return
	}
	w := record.Writer{Node: s.c.p.Node, Boot: s.c.p.Boot, Seq: s.c.seq.Add(1)}
	data, err := record.EncodeClaimRecord(record.ClaimRecord{Writer: w, Outcome: &o})
	if err != nil {
		s.c.p.Log.Error().Err(err).Msg("claims: outcome can't be encoded")
		return
	}
	s.enqueue(pendingRecord{data: data})
}

// recordOutcome appends an outcome in the background.
func (s *stream) recordOutcome(o record.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueueOutcome(o)
}

// enqueue queues a record and starts flush if it isn't running. The caller holds
// mu.
func (s *stream) enqueue(rec pendingRecord) {
	s.pending = append(s.pending, rec)
	if rec.done != nil {
		select {
		case s.urgent <- struct{}{}:
		default:
		}
	}
	if !s.flushing {
		s.flushing = true
		go s.flush()
	}
}

// flush appends the pending records in batches until there are none.
func (s *stream) flush() {
	for {
		s.waitForFlush()
		if s.stopIfEmpty() {
			return
		}
		s.c.appendLimiter.wait(s.c.ctx) // Records that are queued meanwhile join the batch.
		batch := s.batch()
		err := s.appendBatch(batch)
		gap := batchInterval
		if err != nil {
			gap = outageRetryDelay
		}
		s.completeBatch(batch, err)
		clock.Sleep(s.c.ctx, gap)
	}
}

// waitForFlush blocks until a caller waits for a record, or until outcomeDelay has
// passed.
func (s *stream) waitForFlush() {
	t := time.NewTimer(outcomeDelay.Duration())
	defer t.Stop()
	select {
	case <-s.urgent:
	case <-t.C:
	case <-s.c.ctx.Done():
	}
}

// stopIfEmpty reports whether no record is left to append, because there is none
// or because the entry is shutting down. Then the next record starts a new flush.
func (s *stream) stopIfEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c.ctx.Err() != nil {
		s.pending = nil
	}
	s.flushing = len(s.pending) > 0
	return !s.flushing
}

// batch removes and returns the records of the next append.
func (s *stream) batch() []pendingRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.pending), maxBatchRecords)
	out := s.pending[:n:n]
	s.pending = s.pending[n:]
	s.appending = n
	return out
}

func (s *stream) appendBatch(batch []pendingRecord) error {
	ctx, cancel := context.WithTimeout(s.c.ctx, appendTimeout.Duration())
	defer cancel()
	data := make([][]byte, 0, len(batch))
	for _, rec := range batch {
		data = append(data, rec.data)
	}
	s.c.appends.Add(1)
	_, err := s.c.p.Source.Append(ctx, s.name, data)
	return err
}

// isBusy reports whether a record waits to be appended or is being appended.
func (s *stream) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0 || s.appending > 0
}

// completeBatch passes the result of an append to the callers that wait. After an
// error it queues the other records again.
func (s *stream) completeBatch(batch []pendingRecord, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appending = 0
	for _, rec := range batch {
		switch {
		case rec.done != nil:
			rec.done <- err
		case err != nil && len(s.pending) < maxPendingRecords:
			s.pending = append(s.pending, rec)
		}
	}
}
