package record

import (
	"errors"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
)

var (
	testClass   = class.NewUnchecked(class.Params{Name: "a", Kind: class.Draft, Service: "m", Lateness: 5, Waiting: 1, MaxTokens: 3})
	testRecords = map[string]Record{
		"change": {Writer: Writer{"n", 1 << 63, 7}, Change: &Change{Author: "ann", Date: "d", Comment: "c", Edits: []Edit{
			{Name: "a", Base: 3, Class: testClass}, {Name: "b", Base: 4, Removed: true},
		}}},
		"snapshot": {Snapshot: &Snapshot{
			Covers:  9,
			Classes: []ActiveClass{{testClass, 3, "ann"}},
			Removed: []Tombstone{{"b", 4, "bob"}},
			Writers: []LastChange{{Writer{"n", 1, 7}, 4}},
		}},
	}
)

func TestCodec(t *testing.T) {
	for name, r := range testRecords {
		t.Run(name, func(t *testing.T) {
			data, err := Encode(r)
			qt.Assert(t, err, qt.IsNil)
			decoded, err := Decode(data)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, reflect.DeepEqual(decoded, r), qt.IsTrue, qt.Commentf("%+v", decoded))
		})
	}
}

func TestDecode(t *testing.T) {
	tests := map[string]struct {
		data  string
		newer bool
		ok    bool
	}{
		"broken":              {data: "{"},
		"empty":               {data: "{}"},
		"change and snapshot": {data: `{"change":{"edits":[]},"snapshot":{"covers":1,"entries":[]}}`},
		"two class names":     {data: `{"change":{"edits":[{"name":"a","class":{"name":"b"}}]}}`},
		"set and remove":      {data: `{"change":{"edits":[{"name":"a","removed":true,"class":{"name":"a"}}]}}`},
		"newer":               {data: `{"format":2,"needs":2,"change":{"edits":[]}}`, newer: true},
		"newer, readable":     {data: `{"format":2,"needs":1,"change":{"edits":[],"x":1}}`, ok: true},
		"unknown kind":        {data: `{"change":{"edits":[{"name":"a","class":{"name":"a","kind":"poem"}}]}}`, ok: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(tc.data))
			qt.Assert(t, err == nil, qt.Equals, tc.ok, qt.Commentf("%v", err))
			qt.Assert(t, errors.Is(err, ErrNewer), qt.Equals, tc.newer)
		})
	}
}

// FuzzDecode checks that no input makes the decoders panic, and that a decoded
// record stays the same when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, r := range testRecords {
		data, _ := Encode(r)
		f.Add(data)
	}
	lease, _ := EncodeLease(Lease{Kind: Bid, Node: "n", Boot: 1, Seq: 2, LastRead: 3, Term: 4})
	f.Add(lease)
	f.Add([]byte(`{"needs":2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if l, err := DecodeLease(data); err == nil {
			encoded, _ := EncodeLease(l)
			decoded, err := DecodeLease(encoded)
			if err != nil || decoded != l {
				t.Fatalf("%+v became %+v: %v", l, decoded, err)
			}
		}
		r, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(encoded)
		if err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		reencoded, _ := Encode(decoded)
		if string(reencoded) != string(encoded) {
			t.Fatalf("%s became %s", encoded, reencoded)
		}
	})
}
