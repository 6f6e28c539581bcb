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
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, ErrTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
