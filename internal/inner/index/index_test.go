package index

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
)

// A record of a job has its workspace. Records from before there were workspaces, and
// those of jobs without one, stay as they were.
func TestWorkspaceOfAJob(t *testing.T) {
	tests := map[string]struct {
		record  joblog.Accept
		encoded string
	}{
		"of a workspace": {
			joblog.Accept{JobID: "w/j", Workspace: "w", Host: "h", ItemIDs: []string{"a"}},
			`{"kind":"accept","job":"w/j","workspace":"w","host":"h","items":["a"]}`,
		},
		"of none": {joblog.Accept{JobID: "j", Host: "h", ItemIDs: []string{"a"}}, `{"kind":"accept","job":"j","host":"h","items":["a"]}`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b, err := Encode(test.record)
			c.Assert(err, qt.IsNil)
			c.Check(string(b), qt.Equals, test.encoded)
			got, err := Decode([]byte(test.encoded))
			c.Assert(err, qt.IsNil)
			c.Check(got, qt.DeepEquals, joblog.Record(test.record))
		})
	}
}

// TestItem guards against a limit of an item's output that a later owner of its job does
// not know.
func TestItem(t *testing.T) {
	c := qt.New(t)
	it := joblog.Item{
		ID: "i", Group: "g", Path: "/p", Header: http.Header{"A": {"b"}}, Body: []byte("x"), TokenBudget: 940, OutputBudget: 400, LengthHint: 120,
		Scorer: &joblog.Scorer{ID: "s", Host: "h", Path: "/q", Body: []byte("y")},
	}
	b, err := EncodeItem(&it)
	c.Assert(err, qt.IsNil)
	got, err := DecodeItem(b)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, it)
}
