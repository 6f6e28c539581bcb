// Package record defines the records that the service stores on the platform's
// log, and encodes and decodes them: each record is a JSON object with names in
// kebab case.
//
// # Usage
//
//	data, err := record.Encode(record.Record{Writer: w, Change: &ch})
//	r, err := record.Decode(data)
//
// The field "needs" of a record is the oldest format whose readers can apply it.
// A reader with an older format gets [ErrNewer] and must stop at the record: if
// it skipped a record that newer readers apply, their states would differ. For a
// record that can't be decoded the error is a different one, and all readers skip
// the record. All program versions must agree on which records are skipped, so
// decoding doesn't validate values: they are validated before a record is written.
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

// ErrNewer is returned for a record that needs a newer format than [Format].
var ErrNewer = errors.New("record needs a newer program version; update this node")

// ConfigStream is the name of the configuration's stream.
const ConfigStream = "config"

// Writer identifies a record by its writer and a sequence number. A second record
// with the same Writer is a repeated append, and readers ignore it.
type Writer struct {
	Node ident.Node
	Boot ident.Incarnation
	Seq  uint64
}

// Edit sets or removes one class.
type Edit struct {
	Name    ident.Class
	Base    ident.Offset // revision that the edit is based on, 0 if the class is new
	Class   class.Class  // the new value, unless Removed
	Removed bool
}

// Change is a set of edits that are applied all together or not at all.
type Change struct {
	Author  ident.Caller
	Date    string // by the clock of the writer, for display only
	Comment string
	Edits   []Edit
}

// ActiveClass is a class in force.
type ActiveClass struct {
	Class    class.Class
	Revision ident.Offset // offset of the change that set it
	Author   ident.Caller
}

// Snapshot is the configuration after all records up to the offset Covers.
type Snapshot struct {
	Covers  ident.Offset
	Classes []ActiveClass // classes in force
	Removed []Tombstone
	Writers []LastChange // last change of each writer
}

// LastChange is the last change of a writer and its offset. It lets readers of a
// snapshot recognize a repeated append.
type LastChange struct {
	Writer Writer
	Offset ident.Offset
}

// Tombstone names the change that removed a class.
type Tombstone struct {
	Name     ident.Class
	Revision ident.Offset
	Author   ident.Caller
}

// Record is one record of the configuration. Either Change or Snapshot is set.
type Record struct {
	Writer   Writer
	Change   *Change
	Snapshot *Snapshot
}

type recordMsg struct {
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
	Covers  int64            `json:"covers"`
	Entries []activeClassMsg `json:"entries"`
	Removed []tombstoneMsg   `json:"removed,omitempty"`
	Writers []writerMsg      `json:"writers,omitempty"`
}

type activeClassMsg struct {
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
	Node   string `json:"node"`
	Boot   uint64 `json:"boot,string"`
	Seq    uint64 `json:"seq"`
	Offset int64  `json:"at"`
}

// ClassMsg is the JSON form of a class. The operators' interface uses it too.
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

// FromClass converts a class to its JSON form.
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

// ToClass converts the JSON form of a class and validates the values.
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

// requiredFormat is the oldest format whose readers can apply the records that
// this program writes.
const requiredFormat = 1

// Encode encodes a record of the configuration.
func Encode(r Record) ([]byte, error) {
	m := recordMsg{Format: Format, Needs: requiredFormat, Node: string(r.Writer.Node), Boot: uint64(r.Writer.Boot), Seq: r.Writer.Seq}
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
	for _, e := range s.Classes {
		m.Entries = append(m.Entries, activeClassMsg{FromClass(e.Class), int64(e.Revision), string(e.Author)})
	}
	for _, t := range s.Removed {
		m.Removed = append(m.Removed, tombstoneMsg{string(t.Name), int64(t.Revision), string(t.Author)})
	}
	for _, w := range s.Writers {
		m.Writers = append(m.Writers, writerMsg{string(w.Writer.Node), uint64(w.Writer.Boot), w.Writer.Seq, int64(w.Offset)})
	}
	return m
}

// Decode decodes a record of the configuration.
func Decode(data []byte) (Record, error) {
	var m recordMsg
	if err := json.Unmarshal(data, &m); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	if m.Needs > Format {
		return Record{}, ErrNewer
	}
	if (m.Change == nil) == (m.Snapshot == nil) {
		return Record{}, errors.New("decode record: must have exactly one of change and snapshot")
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
			return nil, errors.Errorf("decode record: edit of class %s must either set or remove the class", em.Name)
		}
		if em.Class != nil {
			e.Class = class.NewUnchecked(toParams(*em.Class))
			if e.Class.Name() != e.Name {
				return nil, errors.Errorf("decode record: edit of class %s contains class %s", em.Name, em.Class.Name)
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
		s.Classes = append(s.Classes, ActiveClass{cl, ident.Offset(em.Revision), ident.Caller(em.Author)})
	}
	for _, t := range m.Removed {
		s.Removed = append(s.Removed, Tombstone{ident.Class(t.Name), ident.Offset(t.Revision), ident.Caller(t.Author)})
	}
	for _, w := range m.Writers {
		s.Writers = append(s.Writers, LastChange{Writer{ident.Node(w.Node), ident.Incarnation(w.Boot), w.Seq}, ident.Offset(w.Offset)})
	}
	return s
}
