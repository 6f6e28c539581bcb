package replay

import (
	"fmt"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// shortTokens separates short answers from long ones.
const shortTokens = 64

// stamp turns an instant of the replay into one of the trace.
func (r *Result) stamp(at clock.Millis) clock.Millis { return at + r.shift }

// Summary returns the four measures as text.
func (r *Result) Summary() string {
	var b strings.Builder
	idle, _ := r.idle()
	ages := r.ages()
	fmt.Fprintf(&b, "trainer idle        %.0f%% of the time of %d rounds\n", 100*idle, len(r.rounds))
	fmt.Fprintf(&b, "sample staleness    p50 %d, p99 %d versions of %d samples\n", quantile(ages, 0.5, 0), quantile(ages, 0.99, 0), len(ages))
	var short []clock.Millis
	byClass := make(map[ident.Class][]clock.Millis)
	for _, wk := range r.works {
		if wk.granted > 0 && wk.tokens <= shortTokens {
			short = append(short, wk.waited())
		}
		if wk.ended > 0 && wk.refused == "" {
			byClass[wk.class] = append(byClass[wk.class], wk.took())
		}
	}
	fmt.Fprintf(&b, "short work waiting  p50 %s, p99 %s of %d requests\n", quantile(short, 0.5, 0), quantile(short, 0.99, 0), len(short))
	for _, c := range sortedKeys(byClass) {
		ts := byClass[c]
		fmt.Fprintf(&b, "tail latency        %s: p50 %s, p99 %s, p99.9 %s of %d requests\n", c, quantile(ts, 0.5, 0), quantile(ts, 0.99, 0), quantile(ts, 0.999, 0), len(ts))
	}
	return b.String()
}
