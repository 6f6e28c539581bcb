package wire

// Protocol is the version of the inner protocol. Peers with another version are
// refused.
const Protocol = 1

// Hello is part of every call and identifies the sender and its protocol
// version. The key is proven by the handshake of the connection.
type Hello struct {
	Protocol int
	Node     string
	Boot     uint64 // incarnation of the sender
}

// Fault is the wire form of a fault. An empty Kind means success.
type Fault struct {
	Kind   string
	Detail string
	After  int64 // ms to wait before a retry
}

// Claim identifies the log record that permits a call that may run at most once.
type Claim struct {
	Stream string
	Offset int64
	Key    string // caller and idempotency key, hashed
	Boot   uint64 // incarnation of the agent that may run the call
}

// Sample identifies a sample of a round and its minimum version.
type Sample struct {
	Round   string
	Spec    string // digest of the round's specification
	Ordinal int
	Floor   uint64 // minimum version for generating the sample
}

// Job is one attempt that an entry sends to an agent.
type Job struct {
	Attempt   string
	Request   string
	Class     string
	Service   string
	Call      bool // a call of a plain service instead of a generation
	Once      bool // may run at most once, and Claim is set
	Claim     Claim
	Sample    Sample // set for samples of a round
	Body      []byte
	Prefix    string // identifies a prefix that prompts share, empty for none
	Seed      int64
	MaxTokens int
	Resume    []uint32 // tokens of an earlier attempt, to be continued
	Spans     []Span   // weight versions of the tokens in Resume
	Priority  int
	Short     bool  // may use a reserved slot
	Suspect   bool  // was running when a server crashed
	Left      int64 // ms until the deadline, 0 for no deadline
}

// Span is a range of tokens, [From, To), that one weight version generated in
// one attempt.
type Span struct {
	Version uint64
	Attempt string
	From    int
	To      int
}

// SubmitArgs asks an agent to start a job.
type SubmitArgs struct {
	Hello Hello
	Job   Job
}

// SubmitReply reports whether the job was admitted. If Fault is set, the job was
// certainly not executed.
type SubmitReply struct {
	Fault Fault
}

// FetchArgs asks for the next part of the answer of an attempt.
type FetchArgs struct {
	Hello   Hello
	Attempt string
	From    int   // number of tokens already read
	Wait    int64 // ms to wait for more tokens
}

// FetchReply is a part of the answer. The answer is complete if Done is set and
// there is no fault.
type FetchReply struct {
	Fault  Fault
	Tokens []uint32
	Body   []byte
	Spans  []Span  // versions of the tokens of a sample, up to the last token sent
	Proven bool    // the versions are proven; set together with Done
	Score  float64 // never set
	Done   bool
	Moves  bool // the agent is leaving; another engine can continue after the tokens read
}

// CancelArgs asks an agent to cancel an attempt.
type CancelArgs struct {
	Hello   Hello
	Attempt string
}

// Ack is an answer that contains only a fault.
type Ack struct {
	Fault Fault
}

// SettleArgs asks an agent for the outcome of a claim. If the claim has not
// reached the agent, the agent first records a refusal and then answers that the
// call was not executed.
type SettleArgs struct {
	Hello Hello
	Claim Claim
	Wait  int64 // ms to wait for the end of a call in progress
}

// SettleReply is the outcome of a claim. State is "running", "done", "refused"
// or "unknown".
type SettleReply struct {
	Fault  Fault
	State  string
	Body   []byte // the answer, if the call ran
	Detail string // why the outcome is unknown
}

// OrderArgs orders an agent to load a version of a model.
type OrderArgs struct {
	Hello   Hello
	Model   string
	Version uint64
	Fence   int64 // fencing token of the placement lease, 0 for a newer version of the hosted model
}

// HeldArgs asks an agent for the samples of a round that it has stored, or asks
// it to drop some. With Drop or All the answer lists no samples.
type HeldArgs struct {
	Hello Hello
	Round string
	Spec  string // digest of the specification, ignored with All
	Drop  []int  // ordinals that the trainer has received and the agent may drop
	All   bool   // drop the whole round
}

// HeldSample is a finished sample that an agent has stored.
type HeldSample struct {
	Ordinal int
	Attempt string
	Tokens  []uint32
	Spans   []Span
}

