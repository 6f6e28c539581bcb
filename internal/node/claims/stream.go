package claims

import (
	"context"
	"sync"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/claim"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
)

const (
	readLimit   = 512
	readFor     = 2 * clock.Second
	appendFor   = 2 * clock.Second
	maxBatch    = 256 // records in one append
	maxPending  = 4096
	batchGap    = 50 * clock.Milli // between appends to one stream
	outageGap   = 200 * clock.Milli
	noteWait    = 300 * clock.Milli // outcomes wait so long for a claim to go with
	retryWait   = 100 * clock.Milli
	forgetEvery = clock.Minute
)

// item is a record that waits to be appended.
type item struct {
	data []byte
	done chan error // nil: nobody waits, so it is tried again until it stands
}

// stream is one stream of claims: its state as far as it was read, and the
// records that wait to be appended.
type stream struct {
	c    *Claims
	name string

	reading chan struct{} // holds a token of the one reader
	urgent  chan struct{} // holds a token when somebody waits for an append

	mu       sync.Mutex
	state    *claim.State
	next     ident.Offset
	reads    uint64       // reads to the end that have ended
	ended    clock.Millis // when the last of them did
	verdicts map[uint64]chan verdict
	unsent   map[uint64]int64 // own claims given up before they were sent: time of the key
	pending  []item
	flushing bool
	forgot   clock.Millis
}

// verdict is how a claim stood when it was first read back.
type verdict struct {
	at     ident.Offset
	seq    uint64
	won    bool
	judged bool // no lost record may hold the key
}

func newStream(c *Claims, name string) *stream {
	return &stream{
		c:        c,
		name:     name,
		reading:  make(chan struct{}, 1),
		urgent:   make(chan struct{}, 1),
		state:    claim.New(),
		next:     1,
		verdicts: make(map[uint64]chan verdict),
		unsent:   make(map[uint64]int64),
	}
}

// look returns the claim that holds a key, and whether it is an own one that
// was given up before it was sent.
func (s *stream) look(key string) (h claim.Holder, held, unsent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, held = s.state.Lookup(key)
	if held && s.c.isOwn(h.Writer) {
		_, unsent = s.unsent[h.Writer.Seq]
	}
	return h, held, unsent
}

// canJudge reports whether no lost record may hold a key of a time in ms.
func (s *stream) canJudge(time int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.CanDecide(time)
}

// sync reads the stream to an end that was its end at or after the call. Calls
// at one time share a read.
func (s *stream) sync(ctx context.Context) error {
	want := s.readsDone() + 1
	select {
	case s.reading <- struct{}{}:
	default:
		want++ // The read in progress may have begun before this call.
		select {
		case s.reading <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	defer func() { <-s.reading }()
	for s.readsDone() < want {
		if err := s.readOn(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *stream) readsDone() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *stream) position() ident.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// readOn reads to the end once.
func (s *stream) readOn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readFor.Duration())
	defer cancel()
	for {
		b, err := s.c.p.Source.Read(ctx, s.name, s.position(), readLimit, 0)
		if err != nil {
			return err
		}
		if s.take(b) {
			return nil
		}
	}
}

// take applies a batch and reports whether it reached the end.
func (s *stream) take(b plat.Batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.c.p.Clock.Now()
	if b.First > s.next && s.next > 1 && now-s.ended < s.c.retention() {
		s.c.p.Log.Error().Str("stream", s.name).Msg("The log keeps records too short a time, keys made until now are refused.")
		s.state.RaiseHorizon(s.c.p.Wall() + int64(skew))
	}
	for _, r := range b.Records {
		if r.Offset >= s.next {
			s.apply(r)
		}
	}
	s.next = max(s.next, b.Next)
	if len(b.Records) >= readLimit {
		return false
	}
	s.reads++
	s.ended = now
	s.forget(now)
	return true
}

func (s *stream) apply(r plat.Record) {
	ev, err := record.DecodeClaimRecord(r.Data)
	if err != nil {
		s.c.p.Log.Error().Err(err).Str("stream", s.name).Int64("offset", int64(r.Offset)).Msg("Record skipped.")
		return
	}
	s.c.recordEvent(s.name, r.Offset, ev)
	if ev.Outcome != nil {
		s.state.Outcome(*ev.Outcome)
		return
	}
	won := s.state.Claim(r.Offset, ev.Writer, *ev.Claim)
	if !s.c.isOwn(ev.Writer) {
		return
	}
	if ch, ok := s.verdicts[ev.Writer.Seq]; ok {
		delete(s.verdicts, ev.Writer.Seq)
		ch <- verdict{r.Offset, ev.Writer.Seq, won, s.state.CanDecide(ev.Claim.KeyTime)}
		return
	}
	if _, ok := s.unsent[ev.Writer.Seq]; ok && won {
		s.enqueue(record.Outcome{Key: ev.Claim.Key, ClaimOffset: r.Offset, State: record.Refused})
	}
}

// forget drops what is older than any key that is still admitted.
func (s *stream) forget(now clock.Millis) {
	if now-s.forgot < forgetEvery {
		return
	}
	s.forgot = now
	before := s.c.p.Wall() - int64(s.c.p.KeyLifetime+2*skew)
	s.state.Prune(before)
	for seq, t := range s.unsent {
		if t < before {
			delete(s.unsent, seq)
		}
	}
}

// expect returns a number for an own claim and where its verdict comes.
func (s *stream) expect() (uint64, chan verdict) {
	seq := s.c.seq.Add(1)
	ch := make(chan verdict, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verdicts[seq] = ch
	return seq, ch
}

// giveUp notes that an own claim will never be sent to its agent.
func (s *stream) giveUp(seq uint64, keyTime int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.verdicts, seq)
	s.unsent[seq] = keyTime
}

// claim appends a claim and returns its verdict once it was read back. After
// an error the claim is given up: it may stand on the log, but is never sent.
func (s *stream) claim(ctx context.Context, c record.Claim) (verdict, error) {
	seq, ch := s.expect()
	w := record.Writer{Node: s.c.p.Node, Boot: s.c.p.Boot, Seq: seq}
	data, err := record.EncodeClaimRecord(record.ClaimRecord{Writer: w, Claim: &c})
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.c.p.ClaimTimeout.Duration())
	defer cancel()
	for {
		err := s.append(ctx, data)
		lost := err != nil
		if f, ok := fault.As(err); !ok || f.Outcome() != fault.NotRun {
			err = s.sync(ctx)
		}
		select {
		case v := <-ch:
			if lost {
				s.c.worked()
			}
			return v, nil
		case <-ctx.Done():
			s.giveUp(seq, c.KeyTime)
			return verdict{}, fault.New(fault.LogUnavailable, "the claim could not be written and read back in time").WithRetryAfter(clock.Second)
		case <-time.After(retryWait.Duration()):
			s.c.p.Log.Debug().Err(err).Str("stream", s.name).Msg("Claim not read back, trying again.")
		}
	}
}

