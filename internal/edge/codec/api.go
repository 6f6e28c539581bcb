package codec

import "github.com/jujuberamp/jujuberamp/internal/inner/record"

// Request is a request of a caller.
type Request struct {
	Class      string `json:"class"`
	Key        string `json:"key,omitempty"`        // idempotency key, a UUIDv7; required for actions
	FirstSend  bool   `json:"first-send,omitempty"` // whether the caller sends this key for the first time
	Body       string `json:"body"`
	Prefix     string `json:"prefix,omitempty"`
	Seed       int64  `json:"seed,omitempty"`
	MaxTokens  int    `json:"max-tokens,omitempty"`
	DeadlineMS int64  `json:"deadline-ms,omitempty"` // time left from now; 0 for the lateness target of the class
}

// Version announces a weight version of a model.
type Version struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// RoundSpec is the specification of a round, and the request that opens the round. The
// trainer keeps the specification until it has read all samples.
type RoundSpec struct {
	Round     string   `json:"round"`
	Class     string   `json:"class"`
	Version   uint64   `json:"version"` // requested weight version; samples may be older, up to the staleness bound
	Prompts   []string `json:"prompts"` // one for each group
	Samples   int      `json:"samples-per-group"`
	Seed      int64    `json:"seed"`
	MaxTokens int      `json:"max-tokens,omitempty"`
	Cursor    string   `json:"cursor,omitempty"` // identifies the samples that the trainer has already read
}

// ReadRequest requests finished samples of a round.
type ReadRequest struct {
	Round   string `json:"round"`
	Cursor  string `json:"cursor,omitempty"`
	Version uint64 `json:"version"`           // the version that the trainer has now
	Limit   int    `json:"limit,omitempty"`   // maximum number of samples
	WaitMS  int64  `json:"wait-ms,omitempty"` // how long to wait for the first sample
}

// Sample is one answer to a prompt of a round, with its score.
type Sample struct {
	Ordinal int      `json:"ordinal"` // index of the sample in the round
	Group   int      `json:"group"`   // index of the prompt
	Attempt string   `json:"attempt"` // attempt that produced the sample
	Node    string   `json:"node"`    // node that ran the attempt
	Tokens  []uint32 `json:"tokens"`
	Spans   []Span   `json:"versions"` // versions that produced the tokens
	Score   float64  `json:"score"`
	Refused string   `json:"refused,omitempty"` // why the sample can't be generated
}

// Page is the answer to a [ReadRequest].
type Page struct {
	Samples        []Sample `json:"samples"`
	Cursor         string   `json:"cursor"`
	CompleteGroups []int    `json:"complete-groups,omitempty"` // groups that this page completes
	RoundComplete  bool     `json:"whole"`                     // whether the trainer now has all samples of the round
}

// Round identifies a round.
type Round struct {
	Round string `json:"round"`
}

// Progress counts the samples of a round by state.
type Progress struct {
	Idle     int           `json:"idle"`
	Running  int           `json:"running"`
	Scoring  int           `json:"scoring"`
	Finished int           `json:"finished"` // not yet confirmed by the trainer's cursor
	Released int           `json:"released"` // confirmed by the trainer's cursor
	Remade   []ReasonCount `json:"remade"`   // samples that were generated again
}

// ReasonCount is the number of samples that were generated again for one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Edit sets or removes a class.
type Edit struct {
	Name    string           `json:"name"`
	Base    int64            `json:"base"`            // revision that the edit is based on; 0 for a new class
	Class   *record.ClassMsg `json:"class,omitempty"` // new value, unless Removed
	Removed bool             `json:"removed,omitempty"`
}

// Change is a change of the configuration by an operator.
type Change struct {
	Comment string `json:"comment,omitempty"`
	Edits   []Edit `json:"edits"`
}

// ChangeReply is the answer to a change that was accepted.
type ChangeReply struct {
	Revision int64 `json:"revision"`
}

// Class is a class in force.
type Class struct {
	Class    record.ClassMsg `json:"class"`
	Revision int64           `json:"revision"`
	Author   string          `json:"author"` // of that revision
}

// Config is the configuration in force on one entry.
type Config struct {
	Offset  int64            `json:"offset"`
	Classes []Class          `json:"classes"`
	Removed map[string]int64 `json:"removed,omitempty"` // by class, the revision that removed it
}

// AuditEntry is one entry of the audit trail.
type AuditEntry struct {
	Offset  int64       `json:"offset"`
	Author  string      `json:"author"`
	Date    string      `json:"date,omitempty"`
	Comment string      `json:"comment,omitempty"`
	Verdict string      `json:"verdict"`          // whether the change was accepted
	Winner  string      `json:"winner,omitempty"` // author of the revision in force, after a conflict
	Edits   []AuditEdit `json:"edits"`
}

// AuditEdit is one edit of a change in the audit trail.
type AuditEdit struct {
	Name string           `json:"name"`
	Base int64            `json:"base"`           // revision that the edit names as its base
	From *record.ClassMsg `json:"from,omitempty"` // previous value; nil for none
	To   *record.ClassMsg `json:"to,omitempty"`   // new value; nil for a removal
}

// EntryStatus is the deployment as one entry sees it.
type EntryStatus struct {
	Node          string       `json:"node"`
	Ready         bool         `json:"ready"`
	Offset        int64        `json:"offset"`            // of the configuration
	FreshMS       int64        `json:"fresh-ms-ago"`      // time since the configuration was known to be the newest, -1 for never
	PossiblyStale bool         `json:"unsure,omitempty"`  // a newer configuration may exist
	Outages       []string     `json:"outages,omitempty"` // what the entry can't reach or read, in words
	Leases        []Lease      `json:"leases,omitempty"`
	Nodes         []NodeStatus `json:"nodes"`
}

// Lease is the state of a lease according to the log records that an entry has read.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder,omitempty"` // empty for none
	Fence  int64  `json:"fence,omitempty"`  // fencing token
}

// Nodes lists all nodes that are known to any entry.
type Nodes struct {
	Nodes []NodeStatus `json:"nodes"`
}

// NodeStatus is one node as an entry sees it.
type NodeStatus struct {
	Node       string `json:"node"`
	Role       string `json:"role"`
	Zone       string `json:"zone"`
	Service    string `json:"service,omitempty"`
	Version    uint64 `json:"version,omitempty"`
	Offset     int64  `json:"offset"`       // of the node's configuration
	LastSeenMS int64  `json:"heard-ms-ago"` // -1 for an entry that did not answer
	Live       bool   `json:"live"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// QuarantinedRequest is one quarantined request.
type QuarantinedRequest struct {
	Request string   `json:"request"`
	Crashes []string `json:"crashes"` // node and incarnation of each crashed server
}

// LiftRequest requests that the quarantine of a request is lifted.
type LiftRequest struct {
	Request string `json:"request"`
}
