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
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

type document struct {
	Class map[string]entry `toml:"class"`
}

type entry struct {
	Kind      string       `toml:"kind"`
	Service   string       `toml:"service"`
	Lateness  clock.Millis `toml:"lateness"`
	Waiting   clock.Millis `toml:"waiting"`
	Staleness uint64       `toml:"staleness-versions"`
	Scorer    string       `toml:"scorer"`
	MaxTokens int          `toml:"max-tokens"`
}

// ReadDir reads all declarations below a directory, sorted by name.
func ReadDir(dir string) ([]class.Class, error) {
	var out []class.Class
	files := make(map[ident.Class]string)
	read := 0
	err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".toml") {
			return err
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		read++
		cs, err := Parse(path, string(b))
		if err != nil {
			return err
		}
		for _, c := range cs {
			if other, ok := files[c.Name()]; ok {
				return fault.New(fault.BadDeclaration, fmt.Sprintf("file %s: class %s is declared in %s too", path, c.Name(), other))
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
		return nil, fault.Wrap(fault.NoFile, err, "declarations can't be read")
	}
	slices.SortFunc(out, func(a, b class.Class) int { return strings.Compare(string(a.Name()), string(b.Name())) })
	if n, what := class.FindConflict(out); n != "" {
		return nil, fault.New(fault.BadDeclaration, fmt.Sprintf("file %s: class %s: %s", files[n], n, what))
	}
	if read == 0 {
		return nil, fault.New(fault.BadDeclaration, "directory "+dir+" holds no file of declarations: write a [class.NAME] table into a file that ends in .toml")
	}
	return out, nil
}

// Parse reads the declarations of one file; its name is used in errors.
func Parse(file, text string) ([]class.Class, error) {
	var doc document
	md, err := toml.Decode(text, &doc)
	if err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return nil, fault.New(fault.BadDeclaration, fmt.Sprintf("file %s: line %d: key %s: %s", file, pe.Position.Line, pe.LastKey, pe.Message))
		}
		return nil, fault.New(fault.BadDeclaration, fmt.Sprintf("file %s: %v", file, err))
	}
	if left := md.Undecoded(); len(left) > 0 {
		return nil, problem(file, text, left[0], "is not known; the keys are kind, service, lateness, waiting, staleness-versions, scorer and max-tokens")
	}
	var out []class.Class
	for _, name := range slices.Sorted(maps.Keys(doc.Class)) {
		p := params(name, doc.Class[name])
		if key, what := class.Validate(p); key != "" {
			return nil, problem(file, text, toml.Key{"class", name, fileKey(key)}, what)
		}
		out = append(out, class.NewUnchecked(p))
	}
	return out, nil
}

func params(name string, e entry) class.Params {
	return class.Params{
		Name:      ident.Class(name),
		Kind:      class.Kind(e.Kind),
		Service:   ident.Service(e.Service),
		Lateness:  e.Lateness,
		Waiting:   e.Waiting,
		Staleness: ident.Version(e.Staleness),
		Scorer:    ident.Service(e.Scorer),
		MaxTokens: e.MaxTokens,
	}
}

// fileKey returns how a key of a class is written in files.
func fileKey(key string) string {
	if key == "staleness" {
		return "staleness-versions"
	}
	return key
}

// problem names the file, the line, the key and the remedy.
func problem(file, text string, k toml.Key, what string) error {
	return fault.New(fault.BadDeclaration, fmt.Sprintf("file %s: line %d: key %s: %s", file, line(text, k), k, what))
}

// line finds the line of a key, or of its table if the key is missing, as well
// as the text alone allows.
func line(text string, k toml.Key) int {
	table := 1
	in := len(k) < 2
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			in = isTable(l, k)
			if in {
				table = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(l, "=")
		if in && ok && unquote(name) == k[len(k)-1] {
			return i + 1
		}
	}
	return table
}

// isTable reports whether a line opens the table that holds a key, or is the
// table that the key names.
func isTable(l string, k toml.Key) bool {
	head, _, _ := strings.Cut(l, "#")
	parts := strings.Split(strings.Trim(strings.TrimSpace(head), "[]"), ".")
	if len(parts) > len(k) || len(parts) == 0 {
		return false
	}
	for i, p := range parts {
		if unquote(p) != k[i] {
			return false
		}
	}
	return len(parts) >= min(2, len(k))
}

func unquote(s string) string { return strings.Trim(strings.TrimSpace(s), "\"'") }
