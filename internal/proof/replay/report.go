package replay

import (
	"fmt"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// maxShortTokens is the length of the longest answer that counts as short work.
const maxShortTokens = 64

// traceTime converts a moment in virtual time to trace time.
func (r *Result) traceTime(at clock.Millis) clock.Millis { return at + r.traceShift }

// Summary returns a text with the idle share of trainers, the staleness of
// samples, the waiting time of short work, and the latency of each class.
func (r *Result) Summary() string {
	var b strings.Builder
	idle, _ := r.idleShare()
	staleness := r.sampleStaleness()
	fmt.Fprintf(&b, "trainer idle        %.0f%% of the time of %d rounds\n", 100*idle, len(r.rounds))
	fmt.Fprintf(&b, "sample staleness    p50 %d, p99 %d versions of %d samples\n", quantile(staleness, 0.5, 0), quantile(staleness, 0.99, 0), len(staleness))
	var short []clock.Millis
	byClass := make(map[ident.Class][]clock.Millis)
	for _, work := range r.requests {
		if work.grantedAt > 0 && work.tokens <= maxShortTokens {
			short = append(short, work.waitingTime())
		}
		if work.endedAt > 0 && work.failure == "" {
			byClass[work.class] = append(byClass[work.class], work.latency())
		}
	}
	fmt.Fprintf(&b, "short work waiting  p50 %s, p99 %s of %d requests\n", quantile(short, 0.5, 0), quantile(short, 0.99, 0), len(short))
	for _, c := range sortedKeys(byClass) {
		ts := byClass[c]
		fmt.Fprintf(&b, "tail latency        %s: p50 %s, p99 %s, p99.9 %s of %d requests\n", c, quantile(ts, 0.5, 0), quantile(ts, 0.99, 0), quantile(ts, 0.999, 0), len(ts))
	}
	return b.String()
}
