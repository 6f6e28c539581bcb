package jobs

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
)

const (
	// comeBack is asked of a client while the store does not answer.
	comeBack = 500 * clock.Milli
	// listBytes bounds the texts of one list of results; the platform allows
	// 1 MB with the marks that JSON adds.
	listBytes = 640 << 10
	// readers read texts of one list side by side: a hundred texts are read
	// within some 200 ms also from another region.
	readers = 16
)

// ItemResult is a result with its text.
type ItemResult struct {
	joblog.Result
	ItemID string
	Text   []byte
}

// ResultPage is a part of a job's results.
type ResultPage struct {
	Total   int
	Next    int
	Results []ItemResult
}

// part returns the partition of the bulk topic for a name.
func (b *Service) part(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // A hash never returns an error.
	return int(h.Sum32() % uint32(b.StoreInfo.Partitions))
}

// Submit accepts a job. A fault with the outcome not run proves that no part
// of it will run.
func (b *Service) Submit(ctx context.Context, s *joblog.Spec) error {
	start := b.Clock.Now()
	b.mu.Lock()
	known := b.ix.Job(s.ID) != nil
	b.mu.Unlock()
	if known {
		b.Log.Info().Str("job", s.ID).Msg("jobs: repeat of a known job")
		return nil
	}
	recs := make([][]byte, 0, len(s.Items))
	ids := make([]string, 0, len(s.Items))
	work := int64(0)
	for i := range s.Items {
		raw, err := index.EncodeItem(&s.Items[i])
		if err != nil {
			return err
		}
		if len(raw) > b.StoreInfo.MaxRecordBytes {
			return fault.New(fault.TooLarge, "item "+s.Items[i].ID+" is larger than a record of the store")
		}
		recs = append(recs, raw)
		ids = append(ids, s.Items[i].ID)
		work += int64(s.Items[i].LengthHint)
	}
	place := joblog.Location{Partition: b.part(s.ID)}
	var err error
	place.Offset, err = b.Writer.Append(ctx, index.BulkTopic, place.Partition, recs...)
	var large *logs.TooLargeError
	if errors.As(err, &large) {
		return fault.Wrap(fault.TooLarge, err, "the items of job "+s.ID+"; split the job")
	}
	if err != nil {
		// Without its record in the index no part of the job runs.
		return fault.Wrap(fault.LogUnavailable, err, "job "+s.ID+" was not stored").WithRetryAfter(comeBack)
	}
	err = b.put(ctx, joblog.Accept{
		JobID: s.ID, Host: s.Host, Path: s.Path, Model: s.Model, MinVersion: s.MinVersion, Groups: s.Groups,
		ItemIDs: ids, ItemsAt: place, Node: b.Self, EstimatedTokens: work,
	})
	if errors.Is(err, logs.ErrOutcomeUnknown) {
		return fault.Wrap(fault.OutcomeUnknown, err, "job "+s.ID+" may be accepted")
	}
	if err != nil {
		return fault.Wrap(fault.LogUnavailable, err, "job "+s.ID+" was not accepted").WithRetryAfter(comeBack)
	}
	b.Log.Info().Str("job", s.ID).Int("items", len(ids)).Int64("took-ms", int64(b.Clock.Now()-start)).Msg("jobs: job stored")
	return nil
}

// find returns a copy of a job's state; it applies rule 2.
func (b *Service) find(ctx context.Context, id string, enough func(*joblog.Job) bool) (*joblog.Job, error) {
	look := func() *joblog.Job {
		b.mu.Lock()
		defer b.mu.Unlock()
		if j := b.ix.Job(id); j != nil {
			c := *j
			return &c
		}
		return nil
	}
	j := look()
	if j != nil && enough(j) {
		return j, nil
	}
	if err := b.Sync(ctx); err != nil {
		if j != nil {
			return j, nil
		}
		return nil, fault.Wrap(fault.LogUnavailable, err, "job "+id+" is not known here and the index can't be read").WithRetryAfter(comeBack)
	}
	if j = look(); j == nil {
		return nil, fault.New(fault.NotFound, "no job "+id)
	}
	return j, nil
}

