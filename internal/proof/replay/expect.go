package replay

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Outcome is one stated outcome.
type Outcome struct {
	Name        string
	Class       ident.Class
	Quantile    float64
	MaxTime     clock.Millis
	MaxShare    float64
	MaxVersions ident.Version
	MaxCrashes  int
}

// String returns the outcome as it is shown in a report.
func (o Outcome) String() string {
	s := o.Name
	if o.Class != "" {
		s += " of " + string(o.Class)
	}
	if o.Quantile > 0 {
		s += fmt.Sprintf(" at quantile %g", o.Quantile)
	}
	switch rules[o.Name].limit {
	case keySpan:
		s += " at most " + o.MaxTime.String()
	case keyShare:
		s += fmt.Sprintf(" at most %g", o.MaxShare)
	case keyVersions:
		s += fmt.Sprintf(" at most %d", o.MaxVersions)
	case keyCrashes:
		s += fmt.Sprintf(" at most %d", o.MaxCrashes)
	}
	return s
}

// Keys of an outcome in the file.
const (
	keyName     = "name"
	keyClass    = "class"
	keyQuantile = "quantile"
	keySpan     = "at-most"
	keyShare    = "at-most-share"
	keyVersions = "at-most-versions"
	keyCrashes  = "at-most-crashes"
)

type outcomeMsg struct {
	Name     string        `toml:"name"`
	Class    string        `toml:"class"`
	Quantile *float64      `toml:"quantile"`
	Span     *clock.Millis `toml:"at-most"`
	Share    *float64      `toml:"at-most-share"`
	Versions *uint64       `toml:"at-most-versions"`
	Crashes  *int          `toml:"at-most-crashes"`
}

// ReadOutcomes reads a file of outcomes. Errors are of the kind
// [fault.BadOutcome] and name the file, the line and the key.
func ReadOutcomes(file string) ([]Outcome, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.NoFile, err, "outcomes can't be read")
	}
	return ParseOutcomes(file, string(b))
}

// ParseOutcomes reads outcomes from text; file is named in errors.
func ParseOutcomes(file, text string) ([]Outcome, error) {
	bad := func(line int, what string) error {
		return fault.New(fault.BadOutcome, fmt.Sprintf("file %s: line %d: %s", file, line, what))
	}
	var doc struct {
		Outcome []outcomeMsg `toml:"outcome"`
	}
	md, err := toml.Decode(text, &doc)
	if err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return nil, bad(pe.Position.Line, pe.Message)
		}
		return nil, bad(1, err.Error())
	}
	if left := md.Undecoded(); len(left) > 0 {
		k := left[0][len(left[0])-1]
		return nil, bad(lineOf(text, k), "key "+k+" is not known")
	}
	if len(doc.Outcome) == 0 {
		return nil, bad(1, "there is no [[outcome]] table")
	}
	var out []Outcome
	for i, m := range doc.Outcome {
		o, what := m.outcome()
		if what != "" {
			return nil, bad(tableLine(text, i), what)
		}
		out = append(out, o)
	}
	return out, nil
}

// lineOf finds the first line that begins with a key.
func lineOf(text, key string) int {
	for i, l := range strings.Split(text, "\n") {
		if strings.HasPrefix(strings.TrimLeft(l, " \t["), key) {
			return i + 1
		}
	}
	return 1
}

// tableLine finds the line of the n-th [[outcome]] table.
func tableLine(text string, n int) int {
	for i, l := range strings.Split(text, "\n") {
		if strings.TrimSpace(l) != "[[outcome]]" {
			continue
		}
		if n == 0 {
			return i + 1
		}
		n--
	}
	return 1
}

// outcome checks the keys against the table of rules. It returns what is wrong
// and what to write, empty if nothing.
func (m outcomeMsg) outcome() (o Outcome, what string) {
	r, ok := rules[m.Name]
	if !ok {
		return o, fmt.Sprintf("outcome %q is not known; write one of %s", m.Name, strings.Join(Names(), ", "))
	}
	o = Outcome{Name: m.Name, Class: ident.Class(m.Class)}
	given := map[string]bool{keyClass: m.Class != "", keyQuantile: m.Quantile != nil, keySpan: m.Span != nil, keyShare: m.Share != nil, keyVersions: m.Versions != nil, keyCrashes: m.Crashes != nil}
	wanted := map[string]bool{keyClass: r.class, keyQuantile: r.quantile, r.limit: true}
	for _, k := range slices.Sorted(maps.Keys(given)) {
		switch {
		case wanted[k] && !given[k]:
			return o, "outcome " + m.Name + " needs the key " + k
		case given[k] && !wanted[k]:
			return o, "outcome " + m.Name + " does not take the key " + k + "; remove it"
		}
	}
	if m.Quantile != nil {
		o.Quantile = *m.Quantile
		if o.Quantile <= 0 || o.Quantile >= 1 {
			return o, "key quantile must be between 0 and 1"
		}
	}
	if m.Span != nil {
		o.MaxTime = *m.Span
	}
	if m.Share != nil {
		o.MaxShare = *m.Share
	}
	if m.Versions != nil {
		o.MaxVersions = ident.Version(*m.Versions)
	}
	if m.Crashes != nil {
		o.MaxCrashes = *m.Crashes
	}
	return o, ""
}

// Names lists the outcomes that may be stated.
func Names() []string { return slices.Sorted(maps.Keys(rules)) }
