package claims

import (
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

// recordEvent writes a record of a stream of claims to the trace, without the
// answer that an outcome holds.
func (c *Claims) recordEvent(stream string, at ident.Offset, ev record.ClaimRecord) {
	if c.p.Trace == nil {
		return
	}
	if ev.Outcome != nil {
		o := *ev.Outcome
		o.Body = nil
		ev.Outcome = &o
	}
	data, err := record.EncodeClaimRecord(ev)
	if err != nil {
		c.p.Log.Warn().Err(err).Msg("Claim can't be written to the trace.")
		return
	}
	c.p.Trace.Record(trace.Event{At: c.p.Clock.Now(), Kind: trace.Claim, Service: ident.Service(stream), Offset: at, Data: data})
}
