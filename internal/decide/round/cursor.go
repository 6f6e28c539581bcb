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

// Cursor is the set of ordinals that a trainer has received, as a sample or as
// the refusal of one.
type Cursor struct {
	received bitset // includes the refused ordinals
	refused  bitset
}

// bitset holds one bit per ordinal.
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

// NewCursor returns the cursor of a reader that has received no samples.
func NewCursor(samples int) Cursor {
	return Cursor{received: newBitset(samples), refused: newBitset(samples)}
}

// Has reports whether the reader has received an ordinal.
func (c Cursor) Has(i int) bool { return c.received.has(i) }

// IsRefused reports whether the reader has received the refusal of an ordinal.
func (c Cursor) IsRefused(i int) bool { return c.refused.has(i) }

// With returns a copy of the cursor with the given samples added.
func (c Cursor) With(ss ...Sample) Cursor {
	out := Cursor{received: c.received.clone(), refused: c.refused.clone()}
	for _, s := range ss {
		out.received.set(s.Ordinal)
		if s.Refused != "" {
			out.refused.set(s.Ordinal)
		}
	}
	return out
}

// Covers reports whether the cursor has all ordinals of another cursor.
func (c Cursor) Covers(o Cursor) bool {
	for i, w := range o.received {
		if w&^c.received[i] != 0 {
			return false
		}
	}
	return true
}

// Count returns how many ordinals the reader has received.
func (c Cursor) Count() int {
	n := 0
	for _, w := range c.received {
		n += bits.OnesCount64(w)
	}
	return n
}

// CursorCodec encodes the cursors of one round and authenticates them with a
// key that all entries share.
type CursorCodec struct {
	key     []byte
	round   ident.Round
	digest  string
	samples int
}

// NewCursorCodec returns the codec for the cursors of a round.
func NewCursorCodec(key []byte, s Spec) CursorCodec {
	return CursorCodec{key: key, round: s.ID, digest: s.Digest(), samples: s.Total()}
}

func (codec CursorCodec) mac(b []byte) []byte {
	h := hmac.New(sha256.New, codec.key)
	h.Write([]byte("cursor/" + string(codec.round) + "/" + codec.digest + "/"))
	h.Write(b)
	return h.Sum(nil)
}

// Encode returns a cursor as an opaque string.
func (codec CursorCodec) Encode(c Cursor) string {
	b := c.refused.append(c.received.append(nil))
	return base64.RawURLEncoding.EncodeToString(append(b, codec.mac(b)...))
}

// Decode decodes a cursor. The empty string is the cursor of a reader that has
// received no samples. For a cursor that is forged, or belongs to another round
// or specification, it returns a fault of the kind [fault.BadCursor].
func (codec CursorCodec) Decode(text string) (Cursor, error) {
	c := NewCursor(codec.samples)
	if text == "" {
		return c, nil
	}
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return c, fault.Wrap(fault.BadCursor, err, "cursor is not base64")
	}
	const wordBytes = wordBits / 8
	n := len(c.received) * wordBytes
	if len(b) != 2*n+sha256.Size || !hmac.Equal(b[2*n:], codec.mac(b[:2*n])) {
		return c, fault.New(fault.BadCursor, "cursor is not one of round "+string(codec.round)+" with this specification")
	}
	for i := range c.received {
		c.received[i] = binary.BigEndian.Uint64(b[i*wordBytes:])
		c.refused[i] = binary.BigEndian.Uint64(b[n+i*wordBytes:])
	}
	return c, nil
}
