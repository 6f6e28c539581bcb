package claims

import (
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

// recordEvent writes a record of a stream of claims to the trace, but without the
// answer in an outcome.
func (c *Claims) recordEvent(stream string, offset ident.Offset, rec record.ClaimRecord) {
	if c.p.Trace == nil {
		return
	}
	if rec.Outcome != nil {
		o := *rec.Outcome
		o.Body = nil
		rec.Outcome = &o
	}
	data, err := record.EncodeClaimRecord(rec)
	if err != nil {
		c.p.Log.Warn().Err(err).Msg("claims: claim record can't be encoded for the trace")
		return
	}
	c.p.Trace.Record(trace.Event{At: c.p.Clock.Now(), Kind: trace.Claim, Service: ident.Service(stream), Offset: offset, Data: data})
}
