// Package trace holds the events that the decisions of an entry or an agent
// saw, and writes and reads them as lines of JSON.
//
// A trace opens with a header that names the format, the program and the
// node. Each further line is one event. Prompts, answers and tokens never
// enter a trace: an event tells lengths, hashes and identities only.
//
// # Usage
//
//	rec := trace.NewRecorder(file, limit, trace.Header{Node: "entry-1"})
//	rec.Record(trace.Event{At: now, Kind: trace.Announce, Service: "notice-model", Version: 7})
//	err := rec.Close()
//
//	t, err := trace.Read(file)
//	for _, e := range t.Events { ... }
//
// A nil recorder takes events and drops them, so that its users need no
// condition. Times are instants of the process that wrote the trace.
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

// Header opens a trace.
type Header struct {
	Format  int
	Program string
	Node    ident.Node
	Role    string // entry, agent, or deployment for all entries together
}

// Kind tells what happened.
type Kind string

// The kinds of event, with the fields that each one sets beside At and Kind.
const (
	Start        Kind = "start"      // a node began: Node
	Stop         Kind = "stop"       // a node ended: Node
	Arrive       Kind = "arrive"     // work came: Work, Request, Class, Service, Prefix, Left, Round, Ordinal, Floor
	Grant        Kind = "grant"      // work was bound to a server: Item, Class, Node
	Refuse       Kind = "refuse"     // work was refused: Work or Item, Class, Fault
	Finish       Kind = "finish"     // work ended: Work, Class, Node, Tokens, Took, Fault
	Report       Kind = "report"     // an agent told its state: Node to First
	Crash        Kind = "crash"      // a backend server crashed: Node, Suspects
	RoundOpen    Kind = "round-open" // Round, Class, Version, Groups, Samples
	RoundRead    Kind = "round-read" // Round, Version, Samples handed over
	RoundEnd     Kind = "round-end"  // a trainer ended the round: Round
	Announce     Kind = "announce"   // new weights: Service, Version
	Swap         Kind = "swap"       // an order to load ended: Node, Service, Version, Fault
	Config       Kind = "config"     // a record of the configuration: Offset, Data
	Claim        Kind = "claim"      // a record of a stream of claims, without answers: Service, Offset, Data
	LimitReached Kind = "full"       // the limit was reached; nothing follows
)

// kinds lists what a reader accepts.
var kinds = map[Kind]bool{
	Start: true, Stop: true, Arrive: true, Grant: true, Refuse: true, Finish: true, Report: true, Crash: true,
	RoundOpen: true, RoundRead: true, RoundEnd: true, Announce: true, Swap: true, Config: true, Claim: true, LimitReached: true,
}

// Event is one event; a field that its kind does not name is zero.
type Event struct {
	At          clock.Millis
	Kind        Kind
	WorkID      uint64 // names one piece of work in the trace
	ItemID      uint64 // names one wait of a piece of work
	Class       ident.Class
	Service     ident.Service
	Request     ident.Request
	Prefix      string       // hash of the shared prefix
	TimeLeft    clock.Millis // to the deadline, 0 for none
	Round       ident.Round
	Ordinal     int
	MinVersion  ident.Version
	Groups      int
	Samples     int
	Tokens      int
	Took        clock.Millis // from the grant that led to the end
	Fault       fault.Kind   // empty for success
	Node        ident.Node
	Zone        ident.Zone
	Region      ident.Region
	Version     ident.Version
	Call        bool // a plain service
	Loading     bool
	Leaving     bool
	Running     int
	Slots       int
	Rate        float64 // tokens/s of one stream
	TimeToFirst clock.Millis
	Offset      ident.Offset
	Data        []byte // a record of the configuration, as read from the log
	Suspects    []ident.Request
}

// Trace is a whole trace.
type Trace struct {
	Header Header
	Events []Event
}
