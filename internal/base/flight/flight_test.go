package flight

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Callers during a run must share the next run, since the one in progress may not see
// what they ask for. If that run fails, another one is tried.
func TestDo(t *testing.T) {
	const duration = 100 * time.Millisecond
	tests := map[string]struct {
		failing  map[int]bool // runs that fail
		runs     int
		failures int // calls that fail
	}{
		"all succeed":            {nil, 2, 0},
		"run in progress fails":  {map[int]bool{1: true}, 2, 1},
		"run of a waiting fails": {map[int]bool{2: true}, 3, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := New()
				runs, failures := 0, 0
				var mu sync.Mutex
				var wg sync.WaitGroup
				call := func() {
					calledAt := time.Now()
					err := f.Do(t.Context(), func(context.Context) error {
						runs++ // One run at a time.
						failed := tc.failing[runs]
						time.Sleep(duration)
						if failed {
							return errors.New("failed")
						}
						return nil
					})
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						failures++
						return
					}
					c.Check(time.Since(calledAt) >= duration, qt.IsTrue)
				}
				wg.Go(call)
				time.Sleep(duration / 2)
				for range 20 {
					wg.Go(call)
				}
				wg.Wait()
				c.Check(runs, qt.Equals, tc.runs)
				c.Check(failures, qt.Equals, tc.failures)
			})
		})
	}
}

// A caller that gives up while another one runs the function must not wait for it.
func TestCanceledWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := New()
		go func() {
			_ = f.Do(t.Context(), func(context.Context) error { time.Sleep(time.Second); return nil }) // It always returns nil.
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		c.Check(f.Do(ctx, func(context.Context) error { return nil }), qt.Equals, context.DeadlineExceeded)
		time.Sleep(time.Second)
	})
}
