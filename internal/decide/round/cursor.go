package round

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"math/bits"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Cursor names the set of samples that a trainer holds, and which of them were
// refused.
type Cursor struct {
	held    bitset
	refused bitset
}

// bitset holds a bit per ordinal.
type bitset []uint64

const wordBits = 64

func newBitset(n int) bitset { return make(bitset, (n+wordBits-1)/wordBits) }

func (b bitset) has(i int) bool { return b[i/wordBits]&(1<<(i%wordBits)) != 0 }

func (b bitset) set(i int) { b[i/wordBits] |= 1 << (i % wordBits) }

func (b bitset) clone() bitset { return append(bitset(nil), b...) }

func (b bitset) append(out []byte) []byte {
	for _, w := range b {
		out = binary.BigEndian.AppendUint64(out, w)
	}
	return out
}

// NewCursor returns the cursor of a reader that holds nothing.
func NewCursor(samples int) Cursor {
	return Cursor{held: newBitset(samples), refused: newBitset(samples)}
}

// Has reports whether the reader holds an ordinal.
func (c Cursor) Has(i int) bool { return c.held.has(i) }

// IsRefused reports whether the reader holds the refusal of an ordinal.
func (c Cursor) IsRefused(i int) bool { return c.refused.has(i) }

// With returns a cursor that also holds the given samples.
func (c Cursor) With(ss ...Sample) Cursor {
	out := Cursor{held: c.held.clone(), refused: c.refused.clone()}
	for _, s := range ss {
		out.held.set(s.Ordinal)
		if s.Refused != "" {
			out.refused.set(s.Ordinal)
		}
	}
	return out
}

// Covers reports whether the cursor holds all that another one holds.
func (c Cursor) Covers(o Cursor) bool {
	for i, w := range o.held {
		if w&^c.held[i] != 0 {
			return false
		}
	}
	return true
}

// Count returns how many samples the reader holds.
func (c Cursor) Count() int {
	n := 0
	for _, w := range c.held {
		n += bits.OnesCount64(w)
	}
	return n
}

// CursorCodec seals the cursors of one round with a key that all entries share.
type CursorCodec struct {
	key     []byte
	round   ident.Round
	digest  string
	samples int
}

// NewCursorCodec returns the sealer of a round.
func NewCursorCodec(key []byte, s Spec) CursorCodec {
	return CursorCodec{key: key, round: s.ID, digest: s.Digest(), samples: s.Total()}
}

func (s CursorCodec) seal(b []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte("cursor/" + string(s.round) + "/" + s.digest + "/"))
	h.Write(b)
	return h.Sum(nil)
}

// Encode returns the opaque text of a cursor.
func (s CursorCodec) Encode(c Cursor) string {
	b := c.refused.append(c.held.append(nil))
	return base64.RawURLEncoding.EncodeToString(append(b, s.seal(b)...))
}

// Decode reads the text of a cursor. An empty text is a reader that holds
// nothing; a forged one, or one of another round or specification, is a fault
// of the kind [fault.BadCursor].
func (s CursorCodec) Decode(text string) (Cursor, error) {
	c := NewCursor(s.samples)
	if text == "" {
		return c, nil
	}
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return c, fault.Wrap(fault.BadCursor, err, "cursor is not base64")
	}
	const word = wordBits / 8
	n := len(c.held) * word
	if len(b) != 2*n+sha256.Size || !hmac.Equal(b[2*n:], s.seal(b[:2*n])) {
		return c, fault.New(fault.BadCursor, "cursor is not one of round "+string(s.round)+" with this specification")
	}
	for i := range c.held {
		c.held[i] = binary.BigEndian.Uint64(b[i*word:])
		c.refused[i] = binary.BigEndian.Uint64(b[n+i*word:])
	}
	return c, nil
}
