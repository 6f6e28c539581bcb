package usage

import (
	"maps"
	"slices"
)

// maxWindows bounds the windows that a ledger keeps; see maxOpenWindows.
const maxWindows = maxOpenWindows

// window is what the log says of one window.
type window struct {
	tallies map[string]Counts // by writer
	report  Counts            // content of the first report, nil for none
	sent    bool              // the receiver has it, or refused it
}

// Ledger is the state after all records that were applied. It is not safe for concurrent
// use.
type Ledger struct {
	windows map[int64]*window
	floor   int64 // first window that may be reported (rule 4)
}

// NewLedger returns the state before the first record.
func NewLedger() *Ledger { return &Ledger{windows: make(map[int64]*window)} }

// Missed is called when records were deleted before they were read, with the window that
// runs now (rule 4).
func (l *Ledger) Missed(current int64) {
	l.floor = max(l.floor, current)
	maps.DeleteFunc(l.windows, func(k int64, _ *window) bool { return k < l.floor })
}

// Floor returns the first window that may be reported.
func (l *Ledger) Floor() int64 { return l.floor }

// at returns a window, or nil if nothing is kept of it.
func (l *Ledger) at(k int64) *window {
	if k < l.floor {
		return nil
	}
	w := l.windows[k]
	if w == nil {
		w = &window{tallies: make(map[string]Counts)}
		l.windows[k] = w
		if len(l.windows) > maxWindows {
			oldest := slices.Min(slices.Collect(maps.Keys(l.windows)))
			delete(l.windows, oldest)
			l.floor = max(l.floor, oldest+1)
		}
	}
	return l.windows[k]
}

// ApplyTally applies the counts of a writer, which replace its earlier ones (rule 1). It
// returns false if the window has its report already, so that the counts come too late.
func (l *Ledger) ApplyTally(writer string, t Tally) bool {
	w := l.at(t.Window)
	if w == nil || w.report != nil {
		return false
	}
	w.tallies[writer] = t.Counts
	return true
}

// ApplyReport applies the content of a report. Only the first one of a window counts
// (rule 2).
func (l *Ledger) ApplyReport(t Tally) {
	if w := l.at(t.Window); w != nil && w.report == nil {
		w.report = maps.Clone(t.Counts)
		if w.report == nil {
			w.report = make(Counts)
		}
		w.tallies = nil
	}
}

// ApplySent applies the record that the report of a window has reached its receiver.
func (l *Ledger) ApplySent(k int64) {
	if w := l.at(k); w != nil {
		w.sent = true
	}
}

// Sum returns the counts of a window over all writers.
func (l *Ledger) Sum(k int64) Counts {
	out := make(Counts)
	if w := l.windows[k]; w != nil {
		for _, counts := range w.tallies {
			for name, n := range counts {
				out[name] += n
			}
		}
	}
	return out
}

// Unreported returns the windows before a window for which no report is on the log,
// oldest first. Windows in which nothing was counted are among them, from the first
// window of which something is known.
func (l *Ledger) Unreported(before int64) []int64 {
	if len(l.windows) == 0 {
		return nil
	}
	var out []int64
	for k := max(l.floor, slices.Min(slices.Collect(maps.Keys(l.windows)))); k < before; k++ {
		if w := l.windows[k]; w == nil || w.report == nil {
			out = append(out, k)
		}
	}
	return out
}

// Unsent returns the reports that have not reached their receiver, oldest first.
func (l *Ledger) Unsent() []Tally {
	var out []Tally
	for _, k := range slices.Sorted(maps.Keys(l.windows)) {
		if w := l.windows[k]; k >= l.floor && w.report != nil && !w.sent {
			out = append(out, Tally{Window: k, Counts: w.report})
		}
	}
	return out
}
