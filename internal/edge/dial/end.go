package dial

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// writeState is what the writes to a connection reveal about its end.
//
// The kernel reports the error that ends a connection (a reset, a timeout) once, to the read or
// the write that comes first. If that is a write, later reads return the bytes that arrived before
// and then io.EOF, as at the orderly end of an answer without a length.
type writeState struct {
	mu  sync.Mutex // held during a write
	err error      // the error that ended the connection, if a write got it
}

// record records the result of a write. EPIPE is not the error that ended the connection: the
// kernel returns it if the peer had ended its direction before it reset the connection, or if
// another call has got the error.
func (s *writeState) record(err error) {
	var errno syscall.Errno
	if s.err == nil && errors.As(err, &errno) && errno != syscall.EPIPE {
		s.err = err
	}
}

// endOfRead returns io.EOF if the peer has ended its direction of the connection, and else the
// error that ended the connection.
func (s *writeState) endOfRead(c net.Conn) error {
	if !s.mu.TryLock() {
		// A write is in progress, which may take long or never end while the peer does not read.
		// Once both directions are over it fails.
		if !isOver(c) {
			return io.EOF
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if s.err != nil {
		return errors.WithMessage(s.err, "connection ended while a request was written")
	}
	return io.EOF
}

// isOver reports whether both directions of a connection are over.
func isOver(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	over := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd)}}
		n, pollErr := unix.Poll(fds, 0)
		for pollErr == unix.EINTR {
			n, pollErr = unix.Poll(fds, 0)
		}
		over = n > 0 && fds[0].Revents&unix.POLLHUP != 0
	})
	return over || err != nil // An error means that this side has closed the connection.
}
