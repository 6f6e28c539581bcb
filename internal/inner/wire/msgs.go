package wire

// Protocol is the version of the inner protocol. Peers with another one are
// refused.
const Protocol = 1

// Hello opens each call: it proves the key and tells the sender's protocol.
type Hello struct {
	Protocol int
	Node     string
	Boot     uint64 // incarnation of the sender
}

// Fault is a fault on the wire; an empty Kind is success.
type Fault struct {
	Kind   string
	Detail string
	After  int64 // ms to wait
}

// Claim names the log record that allows a call that may run at most once.
type Claim struct {
	Stream string
	Offset int64
	Key    string // caller and idempotency key, hashed
	Boot   uint64 // incarnation of the agent that may run it
}

// Sample names the place of an answer in a round.
type Sample struct {
	Round   string
	Spec    string // digest of the round's specification
	Ordinal int
	Floor   uint64 // oldest version that may make it
}

// Job is one attempt that an entry hands to an agent.
type Job struct {
	Attempt   string
	Request   string
	Class     string
	Service   string
	Call      bool // a call of a plain service, else a generation
	Once      bool // may run at most once; Claim is set
	Claim     Claim
	Sample    Sample // set for samples of a round
	Body      []byte
	Prefix    string
	Seed      int64
	MaxTokens int
	Resume    []uint32
	Spans     []Span // versions of the tokens in Resume
	Priority  int
	Short     bool  // may use a reserved slot
	Suspect   bool  // ran at a crash before
	Left      int64 // ms left to the deadline, 0 for none
}

// Span is a run of tokens made by one version in one attempt, [From, To).
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

// SubmitReply tells whether the job was admitted. A fault here proves that it
// was not run.
type SubmitReply struct {
	Fault Fault
}

// FetchArgs reads on in the answer of an attempt.
type FetchArgs struct {
	Hello   Hello
	Attempt string
	From    int   // tokens already read
	Wait    int64 // ms to wait for more
}

// FetchReply is a part of the answer. With Done and no fault the answer is
// whole.
type FetchReply struct {
	Fault  Fault
	Tokens []uint32
	Body   []byte
	Spans  []Span // versions of a sample's tokens up to the last one here
	Proven bool   // the versions are proven; set with Done
	Score  float64
	Done   bool
	Moves  bool // the agent is leaving; go on elsewhere from the tokens read
}

// CancelArgs ends an attempt.
type CancelArgs struct {
	Hello   Hello
	Attempt string
}

// Ack is an answer that holds only a fault.
type Ack struct {
	Fault Fault
}

// SettleArgs asks an agent what became of a claim. The agent tells the
// outcome, or records a refusal first and then says that it was not run.
type SettleArgs struct {
	Hello Hello
	Claim Claim
	Wait  int64 // ms to wait for a run in progress to end
}

// SettleReply is the outcome of a claim: "running", "done", "refused" or
// "unknown".
type SettleReply struct {
	Fault  Fault
	State  string
	Body   []byte
	Detail string // why the outcome is unknown
}

// OrderArgs tells an agent which version of a model to load.
type OrderArgs struct {
	Hello   Hello
	Model   string
	Version uint64
	Fence   int64 // of the placement plan; 0 for a swap within the plan in force
}

// HeldArgs asks for the samples of a round, or drops some: with Drop or All
// the answer lists nothing.
type HeldArgs struct {
	Hello Hello
	Round string
	Spec  string // digest of the specification; with All any
	Drop  []int  // ordinals that the trainer has; the agent forgets them
	All   bool   // drop the whole round
}

// HeldSample is one finished sample.
type HeldSample struct {
	Ordinal int
	Attempt string
	Tokens  []uint32
	Spans   []Span
}

// HeldRun is one sample that is still running.
type HeldRun struct {
	Ordinal int
	Attempt string
}

// HeldReply lists finished samples and those still running.
type HeldReply struct {
	Fault   Fault
	Samples []HeldSample
	Running []HeldRun
}

// Hosted is what a backend server offers.
type Hosted struct {
	Service string
	Call    bool
	Version uint64
	Loading bool
}

// ReportArgs is an agent's lease and load report to an entry.
type ReportArgs struct {
	Hello   Hello
	Addr    string
	Zone    string
	Region  string
	Seq     uint64
	Hosted  Hosted
	Running int
	Yours   int // of Running, work that the receiver gave
	Waiting int
	Slots   int
	Rate    float64 // tokens a second of one stream, measured by the agent
	First   int64   // ms to the first token, measured by the agent
	Leaving bool
	Config  int64    // configuration offset in force
	Ahead   Snapshot // set if the entry asked for it
	Crashes []Crash  // crashes of the backend server since the last report
	Going   []Dead   // shown as leaving by the agent's VM list
}

// Crash tells which requests ran when a backend server crashed.
type Crash struct {
	ID       string // names the crash on every entry
	Age      int64  // ms since it happened
	Requests []string
}

// ReportReply carries what the agent must learn.
type ReportReply struct {
	Fault    Fault
	Config   Snapshot // set if newer than the agent's
	Behind   bool     // the entry's configuration is older: the next report should carry the agent's
	Fresh    int64    // ms since the entry's configuration was known to be the newest, -1 for never
	Versions []Announced
	Fence    int64  // fencing number of the placement's lease, 0 if not known
	Going    []Dead // holds the agent if some VM list shows it as leaving
}

// Snapshot is a configuration with the log offset that it covers.
type Snapshot struct {
	Offset int64
	Data   []byte
}

// Announced is the newest version of a model.
type Announced struct {
	Model   string
	Version uint64
}

// PeerArgs is an entry's message to another entry.
type PeerArgs struct {
	Hello    Hello
	Addr     string
	Zone     string
	Region   string
	Leaving  bool
	Config   int64 // offset in force on the sender
	Versions []Announced
	Crashes  []Crash
	Lifted   []string // requests whose quarantine an operator lifted
	Dead     []Dead
	Going    []Dead   // shown as leaving
	Ahead    Snapshot // set in a second message if the first answer shows that the peer is behind
	Hosts    []string // services of the agents that the sender hears
}

// Dead is a node that does not answer, or that a VM list shows as leaving.
type Dead struct {
	Node string
	Age  int64 // ms since some node found it so by itself
}

// PeerReply is the answer to a peer.
type PeerReply struct {
	Fault    Fault
	Node     string
	Boot     uint64
	Leaving  bool
	Dead     []Dead
	Going    []Dead   // shown as leaving
	Offset   int64    // in force on the answering node
	Config   Snapshot // set if newer than the asking node's
	Fresh    int64    // ms since the configuration was known to be the newest, -1 for never
	Versions []Announced
	Crashes  []Crash
	Lifted   []string
	Hosts    []string // services of the agents that the answering node hears
}

// DemandArgs tells the holder of the placement lease what work an entry has.
type DemandArgs struct {
	Hello Hello
	Work  []Demand
}

// Demand is the work of one service.
type Demand struct {
	Service string
	Work    int // in progress and waiting
}

// ForwardArgs carries a call of a caller or trainer to the entry that owns it.
type ForwardArgs struct {
	Hello  Hello
	Caller string
	Path   string
	Body   []byte
	Wait   int64 // ms the sender waits
}

// ForwardReply is the owner's answer.
type ForwardReply struct {
	Fault Fault
	Body  []byte
}
