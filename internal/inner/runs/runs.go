// Package runs is what an entry and an agent say to each other about one item:
// the entry posts a [Run], the agent answers with [Frame] values, one every
// [Every] or sooner, until one that ends the run.
//
// The entry ends a run early by closing the connection. It holds all events of
// the frames that it has read, so that another agent can go on after them.
//
// # Usage
//
//	w := runs.NewWriter(responseWriter)
//	err := w.Write(&runs.Frame{Code: runs.Done})
package runs

import (
	"context"
	"encoding/gob"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// RunPath is where an agent takes runs.
const RunPath = "/run"

// StatePath is where an agent tells its engine's state, as one frame, for the
// model that the query names.
const StatePath = "/state"

// FrameInterval is the longest span between two frames of a run; an agent that sends
// none for several of it is out of reach.
const FrameInterval = 150 * clock.Milli

// Run asks for one item.
type Run struct {
	Job        string
	Item       string // identity that the engine echoes
	Instance   string // of the engine, by the registry
	Model      string
	MinVersion int64
	OneModel   bool // all events must come from one version
	Host       string
	Path       string
	Header     http.Header
	Body       []byte
	After      int   // last event that is held already
	Version    int64 // of that event
}

// Event is one event of a text.
type Event struct {
	Version int64
	Data    []byte
}

// Code tells how a run goes.
type Code string

// The codes. Those before Done leave the item as it was.
const (
	InProgress    Code = ""         // more frames follow
	Full          Code = "full"     // no slot; nothing ran
	StaleWeights  Code = "old"      // the weights are older than allowed; nothing ran
	WrongInstance Code = "moved"    // another engine has the address; nothing ran
	Leaving       Code = "leaving"  // the agent stops; nothing ran
	Done          Code = "done"     // the text is whole
	Broken        Code = "broken"   // the engine broke off or fell silent
	MixedVersions Code = "mixed"    // the version changed where one is wanted
	Failed        Code = "failed"   // the engine answered with a failure
	Rejected      Code = "rejected" // the engine can never run the item
)

// Frame is one part of the answer.
type Frame struct {
	Events  []Event
	Code    Code
	Detail  string
	Running int          // runs at the engine
	Slots   int          // of the engine
	Version int64        // loaded, of the run's model
	Pace    float64      // ms between two events of one stream lately, 0 if not known
	Hiccup  bool         // the engine is slower than usual at this moment, or loads
	Steady  bool         // its streams show that it is not
	Since   clock.Millis // since the run's last event
	Loading bool         // the engine loads a version and takes no runs
}

// Writer writes frames to an answer as they come.
type Writer struct {
	enc   *gob.Encoder
	flush func() error
}

// NewWriter returns a writer of frames.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{enc: gob.NewEncoder(w), flush: http.NewResponseController(w).Flush}
}

// Write sends a frame.
func (w *Writer) Write(f *Frame) error {
	if err := w.enc.Encode(f); err != nil {
		return errors.Wrap(err, "frame")
	}
	return errors.Wrap(w.flush(), "frame")
}

// Reader reads frames.
type Reader struct{ dec *gob.Decoder }

// NewReader returns a reader of an answer's frames.
func NewReader(r io.Reader) *Reader { return &Reader{dec: gob.NewDecoder(r)} }

// Read returns the next frame.
func (r *Reader) Read() (*Frame, error) {
	var f Frame
	if err := r.dec.Decode(&f); err != nil {
		return nil, errors.Wrap(err, "frame")
	}
	return &f, nil
}

// FetchState reads an agent's frame for a model.
func FetchState(ctx context.Context, c *http.Client, addr, model string) (*Frame, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+StatePath+"?model="+url.QueryEscape(model), nil)
	if err != nil {
		return nil, errors.Wrap(err, "state")
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "state")
	}
	defer resp.Body.Close()
	return NewReader(resp.Body).Read()
}
