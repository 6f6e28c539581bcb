package replay

import (
	"fmt"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

// claimStream is one stream of claims: the state under test, and an independent
// record of the accepted claims.
type claimStream struct {
	state      Claims
	lastOffset ident.Offset
	accepted   map[string]ident.Offset // offset of the last accepted claim, by key
	executed   map[string]bool         // keys whose request was executed
}

// acceptedClaim is one claim whose request may be executed.
type acceptedClaim struct {
	at          clock.Millis
	key         string
	conflicting bool         // another claim of the key is in progress, or the request was executed
	previous    ident.Offset // offset of the accepted claim before it, 0 for none
}

// handleClaim applies a record of a stream of claims. Each entry that reads the
// stream writes the record to its trace; it is applied once.
func (sim *simulation) handleClaim(e trace.Event) {
	stream, ok := sim.claimStreams[e.Service]
	if !ok {
		stream = &claimStream{
			state:    sim.options.Decisions.Claim(),
			accepted: make(map[string]ident.Offset),
			executed: make(map[string]bool),
		}
		sim.claimStreams[e.Service] = stream
	}
	rec, err := record.DecodeClaimRecord(e.Data)
	if err != nil || e.Offset <= stream.lastOffset {
		return
	}
	stream.lastOffset = e.Offset
	if o := rec.Outcome; o != nil {
		stream.state.Outcome(*o)
		stream.executed[o.Key] = stream.executed[o.Key] || (o.State == record.Done && o.ClaimOffset == stream.accepted[o.Key])
		return
	}
	c := rec.Claim
	if !stream.state.Claim(e.Offset, rec.Writer, *c) {
		return
	}
	previous := stream.accepted[c.Key]
	conflicting := stream.executed[c.Key] || (previous > 0 && c.Replaces != previous)
	sim.result.acceptedClaims = append(sim.result.acceptedClaims, acceptedClaim{at: e.At, key: c.Key, conflicting: conflicting, previous: previous})
	stream.accepted[c.Key] = e.Offset
}

// claimOnce checks that at most one claim of a key could be executed.
func (r *Result) claimOnce(Outcome) (int, *violation) {
	for _, c := range r.acceptedClaims {
		if c.conflicting {
			return len(r.acceptedClaims), &violation{c.at, fmt.Sprintf("a claim of key %s may run beside the one at offset %d", c.key, c.previous)}
		}
	}
	return len(r.acceptedClaims), nil
}
