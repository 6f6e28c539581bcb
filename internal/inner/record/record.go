// Package record holds the records that the system keeps on the platform's
// log, and their codec: one JSON object a record, names in kebab case.
//
// # Usage
//
//	data, err := record.Encode(record.Record{Writer: w, Change: &ch})
//	r, err := record.Decode(data)
//
// A record of a newer program version decodes with the error [ErrNewer]; one
// that can't be read decodes with another error. All readers skip both in the
// same way.
package record

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Format is the newest format that this program writes and reads.
const Format = 1

// ErrNewer is returned for a record of a newer format.
var ErrNewer = errors.New("record: written by a newer program version")

// Stream is the stream of the configuration.
const Stream = "config"

// Writer tells who wrote a record; a repeat of the same writer is dropped.
type Writer struct {
	Node ident.Node
	Boot ident.Incarnation
	Seq  uint64
}

// Edit sets or removes one class.
type Edit struct {
	Name    ident.Class
	Base    ident.Offset // revision the operator saw, 0 for none
	Class   class.Class  // the new value, unless Removed
	Removed bool
}

// Change is a set of edits that hold together or not at all.
type Change struct {
	Author  ident.Caller
	Comment string
	Edits   []Edit
}

// Entry is a class that is in force.
type Entry struct {
	Class    class.Class
	Revision ident.Offset // offset of the change that set it
	Author   ident.Caller
}

// Snapshot is the configuration after all records up to an offset.
type Snapshot struct {
	Covers  ident.Offset
	Entries []Entry
	Removed []Tombstone
	Writers []Writer // highest number of each writer seen
}

// Tombstone remembers the change that removed a class.
type Tombstone struct {
	Name     ident.Class
	Revision ident.Offset
	Author   ident.Caller
}

// Record is one record; exactly one of its parts is set.
type Record struct {
	Writer   Writer
	Change   *Change
	Snapshot *Snapshot
}

type message struct {
	Format   int          `json:"format"`
	Node     string       `json:"node"`
	Boot     uint64       `json:"boot,string"`
	Seq      uint64       `json:"seq"`
	Change   *changeMsg   `json:"change,omitempty"`
	Snapshot *snapshotMsg `json:"snapshot,omitempty"`
}

type changeMsg struct {
	Author  string    `json:"author"`
	Comment string    `json:"comment,omitempty"`
	Edits   []editMsg `json:"edits"`
}

type editMsg struct {
	Name    string    `json:"name"`
	Base    int64     `json:"base"`
	Class   *ClassMsg `json:"class,omitempty"`
	Removed bool      `json:"removed,omitempty"`
}

type snapshotMsg struct {
	Covers  int64          `json:"covers"`
	Entries []entryMsg     `json:"entries"`
	Removed []tombstoneMsg `json:"removed,omitempty"`
	Writers []writerMsg    `json:"writers,omitempty"`
}

type entryMsg struct {
	Class    ClassMsg `json:"class"`
	Revision int64    `json:"revision"`
	Author   string   `json:"author"`
}

type tombstoneMsg struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Author   string `json:"author"`
}

type writerMsg struct {
	Node string `json:"node"`
	Boot uint64 `json:"boot,string"`
	Seq  uint64 `json:"seq"`
}

// ClassMsg is the JSON form of a class, also used towards operators.
type ClassMsg struct {
	Name       string `json:"name"`
	Kind       string `json:"kind"`
	Service    string `json:"service"`
	LatenessMS int64  `json:"lateness-ms"`
	WaitingMS  int64  `json:"waiting-ms"`
	Staleness  uint64 `json:"staleness-versions,omitempty"`
	Scorer     string `json:"scorer,omitempty"`
	MaxTokens  int    `json:"max-tokens,omitempty"`
}

// FromClass maps a class to its JSON form.
func FromClass(c class.Class) ClassMsg {
	return ClassMsg{
		Name:       string(c.Name()),
		Kind:       string(c.Kind()),
		Service:    string(c.Service()),
		LatenessMS: int64(c.Lateness()),
		WaitingMS:  int64(c.Waiting()),
		Staleness:  uint64(c.Staleness()),
		Scorer:     string(c.Scorer()),
		MaxTokens:  c.MaxTokens(),
	}
}

