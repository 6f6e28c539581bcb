package index

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDecodeSegment(t *testing.T) {
	tests := map[string]struct {
		value string
		want  Segment // nil for an error
	}{
		"empty":          {`{"releases":null}`, Segment{}},
		"streams":        {`{"releases":[{"service":"s","software":"v1","streams":"AAAAAAAAAAAAAAAAAAAAAAEAAAAAAAAAAAAAAAAAAAA="}]}`, Segment{{}: {"s", "v1"}, {1}: {"s", "v1"}}},
		"part of a key":  {`{"releases":[{"service":"s","software":"v1","streams":"AAAA"}]}`, nil},
		"not base64":     {`{"releases":[{"service":"s","software":"v1","streams":"%"}]}`, nil},
		"no JSON":        {"\xff", nil},
		"unknown fields": {`{"format":2}`, Segment{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, err := DecodeSegment([]byte(test.value))
			c.Check(err == nil, qt.Equals, test.want != nil)
			c.Check(s, qt.DeepEquals, test.want)
		})
	}
}