// Results lists results from a position on; it waits up to wait for one.
func (b *Service) Results(ctx context.Context, id string, after int, wait clock.Millis) (*ResultPage, error) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		changed := b.Changed()
		j, err := b.find(ctx, id, func(j *joblog.Job) bool { return len(j.Results) >= after })
		if err != nil {
			return nil, err
		}
		if after > len(j.Results) {
			// Positions were read elsewhere that are not known here.
			return nil, fault.New(fault.LogUnavailable, "results up to that position are not known here yet").WithRetryAfter(comeBack)
		}
		if after < len(j.Results) {
			return b.texts(ctx, j, after)
		}
		if !j.IsOpen() || wait <= 0 {
			return &ResultPage{Total: len(j.ItemIDs), Next: after}, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return &ResultPage{Total: len(j.ItemIDs), Next: after}, nil
		case <-ctx.Done():
			return nil, fault.New(fault.Canceled, "the client left")
		}
	}
}

// span is some results whose texts lie one after the other.
type span struct {
	from  int // position in the list
	n     int
	bytes int
	texts [][]byte
	err   error
}

// texts reads the texts of results from a position on, side by side: the store
// may stand in another region, and a job has a hundred texts and more. What
// can't be read ends the list before it.
func (b *Service) texts(ctx context.Context, j *joblog.Job, after int) (*ResultPage, error) {
	spans := split(j.Results[after:])
	var wg sync.WaitGroup
	turn := make(chan struct{}, readers)
	for i := range spans {
		turn <- struct{}{}
		wg.Go(func() {
			b.readSpan(ctx, j.Results[after:], &spans[i])
			<-turn
		})
	}
	wg.Wait()
	out := &ResultPage{Total: len(j.ItemIDs), Next: after}
	for i := range spans {
		s := &spans[i]
		for k, text := range s.texts {
			r := j.Results[after+s.from+k]
			out.Results = append(out.Results, ItemResult{Result: r, ItemID: j.ItemIDs[r.Item], Text: text})
		}
		if s.err != nil {
			b.Log.Warn().Err(s.err).Str("job", j.JobID).Int("position", after+s.from+len(s.texts)).Msg("jobs: text can't be read")
			break
		}
	}
	out.Next = after + len(out.Results)
	if len(out.Results) == 0 {
		return nil, fault.New(fault.LogUnavailable, "a text of job "+j.JobID+" can't be read").WithRetryAfter(comeBack)
	}
	return out, nil
}

// split cuts results into spans, up to the bytes of one list.
func split(rs []joblog.Result) []span {
	var out []span
	for i, size := 0, 0; i < len(rs); {
		s := span{from: i, n: 1}
		if !rs[i].GivenUp {
			s.n, s.bytes = adjacent(rs[i:], listBytes-size)
		}
		if size > 0 && size+s.bytes > listBytes {
			break
		}
		size += s.bytes
		i += s.n
		out = append(out, s)
	}
	return out
}

// readSpan reads the texts of a span.
func (b *Service) readSpan(ctx context.Context, rs []joblog.Result, s *span) {
	at := rs[s.from].TextAt
	if rs[s.from].GivenUp {
		s.texts = [][]byte{nil}
		return
	}
	for len(s.texts) < s.n {
		p, err := b.Store.Read(ctx, index.BulkTopic, at.Partition, at.Offset+int64(len(s.texts)), s.bytes>>10+2, 0)
		if err == nil && len(p.Records) == 0 {
			err = errors.Errorf("no record at %d of partition %d", at.Offset+int64(len(s.texts)), at.Partition)
		}
		if err != nil {
			s.err = err
			return
		}
		s.texts = append(s.texts, p.Records[:min(len(p.Records), s.n-len(s.texts))]...)
	}
}

// adjacent returns how many texts from the first on lie one after the other,
// and their size, up to a bound that the first may exceed.
func adjacent(rs []joblog.Result, most int) (n, bytes int) {
	for n < len(rs) {
		r, f := rs[n], rs[0]
		if r.GivenUp || r.TextAt.Partition != f.TextAt.Partition || r.TextAt.Offset != f.TextAt.Offset+int64(n) || n > 0 && bytes+r.Size > most {
			break
		}
		bytes += r.Size + 4
		n++
	}
	return n, bytes
}

