package demo

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// measures collects the measures of a run. It is safe for concurrent use.
type measures struct {
	mu          sync.Mutex
	shortDrafts []time.Duration // drafts of at most maxShortTokens tokens
	longDrafts  []time.Duration
	lookups     []time.Duration
	trainerIdle time.Duration
	trainerBusy time.Duration
	staleness   []int // of each sample, in versions
}

// maxShortTokens is the length of the longest short draft: twice the median
// length.
const maxShortTokens = 64

func newMeasures() *measures { return &measures{} }

// addDraft adds the duration of a draft.
func (m *measures) addDraft(took time.Duration, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if tokens <= maxShortTokens {
		m.shortDrafts = append(m.shortDrafts, took)
		return
	}
	m.longDrafts = append(m.longDrafts, took)
}

// addLookup adds the duration of a lookup.
func (m *measures) addLookup(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lookups = append(m.lookups, took)
}

// addStep adds the time of a training step in which the trainer waited for
// samples and in which it trained.
func (m *measures) addStep(idle, busy time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trainerIdle += idle
	m.trainerBusy += busy
}

// addStaleness adds the staleness of a sample.
func (m *measures) addStaleness(versions int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.staleness = append(m.staleness, versions)
}

// quantile returns the q-quantile of a sorted list, 0 if the list is empty.
func quantile[T int | time.Duration](vs []T, q float64) T {
	if len(vs) == 0 {
		return 0
	}
	return vs[min(len(vs)-1, int(q*float64(len(vs))))]
}

// report formats all measures, a line each.
func (m *measures) report() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b strings.Builder
	line := func(name string, ds []time.Duration) {
		slices.Sort(ds)
		fmt.Fprintf(&b, "%-28s n %5d  p50 %8s  p99 %8s\n", name, len(ds),
			quantile(ds, 0.5).Round(time.Millisecond), quantile(ds, 0.99).Round(time.Millisecond))
	}
	idle := 0.0
	if m.trainerIdle+m.trainerBusy > 0 {
		idle = float64(m.trainerIdle) / float64(m.trainerIdle+m.trainerBusy)
	}
	slices.Sort(m.staleness)
	fmt.Fprintf(&b, "%-28s %.0f%% of its time\n", "trainer idle", 100*idle)
	fmt.Fprintf(&b, "%-28s p50 %d, p99 %d versions\n", "sample staleness", quantile(m.staleness, 0.5), quantile(m.staleness, 0.99))
	line("short drafts beside long", m.shortDrafts)
	line("long drafts", m.longDrafts)
	line("lookups", m.lookups)
	return b.String()
}
