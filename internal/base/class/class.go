// Package class defines classes of work, as operators declare them.
//
// A class has a kind of work, the model or plain service that does the work,
// and targets for lateness, staleness and waiting. It has no weight and no
// priority, which are derived from the targets, and no address.
//
// # Usage
//
//	c, err := class.New(class.Params{
//		Name: "live-draft", Kind: class.Draft, Service: "notice-model",
//		Lateness: 4 * clock.Second, Waiting: 300,
//	})
//
// A class is immutable.
package class

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Kind is the kind of work of a class.
type Kind string

// The kinds of work.
const (
	Round  Kind = "round"  // samples that a model generates for a trainer
	Draft  Kind = "draft"  // an answer that a model streams to a caller
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

// Params holds the declared values of a class.
type Params struct {
	Name      ident.Class
	Kind      Kind
	Service   ident.Service // the model or plain service
	Lateness  clock.Millis  // target from arrival to the complete answer, or to the complete round
	Waiting   clock.Millis  // target from arrival to the start of the work
	Staleness ident.Version // versions by which a sample may be behind when a trainer reads it; rounds only
	Scorer    ident.Service // scoring service of a round, empty for none
	MaxTokens int           // upper bound of an answer's length; models only
}

// Class is one declared class of work.
type Class struct {
	p Params
}

// New checks the values and returns the class. Errors have the kind
// [fault.BadDeclaration] and name the key.
func New(p Params) (Class, error) {
	if key, reason := Validate(p); key != "" {
		return Class{}, fault.New(fault.BadDeclaration, "class "+string(p.Name)+": key "+key+": "+reason)
	}
	return Class{p: p}, nil
}

// Validate returns the first key with an invalid value, and the reason or the
// remedy. If all values are valid, the key is empty.
func Validate(p Params) (key, reason string) {
	for _, c := range checks {
		if c.fails(p) {
			return c.key, c.detail
		}
	}
	return "", ""
}

// FindConflict returns the first class that conflicts with the classes before
// it, and the reason. If there is no conflict, the name is empty.
func FindConflict(cs []Class) (name ident.Class, reason string) {
	byService := make(map[ident.Service]Class)
	for _, c := range cs {
		o, ok := byService[c.Service()]
		if ok && o.Kind().IsModel() != c.Kind().IsModel() {
			return c.Name(), "service " + string(c.Service()) + " is a model in one of the classes " +
				string(o.Name()) + " and " + string(c.Name()) + ", and a plain service in the other; correct the kind or the service"
		}
		byService[c.Service()] = c
	}
	return "", ""
}

// NewUnchecked returns a class without checks. It is for readers of the log,
// where classes were checked before they were appended. If readers checked
// again, a program version with different checks could drop a record that other
// versions apply.
func NewUnchecked(p Params) Class { return Class{p: p} }

// check is a condition on the value of a key.
type check struct {
	key    string
	detail string
	fails  func(Params) bool
}

// checks lists the conditions on a class, in the order in which they are tested.
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
	{"lateness", "can't be met together with max-tokens: no engine makes more than 1000 tokens of one answer in a second; raise lateness or lower max-tokens", exceedsMaxStreamRate},
}

// maxStreamRate is an upper bound of the tokens per second of any engine in one
// answer.
const maxStreamRate = 1000

func exceedsMaxStreamRate(p Params) bool {
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

// Lateness returns the target from arrival to the complete answer.
func (c Class) Lateness() clock.Millis { return c.p.Lateness }

// Waiting returns the target from arrival to the start of the work.
func (c Class) Waiting() clock.Millis { return c.p.Waiting }

// Staleness returns by how many versions a sample may be behind when a trainer
// reads it.
func (c Class) Staleness() ident.Version { return c.p.Staleness }

// Scorer returns the scoring service of a round, or an empty name.
func (c Class) Scorer() ident.Service { return c.p.Scorer }

// MaxTokens returns the upper bound of an answer's length in tokens.
func (c Class) MaxTokens() int { return c.p.MaxTokens }
