// Package runs defines the HTTP protocol by which an agent executes one attempt
// at an item for an entry. The entry posts a [Run]; the agent answers with a
// stream of [Frame] values, at least one every [FrameInterval], and the last one
// has a [Code] other than [InProgress].
//
// An agent starts a run only if the job was open a short time ago. Each frame has
// the time of the agent's clock. An entry that receives a frame and after that reads
// the index to its end knows that the jobs that are still open then were open at that
// time, and says so in later runs. So neither an entry that was paused or no longer
// reads the index, nor a connection that delays a run, can start an item long after
// the end of its job.
//
// To cancel a run, the entry closes the connection. It keeps all events of the
// frames that it has read, so that another agent can resume after them.
//
// # Usage
//
//	w := runs.NewWriter(responseWriter)
//	err := w.Write(&runs.Frame{Code: runs.Done})
package runs

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/permit"
	"github.com/jujuberamp/jujuberamp/internal/inner/post"
)

// RunPath is the path of an agent to which runs are posted.
const RunPath = "/run"

// StatePath is the path at which an agent returns the state of its engine as one
// frame. The query names the model whose loaded version the frame has.
const StatePath = "/state"

// FrameInterval is the maximum time between two frames of a run. An agent that
// sends no frame for several times as long counts as unreachable.
const FrameInterval = 150 * clock.Milli

// Run is the request to execute one attempt at an item.
type Run struct {
	Job        string
	Item       string // ID that the engine echoes
	Instance   string // ID of the engine in the registry
	StartedAt  int64  // start of the engine's incarnation, 0 if not known; compare for equality only
	Model      string
	MinVersion int64
	OneModel   bool // all events must come from one version
	Host       string
	Path       string
	Header     http.Header
	Body       []byte
	Workspace  ident.Workspace // of the job, empty for none
	After      int             // number of events already received, after which to resume
	Version    int64           // weight version of the last of these events
	OpenAt     permit.Stamp    // the job was open at this time or later, by the clock of the agent
	// MaxTokens and MaxTextBytes bound the output, 0 for no limit; see package output. The
	// agent ends an answer beyond them: frames of all that an engine in trouble may send
	// would be too large for the connection and for the memory of both sides.
	MaxTokens    int
	MaxTextBytes int
}

// The codecs are made when the program starts: processes of one build then have the same
// definitions.
var (
	posted = newCodec[Run]()
	frames = newCodec[Frame]()
)

// EncodeRun returns the body of the request for a run.
func EncodeRun(r *Run) ([]byte, error) {
	b, err := posted.encode(r, true)
	return b, errors.Wrap(err, "run")
}

// DecodeRun reads the body of the request for a run, of at most maxBytes; see [post.Decode].
func DecodeRun(body io.Reader, maxBytes int64) (*Run, error) {
	if err := post.CheckParts(body, maxBytes); err != nil {
		return nil, errors.Wrap(err, "run")
	}
	r := Run{Header: make(http.Header)} // gob makes room for the entries that a nil map announces.
	if err := posted.stream(io.LimitReader(body, maxBytes)).next(&r); err != nil {
		return nil, errors.Wrap(err, "run")
	}
	return &r, nil
}

// Event is one event of the output, with the weight version that generated it.
type Event struct {
	Version int64
	Data    []byte
}

// Code is the state of a run, or how it ended.
type Code string

// The codes of runs. Those from Full to Unproven don't count as failed attempts:
// the item waits for an engine again and keeps the events received so far.
const (
	InProgress    Code = ""         // more frames follow
	Full          Code = "full"     // the engine has no free slot or accepts no runs now; not executed
	StaleWeights  Code = "old"      // the weights are older than allowed; not executed, or stopped at the first such event
	WrongInstance Code = "moved"    // another engine has the address; not executed
	Leaving       Code = "leaving"  // the agent is shutting down, or the engine leaves; not executed
	Unproven      Code = "unproven" // the job may have ended; not executed
	Done          Code = "done"     // the output is complete
	Broken        Code = "broken"   // the output is truncated: a disconnect or timeout of the engine
	Faulty        Code = "faulty"   // the engine's answer contains what is no event of the item
	MixedVersions Code = "mixed"    // the version changed, but a single version is required
	Failed        Code = "failed"   // the engine answered with status 500
	Rejected      Code = "rejected" // the engine can never execute the item
)

// Frame is one part of the answer: new events, and the state of the run and of
// the engine.
type Frame struct {
	Now     permit.Stamp // when the agent made the frame
	Events  []Event
	Code    Code
	Detail  string
	Running int          // runs in progress on the engine
	Slots   int          // slots of the engine
	Version int64        // loaded version of the run's model
	Pace    float64      // recent event interval of the engine's streams in ms, 0 if not known
	Usual   float64      // event interval of the engine's streams while nothing slows it down, in ms, 0 if not known
	Hiccup  bool         // the engine is in a transient slowdown, or loads a version
	Steady  bool         // the engine's streams show that it is in no transient slowdown
	Since   clock.Millis // time since the run's last event, or since its start
	Loading bool         // the engine loads a version and accepts no runs
	// StartInterval is the time between two runs that the engine's rate limit allows, 0
	// if there is no limit. StartIn is the time until the next one may start.
	StartInterval clock.Millis
	StartIn       clock.Millis
	// EngineLeaving is set if the incarnation of the engine that started at EngineStartedAt
	// has stated that it leaves. It accepts no runs, and completes those in progress.
	EngineLeaving   bool
	EngineStartedAt int64
}

// Writer writes frames to an HTTP response. It flushes each of them but the last one, which
// is sent with the end of the response when the handler returns: an entry that reads both
// at once can use the connection again.
type Writer struct {
	out   io.Writer
	begun bool
	flush func() error
}

// NewWriter returns a writer of frames.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{out: w, flush: http.NewResponseController(w).Flush}
}

// Write sends a frame. One whose code is not [InProgress] is the last.
func (w *Writer) Write(f *Frame) error {
	b, err := frames.encode(f, !w.begun)
	if err != nil {
		return errors.Wrap(err, "frame")
	}
	w.begun = true
	if _, err := w.out.Write(b); err != nil {
		return errors.Wrap(err, "frame")
	}
	if f.Code != InProgress {
		return nil
	}
	return errors.Wrap(w.flush(), "frame")
}

// WriteState writes the state of an engine as the whole response.
func WriteState(w http.ResponseWriter, f *Frame) error {
	b, err := frames.encode(f, true)
	if err == nil {
		_, err = w.Write(b)
	}
	return errors.Wrap(err, "state")
}

// Reader reads frames.
type Reader struct{ in *stream[Frame] }

// NewReader returns a reader of the frames in a response body.
func NewReader(r io.Reader) *Reader { return &Reader{in: frames.stream(r)} }

// Read returns the next frame.
func (r *Reader) Read() (*Frame, error) {
	var f Frame
	if err := r.in.next(&f); err != nil {
		return nil, errors.Wrap(err, "frame")
	}
	return &f, nil
}

// FetchState returns the state of an agent's engine, as a frame, for a model.
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
