package jobs

import (
	"context"
	"hash/fnv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/access"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/edge/listen"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
)

const (
	// retryAfter is how long clients are asked to wait before a retry while the store
	// does not answer.
	retryAfter = 500 * clock.Milli
	// maxListBytes limits the size of all texts in one page of results. The platform
	// allows 1 MB including the characters that JSON adds.
	maxListBytes = 640 << 10
	// maxReaders limits the concurrent reads for one page: a hundred texts are read
	// within some 200 ms even from another region.
	maxReaders = 16
)

// ItemResult is the result of an item with its text.
type ItemResult struct {
	joblog.Result
	ItemID string
	Text   []byte
}

// ResultPage is a page of a job's results. Total is the number of items, and Next
// is the index at which the next page starts.
type ResultPage struct {
	Total   int
	Next    int
	Results []ItemResult
}

// partition returns the partition of the bulk topic in which a job is stored.
func (s *Service) partition(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // A hash never returns an error.
	return int(h.Sum32() % uint32(s.StoreInfo.Partitions))
}

// Submit accepts a job. A fault with the outcome not-run guarantees that no part of
// the job will run.
func (s *Service) Submit(ctx context.Context, spec *joblog.Spec) error {
	start := s.Clock.Now()
	s.mu.Lock()
	known := s.ix.Job(spec.ID) != nil
	s.mu.Unlock()
	if known {
		s.Log.Info().Str("job", spec.ID).Msg("jobs: known job submitted again")
		return nil
	}
	records := make([][]byte, 0, len(spec.Items))
	ids := make([]string, 0, len(spec.Items))
	tokens := int64(0)
	for i := range spec.Items {
		raw, err := index.EncodeItem(&spec.Items[i])
		if err != nil {
			return err
		}
		if len(raw) > s.StoreInfo.MaxRecordBytes {
			return fault.New(fault.TooLarge, "item "+spec.Items[i].ID+" is larger than a record of the store")
		}
		records = append(records, raw)
		ids = append(ids, spec.Items[i].ID)
		tokens += int64(spec.Items[i].LengthHint)
	}
	location := joblog.Location{Partition: s.partition(spec.ID)}
	var err error
	location.Offset, err = s.Writer.Append(ctx, index.BulkTopic, location.Partition, records...)
	var large *logs.TooLargeError
	if errors.As(err, &large) {
		return fault.Wrap(fault.TooLarge, err, "the items of job "+spec.ID+"; split the job")
	}
	if err != nil {
		// No part of the job runs without a record in the index.
		return fault.Wrap(fault.LogUnavailable, err, "job "+spec.ID+" was not stored").WithRetryAfter(retryAfter)
	}
	err = s.appendRecord(ctx, joblog.Accept{
		JobID: spec.ID, Workspace: spec.Workspace, Host: spec.Host, Path: spec.Path, Model: spec.Model, MinVersion: spec.MinVersion, Groups: spec.Groups,
		ItemIDs: ids, ItemsAt: location, Node: s.Self, EstimatedTokens: tokens,
	})
	if errors.As(err, &large) {
		return fault.Wrap(fault.TooLarge, err, "the IDs of the items of job "+spec.ID+"; split the job")
	}
	if errors.Is(err, logs.ErrOutcomeUnknown) {
		return fault.Wrap(fault.OutcomeUnknown, err, "job "+spec.ID+" may be accepted")
	}
	if err != nil {
		return fault.Wrap(fault.LogUnavailable, err, "job "+spec.ID+" was not accepted").WithRetryAfter(retryAfter)
	}
	s.Log.Info().Str("job", spec.ID).Int("items", len(ids)).Int64("took-ms", int64(s.Clock.Now()-start)).Msg("jobs: job stored")
	return nil
}

