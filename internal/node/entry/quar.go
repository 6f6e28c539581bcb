package entry

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
)

// Quarantine implements [httpd.Service].
func (e *Entry) Quarantine(context.Context) ([]codec.Quarantined, error) {
	out := []codec.Quarantined{}
	for _, c := range e.quar.List() {
		out = append(out, codec.Quarantined{Request: c.Request, Crashes: c.Crashes})
	}
	return out, nil
}

// Lift implements [httpd.Service].
func (e *Entry) Lift(_ context.Context, who ident.Caller, m codec.Lift) error {
	if m.Request == "" {
		return fault.New(fault.BadRequest, "request must be set; GET /v1/quarantine lists them")
	}
	if err := e.quar.Lift(m.Request); err != nil {
		return err
	}
	e.p.Log.Info().Str("part", "quarantine").Str("by", string(who)).Str("request", m.Request).Msg("Quarantine lifted.")
	return nil
}
