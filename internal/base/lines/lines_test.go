package lines

import (
	"bufio"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRead(t *testing.T) {
	long := strings.Repeat("x", 100)
	tests := map[string]struct {
		in   string
		want string
		err  error
	}{
		"a line":               {"abc\ndef\n", "abc\n", nil},
		"no line break":        {"abc", "abc", io.EOF},
		"nothing":              {"", "", io.EOF},
		"longer than a buffer": {long[:60] + "\n", long[:60] + "\n", nil},
		"longer than allowed":  {long + "\n", "", ErrTooLong},
		"never ends":           {strings.Repeat("x", 1<<20), "", ErrTooLong},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			in := strings.NewReader(tc.in)
			line, err := Read(bufio.NewReaderSize(in, 16), 64)
			c.Check(err, qt.Equals, tc.err)
			c.Check(string(line), qt.Equals, tc.want)
			c.Check(len(tc.in)-in.Len() <= 128, qt.IsTrue)
		})
	}
}

// FuzzRead checks that the lines add up to the input until the first error.
func FuzzRead(f *testing.F) {
	f.Add("a\nb\n\nc", 8)
	f.Fuzz(func(t *testing.T, in string, limit int) {
		r := bufio.NewReaderSize(strings.NewReader(in), 16)
		var out strings.Builder
		for {
			line, err := Read(r, max(0, limit))
			out.Write(line)
			if err != nil {
				if err == io.EOF && out.String() != in || !strings.HasPrefix(in, out.String()) {
					t.Fatalf("read %q of %q", out.String(), in)
				}
				return
			}
		}
	})
}