// findJob returns a copy of a job's state. It reads the index first if the job is
// not known or enough reports false (rule 2).
func (s *Service) findJob(ctx context.Context, id string, enough func(*joblog.Job) bool) (*joblog.Job, error) {
	lookup := func() *joblog.Job {
		s.mu.Lock()
		defer s.mu.Unlock()
		if j := s.ix.Job(id); j != nil {
			c := *j
			return &c
		}
		return nil
	}
	j := lookup()
	if j != nil && enough(j) {
		return j, nil
	}
	if err := s.Sync(ctx); err != nil {
		if j != nil {
			return j, nil
		}
		return nil, fault.Wrap(fault.LogUnavailable, err, "job "+id+" is not known here and the index can't be read").WithRetryAfter(retryAfter)
	}
	if j = lookup(); j == nil {
		return nil, fault.New(fault.NotFound, "no job "+id)
	}
	return j, nil
}

// Resolve returns the ID of the job to which a client's ID refers: a job of the client's
// workspace, or else one that belongs to no workspace (rule 4).
func (s *Service) Resolve(ctx context.Context, g access.Grant, clientID string) (string, error) {
	if !g.Enabled {
		return clientID, nil
	}
	unknown := fault.New(fault.NotFound, "no job "+clientID)
	if strings.Contains(clientID, joblog.Separator) {
		return "", unknown
	}
	own := joblog.JobID(g.Workspace, clientID)
	lookup := func() (string, bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ix.Job(own) == nil && s.ix.Job(clientID) != nil {
			return clientID, true
		}
		return own, s.ix.Job(own) != nil
	}
	if id, ok := lookup(); ok {
		return id, nil
	}
	if err := s.Sync(ctx); err != nil {
		return "", fault.Wrap(fault.LogUnavailable, err, "job "+clientID+" is not known here and the index can't be read").WithRetryAfter(retryAfter)
	}
	if id, ok := lookup(); ok {
		return id, nil
	}
	return "", unknown
}

// Results returns the page of results that starts at index after. If there is no
// result at this index yet, it waits up to the given time for one.
func (s *Service) Results(ctx context.Context, id string, after int, wait clock.Millis) (*ResultPage, error) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	synced := false
	for {
		changed := s.Changed()
		j, err := s.findJob(ctx, id, func(j *joblog.Job) bool { return len(j.Results) >= after })
		if err != nil {
			return nil, err
		}
		if after > len(j.Results) {
			// The client read results from another node that are not known here yet.
			return nil, fault.New(fault.LogUnavailable, "results up to that position are not known here yet").WithRetryAfter(retryAfter)
		}
		if after < len(j.Results) {
			return s.readResults(ctx, j, after)
		}
		if !j.IsOpen() || wait <= 0 && (synced || s.isCurrent()) {
			return &ResultPage{Total: len(j.ItemIDs), Next: after}, nil
		}
		if wait <= 0 { // A client may have read results at this index from another node.
			if err := s.Sync(ctx); err != nil {
				return nil, fault.Wrap(fault.LogUnavailable, err, "further results of job "+id+" may exist, but the index can't be read").WithRetryAfter(retryAfter)
			}
			synced = true
			continue
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-s.stopWaiting:
			wait = 0
		case <-ctx.Done():
			return nil, fault.New(fault.Canceled, "the client left")
		}
	}
}

// isCurrent reports whether the index was read to its end a short time ago.
func (s *Service) isCurrent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clock.Now()-s.ix.CurrentAt() <= maxIndexAge
}

// span is a range of results whose texts are adjacent in one partition.
type span struct {
	first int // index of its first result
	n     int
	bytes int
	texts [][]byte
	err   error
}

