// Package class holds a class of work as operators declare it.
//
// A class names a kind of work, the model or plain service that does it, and
// targets for lateness, staleness and waiting. It never holds a weight, a
// priority or an address; those are derived from the targets.
//
// # Usage
//
//	c, err := class.New(class.Params{
//		Name: "live-draft", Kind: class.Draft, Service: "notice-model",
//		Lateness: 4 * clock.Second, Waiting: 300,
//	})
//
// A class is immutable once built.
package class

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Kind tells what sort of work a class holds.
type Kind string

// The kinds of work.
const (
	Round  Kind = "round"  // samples for a trainer, made by a model
	Draft  Kind = "draft"  // a streamed answer of a model for a caller
	Lookup Kind = "lookup" // an idempotent call of a plain service
	Action Kind = "action" // a call of a plain service that may run at most once
)

// Kinds lists the kinds in the order in which help texts show them.
func Kinds() []Kind { return []Kind{Round, Draft, Lookup, Action} }

// IsModel reports whether a model does the work.
func (k Kind) IsModel() bool { return k == Round || k == Draft }

// IsIdempotent reports whether the work may run more than once.
func (k Kind) IsIdempotent() bool { return k != Action }

func (k Kind) isKnown() bool {
	for _, o := range Kinds() {
		if k == o {
			return true
		}
	}
	return false
}

// Params are the declared values of a class.
type Params struct {
	Name      ident.Class
	Kind      Kind
	Service   ident.Service // the model or plain service
	Lateness  clock.Millis  // target from arrival to the whole answer, or to the whole step of a round
	Waiting   clock.Millis  // target from arrival to the start of the work
	Staleness ident.Version // versions a sample may be behind at hand-over; rounds only
	Scorer    ident.Service // scoring service of a round, empty for none
	MaxTokens int           // upper bound of an answer's length; models only
}

// Class is one declared class of work.
type Class struct {
	p Params
}

// New checks the values and returns the class. Errors are of the kind
// [fault.BadDeclare] and name the key.
func New(p Params) (Class, error) {
	if key, what := Validate(p); key != "" {
		return Class{}, fault.New(fault.BadDeclaration, "class "+string(p.Name)+": key "+key+": "+what)
	}
	return Class{p: p}, nil
}

// Validate returns the first key whose value can't be accepted, with the reason
// or the remedy, and an empty key if there is none.
func Validate(p Params) (key, what string) {
	for _, c := range checks {
		if c.fails(p) {
			return c.key, c.detail
		}
	}
	return "", ""
}

// FindConflict returns the first class that can't be declared together with the ones
// before it, with the reason, or an empty name.
func FindConflict(cs []Class) (name ident.Class, what string) {
	model := make(map[ident.Service]Class)
	for _, c := range cs {
		o, ok := model[c.Service()]
		if ok && o.Kind().IsModel() != c.Kind().IsModel() {
			return c.Name(), "service " + string(c.Service()) + " is a model in one of the classes " +
				string(o.Name()) + " and " + string(c.Name()) + ", and a plain service in the other; correct the kind or the service"
		}
		model[c.Service()] = c
	}
	return "", ""
}

// NewUnchecked returns a class that was checked before it was written to the log.
// Readers don't check again: a program version with other checks would drop a
// record that others apply.
func NewUnchecked(p Params) Class { return Class{p: p} }

type check struct {
	key    string
	detail string
	fails  func(Params) bool
}

// checks lists what a class must satisfy, in the order in which it is tested.
var checks = []check{
	{"name", "is empty", func(p Params) bool { return p.Name == "" }},
	{"kind", "must be one of round, draft, lookup, action", func(p Params) bool { return !p.Kind.isKnown() }},
	{"service", "is empty; name the model or plain service", func(p Params) bool { return p.Service == "" }},
	{"lateness", "must be above 0", func(p Params) bool { return p.Lateness <= 0 }},
	{"waiting", "must be above 0", func(p Params) bool { return p.Waiting <= 0 }},
	{"waiting", "can't be met together with lateness: the whole answer would be due before its start; lower waiting or raise lateness", func(p Params) bool { return p.Waiting > p.Lateness }},
	{"staleness", "is for rounds only", func(p Params) bool { return p.Kind != Round && p.Staleness != 0 }},
	{"scorer", "is for rounds only", func(p Params) bool { return p.Kind != Round && p.Scorer != "" }},
	{"max-tokens", "must be above 0 for a model", func(p Params) bool { return p.Kind.IsModel() && p.MaxTokens <= 0 }},
	{"max-tokens", "is for models only", func(p Params) bool { return !p.Kind.IsModel() && p.MaxTokens != 0 }},
	{"lateness", "can't be met together with max-tokens: no engine makes more than 1000 tokens of one answer in a second; raise lateness or lower max-tokens", isTooLong},
}

// maxStreamRate is the number of tokens a second that no engine exceeds in one
// answer.
const maxStreamRate = 1000

func isTooLong(p Params) bool {
	return p.Kind.IsModel() && clock.Millis(p.MaxTokens)*clock.Second/maxStreamRate > p.Lateness
}

// Params returns a copy of the declared values.
func (c Class) Params() Params { return c.p }

// Name returns the name.
func (c Class) Name() ident.Class { return c.p.Name }

// Kind returns the kind of work.
func (c Class) Kind() Kind { return c.p.Kind }

// Service returns the model or plain service that does the work.
func (c Class) Service() ident.Service { return c.p.Service }

// Lateness returns the target from arrival to the whole answer.
func (c Class) Lateness() clock.Millis { return c.p.Lateness }

// Waiting returns the target from arrival to the start of the work.
func (c Class) Waiting() clock.Millis { return c.p.Waiting }

// Staleness returns how many versions a sample may be behind at hand-over.
func (c Class) Staleness() ident.Version { return c.p.Staleness }

// Scorer returns the scoring service of a round, or an empty name.
func (c Class) Scorer() ident.Service { return c.p.Scorer }

// MaxTokens returns the upper bound of an answer's length in tokens.
func (c Class) MaxTokens() int { return c.p.MaxTokens }
