package agent

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// TestOrphan checks which unread attempts count as orphans: only running ones
// whose result no other entry can use.
func TestOrphan(t *testing.T) {
	tests := map[string]struct {
		job    wire.Job
		unread clock.Millis
		ended  bool
		want   bool
	}{
		"entry paused for 20 s": {wire.Job{}, 20 * clock.Second, false, false},
		"entry died":            {wire.Job{}, 41 * clock.Second, false, true},
		"already ended":         {wire.Job{}, clock.Minute, true, false},
		"sample":                {wire.Job{Sample: wire.Sample{Round: "r"}}, clock.Hour, false, false},
		"at-most-once work":     {wire.Job{Once: true}, clock.Hour, false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			j := newJob(context.Background(), "entry-1", tc.job)
			j.touch(clock.Hour)
			if tc.ended {
				j.finish(clock.Hour, nil, nil)
			}
			qt.Assert(t, j.isOrphan(clock.Hour+tc.unread), qt.Equals, tc.want)
		})
	}
}