// readResults returns the page of results that starts at index after. The spans
// are read concurrently, since the store may be in another region and a job has a
// hundred texts or more. The page ends before the first text that can't be read.
func (s *Service) readResults(ctx context.Context, j *joblog.Job, after int) (*ResultPage, error) {
	spans := splitSpans(j.Results[after:])
	size := 0
	for i := range spans {
		size += spans[i].bytes
	}
	if err := listen.HeldFor(ctx).Grow(int64(size)); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxReaders)
	for i := range spans {
		slots <- struct{}{}
		wg.Go(func() {
			s.readSpan(ctx, j.Results[after:], &spans[i])
			<-slots
		})
	}
	wg.Wait()
	out := &ResultPage{Total: len(j.ItemIDs), Next: after}
	for i := range spans {
		sp := &spans[i]
		for k, text := range sp.texts {
			r := j.Results[after+sp.first+k]
			out.Results = append(out.Results, ItemResult{Result: r, ItemID: j.ItemIDs[r.Item], Text: text})
		}
		if sp.err != nil {
			s.Log.Warn().Err(sp.err).Str("job", j.JobID).Int("position", after+sp.first+len(sp.texts)).Msg("jobs: text can't be read")
			break
		}
	}
	out.Next = after + len(out.Results)
	if len(out.Results) == 0 {
		return nil, fault.New(fault.LogUnavailable, "a text of job "+j.JobID+" can't be read").WithRetryAfter(retryAfter)
	}
	return out, nil
}

// splitSpans divides results into spans, up to maxListBytes in total.
func splitSpans(rs []joblog.Result) []span {
	var out []span
	for i, size := 0, 0; i < len(rs); {
		sp := span{first: i, n: 1}
		if !rs[i].GivenUp {
			sp.n, sp.bytes = adjacentTexts(rs[i:], maxListBytes-size)
		}
		if size > 0 && size+sp.bytes > maxListBytes {
			break
		}
		size += sp.bytes
		i += sp.n
		out = append(out, sp)
	}
	return out
}

// readSpan reads the texts of a span. If a read fails, it sets the span's err and
// keeps the texts before.
func (s *Service) readSpan(ctx context.Context, rs []joblog.Result, sp *span) {
	location := rs[sp.first].OutputAt
	if rs[sp.first].GivenUp {
		sp.texts = [][]byte{nil}
		return
	}
	for len(sp.texts) < sp.n {
		p, err := s.Store.Read(ctx, index.BulkTopic, location.Partition, location.Offset+int64(len(sp.texts)), sp.bytes>>10+2, 0)
		if err == nil && len(p.Records) == 0 {
			err = errors.Errorf("no record at %d of partition %d", location.Offset+int64(len(sp.texts)), location.Partition)
		}
		if err != nil {
			sp.err = err
			return
		}
		sp.texts = append(sp.texts, p.Records[:min(len(p.Records), sp.n-len(sp.texts))]...)
	}
}

// adjacentTexts returns how many texts from the first on are adjacent, and their
// size. The size is at most maxBytes, except for a larger first text.
func adjacentTexts(rs []joblog.Result, maxBytes int) (n, bytes int) {
	for n < len(rs) {
		r, first := rs[n], rs[0]
		if r.GivenUp || r.OutputAt.Partition != first.OutputAt.Partition || r.OutputAt.Offset != first.OutputAt.Offset+int64(n) || n > 0 && bytes+r.Size > maxBytes {
			break
		}
		bytes += r.Size + 4
		n++
	}
	return n, bytes
}

// Body returns the body of an item of a job that has not ended.
func (s *Service) Body(ctx context.Context, id, item string) ([]byte, error) {
	j, err := s.findJob(ctx, id, func(*joblog.Job) bool { return true })
	if err != nil {
		return nil, err
	}
	n := j.ItemIndex(item)
	if n < 0 || j.Ended {
		return nil, fault.New(fault.NotFound, "no item "+item+" in an open job "+id)
	}
	items, err := s.readItems(ctx, j, n, 1)
	if err != nil {
		return nil, fault.Wrap(fault.LogUnavailable, err, "the body of item "+item+" can't be read").WithRetryAfter(retryAfter)
	}
	return items[0].Body, nil
}

// Items reads the items of a job from the store.
func (s *Service) Items(ctx context.Context, j *joblog.Job) ([]joblog.Item, error) {
	return s.readItems(ctx, j, 0, len(j.ItemIDs))
}

