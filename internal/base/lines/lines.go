// Package lines reads lines of bounded length from peers that may send bytes
// without end.
//
// # Usage
//
//	line, err := lines.Read(r, 64<<10)
package lines

import (
	"bufio"

	"github.com/pkg/errors"
)

// ErrTooLong is returned for a line that is longer than the limit.
var ErrTooLong = errors.New("the line is too long")

// Read returns the next line with its line break, or the bytes before the end of the
// input with the error of the reader. It reads little more than limit bytes.
func Read(r *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	err := Each(r, limit, func(part []byte) error {
		line = append(line, part...)
		return nil
	})
	if errors.Is(err, ErrTooLong) {
		return nil, err
	}
	return line, err
}

// Each calls fn with the parts of the next line as they are read, for callers that have to
// make room first. It returns the first error of fn or of the reader. A part is valid until
// the next read.
func Each(r *bufio.Reader, limit int, fn func(part []byte) error) error {
	size := 0
	for {
		part, err := r.ReadSlice('\n')
		if size += len(part); size > limit {
			return ErrTooLong
		}
		if err := fn(part); err != nil {
			return err
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