// ToClass maps and checks the JSON form of a class.
func ToClass(m ClassMsg) (class.Class, error) {
	return class.New(class.Params{
		Name:      ident.Class(m.Name),
		Kind:      class.Kind(m.Kind),
		Service:   ident.Service(m.Service),
		Lateness:  clock.Millis(m.LatenessMS),
		Waiting:   clock.Millis(m.WaitingMS),
		Staleness: ident.Version(m.Staleness),
		Scorer:    ident.Service(m.Scorer),
		MaxTokens: m.MaxTokens,
	})
}

// Encode returns the bytes of a record.
func Encode(r Record) ([]byte, error) {
	m := message{Format: Format, Node: string(r.Writer.Node), Boot: uint64(r.Writer.Boot), Seq: r.Writer.Seq}
	if r.Change != nil {
		m.Change = fromChange(*r.Change)
	}
	if r.Snapshot != nil {
		m.Snapshot = fromSnapshot(*r.Snapshot)
	}
	b, err := json.Marshal(m)
	return b, errors.Wrap(err, "encode record")
}

func fromChange(c Change) *changeMsg {
	m := &changeMsg{Author: string(c.Author), Comment: c.Comment}
	for _, e := range c.Edits {
		em := editMsg{Name: string(e.Name), Base: int64(e.Base), Removed: e.Removed}
		if !e.Removed {
			cm := FromClass(e.Class)
			em.Class = &cm
		}
		m.Edits = append(m.Edits, em)
	}
	return m
}

func fromSnapshot(s Snapshot) *snapshotMsg {
	m := &snapshotMsg{Covers: int64(s.Covers)}
	for _, e := range s.Entries {
		m.Entries = append(m.Entries, entryMsg{FromClass(e.Class), int64(e.Revision), string(e.Author)})
	}
	for _, t := range s.Removed {
		m.Removed = append(m.Removed, tombstoneMsg{string(t.Name), int64(t.Revision), string(t.Author)})
	}
	for _, w := range s.Writers {
		m.Writers = append(m.Writers, writerMsg{string(w.Node), uint64(w.Boot), w.Seq})
	}
	return m
}

// Decode reads a record.
func Decode(data []byte) (Record, error) {
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	if m.Format > Format {
		return Record{}, ErrNewer
	}
	if (m.Change == nil) == (m.Snapshot == nil) {
		return Record{}, errors.New("decode record: must hold exactly one of change and snapshot")
	}
	r := Record{Writer: Writer{ident.Node(m.Node), ident.Incarnation(m.Boot), m.Seq}}
	var err error
	if m.Change != nil {
		r.Change, err = toChange(*m.Change)
	} else {
		r.Snapshot, err = toSnapshot(*m.Snapshot)
	}
	return r, err
}

func toChange(m changeMsg) (*Change, error) {
	c := &Change{Author: ident.Caller(m.Author), Comment: m.Comment}
	for _, em := range m.Edits {
		e := Edit{Name: ident.Class(em.Name), Base: ident.Offset(em.Base), Removed: em.Removed}
		if (em.Class == nil) != em.Removed {
			return nil, errors.Errorf("decode record: edit of %s must hold a class or remove it", em.Name)
		}
		if em.Class != nil {
			cl, err := ToClass(*em.Class)
			if err != nil {
				return nil, err
			}
			e.Class = cl
		}
		c.Edits = append(c.Edits, e)
	}
	return c, nil
}

func toSnapshot(m snapshotMsg) (*Snapshot, error) {
	s := &Snapshot{Covers: ident.Offset(m.Covers)}
	for _, em := range m.Entries {
		cl, err := ToClass(em.Class)
		if err != nil {
			return nil, err
		}
		s.Entries = append(s.Entries, Entry{cl, ident.Offset(em.Revision), ident.Caller(em.Author)})
	}
	for _, t := range m.Removed {
		s.Removed = append(s.Removed, Tombstone{ident.Class(t.Name), ident.Offset(t.Revision), ident.Caller(t.Author)})
	}
	for _, w := range m.Writers {
		s.Writers = append(s.Writers, Writer{ident.Node(w.Node), ident.Incarnation(w.Boot), w.Seq})
	}
	return s, nil
}
