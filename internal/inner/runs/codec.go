package runs

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"io"
	"sync"
)

// codec encodes and decodes values of a type as the first value of a gob stream, or one after
// it. Each stream begins with the definition of the type. Most of the work for a short stream
// is to send it and to make a decoder from it, so the codec keeps encoders that have sent it
// and decoders that have received it. It decodes any other stream, such as one of another
// build, by a decoder of its own.
type codec[T any] struct {
	definition []byte
	encoders   sync.Pool // of *encoder
	decoders   sync.Pool // of *decoder
}

// encoder is a gob encoder that has sent the definition.
type encoder struct {
	buf bytes.Buffer
	gob *gob.Encoder
}

// decoder is a gob decoder that has received the definition.
type decoder struct {
	source *source
	gob    *gob.Decoder
}

// source reads from the stream whose value is decoded. With ReadByte, a decoder reads no
// further than to the end of the value.
type source struct{ *bufio.Reader }

// newCodec returns the codec of a type that gob can encode.
func newCodec[T any]() *codec[T] {
	c := &codec[T]{}
	first := c.newEncoder()
	c.definition = bytes.Clone(first.buf.Bytes())
	first.buf.Reset()
	if err := first.gob.Encode(new(T)); err != nil {
		panic(err) // newEncoder has encoded the same.
	}
	c.definition = bytes.TrimSuffix(c.definition, first.buf.Bytes())
	return c
}

func (c *codec[T]) newEncoder() *encoder {
	e := &encoder{}
	e.gob = gob.NewEncoder(&e.buf)
	if err := e.gob.Encode(new(T)); err != nil {
		panic(err) // The type is one that gob can't encode.
	}
	return e
}

// encode returns the bytes of a value. The first of a stream comes after the definition.
func (c *codec[T]) encode(v *T, first bool) ([]byte, error) {
	e, ok := c.encoders.Get().(*encoder)
	if !ok {
		e = c.newEncoder()
	}
	e.buf.Reset()
	if first {
		e.buf.Write(c.definition)
	}
	if err := e.gob.Encode(v); err != nil {
		return nil, err
	}
	out := bytes.Clone(e.buf.Bytes())
	c.encoders.Put(e)
	return out, nil
}

func (c *codec[T]) newDecoder() (*decoder, error) {
	var zero bytes.Buffer
	if err := gob.NewEncoder(&zero).Encode(new(T)); err != nil {
		return nil, err
	}
	d := &decoder{source: &source{bufio.NewReader(&zero)}}
	d.gob = gob.NewDecoder(d.source)
	return d, d.gob.Decode(new(T))
}

// decode decodes the next value of a stream that began with the definition.
func (c *codec[T]) decode(r *bufio.Reader, v *T) error {
	d, ok := c.decoders.Get().(*decoder)
	if !ok {
		var err error
		if d, err = c.newDecoder(); err != nil {
			return err
		}
	}
	d.source.Reader = r
	if err := d.gob.Decode(v); err != nil {
		return err // The decoder may be in any state.
	}
	d.source.Reader = nil
	c.decoders.Put(d)
	return nil
}

// stream is a gob stream of values of one type.
type stream[T any] struct {
	codec *codec[T]
	in    *bufio.Reader
	begun bool
	own   *gob.Decoder // if the stream does not begin with the definition
}

func (c *codec[T]) stream(r io.Reader) *stream[T] {
	return &stream[T]{codec: c, in: bufio.NewReader(r)}
}

// next decodes the next value.
func (s *stream[T]) next(v *T) error {
	if !s.begun {
		s.begun = true
		if err := s.begin(); err != nil {
			return err
		}
	}
	if s.own != nil {
		return s.own.Decode(v)
	}
	return s.codec.decode(s.in, v)
}

// begin reads the definition. It reads no further than to the first difference, since a
// stream that differs may be shorter.
func (s *stream[T]) begin() error {
	for i, want := range s.codec.definition {
		b, err := s.in.ReadByte()
		if err == io.EOF && i > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if b != want {
			read := append(bytes.Clone(s.codec.definition[:i]), b)
			s.own = gob.NewDecoder(io.MultiReader(bytes.NewReader(read), s.in))
			return nil
		}
	}
	return nil
}
