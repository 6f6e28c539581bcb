package usage

import (
	"maps"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/epoch"
)

// maxOpenWindows bounds the windows that a counter keeps for a store that is away. At 5 s
// a window that is five minutes, the usual retention of a store.
const maxOpenWindows = 60

// Counter counts the requests that begin at this node. It is not safe for concurrent use.
type Counter struct {
	length  int64 // of a window, in milliseconds
	open    map[int64]Counts
	changed map[int64]bool // windows with requests that were not taken yet
}

// NewCounter returns a counter for windows of a length in milliseconds.
func NewCounter(length int64) *Counter {
	return &Counter{length: length, open: make(map[int64]Counts), changed: make(map[int64]bool)}
}

// Add counts a request that began at a time. It returns false if its window was
// forgotten, because too many are kept.
func (c *Counter) Add(w ident.Workspace, at epoch.Unix) bool {
	k := Window(at, c.length)
	if c.open[k] == nil {
		c.open[k] = make(Counts)
		if len(c.open) > maxOpenWindows {
			oldest := slices.Min(slices.Collect(maps.Keys(c.open)))
			delete(c.open, oldest)
			delete(c.changed, oldest)
			if oldest == k {
				return false
			}
		}
	}
	c.open[k][w]++
	c.changed[k] = true
	return true
}

// Take returns the whole counts of the windows before a window that have changed since
// they were last taken, oldest first.
func (c *Counter) Take(before int64) []Tally {
	var out []Tally
	for _, k := range slices.Sorted(maps.Keys(c.changed)) {
		if k < before {
			out = append(out, Tally{Window: k, Counts: maps.Clone(c.open[k])})
			delete(c.changed, k)
		}
	}
	return out
}

// Untake marks a window as changed again, after its record could not be written.
func (c *Counter) Untake(window int64) {
	if c.open[window] != nil {
		c.changed[window] = true
	}
}

// Forget drops the windows before a window, which are reported.
func (c *Counter) Forget(before int64) {
	maps.DeleteFunc(c.open, func(k int64, _ Counts) bool { return k < before && !c.changed[k] })
}
