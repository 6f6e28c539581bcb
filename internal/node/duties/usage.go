package duties

import (
	"context"
	"maps"
	"math"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/epoch"
	"github.com/jujuberamp/jujuberamp/internal/decide/usage"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/tally"
)

const (
	// pollInterval is how often the parts look whether something is due.
	pollInterval = 100 * clock.Milli
	// countDelay is the time after the end of a window at which a node writes its
	// counts: requests that began in it are known by then. Nodes spread their writes
	// over countSpread more.
	countDelay  = 300 * clock.Milli
	countSpread = 700 * clock.Milli
	// collectShare is the share of the time until a report is due after which the counts
	// are added up. The rest is for a slow platform, or for the next holder, which needs at
	// most a term, leaseMargin and a third of a term: 4.5 s of 10 s at the usual bounds.
	collectShare = 0.45
	// appendTimeout bounds the append of a record.
	appendTimeout = 2 * clock.Second
	// appendRetryDelay is how long a report that was written may not be readable before it
	// is written again. A second record changes nothing.
	appendRetryDelay = clock.Second
	// readWait is how long a read waits for a new record.
	readWait = 500 * clock.Milli
	// readRetryDelay is the pause after a failed read.
	readRetryDelay = 200 * clock.Milli
	// readBatchDelay lets the records of several nodes arrive in one read.
	readBatchDelay = 200 * clock.Milli
	// maxPageKB limits one read.
	maxPageKB = 256
	// maxReadAge is how old the last read to the end of the records may be when counts are
	// added up.
	maxReadAge = 1500 * clock.Milli
	// maxAhead is the number of windows after the current one whose counts are accepted:
	// the clocks of nodes differ by less.
	maxAhead = 1
	// maxBehind is the number of windows before the current one that are still reported.
	maxBehind = 60
)

// CountRequest counts a request of a workspace that began to run some time ago. Requests
// without a workspace are not counted.
func (s *Service) CountRequest(w ident.Workspace, ago clock.Millis) {
	if w == "" || !s.Info.ReportUsage {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.counter.Add(w, s.trueTime()-epoch.Unix(ago)) {
		s.Count("usage", "forgotten")
	}
}

// window returns the current window.
func (s *Service) window() int64 { return usage.Window(s.trueTime(), int64(s.Info.Window)) }

// writeCounts writes the counts of each window after its end until the context ends.
func (s *Service) writeCounts(ctx context.Context) {
	delay := epoch.Unix(countDelay + s.spreadDelay())
	clock.Every(ctx, pollInterval, func() {
		s.mu.Lock()
		before := usage.Window(s.trueTime()-delay, int64(s.Info.Window))
		s.mu.Unlock()
		s.writeTallies(ctx, before)
	})
}

// spreadDelay returns this node's part of countSpread.
func (s *Service) spreadDelay() clock.Millis {
	var n uint32
	for _, b := range []byte(s.Self.Name) {
		n = n*31 + uint32(b)
	}
	return clock.Millis(n) % countSpread
}

// writeTallies writes the counts that have changed of the windows before a window.
func (s *Service) writeTallies(ctx context.Context, before int64) {
	s.mu.Lock()
	taken := s.counter.Take(before)
	s.counter.Forget(s.window() - maxBehind)
	var busy map[string]int64
	if before != s.busyWritten && before < math.MaxInt64 {
		s.busyWritten = before
		busy = s.takeBusy()
	}
	s.mu.Unlock()
	if len(busy) > 0 && (len(taken) == 0 || taken[len(taken)-1].Window != before-1) {
		taken = append(taken, usage.Tally{Window: before - 1})
	}
	if len(taken) == 0 {
		return
	}
	records := make([]tally.Record, 0, len(taken))
	for _, t := range taken {
		records = append(records, tally.Record{Kind: tally.Count, Node: s.Self.Name, Boot: s.Self.Boot, Window: t.Window, Counts: t.Counts})
	}
	records[len(records)-1].BusyMS = busy
	if err := s.append(ctx, records...); err != nil {
		s.Count("usage", "counts-not-written")
		s.Log.Warn().Err(err).Int64("window", taken[0].Window).Int("windows", len(taken)).Msg("duties: counts not written, they are written again")
		s.mu.Lock()
		for _, t := range taken {
			s.counter.Untake(t.Window)
		}
		s.mu.Unlock()
	}
}

func (s *Service) append(ctx context.Context, records ...tally.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	raw := make([][]byte, 0, len(records))
	for _, r := range records {
		b, err := tally.Encode(r)
		if err != nil {
			return err
		}
		raw = append(raw, b)
	}
	_, err := s.Writer.Append(ctx, tally.Topic, 0, raw...)
	return err
}

// followUsage reads the records of usage while this node is a candidate or the holder.
func (s *Service) followUsage(ctx context.Context) {
	for ctx.Err() == nil {
		if _, held := s.lease.Held(); !held && !s.isCandidate() {
			clock.Sleep(ctx, idlePoll)
			continue
		}
		n, err := s.readUsage(ctx)
		switch {
		case err != nil:
			clock.Sleep(ctx, readRetryDelay)
		case n > 0:
			clock.Sleep(ctx, readBatchDelay)
		}
	}
}

// readUsage reads once and returns the number of records.
func (s *Service) readUsage(ctx context.Context) (int, error) {
	s.mu.Lock()
	from := s.next
	s.mu.Unlock()
	startedAt := s.Clock.Now()
	p, err := s.Store.Read(ctx, tally.Topic, 0, from, maxPageKB, readWait)
	var gone *plat.GoneError
	if errors.As(err, &gone) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.next = gone.First
		s.ledger.Missed(s.window())
		s.Log.Warn().Int64("from", from).Int64("first", gone.First).Int64("first-window", s.ledger.Floor()).
			Msg("duties: records of usage were deleted before they were read, earlier windows are not reported by this node")
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, raw := range p.Records {
		s.apply(from+int64(i), raw)
	}
	s.next = from + int64(len(p.Records))
	if s.next >= p.End {
		s.readAt = startedAt
	}
	return len(p.Records), nil
}

// apply applies the record at an offset.
func (s *Service) apply(offset int64, raw []byte) {
	r, err := tally.Decode(raw)
	if err != nil {
		s.Log.Warn().Err(err).Int64("offset", offset).Msg("duties: record of usage skipped")
		return
	}
	t := usage.Tally{Window: r.Window, Counts: r.Counts}
	switch r.Kind {
	case tally.Count:
		if current := s.window(); r.Window > current+maxAhead || r.Window < current-maxBehind {
			s.Count("usage", "wrong-window")
			s.Log.Warn().Str("node", r.Node).Int64("window", r.Window).Int64("current", current).Msg("duties: counts of a window that can't be, skipped")
			return
		}
		s.applyBusy(r.Node+"/"+r.Boot, r.Window, r.BusyMS)
		if len(r.Counts) > 0 && !s.ledger.ApplyTally(r.Node+"/"+r.Boot, t) {
			s.Count("usage", "late-counts")
			s.Log.Info().Str("node", r.Node).Int64("window", r.Window).Msg("duties: counts came after the report of their window")
		}
	case tally.Report:
		s.ledger.ApplyReport(t)
	case tally.Sent:
		s.ledger.ApplySent(r.Window)
	case tally.Order:
		s.scaling.planner.Ordered(r.Service, r.Zone, r.Servers)
	}
}

// report writes the sums of windows and sends them, while this node is the holder.
func (s *Service) report(ctx context.Context) {
	clock.Every(ctx, pollInterval, func() {
		if _, held := s.lease.Held(); !held {
			return
		}
		s.writeReports(ctx)
		for _, t := range s.unsent() {
			if !s.sendReport(ctx, t) {
				return
			}
		}
	})
}

// writeReports writes the sums of the windows whose counts have had time to arrive.
func (s *Service) writeReports(ctx context.Context) {
	now := s.Clock.Now()
	s.mu.Lock()
	collect := epoch.Unix(collectShare * float64(s.Info.ReportBound))
	var records []tally.Record
	if now-s.readAt <= maxReadAge {
		before := usage.Window(s.trueTime()-collect, int64(s.Info.Window))
		for _, k := range s.ledger.Unreported(before) {
			if at := s.appended[k]; at > 0 && now-at < appendRetryDelay {
				continue
			}
			s.appended[k] = now
			records = append(records, tally.Record{Kind: tally.Report, Node: s.Self.Name, Boot: s.Self.Boot, Window: k, Counts: s.ledger.Sum(k)})
		}
		maps.DeleteFunc(s.appended, func(k int64, _ clock.Millis) bool { return k < before-maxBehind })
		maps.DeleteFunc(s.refused, func(k int64, _ bool) bool { return k < before-maxBehind })
	}
	s.mu.Unlock()
	if len(records) == 0 {
		return
	}
	if err := s.append(ctx, records...); err != nil {
		s.Log.Warn().Err(err).Int64("window", records[0].Window).Int("windows", len(records)).Msg("duties: report not written, it is written again")
	}
}

// unsent returns the reports to send.
func (s *Service) unsent() []usage.Tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []usage.Tally
	for _, t := range s.ledger.Unsent() {
		if !s.refused[t.Window] {
			out = append(out, t)
		}
	}
	return out
}

