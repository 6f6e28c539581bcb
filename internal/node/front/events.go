package front

import (
	"bufio"
	"bytes"
	"io"
	"mime"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// eventsType is the media type of a stream of events.
const eventsType = "text/event-stream"

// vagueTypes are the media types of responses whose servers state none or leave it to a
// library.
var vagueTypes = []string{"", "text/plain", "application/octet-stream"}

// eventStarts are the first bytes of lines of a stream of events.
var eventStarts = [][]byte{[]byte("id:"), []byte("data:"), []byte("event:"), []byte("retry:"), []byte(":"), []byte("\n"), []byte("\r\n")}

// hasEvents reports whether a response is a stream of events: a success of that type, or one of
// a vague type that begins like a stream of events or has no byte.
func hasEvents(resp *plat.Response) bool {
	if resp.Status/100 != 2 {
		return false
	}
	mediaType := ""
	if header := resp.Header.Get("Content-Type"); header != "" {
		var err error
		if mediaType, _, err = mime.ParseMediaType(header); err != nil && mediaType == "" {
			return false
		}
	}
	return mediaType == eventsType || slices.Contains(vagueTypes, mediaType) && beginsWithEvent(resp)
}

// beginsWithEvent reports whether the body of a response begins like a stream of events, or ends
// or breaks before its first byte. It waits for that byte.
func beginsWithEvent(resp *plat.Response) bool {
	r := bufio.NewReader(resp.Body)
	resp.Body = readCloser{r, resp.Body}
	if _, err := r.Peek(1); err != nil {
		return true
	}
	start, _ := r.Peek(r.Buffered()) // Fails only beyond the buffer.
	return slices.ContainsFunc(eventStarts, func(s []byte) bool { return bytes.HasPrefix(start, s) })
}

// readCloser reads from a buffer and closes what is behind it.
type readCloser struct {
	io.Reader
	io.Closer
}
