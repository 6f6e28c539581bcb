// Package record holds the records that the system keeps on the platform's
// log, and their codec: one JSON object a record, names in kebab case.
//
// # Usage
//
//	data, err := record.Encode(record.Record{Writer: w, Change: &ch})
//	r, err := record.Decode(data)
//
// A record names the oldest format whose readers may pass it ("needs"). An
// older reader gets the error [ErrNewer] and must stop there, since skipping
// what newer ones apply would let them differ. A record that can't be read at
// all decodes with another error, and all readers skip it in the same way.
// So reading checks no values: these are checked before a record is written.
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

// ErrNewer is returned for a record that needs a newer format.
var ErrNewer = errors.New("record needs a newer program version; update this node")

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
	Date    string // by the writer's calendar; shown and never compared
	Comment string
	Edits   []Edit
}

// ActiveClass is a class that is in force.
type ActiveClass struct {
	Class    class.Class
	Revision ident.Offset // offset of the change that set it
	Author   ident.Caller
}

// Snapshot is the configuration after all records up to an offset.
type Snapshot struct {
	Covers  ident.Offset
	Entries []ActiveClass
	Removed []Tombstone
	Writers []Seen
}

// Seen is the last change of a writer.
type Seen struct {
	Writer Writer
	At     ident.Offset
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
	Needs    int          `json:"needs"`
	Node     string       `json:"node"`
	Boot     uint64       `json:"boot,string"`
	Seq      uint64       `json:"seq"`
	Change   *changeMsg   `json:"change,omitempty"`
	Snapshot *snapshotMsg `json:"snapshot,omitempty"`
}

type changeMsg struct {
	Author  string    `json:"author"`
	Date    string    `json:"date,omitempty"`
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
	At   int64  `json:"at"`
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
func ToClass(m ClassMsg) (class.Class, error) { return class.New(toParams(m)) }

func toParams(m ClassMsg) class.Params {
	return class.Params{
		Name:      ident.Class(m.Name),
		Kind:      class.Kind(m.Kind),
		Service:   ident.Service(m.Service),
		Lateness:  clock.Millis(m.LatenessMS),
		Waiting:   clock.Millis(m.WaitingMS),
		Staleness: ident.Version(m.Staleness),
		Scorer:    ident.Service(m.Scorer),
		MaxTokens: m.MaxTokens,
	}
}

// oldest is the oldest format that can read what this program writes.
const oldest = 1

// Encode returns the bytes of a record.
func Encode(r Record) ([]byte, error) {
	m := message{Format: Format, Needs: oldest, Node: string(r.Writer.Node), Boot: uint64(r.Writer.Boot), Seq: r.Writer.Seq}
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
	m := &changeMsg{Author: string(c.Author), Date: c.Date, Comment: c.Comment}
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
		m.Writers = append(m.Writers, writerMsg{string(w.Writer.Node), uint64(w.Writer.Boot), w.Writer.Seq, int64(w.At)})
	}
	return m
}

// Decode reads a record.
func Decode(data []byte) (Record, error) {
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	if m.Needs > Format {
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
		r.Snapshot = toSnapshot(*m.Snapshot)
	}
	return r, err
}

func toChange(m changeMsg) (*Change, error) {
	c := &Change{Author: ident.Caller(m.Author), Date: m.Date, Comment: m.Comment}
	for _, em := range m.Edits {
		e := Edit{Name: ident.Class(em.Name), Base: ident.Offset(em.Base), Removed: em.Removed}
		if (em.Class == nil) != em.Removed {
			return nil, errors.Errorf("decode record: edit of %s must hold a class or remove it", em.Name)
		}
		if em.Class != nil {
			e.Class = class.NewUnchecked(toParams(*em.Class))
			if e.Class.Name() != e.Name {
				return nil, errors.Errorf("decode record: edit of %s holds the class %s", em.Name, em.Class.Name)
			}
		}
		c.Edits = append(c.Edits, e)
	}
	return c, nil
}

func toSnapshot(m snapshotMsg) *Snapshot {
	s := &Snapshot{Covers: ident.Offset(m.Covers)}
	for _, em := range m.Entries {
		cl := class.NewUnchecked(toParams(em.Class))
		s.Entries = append(s.Entries, ActiveClass{cl, ident.Offset(em.Revision), ident.Caller(em.Author)})
	}
	for _, t := range m.Removed {
		s.Removed = append(s.Removed, Tombstone{ident.Class(t.Name), ident.Offset(t.Revision), ident.Caller(t.Author)})
	}
	for _, w := range m.Writers {
		s.Writers = append(s.Writers, Seen{Writer{ident.Node(w.Node), ident.Incarnation(w.Boot), w.Seq}, ident.Offset(w.At)})
	}
	return s
}