// sendReport sends one report. It returns false if the next one should wait.
func (s *Service) sendReport(ctx context.Context, t usage.Tally) bool {
	err := s.call(ctx, func(ctx context.Context, c plat.DutyCall) error {
		return s.API.ReportUsage(ctx, c, t.Window, t.Counts)
	})
	if errors.Is(err, plat.ErrDutyLost) {
		return false
	}
	total := int64(0)
	for _, n := range t.Counts {
		total += n
	}
	s.mu.Lock()
	late := s.trueTime() - usage.End(t.Window, int64(s.Info.Window))
	s.mu.Unlock()
	_, token := s.lease.Holder()
	event := s.Log.Info()
	outcome := "sent"
	switch {
	case errors.Is(err, plat.ErrDutyRefused):
		event, outcome = s.Log.Error(), "refused"
		s.mu.Lock()
		s.refused[t.Window] = true
		s.mu.Unlock()
	case err != nil:
		event, outcome = s.Log.Warn(), "no-answer"
	case late > epoch.Unix(s.Info.ReportBound):
		outcome = "sent-late"
	}
	s.Count("usage", outcome)
	event.Err(err).Int64("window", t.Window).Int64("requests", total).Int("workspaces", len(t.Counts)).Int64("token", int64(token)).
		Int64("after-end-ms", int64(late)).Str("outcome", outcome).Msg("duties: report of usage")
	if err == nil {
		s.mu.Lock()
		s.ledger.ApplySent(t.Window)
		s.lastReported = max(s.lastReported, t.Window)
		s.mu.Unlock()
		if err := s.append(ctx, tally.Record{Kind: tally.Sent, Node: s.Self.Name, Window: t.Window}); err != nil {
			s.Log.Info().Err(err).Int64("window", t.Window).Msg("duties: sending not recorded, the next holder repeats the report")
		}
	}
	s.pause(ctx)
	return err == nil || outcome == "refused"
}
