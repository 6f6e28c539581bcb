// Package decl reads class declarations: TOML files with one [class.NAME] table for
// each class of requests.
//
// # Usage
//
//	classes, err := decl.ReadDir("examples/regie/classes")
//
// ReadDir reads only files with the suffix .toml. An error names the file and the
// remedy, and the line and the key where they are known.
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

// document is the content of one file.
type document struct {
	Class map[string]classTable `toml:"class"`
}

// classTable is one [class.NAME] table.
type classTable struct {
	Kind      string       `toml:"kind"`
	Service   string       `toml:"service"`
	Lateness  clock.Millis `toml:"lateness"`
	Waiting   clock.Millis `toml:"waiting"`
	Staleness uint64       `toml:"staleness-versions"`
	Scorer    string       `toml:"scorer"`
	MaxTokens int          `toml:"max-tokens"`
}

// ReadDir reads all declarations in a directory and its subdirectories. It returns
// the classes sorted by name.
func ReadDir(dir string) ([]class.Class, error) {
	var out []class.Class
	files := make(map[ident.Class]string) // path of the file that declares a class
	filesRead := 0
	err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".toml") {
			return err
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		filesRead++
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
	if n, detail := class.FindConflict(out); n != "" {
		return nil, fault.New(fault.BadDeclaration, fmt.Sprintf("file %s: class %s: %s", files[n], n, detail))
	}
	if filesRead == 0 {
		return nil, fault.New(fault.BadDeclaration, "directory "+dir+" holds no file of declarations: write a [class.NAME] table into a file that ends in .toml")
	}
	return out, nil
}

// Parse reads declarations from text. The file name appears in errors only.
func Parse(file, text string) ([]class.Class, error) {
	var doc document
	md, err := toml.Decode(text, &doc)
	if err != nil {
		var parseErr toml.ParseError
		if errors.As(err, &parseErr) {
			return nil, fault.New(fault.BadDeclaration, fmt.Sprintf("file %s: line %d: key %s: %s", file, parseErr.Position.Line, parseErr.LastKey, parseErr.Message))
		}
		return nil, fault.New(fault.BadDeclaration, fmt.Sprintf("file %s: %v", file, err))
	}
	if unknown := md.Undecoded(); len(unknown) > 0 {
		return nil, keyError(file, text, unknown[0], "is not known; the keys are kind, service, lateness, waiting, staleness-versions, scorer and max-tokens")
	}
	var out []class.Class
	for _, name := range slices.Sorted(maps.Keys(doc.Class)) {
		p := toParams(name, doc.Class[name])
		if key, detail := class.Validate(p); key != "" {
			return nil, keyError(file, text, toml.Key{"class", name, fileKey(key)}, detail)
		}
		out = append(out, class.NewUnchecked(p))
	}
	return out, nil
}

func toParams(name string, t classTable) class.Params {
	return class.Params{
		Name:      ident.Class(name),
		Kind:      class.Kind(t.Kind),
		Service:   ident.Service(t.Service),
		Lateness:  t.Lateness,
		Waiting:   t.Waiting,
		Staleness: ident.Version(t.Staleness),
		Scorer:    ident.Service(t.Scorer),
		MaxTokens: t.MaxTokens,
	}
}

// fileKey returns the name that a parameter of a class has in files.
func fileKey(key string) string {
	if key == "staleness" {
		return "staleness-versions"
	}
	return key
}

// keyError returns an error that names the file, the line, the key and the detail.
func keyError(file, text string, k toml.Key, detail string) error {
	return fault.New(fault.BadDeclaration, fmt.Sprintf("file %s: line %d: key %s: %s", file, findLine(text, k), k, detail))
}

// findLine returns the number of the line that holds a key, or that opens its table
// if the key is missing. It scans the text without parsing TOML in full, so the
// result may be wrong, for example if a table is written inline.
func findLine(text string, k toml.Key) int {
	tableLine := 1
	inTable := len(k) < 2
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			inTable = isTableOf(l, k)
			if inTable {
				tableLine = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(l, "=")
		if inTable && ok && unquote(name) == k[len(k)-1] {
			return i + 1
		}
	}
	return tableLine
}

// isTableOf reports whether a line is the header of the table that holds a key, or of
// the table that the key names.
func isTableOf(line string, k toml.Key) bool {
	header, _, _ := strings.Cut(line, "#")
	parts := strings.Split(strings.Trim(strings.TrimSpace(header), "[]"), ".")
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
