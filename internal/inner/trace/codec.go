package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

type headerMsg struct {
	Format  int    `json:"trace-format"`
	Program string `json:"program"`
	Node    string `json:"node"`
	Role    string `json:"role"`
}

type eventMsg struct {
	AtMS          int64           `json:"at-ms"`
	Kind          string          `json:"event"`
	WorkID        uint64          `json:"work,omitempty"`
	ItemID        uint64          `json:"item,omitempty"`
	Class         string          `json:"class,omitempty"`
	Service       string          `json:"service,omitempty"`
	Request       string          `json:"request,omitempty"`
	Prefix        string          `json:"prefix-hash,omitempty"`
	TimeLeftMS    int64           `json:"left-ms,omitempty"`
	Round         string          `json:"round,omitempty"`
	Ordinal       int             `json:"ordinal,omitempty"`
	MinVersion    uint64          `json:"floor-version,omitempty"`
	Groups        int             `json:"groups,omitempty"`
	Samples       int             `json:"samples,omitempty"`
	Tokens        int             `json:"tokens,omitempty"`
	TookMS        int64           `json:"took-ms,omitempty"`
	Fault         string          `json:"fault,omitempty"`
	Node          string          `json:"node,omitempty"`
	Zone          string          `json:"zone,omitempty"`
	Region        string          `json:"region,omitempty"`
	Version       uint64          `json:"version,omitempty"`
	Call          bool            `json:"call,omitempty"`
	Loading       bool            `json:"loading,omitempty"`
	Leaving       bool            `json:"leaving,omitempty"`
	Running       int             `json:"running,omitempty"`
	Slots         int             `json:"slots,omitempty"`
	Rate          float64         `json:"tokens-per-s,omitempty"`
	TimeToFirstMS int64           `json:"first-token-ms,omitempty"`
	Offset        int64           `json:"offset,omitempty"`
	Data          json.RawMessage `json:"record,omitempty"`
	Suspects      []string        `json:"suspects,omitempty"`
}

func encodeHeader(h Header) ([]byte, error) {
	return encodeLine(headerMsg{Format: Format, Program: Program, Node: string(h.Node), Role: h.Role})
}

func encodeEvent(e Event) ([]byte, error) {
	m := eventMsg{
		AtMS: int64(e.At), Kind: string(e.Kind), WorkID: e.WorkID, ItemID: e.ItemID, Class: string(e.Class),
		Service: string(e.Service), Request: string(e.Request), Prefix: e.Prefix, TimeLeftMS: int64(e.TimeLeft),
		Round: string(e.Round), Ordinal: e.Ordinal, MinVersion: uint64(e.MinVersion), Groups: e.Groups, Samples: e.Samples,
		Tokens: e.Tokens, TookMS: int64(e.Took), Fault: string(e.Fault), Node: string(e.Node), Zone: string(e.Zone),
		Region: string(e.Region), Version: uint64(e.Version), Call: e.Call, Loading: e.Loading, Leaving: e.Leaving,
		Running: e.Running, Slots: e.Slots, Rate: e.Rate, TimeToFirstMS: int64(e.TimeToFirstToken), Offset: int64(e.Offset),
	}
	if json.Valid(e.Data) { // A record that is not valid JSON is left out. Readers of the log skip it too.
		m.Data = e.Data
	}
	for _, r := range e.Suspects {
		m.Suspects = append(m.Suspects, string(r))
	}
	return encodeLine(m)
}

func encodeLine(m any) ([]byte, error) {
	b, err := json.Marshal(m)
	return append(b, '\n'), err
}

func toEvent(m eventMsg) Event {
	e := Event{
		At: clock.Millis(m.AtMS), Kind: Kind(m.Kind), WorkID: m.WorkID, ItemID: m.ItemID, Class: ident.Class(m.Class),
		Service: ident.Service(m.Service), Request: ident.Request(m.Request), Prefix: m.Prefix, TimeLeft: clock.Millis(m.TimeLeftMS),
		Round: ident.Round(m.Round), Ordinal: m.Ordinal, MinVersion: ident.Version(m.MinVersion), Groups: m.Groups, Samples: m.Samples,
		Tokens: m.Tokens, Took: clock.Millis(m.TookMS), Fault: fault.Kind(m.Fault), Node: ident.Node(m.Node), Zone: ident.Zone(m.Zone),
		Region: ident.Region(m.Region), Version: ident.Version(m.Version), Call: m.Call, Loading: m.Loading, Leaving: m.Leaving,
		Running: m.Running, Slots: m.Slots, Rate: m.Rate, TimeToFirstToken: clock.Millis(m.TimeToFirstMS), Offset: ident.Offset(m.Offset), Data: m.Data,
	}
	for _, r := range m.Suspects {
		e.Suspects = append(e.Suspects, ident.Request(r))
	}
	return e
}

// maxLineBytes is the maximum length of a line of a trace.
const maxLineBytes = 1 << 20

// Read reads a trace. Its errors have the kind [fault.BadTrace] and contain the
// line number.
func Read(r io.Reader) (Trace, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	if !sc.Scan() {
		return Trace{}, lineError(1, "there is no header")
	}
	h, err := readHeader(sc.Bytes())
	if err != nil {
		return Trace{}, err
	}
	t := Trace{Header: h}
	for n := 2; sc.Scan(); n++ {
		e, err := readEvent(sc.Bytes())
		if err != nil {
			return Trace{}, lineError(n, err.Error())
		}
		t.Events = append(t.Events, e)
	}
	if err := sc.Err(); err != nil {
		return Trace{}, lineError(len(t.Events)+2, err.Error())
	}
	return t, nil
}

func lineError(line int, detail string) error {
	return fault.New(fault.BadTrace, fmt.Sprintf("line %d: %s", line, detail))
}

func readHeader(b []byte) (Header, error) {
	var m headerMsg
	if err := json.Unmarshal(b, &m); err != nil || m.Format == 0 {
		return Header{}, lineError(1, "this is no header of a trace")
	}
	if m.Format > Format {
		return Header{}, lineError(1, fmt.Sprintf("format %d is newer than %d, the newest that this program reads", m.Format, Format))
	}
	return Header{Format: m.Format, Program: m.Program, Node: ident.Node(m.Node), Role: m.Role}, nil
}

func readEvent(b []byte) (Event, error) {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	var m eventMsg
	if err := dec.Decode(&m); err != nil {
		return Event{}, err
	}
	if !knownKinds[Kind(m.Kind)] {
		return Event{}, fmt.Errorf("event %q is not known", m.Kind)
	}
	return toEvent(m), nil
}
