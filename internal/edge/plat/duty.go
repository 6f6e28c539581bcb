package plat

import (
	"context"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// DutyCall says in whose name a call of a duty is made.
type DutyCall struct {
	Holder  string // name of the VM that holds the duty
	Token   int64  // fencing token
	Timeout clock.Millis
	// MaySend is asked immediately before bytes are written. It returns false once this
	// VM no longer holds the duty.
	MaySend func() bool
}

// DutyAPI is the platform's API for duties, of which one VM at a time makes the calls. Any
// error but ErrDutyRefused leaves open whether the call took effect.
type DutyAPI interface {
	// ReportUsage reports the requests of each workspace in a window.
	ReportUsage(ctx context.Context, c DutyCall, window int64, counts map[ident.Workspace]int64) error
	// OrderEngines orders the number of engines that a service has in a zone.
	OrderEngines(ctx context.Context, c DutyCall, service, zone string, n int) error
}

// ErrDutyRefused means that the platform refused a call in a way that a repeat won't change.
var ErrDutyRefused = errors.New("the platform refused the call; a repeat won't change that")

// ErrDutyLost means that nothing was sent, since this VM no longer holds the duty.
var ErrDutyLost = errors.New("this VM no longer holds the duty; nothing was sent")
