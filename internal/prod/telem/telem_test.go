package telem

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Lines beyond the rate are dropped and counted, those of warnings apart; a
// second later lines come again.
func TestBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		dropped := 0
		log := RateLimited(NewLogger(&out, "info", "test"), func() { dropped++ })
		count := func(message string) int { return strings.Count(out.String(), message) }
		for range 3 * lines {
			log.Info().Msg("request")
			log.Warn().Msg("trouble")
			log.Debug().Msg("detail") // not written at this level, so not dropped
		}
		c.Check(count("request"), qt.Equals, lines)
		c.Check(count("trouble"), qt.Equals, warnings)
		c.Check(dropped, qt.Equals, 6*lines-lines-warnings)
		time.Sleep(1100 * time.Millisecond)
		log.Info().Msg("request")
		c.Check(count("request"), qt.Equals, lines+1)
	})
}
