// Package decl reads declarations: TOML files with one [class.NAME] table for
// each class of work.
//
// # Usage
//
//	classes, err := decl.ReadDir("examples/regie/classes")
//
// An error names the file, the line, the key and the remedy. Nothing is read
// but the files that end in .toml.
package decl

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

type span struct{ clock.Millis }

// UnmarshalText reads a span such as "2s".
func (s *span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Errorf("%q has no unit; write a time such as \"2s\"", b)
	}
	s.Millis = clock.Of(d)
	return nil
}

type document struct {
	Class map[string]entry `toml:"class"`
}

type entry struct {
	Kind      string `toml:"kind"`
	Service   string `toml:"service"`
	Lateness  span   `toml:"lateness"`
	Waiting   span   `toml:"waiting"`
	Staleness uint64 `toml:"staleness-versions"`
	Scorer    string `toml:"scorer"`
	MaxTokens int    `toml:"max-tokens"`
}

// ReadDir reads all declarations below a directory, sorted by name.
func ReadDir(dir string) ([]class.Class, error) {
	var out []class.Class
	files := make(map[ident.Class]string)
	err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".toml") {
			return err
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		cs, err := Parse(path, string(b))
		if err != nil {
			return err
		}
		for _, c := range cs {
			if other, ok := files[c.Name()]; ok {
				return fault.New(fault.BadDeclare, fmt.Sprintf("file %s: class %s is declared in %s too", path, c.Name(), other))
			}
			files[c.Name()] = path
		}
		out = append(out, cs...)
		return nil
	})
	if err != nil {
		if _, ok := fault.As(err); ok {
			return nil, err
		}
		return nil, fault.Wrap(fault.BadDeclare, err, "declarations can't be read")
	}
	slices.SortFunc(out, func(a, b class.Class) int { return strings.Compare(string(a.Name()), string(b.Name())) })
	return out, nil
}

// Parse reads the declarations of one file; its name is used in errors.
func Parse(file, text string) ([]class.Class, error) {
	var doc document
	md, err := toml.Decode(text, &doc)
	if err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return nil, fault.New(fault.BadDeclare, fmt.Sprintf("file %s: line %d: %s", file, pe.Position.Line, pe.Message))
		}
		return nil, fault.New(fault.BadDeclare, fmt.Sprintf("file %s: %v", file, err))
	}
	if left := md.Undecoded(); len(left) > 0 {
		return nil, fault.New(fault.BadDeclare, fmt.Sprintf("file %s: line %d: key %s is not known", file, line(text, left[0]), left[0]))
	}
	var out []class.Class
	for name, e := range doc.Class {
		c, err := class.New(class.Params{
			Name:      ident.Class(name),
			Kind:      class.Kind(e.Kind),
			Service:   ident.Service(e.Service),
			Lateness:  e.Lateness.Millis,
			Waiting:   e.Waiting.Millis,
			Staleness: ident.Version(e.Staleness),
			Scorer:    ident.Service(e.Scorer),
			MaxTokens: e.MaxTokens,
		})
		if err != nil {
			return nil, locate(file, text, name, err)
		}
		out = append(out, c)
	}
	return out, nil
}

// locate adds the file and the line of the class to an error.
func locate(file, text, name string, err error) error {
	f, ok := fault.As(err)
	if !ok {
		return err
	}
	return fault.New(f.Kind(), fmt.Sprintf("file %s: line %d: %s", file, line(text, toml.Key{"class", name}), f.Detail()))
}

// line finds the line of a key, as well as text alone allows.
func line(text string, k toml.Key) int {
	last := k[len(k)-1]
	table := "[" + strings.Join(k[:min(2, len(k))], ".") + "]"
	in := false
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		if l == table {
			in = true
			if len(k) <= 2 {
				return i + 1
			}
			continue
		}
		if in && strings.HasPrefix(l, last) {
			return i + 1
		}
	}
	return 1
}