// Body returns the body of an item of a job that is not ended.
func (b *Service) Body(ctx context.Context, id, item string) ([]byte, error) {
	j, err := b.find(ctx, id, func(*joblog.Job) bool { return true })
	if err != nil {
		return nil, err
	}
	n := j.ItemIndex(item)
	if n < 0 || j.Ended {
		return nil, fault.New(fault.NotFound, "no item "+item+" in an open job "+id)
	}
	its, err := b.items(ctx, j, n, 1)
	if err != nil {
		return nil, fault.Wrap(fault.LogUnavailable, err, "the body of item "+item+" can't be read").WithRetryAfter(comeBack)
	}
	return its[0].Body, nil
}

// Items reads the items of a job.
func (b *Service) Items(ctx context.Context, j *joblog.Job) ([]joblog.Item, error) {
	return b.items(ctx, j, 0, len(j.ItemIDs))
}

func (b *Service) items(ctx context.Context, j *joblog.Job, from, n int) ([]joblog.Item, error) {
	out := make([]joblog.Item, 0, n)
	kb := pageKB
	if n == 1 {
		kb = 1
	}
	for len(out) < n {
		p, err := b.Store.Read(ctx, index.BulkTopic, j.ItemsAt.Partition, j.ItemsAt.Offset+int64(from+len(out)), kb, 0)
		if err != nil {
			return nil, err
		}
		if len(p.Records) == 0 {
			return nil, errors.Errorf("items of job %s end after %d of %d", j.JobID, from+len(out), len(j.ItemIDs))
		}
		for _, rec := range p.Records[:min(len(p.Records), n-len(out))] {
			it, err := index.DecodeItem(rec)
			if err != nil {
				return nil, err
			}
			out = append(out, it)
		}
	}
	return out, nil
}

// End ends a job; a repeat has no effect.
func (b *Service) End(ctx context.Context, id string) error {
	j, err := b.find(ctx, id, func(*joblog.Job) bool { return true })
	if err != nil {
		return err
	}
	if j.Ended {
		return nil
	}
	err = b.put(ctx, joblog.End{JobID: id})
	if errors.Is(err, logs.ErrOutcomeUnknown) {
		return fault.Wrap(fault.OutcomeUnknown, err, "the end of job "+id+" may take effect")
	}
	if err != nil {
		return fault.Wrap(fault.LogUnavailable, err, "the end of job "+id+" was not stored").WithRetryAfter(comeBack)
	}
	return nil
}

// SaveCheckpoint stores the text that an item has so far.
func (b *Service) SaveCheckpoint(ctx context.Context, job string, item int, evs []runs.Event) error {
	raw, err := index.EncodeEvents(evs)
	if err != nil {
		return err
	}
	if len(raw) > b.StoreInfo.MaxRecordBytes {
		return errors.Errorf("a text of %d bytes is larger than a record of the store", len(raw))
	}
	p := joblog.Checkpoint{JobID: job, Item: item, Events: len(evs), Size: len(raw), TextAt: joblog.Location{Partition: b.part(job)}}
	if p.TextAt.Offset, err = b.Writer.Append(ctx, index.BulkTopic, p.TextAt.Partition, raw); err != nil {
		return err
	}
	return b.put(ctx, p)
}

// LoadCheckpoint reads a stored text.
func (b *Service) LoadCheckpoint(ctx context.Context, p joblog.Checkpoint) ([]runs.Event, error) {
	page, err := b.Store.Read(ctx, index.BulkTopic, p.TextAt.Partition, p.TextAt.Offset, p.Size>>10+1, 0)
	if err != nil {
		return nil, err
	}
	if len(page.Records) == 0 {
		return nil, errors.Errorf("no record at %d of partition %d", p.TextAt.Offset, p.TextAt.Partition)
	}
	evs, err := index.DecodeEvents(page.Records[0])
	if err == nil && len(evs) != p.Events {
		err = errors.Errorf("a stored text has %d events, %d are due", len(evs), p.Events)
	}
	return evs, err
}

// StoreText appends a result's text and returns where it lies.
func (b *Service) StoreText(ctx context.Context, job string, text []byte) (joblog.Location, error) {
	p := joblog.Location{Partition: b.part(job)}
	var err error
	p.Offset, err = b.Writer.Append(ctx, index.BulkTopic, p.Partition, text)
	return p, err
}

// RecordResult appends the record of a result.
func (b *Service) RecordResult(ctx context.Context, job string, d joblog.Done) error {
	d.JobID = job
	return b.put(ctx, d)
}
