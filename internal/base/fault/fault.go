// Package fault defines the errors that are sent to clients and to other nodes.
//
// A fault answers three questions: what happened (its kind), whether the
// request ran (its outcome), and what to do next (its remedy). The HTTP status,
// the outcome and the remedy of each kind are defined in one table, see
// [Kinds].
//
// A kind has the outcome [NotRun] only if it proves that the request did not
// run. Otherwise the outcome is [Unknown], or [Done] if the request finished.
//
// # Usage
//
//	err := fault.New(fault.Overloaded, "class live-draft has 900 waiting")
//	return err.WithRetryAfter(2 * clock.Second)
//
//	if f, ok := fault.As(err); ok && f.Outcome() == fault.NotRun { retry() }
package fault

import (
	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// Outcome is what a fault proves about whether the request ran.
type Outcome uint8

// The outcomes of a request.
const (
	Unknown Outcome = iota // the request may have run
	NotRun                 // the request certainly did not run
	Done                   // the request ran to completion
)

var outcomeNames = [...]string{Unknown: "unknown", NotRun: "not-run", Done: "done"}

// String returns the name used in responses.
func (o Outcome) String() string { return outcomeNames[o] }

// Kind classifies a fault.
type Kind string

// Fault is an error with a kind, a detail and optionally a retry-after.
type Fault struct {
	kind       Kind
	detail     string
	retryAfter clock.Millis
	cause      error
}

// New returns a fault of a kind. The detail is text for the receiver.
func New(k Kind, detail string) *Fault { return &Fault{kind: k, detail: detail} }

// Wrap returns a fault of a kind with err as its cause.
func Wrap(k Kind, err error, detail string) *Fault {
	return &Fault{kind: k, detail: detail, cause: errors.WithStack(err)}
}

// WithRetryAfter returns a copy that asks the receiver to wait before a retry.
func (f *Fault) WithRetryAfter(retryAfter clock.Millis) *Fault {
	c := *f
	c.retryAfter = retryAfter
	return &c
}

// Kind returns the kind of the fault.
func (f *Fault) Kind() Kind { return f.kind }

// Detail returns what happened, without the remedy.
func (f *Fault) Detail() string { return f.detail }

// RetryAfter returns how long to wait before a retry, 0 if not known.
func (f *Fault) RetryAfter() clock.Millis { return f.retryAfter }

// Outcome returns whether the request ran.
func (f *Fault) Outcome() Outcome { return f.kind.Info().Outcome }

// Remedy returns what the receiver should do next.
func (f *Fault) Remedy() string { return f.kind.Info().Remedy }

// Error returns the kind, the detail and the remedy in one line.
func (f *Fault) Error() string {
	s := string(f.kind) + ": " + f.detail
	if f.cause != nil {
		s += ": " + f.cause.Error()
	}
	return s + "; " + f.Remedy()
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.cause }

// As returns the first fault in the chain of err.
func As(err error) (*Fault, bool) {
	var f *Fault
	ok := errors.As(err, &f)
	return f, ok
}

// Is reports whether the first fault in the chain of err has the kind.
func Is(err error, k Kind) bool {
	f, ok := As(err)
	return ok && f.kind == k
}

// KindOf returns the kind of the first fault in the chain of err. It returns an
// empty kind for a nil error, and [Internal] for an error without a fault.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	if f, ok := As(err); ok {
		return f.kind
	}
	return Internal
}

// Info describes a kind.
type Info struct {
	Status  int     // HTTP status
	Outcome Outcome // whether the request ran
	Remedy  string  // what the receiver should do next
}

// Info returns the description of the kind. A kind that is not in the table,
// such as one from a newer program version, is described as [Internal], whose
// outcome is unknown.
func (k Kind) Info() Info {
	if i, ok := kinds[k]; ok {
		return i
	}
	return kinds[Internal]
}

// Kinds returns all kinds with their descriptions.
func Kinds() map[Kind]Info {
	out := make(map[Kind]Info, len(kinds))
	for k, i := range kinds {
		out[k] = i
	}
	return out
}
