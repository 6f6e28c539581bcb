package clock

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Sleep waits for a duration. It returns false if the context ended first.
func Sleep(ctx context.Context, d Millis) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every calls fn after each period until the context ends. A call that takes
// longer than the period delays the next call; missed calls are dropped.
func Every(ctx context.Context, period Millis, fn func()) {
	t := time.NewTicker(period.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			fn()
		}
	}
}

// Repeat calls fn immediately, and then after each period like [Every].
func Repeat(ctx context.Context, period Millis, fn func()) {
	fn()
	Every(ctx, period, fn)
}

// UnmarshalText parses a duration with a unit, such as "2s", from a settings
// file or a declaration.
func (m *Millis) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Errorf("%q has no unit; write a time such as \"2s\" or \"500ms\"", b)
	}
	*m = FromDuration(d)
	return nil
}
