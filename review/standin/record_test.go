//go:build review

package standin

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// recorder writes the record of a run: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	return &recorder{file: f, start: time.Now()}, nil
}

// printf writes a line with the time since the start of the run.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() error { return errors.Wrap(r.file.Close(), "record") }
