package trace

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// filledEvent returns an event in which every field is set.
func filledEvent() Event {
	var e Event
	v := reflect.ValueOf(&e).Elem()
	for i := range v.NumField() {
		switch f := v.Field(i); f.Kind() {
		case reflect.String:
			f.SetString("x")
		case reflect.Bool:
			f.SetBool(true)
		case reflect.Float64:
			f.SetFloat(1.5)
		case reflect.Int, reflect.Int64:
			f.SetInt(int64(i + 1))
		case reflect.Uint64:
			f.SetUint(uint64(i + 1))
		}
	}
	e.Kind = Arrive
	e.Data = []byte(`{"format":1}`)
	e.Suspects = []ident.Request{"r"}
	return e
}

func TestEachFieldRoundTrips(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	rec, err := NewRecorder(&b, 1<<20, Header{Node: "entry-1", Role: "entry"})
	c.Assert(err, qt.IsNil)
	rec.Record(filledEvent())
	c.Assert(rec.Close(), qt.IsNil)
	got, err := Read(&b)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Header, qt.Equals, Header{Format: Format, Program: Program, Node: "entry-1", Role: "entry"})
	c.Assert(got.Events, qt.DeepEquals, []Event{filledEvent()})
}

func TestLimitEndsTheTrace(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	rec, err := NewRecorder(&b, 500, Header{Node: "entry-1"})
	c.Assert(err, qt.IsNil)
	for range 100 {
		rec.Record(Event{At: 1, Kind: Announce, Service: "notice-model", Version: 7})
	}
	c.Assert(rec.Close(), qt.IsNil)
	rec.Record(Event{At: 2, Kind: Announce})
	c.Assert(b.Len() < 600, qt.IsTrue, qt.Commentf("%d bytes", b.Len()))
	got, err := Read(&b)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Events[len(got.Events)-1].Kind, qt.Equals, LimitReached)
}

func TestReadInvalid(t *testing.T) {
	const header = `{"trace-format":1,"program":"jujuberamp","node":"e","role":"entry"}` + "\n"
	tests := map[string]struct{ text, want string }{
		"empty input":    {"", "line 1: there is no header"},
		"no header":      {"{}\n", "line 1: this is no header"},
		"newer format":   {`{"trace-format":2}` + "\n", "format 2 is newer than 1"},
		"unknown event":  {header + `{"at-ms":1,"event":"dance"}` + "\n", `line 2: event "dance" is not known`},
		"unknown field":  {header + `{"at-ms":1,"event":"stop","prompt":"x"}` + "\n", `line 2: json: unknown field "prompt"`},
		"truncated line": {header + `{"at-ms":1,"eve`, "line 2: unexpected EOF"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Read(strings.NewReader(tc.text))
			c.Assert(err, qt.ErrorMatches, "(?s).*"+tc.want+".*")
			c.Assert(fault.Is(err, fault.BadTrace), qt.IsTrue)
		})
	}
}

func TestNilRecorderDropsEvents(t *testing.T) {
	c := qt.New(t)
	var rec *Recorder
	rec.Record(Event{Kind: Stop})
	c.Assert(rec.NextWorkID(), qt.Equals, uint64(0))
	c.Assert(rec.Close(), qt.IsNil)
}
