package demo

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// measures collects the four measures of one run.
type measures struct {
	mu      sync.Mutex
	short   []time.Duration // drafts of at most twice the median length
	long    []time.Duration
	lookups []time.Duration
	idle    time.Duration
	busy    time.Duration
	ages    []int // versions
}

// shortTokens separates short drafts from long ones.
const shortTokens = 64

func newMeasures() *measures { return &measures{} }

func (m *measures) draft(took time.Duration, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if tokens <= shortTokens {
		m.short = append(m.short, took)
		return
	}
	m.long = append(m.long, took)
}

func (m *measures) lookup(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lookups = append(m.lookups, took)
}

func (m *measures) step(idle, busy time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.idle += idle
	m.busy += busy
}

func (m *measures) stale(versions int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ages = append(m.ages, versions)
}

// quantile returns a value of a sorted list, 0 if it is empty.
func quantile[T int | time.Duration](vs []T, q float64) T {
	if len(vs) == 0 {
		return 0
	}
	return vs[min(len(vs)-1, int(q*float64(len(vs))))]
}

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
	if m.idle+m.busy > 0 {
		idle = float64(m.idle) / float64(m.idle+m.busy)
	}
	slices.Sort(m.ages)
	fmt.Fprintf(&b, "%-28s %.0f%% of its time\n", "trainer idle", 100*idle)
	fmt.Fprintf(&b, "%-28s p50 %d, p99 %d versions\n", "sample staleness", quantile(m.ages, 0.5), quantile(m.ages, 0.99))
	line("short drafts beside long", m.short)
	line("long drafts", m.long)
	line("lookups", m.lookups)
	return b.String()
}
