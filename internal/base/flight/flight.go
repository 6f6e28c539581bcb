// Package flight lets concurrent callers share runs of a function, such as a read of a
// log to its end, without getting the result of a run that began before their call.
//
// # Usage
//
//	f := flight.New()
//	err := f.Do(ctx, readToEnd)
package flight

import (
	"context"
	"sync"
)

// Flight runs one function at a time.
type Flight struct {
	running chan struct{} // has an element during a run

	mu        sync.Mutex
	started   uint64 // number of the latest run
	succeeded uint64 // number of the latest run that succeeded
}

// New returns a flight without a run.
func New() *Flight { return &Flight{running: make(chan struct{}, 1)} }

// Do returns nil once a run that began after the call has succeeded. If no other caller
// runs the function then, it runs it itself and returns its error.
func (f *Flight) Do(ctx context.Context, run func(context.Context) error) error {
	f.mu.Lock()
	before := f.started
	f.mu.Unlock()
	select {
	case f.running <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-f.running }()
	n, shared := f.begin(before)
	if shared {
		return nil
	}
	if err := run(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.succeeded = n
	return nil
}

// begin returns the number of the next run, or true if a later run than before has
// succeeded.
func (f *Flight) begin(before uint64) (n uint64, shared bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.succeeded > before {
		return 0, true
	}
	f.started++
	return f.started, false
}