func (s *Service) readItems(ctx context.Context, j *joblog.Job, from, n int) ([]joblog.Item, error) {
	out := make([]joblog.Item, 0, n)
	kb := maxPageKB
	if n == 1 {
		kb = 1
	}
	for len(out) < n {
		p, err := s.Store.Read(ctx, index.BulkTopic, j.ItemsAt.Partition, j.ItemsAt.Offset+int64(from+len(out)), kb, 0)
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

// End ends a job. Ending it again has no effect.
func (s *Service) End(ctx context.Context, id string) error {
	j, err := s.findJob(ctx, id, func(*joblog.Job) bool { return true })
	if err != nil {
		return err
	}
	if j.Ended {
		return nil
	}
	err = s.appendRecord(ctx, joblog.End{JobID: id})
	if errors.Is(err, logs.ErrOutcomeUnknown) {
		return fault.Wrap(fault.OutcomeUnknown, err, "the end of job "+id+" may take effect")
	}
	if err != nil {
		return fault.Wrap(fault.LogUnavailable, err, "the end of job "+id+" was not stored").WithRetryAfter(retryAfter)
	}
	return nil
}

// SaveCheckpoint stores the partial output of an item and the version of the software
// that made it.
func (s *Service) SaveCheckpoint(ctx context.Context, job string, item int, evs []runs.Event, software string) error {
	raw, err := index.EncodeEvents(evs)
	if err != nil {
		return err
	}
	if len(raw) > s.StoreInfo.MaxRecordBytes {
		return &logs.TooLargeError{Size: len(raw), Limit: s.StoreInfo.MaxRecordBytes, Record: true}
	}
	cp := joblog.Checkpoint{JobID: job, Item: item, Events: len(evs), Software: software, Size: len(raw), OutputAt: joblog.Location{Partition: s.partition(job)}}
	if cp.OutputAt.Offset, err = s.Writer.Append(ctx, index.BulkTopic, cp.OutputAt.Partition, raw); err != nil {
		return err
	}
	return s.appendRecord(ctx, cp)
}

// DropCheckpoint records that the checkpoints of an item so far contain a faulty answer,
// so that no later owner of the job goes on from them.
func (s *Service) DropCheckpoint(ctx context.Context, job string, item int) error {
	return s.appendRecord(ctx, joblog.Checkpoint{JobID: job, Item: item})
}

// LoadCheckpoint reads a checkpoint.
func (s *Service) LoadCheckpoint(ctx context.Context, cp joblog.Checkpoint) ([]runs.Event, error) {
	page, err := s.Store.Read(ctx, index.BulkTopic, cp.OutputAt.Partition, cp.OutputAt.Offset, cp.Size>>10+1, 0)
	if err != nil {
		return nil, err
	}
	if len(page.Records) == 0 {
		return nil, errors.Errorf("no record at %d of partition %d", cp.OutputAt.Offset, cp.OutputAt.Partition)
	}
	evs, err := index.DecodeEvents(page.Records[0])
	if err == nil && len(evs) != cp.Events {
		err = errors.Errorf("checkpoint has %d events, expected %d", len(evs), cp.Events)
	}
	return evs, err
}

// MaxTextBytes returns the maximum size of the text of a result. A text is one record.
func (s *Service) MaxTextBytes() int { return s.StoreInfo.MaxRecordBytes }

// StoreText appends the text of a result and returns its location. The error is a
// [logs.TooLargeError] if the store takes no text of this size.
func (s *Service) StoreText(ctx context.Context, job string, text []byte) (joblog.Location, error) {
	location := joblog.Location{Partition: s.partition(job)}
	var err error
	location.Offset, err = s.Writer.Append(ctx, index.BulkTopic, location.Partition, text)
	return location, err
}

// RecordResult appends the record of a result to the index.
func (s *Service) RecordResult(ctx context.Context, job string, d joblog.Done) error {
	d.JobID = job
	return s.appendRecord(ctx, d)
}
