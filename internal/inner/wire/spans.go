package wire

import (
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
)

// ToSpans converts the wire form of spans to [model.Span].
func ToSpans(ms []Span) []model.Span {
	out := make([]model.Span, 0, len(ms))
	for _, m := range ms {
		out = append(out, model.Span{
			Version: ident.Version(m.Version),
			Attempt: ident.Attempt(m.Attempt),
			From:    m.From,
			To:      m.To,
		})
	}
	return out
}

// FromSpans converts spans to their wire form.
func FromSpans(ss []model.Span) []Span {
	out := make([]Span, 0, len(ss))
	for _, s := range ss {
		out = append(out, Span{
			Version: uint64(s.Version),
			Attempt: string(s.Attempt),
			From:    s.From,
			To:      s.To,
		})
	}
	return out
}
