package telem

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Lines beyond the rate are dropped and counted, separately for warnings. After a
// second further lines are written.
func TestRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		dropped := 0
		log := RateLimited(NewLogger(&out, "info", "test"), func() { dropped++ })
		count := func(message string) int { return strings.Count(out.String(), message) }
		for range 3 * maxLinesPerSecond {
			log.Info().Msg("request")
			log.Warn().Msg("trouble")
			log.Debug().Msg("detail") // below the logger's level, so not counted as dropped
		}
		c.Check(count("request"), qt.Equals, maxLinesPerSecond)
		c.Check(count("trouble"), qt.Equals, maxWarningsPerSecond)
		c.Check(dropped, qt.Equals, 6*maxLinesPerSecond-maxLinesPerSecond-maxWarningsPerSecond)
		time.Sleep(1100 * time.Millisecond)
		log.Info().Msg("request")
		c.Check(count("request"), qt.Equals, maxLinesPerSecond+1)
	})
}
