// Package trace records the events that an entry or an agent bases its decisions
// on. It writes and reads them as lines of JSON.
//
// The first line of a trace is a header with the format, the program and the
// node. Each further line is one event. A trace never contains prompts, answers
// or tokens: an event has only lengths, hashes, identifiers and records of the
// log, which are stored without answers.
//
// # Usage
//
//	rec, err := trace.NewRecorder(file, limit, trace.Header{Node: "entry-1"})
//	rec.Record(trace.Event{At: now, Kind: trace.Announce, Service: "notice-model", Version: 7})
//	err = rec.Close()
//
//	t, err := trace.Read(file)
//	for _, e := range t.Events { ... }
//
// A nil recorder discards all events, so that callers don't need to check for
// nil. Times are those of the clock of the process that wrote the trace.
package trace

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Format is the newest format that this program writes and reads.
const Format = 1

// Program names the program in the header of a trace.
const Program = "jujuberamp"

// Header is the first line of a trace.
type Header struct {
	Format  int
	Program string
	Node    ident.Node
	Role    string // entry, agent, or deployment for a trace of all entries
}

// Kind is the kind of an event.
type Kind string

// The kinds of events, with the fields that are set in addition to At and Kind.
// Node is the server in the kinds that list it. In others it is the recording
// node, or empty. Agents set no WorkID.
const (
	Start        Kind = "start"      // a node started
	Stop         Kind = "stop"       // a node stopped
	Arrive       Kind = "arrive"     // work arrived: WorkID, Request, Class, Service, Prefix, TimeLeft, Round, Ordinal, MinVersion
	Grant        Kind = "grant"      // an item was assigned to a server: ItemID, Node
	Refuse       Kind = "refuse"     // work was refused: the fields of Finish (entry) or of Arrive and Fault (agent)
	Finish       Kind = "finish"     // work ended: WorkID, Class, Node, Tokens, Took, Fault
	Report       Kind = "report"     // an agent reported its state: Service and the fields from Node to TimeToFirst
	Crash        Kind = "crash"      // a backend server crashed: Node, Suspects
	RoundOpen    Kind = "round-open" // a round was opened: Round, Class, Service, Version, Groups, Samples (per group)
	RoundRead    Kind = "round-read" // a trainer read from a round: Round, Version, Samples (number returned)
	RoundEnd     Kind = "round-end"  // a trainer ended a round: Round
	Announce     Kind = "announce"   // new weights were announced: Service, Version
	Swap         Kind = "swap"       // a load order ended: Node, Service, Version, Fault, Offset (fencing token, agent only)
	Config       Kind = "config"     // a record of the configuration was read: Offset, Data
	Claim        Kind = "claim"      // a record of a stream of claims was read: Service (the stream), Offset, Data (without the answer)
	LimitReached Kind = "full"       // the size limit was reached; this is the last event
)

// knownKinds are the kinds that [Read] accepts.
var knownKinds = map[Kind]bool{
	Start: true, Stop: true, Arrive: true, Grant: true, Refuse: true, Finish: true, Report: true, Crash: true,
	RoundOpen: true, RoundRead: true, RoundEnd: true, Announce: true, Swap: true, Config: true, Claim: true, LimitReached: true,
}

// Event is one event. Fields that its kind doesn't use are zero.
type Event struct {
	At               clock.Millis
	Kind             Kind
	WorkID           uint64 // identifies a piece of work in the trace
	ItemID           uint64 // identifies an item in the queue; a piece of work has one each time it is queued
	Class            ident.Class
	Service          ident.Service
	Request          ident.Request
	Prefix           string       // hash of the shared prefix
	TimeLeft         clock.Millis // until the deadline, 0 for no deadline
	Round            ident.Round
	Ordinal          int
	MinVersion       ident.Version
	Groups           int
	Samples          int
	Tokens           int
	Took             clock.Millis // time from the arrival to the end of the work
	Fault            fault.Kind   // empty for success
	Node             ident.Node
	Zone             ident.Zone
	Region           ident.Region
	Version          ident.Version
	Call             bool // the server is a plain service, not an engine
	Loading          bool
	Leaving          bool
	Running          int
	Slots            int
	Rate             float64 // tokens/s of one stream
	TimeToFirstToken clock.Millis
	Offset           ident.Offset
	Data             []byte // a record of the log
	Suspects         []ident.Request
}

// Trace is a decoded trace.
type Trace struct {
	Header Header
	Events []Event
}
