// Package usage counts the requests of each workspace by windows of true time, and
// computes from the records of a log which report of a window is sent.
//
// Window k begins k window lengths after the start of 1970. A request belongs to the
// window in which it began to run.
//
//  1. Each node writes its own counts of a window after the window's end. A later record
//     of the same writer for the same window replaces the earlier one.
//  2. The holder of the duty adds them up and writes the sum. Of several sums of one
//     window the first on the log is its report, whoever wrote it; readers of the same
//     prefix agree without talking.
//  3. A report is sent only after it was read back, so every later holder sends the same.
//     Counts that arrive after the report are not reported.
//  4. A reader that missed records can't know whether one of them was a report. It
//     reports no window that had ended by then: a report is written some seconds
//     after the end of its window.
//
// # Usage
//
//	c := usage.NewCounter(length)
//	c.Add(workspace, at)           // when a request begins
//	for _, t := range c.Take(usage.Window(now, length)) { append(t) }
//
//	l := usage.NewLedger()
//	l.ApplyTally(writer, tally)    // in the order of the log
//	for _, k := range l.Unreported(k) { append(l.Sum(k)) }
//	for _, t := range l.Unsent() { send(t) }
package usage

import (
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/epoch"
)

// Counts is the number of requests of each workspace.
type Counts map[ident.Workspace]int64

// Tally is the counts of one window.
type Tally struct {
	Window int64
	Counts Counts
}

// Window returns the window of a length in milliseconds in which a time lies.
func Window(at epoch.Unix, length int64) int64 {
	k := int64(at) / length
	if int64(at)%length < 0 {
		k--
	}
	return k
}

// End returns the end of a window of a length in milliseconds.
func End(window, length int64) epoch.Unix { return epoch.Unix((window + 1) * length) }