// HeldRun is a sample that an agent is still generating.
type HeldRun struct {
	Ordinal int
	Attempt string
}

// HeldReply lists the finished and the running samples of a round at one agent.
type HeldReply struct {
	Fault   Fault
	Samples []HeldSample
	Running []HeldRun
}

// Hosted is the service of a backend server and its state.
type Hosted struct {
	Service string
	Call    bool   // the server is a plain service, not an engine
	Version uint64 // loaded weight version
	Loading bool   // a load order is in progress
}

// ReportArgs is the periodic report of an agent to an entry: it renews the
// agent's lease and carries its load.
type ReportArgs struct {
	Hello   Hello
	Addr    string
	Zone    string
	Region  string
	Seq     uint64
	Hosted  Hosted
	Running int
	Yours   int // those of Running that the receiving entry submitted
	Waiting int
	Slots   int
	Rate    float64 // tokens per second of one stream, measured by the agent
	First   int64   // TTFT in ms, measured by the agent
	Leaving bool
	Config  int64    // offset of the configuration in force
	Ahead   Snapshot // the agent's configuration, set if the entry asked for it
	Crashes []Crash  // crashes of the backend server since the last report
	Going   []Dead   // nodes that the agent's VM list shows as leaving
}

// Crash lists the requests that were running when a backend server crashed.
type Crash struct {
	ID       string // the same on every entry
	Age      int64  // ms since it happened
	Requests []string
}

// ReportReply is the answer to a [ReportArgs], with the newest state that the
// entry has.
type ReportReply struct {
	Fault    Fault
	Config   Snapshot // set if newer than the agent's
	Behind   bool     // the entry's configuration is older; the next report should carry the agent's
	Fresh    int64    // ms since the entry's configuration was last confirmed as the newest, -1 for never
	Versions []Announced
	Fence    int64  // fencing token of the placement lease, 0 if unknown
	Going    []Dead // contains the agent if a VM list shows it as leaving
}

// Snapshot is the configuration after all log records up to Offset.
type Snapshot struct {
	Offset int64
	Data   []byte
}

// Announced is the newest announced version of a model.
type Announced struct {
	Model   string
	Version uint64
}

// PeerArgs is the gossip message of an entry to another entry.
type PeerArgs struct {
	Hello    Hello
	Addr     string
	Zone     string
	Region   string
	Leaving  bool
	Config   int64 // offset of the configuration in force on the sender
	Versions []Announced
	Crashes  []Crash
	Lifted   []string // requests that an operator released from quarantine
	Dead     []Dead
	Going    []Dead   // nodes shown as leaving
	Ahead    Snapshot // the sender's configuration, set in a second message if the receiver's is older
	Hosts    []string // services of the agents that report to the sender
}

// Dead is a node that doesn't answer, or that a VM list shows as leaving.
type Dead struct {
	Node string
	Age  int64 // ms since a node observed this itself, not from a report
}

// PeerReply is the answer to a [PeerArgs].
type PeerReply struct {
	Fault    Fault
	Node     string
	Boot     uint64
	Leaving  bool
	Dead     []Dead
	Going    []Dead   // nodes shown as leaving
	Offset   int64    // of the configuration in force on the answering entry
	Config   Snapshot // set if newer than that of the asking entry
	Fresh    int64    // ms since that configuration was last confirmed as the newest, -1 for never
	Versions []Announced
	Crashes  []Crash
	Lifted   []string
	Hosts    []string // services of the agents that report to the answering entry
}

// DemandArgs reports the work of an entry to the holder of the placement lease.
type DemandArgs struct {
	Hello Hello
	Work  []Demand
}

// Demand is the amount of work for one service.
type Demand struct {
	Service string
	Work    int // requests in progress and waiting
}

// ForwardArgs forwards a call of a caller or trainer to the entry that owns its
// key or round.
type ForwardArgs struct {
	Hello  Hello
	Caller string
	Path   string
	Body   []byte
	Wait   int64 // ms that the sender waits for the answer
}

// ForwardReply is the answer of the owner.
type ForwardReply struct {
	Fault Fault
	Body  []byte
}
