package entry

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
)

// Quarantine implements [httpd.Service].
func (e *Entry) Quarantine(context.Context) ([]codec.QuarantinedRequest, error) {
	out := []codec.QuarantinedRequest{}
	for _, c := range e.quarantine.List() {
		out = append(out, codec.QuarantinedRequest{Request: c.Request, Crashes: c.CrashIDs})
	}
	return out, nil
}

// Lift implements [httpd.Service].
func (e *Entry) Lift(_ context.Context, who ident.Caller, m codec.LiftRequest) error {
	if m.Request == "" {
		return fault.New(fault.BadRequest, "request must be set; GET /v1/quarantine lists them")
	}
	if err := e.quarantine.Lift(m.Request); err != nil {
		return err
	}
	e.p.Log.Info().Str("part", "quarantine").Str("by", string(who)).Str("request", m.Request).Msg("entry: quarantine lifted")
	return nil
}
