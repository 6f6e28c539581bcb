// Package fault holds the error kinds that cross a boundary of the program.
//
// A fault answers three questions: what happened (its kind), whether the
// request ran (its outcome), and what to do next (its remedy). All kinds stand
// in one table, see [Kinds]; no other place gives them a status or a text.
//
// "Not run" is said only where it is proven. A fault of any kind that can't
// prove it has the outcome [Unknown].
//
// # Usage
//
//	return fault.New(fault.Overloaded, "class live-draft has 900 waiting").After(2 * clock.Second)
//
//	if f, ok := fault.As(err); ok && f.Outcome() == fault.NotRun { retry() }
package fault

import (
	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// Outcome tells whether a request ran.
type Outcome uint8

// The outcomes of a request.
const (
	Unknown Outcome = iota // it may have run
	NotRun                 // it is proven not to have run
	Done                   // it ran to its end
)

var outcomeNames = [...]string{Unknown: "unknown", NotRun: "not-run", Done: "done"}

// String returns the name used in responses.
func (o Outcome) String() string { return outcomeNames[o] }

// Kind classifies a fault.
type Kind string

// Fault is an error with a kind, a detail and optionally a time to wait.
type Fault struct {
	kind   Kind
	detail string
	after  clock.Millis
	cause  error
}

// New returns a fault of a kind with a detail in plain words.
func New(k Kind, detail string) *Fault { return &Fault{kind: k, detail: detail} }

// Wrap returns a fault of a kind that was caused by err.
func Wrap(k Kind, err error, detail string) *Fault {
	return &Fault{kind: k, detail: detail, cause: errors.WithStack(err)}
}

// WithRetryAfter returns a copy that asks the caller to wait for a span.
func (f *Fault) WithRetryAfter(wait clock.Millis) *Fault {
	c := *f
	c.after = wait
	return &c
}

// Kind returns the kind.
func (f *Fault) Kind() Kind { return f.kind }

// Detail returns what happened, without the remedy.
func (f *Fault) Detail() string { return f.detail }

// RetryAfter returns how long to wait before trying again, 0 if not known.
func (f *Fault) RetryAfter() clock.Millis { return f.after }

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

// KindOf returns the kind of the first fault in the chain of err, empty for no
// error and [Internal] for one without a fault.
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
	Outcome Outcome // what the kind says of the request
	Remedy  string  // what the receiver should do next
}

// Info returns the description of the kind. An unlisted kind, such as one of
// a newer program version, counts as internal and its outcome as unknown.
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
