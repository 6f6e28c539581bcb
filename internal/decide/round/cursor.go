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

// Cursor names the set of samples that a trainer holds.
type Cursor struct {
	round ident.Round
	held  []uint64 // bit per ordinal
}

// NewCursor returns the cursor of a reader that holds nothing.
func NewCursor(r ident.Round, samples int) Cursor {
	return Cursor{round: r, held: make([]uint64, (samples+63)/64)}
}

// Has reports whether the reader holds an ordinal.
func (c Cursor) Has(i int) bool { return c.held[i/64]&(1<<(i%64)) != 0 }

// With returns a cursor that also holds the given ordinals.
func (c Cursor) With(ordinals ...int) Cursor {
	out := Cursor{round: c.round, held: append([]uint64(nil), c.held...)}
	for _, i := range ordinals {
		out.held[i/64] |= 1 << (i % 64)
	}
	return out
}

// Encode returns the opaque text of the cursor, sealed with a key that all
// entries share.
func (c Cursor) Encode(key []byte) string {
	b := make([]byte, 0, len(c.held)*8+sha256.Size)
	for _, w := range c.held {
		b = binary.BigEndian.AppendUint64(b, w)
	}
	return base64.RawURLEncoding.EncodeToString(append(b, seal(key, c.round, b)...))
}

func seal(key []byte, r ident.Round, b []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte("cursor/" + string(r) + "/"))
	h.Write(b)
	return h.Sum(nil)
}

// DecodeCursor reads the text of a cursor of a round. An empty text is a
// reader that holds nothing; a forged one, or one of another round, is a fault
// of the kind [fault.BadCursor].
func DecodeCursor(key []byte, r ident.Round, samples int, text string) (Cursor, error) {
	c := NewCursor(r, samples)
	if text == "" {
		return c, nil
	}
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return c, fault.Wrap(fault.BadCursor, err, "cursor is not base64")
	}
	n := len(c.held) * 8
	if len(b) != n+sha256.Size || !hmac.Equal(b[n:], seal(key, r, b[:n])) {
		return c, fault.New(fault.BadCursor, "cursor is not one of round "+string(r))
	}
	for i := range c.held {
		c.held[i] = binary.BigEndian.Uint64(b[i*8:])
	}
	return c, nil
}

// Union returns a cursor that holds what either one holds.
func (c Cursor) Union(o Cursor) Cursor {
	out := Cursor{round: c.round, held: append([]uint64(nil), c.held...)}
	for i, w := range o.held {
		out.held[i] |= w
	}
	return out
}

// Count returns how many samples the reader holds.
func (c Cursor) Count() int {
	n := 0
	for _, w := range c.held {
		n += bits.OnesCount64(w)
	}
	return n
}
