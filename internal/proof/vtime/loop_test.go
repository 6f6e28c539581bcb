package vtime

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

func TestLoopOrder(t *testing.T) {
	c := qt.New(t)
	l := NewLoop()
	var seen []string
	note := func(s string) func() { return func() { seen = append(seen, s) } }
	l.At(3*clock.Second, note("third"))
	l.At(2*clock.Second, note("first"))
	l.At(2*clock.Second, note("second"))
	l.At(0, note("past"))
	l.At(9*clock.Second, note("beyond the end"))
	l.Run(5 * clock.Second)
	c.Assert(seen, qt.DeepEquals, []string{"past", "first", "second", "third"})
	c.Assert(l.Now(), qt.Equals, 5*clock.Second)
}

func TestLoopEvery(t *testing.T) {
	c := qt.New(t)
	l := NewLoop()
	n := 0
	stop := l.Every(clock.Second, func() { n++ })
	l.At(3500, func() { stop() })
	l.Run(clock.Minute)
	c.Assert(n, qt.Equals, 3)
}
