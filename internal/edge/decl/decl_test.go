package decl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const validDeclaration = `# comment
[class.a]
kind = "draft"
service = "m"
lateness = "8s"
waiting = "500ms"
max-tokens = 100
`

func TestParse(t *testing.T) {
	tests := map[string]struct {
		old, text string   // text replaces old in validDeclaration
		want      []string // parts of the error, nil for no error
	}{
		"valid":                   {},
		"unknown kind":            {`"draft"`, `"poem"`, []string{"line 3", "class.a.kind", "one of round, draft, lookup, action"}},
		"unknown key":             {`service`, `weight`, []string{"line 4", "class.a.weight", "is not known", "max-tokens"}},
		"unknown table":           {`[class.a]`, `[klass.a]`, []string{"line 2", "klass"}},
		"time without unit":       {`"8s"`, `"8"`, []string{"line 5", "no unit"}},
		"number for a time":       {`"8s"`, `8`, []string{"lateness"}},
		"service missing":         {`service = "m"`, ``, []string{"line 2", "class.a.service", "name the model"}},
		"waiting over lateness":   {`"500ms"`, `"9s"`, []string{"line 6", "waiting", "can't be met together with lateness", "lower waiting"}},
		"too many tokens in time": {`100`, `9000`, []string{"line 5", "lateness", "can't be met together with max-tokens"}},
		"staleness of a draft":    {`max-tokens = 100`, `staleness-versions = 2`, []string{"line 7", "staleness-versions", "rounds only"}},
		"unclosed string":         {`"m"`, `"m`, []string{"line 4"}},
		"class declared twice":    {`# comment`, "[class.a]\n", []string{"line", "class.a"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f.toml", strings.Replace(validDeclaration, tc.old, tc.text, 1))
			if tc.want == nil {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.Not(qt.IsNil))
			for _, w := range append(tc.want, "f.toml", "correct the named key") {
				qt.Check(t, strings.Contains(err.Error(), w), qt.IsTrue, qt.Commentf("%q not in %v", w, err))
			}
		})
	}
}

func TestReadDir(t *testing.T) {
	tests := map[string]struct {
		files []string
		want  string
	}{
		"no files":                      {nil, "holds no file"},
		"one file":                      {[]string{validDeclaration}, ""},
		"same class in two files":       {[]string{validDeclaration, validDeclaration}, "is declared in"},
		"model used as a plain service": {[]string{validDeclaration, "[class.b]\nkind = \"lookup\"\nservice = \"m\"\nlateness = \"1s\"\nwaiting = \"1s\"\n"}, "is a model in one"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			for i, f := range tc.files {
				qt.Assert(t, os.WriteFile(filepath.Join(dir, string(rune('a'+i))+".toml"), []byte(f), 0o600), qt.IsNil)
			}
			_, err := ReadDir(dir)
			if tc.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, ".*"+tc.want+".*")
		})
	}
}

// TestExamples reads the declarations of both example deployments.
func TestExamples(t *testing.T) {
	for _, d := range []string{"regie", "lamphun"} {
		cs, err := ReadDir(filepath.Join("../../../examples", d, "classes"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(cs) > 0, qt.IsTrue)
	}
}

// FuzzParse checks that no input makes Parse panic, and that the classes that it
// accepts are valid.
func FuzzParse(f *testing.F) {
	f.Add(validDeclaration)
	f.Add("[class.a")
	f.Add("class.a.kind = 1")
	f.Add("[class.\"x y\"]\nkind='round'\nlateness='-1s'\n[class]")
	f.Fuzz(func(t *testing.T, text string) {
		cs, err := Parse("f", text)
		if err == nil {
			for _, c := range cs {
				if c.Lateness() <= 0 || c.Waiting() > c.Lateness() {
					t.Fatalf("accepted %+v", c)
				}
			}
		}
	})
}