// append hands a record to the next append and waits for it.
func (s *stream) append(ctx context.Context, data []byte) error {
	it := item{data: data, done: make(chan error, 1)}
	s.mu.Lock()
	if len(s.pending) >= maxPending {
		s.mu.Unlock()
		return fault.New(fault.Overloaded, "too many claims wait for the log").WithRetryAfter(clock.Second)
	}
	s.push(it)
	s.mu.Unlock()
	select {
	case err := <-it.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enqueue adds an outcome that nobody waits for. It is an economy only: the
// agent knows the outcome too. The caller holds mu.
func (s *stream) enqueue(o record.Outcome) {
	if len(s.pending) >= maxPending {
		return
	}
	w := record.Writer{Node: s.c.p.Node, Boot: s.c.p.Boot, Seq: s.c.seq.Add(1)}
	data, err := record.EncodeClaimRecord(record.ClaimRecord{Writer: w, Outcome: &o})
	if err != nil {
		s.c.p.Log.Error().Err(err).Msg("Outcome can't be encoded.")
		return
	}
	s.push(item{data: data})
}

// note records an outcome in the background.
func (s *stream) note(o record.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueue(o)
}

// push adds an item and makes sure that somebody appends it. The caller holds
// mu.
func (s *stream) push(it item) {
	s.pending = append(s.pending, it)
	if it.done != nil {
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

// flush appends what waits, in batches, until nothing waits.
func (s *stream) flush() {
	for {
		s.waitUrgent()
		if s.isEmpty() {
			return
		}
		s.c.rate.wait(s.c.ctx) // What arrives meanwhile goes along.
		batch := s.batch()
		err := s.appendBatch(batch)
		gap := batchGap
		if err != nil {
			gap = outageGap
		}
		s.finish(batch, err)
		clock.Sleep(s.c.ctx, gap)
	}
}

// waitUrgent waits until somebody waits for a record, or until outcomes that
// nobody waits for have waited long enough.
func (s *stream) waitUrgent() {
	t := time.NewTimer(noteWait.Duration())
	defer t.Stop()
	select {
	case <-s.urgent:
	case <-t.C:
	case <-s.c.ctx.Done():
	}
}

// isEmpty reports whether nothing waits, or never will be appended; then the
// next record starts another flush.
func (s *stream) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c.ctx.Err() != nil {
		s.pending = nil
	}
	s.flushing = len(s.pending) > 0
	return !s.flushing
}

// batch takes the records of the next append.
func (s *stream) batch() []item {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.pending), maxBatch)
	out := s.pending[:n:n]
	s.pending = s.pending[n:]
	return out
}

func (s *stream) appendBatch(batch []item) error {
	ctx, cancel := context.WithTimeout(s.c.ctx, appendFor.Duration())
	defer cancel()
	data := make([][]byte, 0, len(batch))
	for _, it := range batch {
		data = append(data, it.data)
	}
	s.c.appends.Add(1)
	_, err := s.c.p.Source.Append(ctx, s.name, data)
	return err
}

// finish tells those who wait, and keeps the rest for another try.
func (s *stream) finish(batch []item, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range batch {
		switch {
		case it.done != nil:
			it.done <- err
		case err != nil && len(s.pending) < maxPending:
			s.pending = append(s.pending, it)
		}
	}
}
