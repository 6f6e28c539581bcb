package front

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/lines"
	"github.com/jujuberamp/jujuberamp/internal/decide/hold"
	"github.com/jujuberamp/jujuberamp/internal/edge/listen"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// An event is held only as far as there is room for it. The room is free again when the
// event is sent.
func TestRoomForEvents(t *testing.T) {
	event := func(size int) string { return "id: 1\ndata: " + strings.Repeat("x", size) + "\n\n" }
	tests := map[string]struct {
		stream string
		want   error
	}{
		"small events":   {strings.Repeat(event(1000), 1000), nil},
		"large events":   {strings.Repeat(event(100<<10), 20), nil},
		"no room":        {event(600 << 10), errNoRoom},
		"too long":       {event(plat.MaxEventBytes), errNoRoom},
		"not terminated": {"id: 1\ndata: x", io.ErrUnexpectedEOF},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			errs := make(chan error, 1)
			s := listen.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := copyEvents(w, streamOf(strings.NewReader(test.stream)), listen.HeldFor(r.Context()), 0, true, func() {})
				errs <- err
			}), zerolog.Nop())
			s.SetBounds(hold.Bounds{Bytes: 512 << 10}, func(hold.Reason) {})
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer ln.Close()
			go func() { _ = s.Serve(ln) }() // It ends when the listener is closed.
			resp, err := http.Get("http://" + ln.Addr().String())
			c.Assert(err, qt.IsNil)
			_, _ = io.Copy(io.Discard, resp.Body) // The error of the stream is checked.
			resp.Body.Close()
			if err := <-errs; test.want == nil {
				c.Check(err, qt.IsNil)
			} else {
				c.Check(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			}
		})
	}
	t.Run("too long without bounds", func(t *testing.T) {
		_, err := copyEvents(nil, streamOf(strings.NewReader(event(plat.MaxEventBytes))), listen.Held{}, 0, true, func() {})
		qt.Check(t, errors.Is(err, lines.ErrTooLong), qt.IsTrue, qt.Commentf("%v", err))
	})
}
