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

// Outcome is one expected outcome. Fields that its name does not use are zero.
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
	switch outcomeRules[o.Name].limitKey {
	case keyMaxTime:
		s += " at most " + o.MaxTime.String()
	case keyMaxShare:
		s += fmt.Sprintf(" at most %g", o.MaxShare)
	case keyMaxVersions:
		s += fmt.Sprintf(" at most %d", o.MaxVersions)
	case keyMaxCrashes:
		s += fmt.Sprintf(" at most %d", o.MaxCrashes)
	}
	return s
}

// Keys of an [[outcome]] table in the file.
const (
	keyName        = "name"
	keyClass       = "class"
	keyQuantile    = "quantile"
	keyMaxTime     = "at-most"
	keyMaxShare    = "at-most-share"
	keyMaxVersions = "at-most-versions"
	keyMaxCrashes  = "at-most-crashes"
)

// outcomeTable is one [[outcome]] table of the file.
type outcomeTable struct {
	Name        string        `toml:"name"`
	Class       string        `toml:"class"`
	Quantile    *float64      `toml:"quantile"`
	MaxTime     *clock.Millis `toml:"at-most"`
	MaxShare    *float64      `toml:"at-most-share"`
	MaxVersions *uint64       `toml:"at-most-versions"`
	MaxCrashes  *int          `toml:"at-most-crashes"`
}

// ReadOutcomes reads a file of outcomes. Errors in its text are of the kind
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
	fail := func(line int, problem string) error {
		return fault.New(fault.BadOutcome, fmt.Sprintf("file %s: line %d: %s", file, line, problem))
	}
	var doc struct {
		Outcome []outcomeTable `toml:"outcome"`
	}
	md, err := toml.Decode(text, &doc)
	if err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return nil, fail(pe.Position.Line, pe.Message)
		}
		return nil, fail(1, err.Error())
	}
	if unknown := md.Undecoded(); len(unknown) > 0 {
		k := unknown[0][len(unknown[0])-1]
		return nil, fail(lineOf(text, k), "key "+k+" is not known")
	}
	if len(doc.Outcome) == 0 {
		return nil, fail(1, "there is no [[outcome]] table")
	}
	var out []Outcome
	for i, m := range doc.Outcome {
		o, problem := m.toOutcome()
		if problem != "" {
			return nil, fail(tableLine(text, i), problem)
		}
		out = append(out, o)
	}
	return out, nil
}

// lineOf returns the number of the first line that begins with a key, or 1.
func lineOf(text, key string) int {
	for i, l := range strings.Split(text, "\n") {
		if strings.HasPrefix(strings.TrimLeft(l, " \t["), key) {
			return i + 1
		}
	}
	return 1
}

// tableLine returns the line number of the [[outcome]] table with index n, or 1.
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

// toOutcome checks the keys against outcomeRules and returns the outcome. If the
// table is invalid, problem describes the error; otherwise it is empty.
func (m outcomeTable) toOutcome() (o Outcome, problem string) {
	r, ok := outcomeRules[m.Name]
	if !ok {
		return o, fmt.Sprintf("outcome %q is not known; write one of %s", m.Name, strings.Join(Names(), ", "))
	}
	o = Outcome{Name: m.Name, Class: ident.Class(m.Class)}
	present := map[string]bool{
		keyClass:       m.Class != "",
		keyQuantile:    m.Quantile != nil,
		keyMaxTime:     m.MaxTime != nil,
		keyMaxShare:    m.MaxShare != nil,
		keyMaxVersions: m.MaxVersions != nil,
		keyMaxCrashes:  m.MaxCrashes != nil,
	}
	expected := map[string]bool{keyClass: r.hasClass, keyQuantile: r.hasQuantile, r.limitKey: true}
	for _, k := range slices.Sorted(maps.Keys(present)) {
		switch {
		case expected[k] && !present[k]:
			return o, "outcome " + m.Name + " needs the key " + k
		case present[k] && !expected[k]:
			return o, "outcome " + m.Name + " does not take the key " + k + "; remove it"
		}
	}
	if m.Quantile != nil {
		o.Quantile = *m.Quantile
		if o.Quantile <= 0 || o.Quantile >= 1 {
			return o, "key quantile must be between 0 and 1"
		}
	}
	if m.MaxTime != nil {
		o.MaxTime = *m.MaxTime
	}
	if m.MaxShare != nil {
		o.MaxShare = *m.MaxShare
	}
	if m.MaxVersions != nil {
		o.MaxVersions = ident.Version(*m.MaxVersions)
	}
	if m.MaxCrashes != nil {
		o.MaxCrashes = *m.MaxCrashes
	}
	return o, ""
}

// Names returns the names of all outcomes in alphabetical order.
func Names() []string { return slices.Sorted(maps.Keys(outcomeRules)) }
