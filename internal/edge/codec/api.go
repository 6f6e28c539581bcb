package codec

import "github.com/jujuberamp/jujuberamp/internal/inner/record"

// Request is a caller's request.
type Request struct {
	Class      string `json:"class"`
	Key        string `json:"key,omitempty"`        // idempotency key, a UUIDv7; needed for actions
	FirstSend  bool   `json:"first-send,omitempty"` // the caller never sent this key before
	Body       string `json:"body"`
	Prefix     string `json:"prefix,omitempty"`
	Seed       int64  `json:"seed,omitempty"`
	MaxTokens  int    `json:"max-tokens,omitempty"`
	DeadlineMS int64  `json:"deadline-ms,omitempty"` // from now; 0 for the class's lateness target
}

// Version announces a version of a model.
type Version struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// Spec opens a round. The trainer keeps it until the round is whole.
type Spec struct {
	Round     string   `json:"round"`
	Class     string   `json:"class"`
	Version   uint64   `json:"version"`
	Prompts   []string `json:"prompts"`
	Samples   int      `json:"samples-per-group"`
	Seed      int64    `json:"seed"`
	MaxTokens int      `json:"max-tokens,omitempty"`
	Cursor    string   `json:"cursor,omitempty"` // what the trainer holds already
}

// ReadRequest asks for finished samples of a round.
type ReadRequest struct {
	Round   string `json:"round"`
	Cursor  string `json:"cursor,omitempty"`
	Version uint64 `json:"version"` // the trainer's present version
	Limit   int    `json:"limit,omitempty"`
	WaitMS  int64  `json:"wait-ms,omitempty"`
}

// Sample is one sample of a round.
type Sample struct {
	Ordinal int      `json:"ordinal"`
	Group   int      `json:"group"`
	Attempt string   `json:"attempt"`
	Node    string   `json:"node"`
	Tokens  []uint32 `json:"tokens"`
	Spans   []Span   `json:"versions"`
	Score   float64  `json:"score"`
	Refused string   `json:"refused,omitempty"` // why it can't be made
}

// Page is the answer to a read.
type Page struct {
	Samples  []Sample `json:"samples"`
	Cursor   string   `json:"cursor"`
	Complete []int    `json:"complete-groups,omitempty"` // with this page
	Whole    bool     `json:"whole"`
}

// Round names a round.
type Round struct {
	Round string `json:"round"`
}

// Progress is how far a round has come.
type Progress struct {
	Idle     int           `json:"idle"`
	Running  int           `json:"running"`
	Scoring  int           `json:"scoring"`
	Finished int           `json:"finished"`
	Released int           `json:"released"` // held by the trainer
	Remade   []ReasonCount `json:"remade"`
}

// ReasonCount counts the samples made anew for one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Edit sets or removes a class.
type Edit struct {
	Name    string           `json:"name"`
	Base    int64            `json:"base"`
	Class   *record.ClassMsg `json:"class,omitempty"`
	Removed bool             `json:"removed,omitempty"`
}

// Change is an operator's change.
type Change struct {
	Comment string `json:"comment,omitempty"`
	Edits   []Edit `json:"edits"`
}

// ChangeReply is the answer to an accepted change.
type ChangeReply struct {
	Revision int64 `json:"revision"`
}

// Class is a class in force.
type Class struct {
	Class    record.ClassMsg `json:"class"`
	Revision int64           `json:"revision"`
	Author   string          `json:"author"`
}

// Config is the configuration in force on one entry.
type Config struct {
	Offset  int64            `json:"offset"`
	Classes []Class          `json:"classes"`
	Removed map[string]int64 `json:"removed,omitempty"` // revisions at which classes were removed
}

// AuditEntry is one line of the trail of changes.
type AuditEntry struct {
	Offset  int64       `json:"offset"`
	Author  string      `json:"author"`
	Date    string      `json:"date,omitempty"`
	Comment string      `json:"comment,omitempty"`
	Verdict string      `json:"verdict"`
	Winner  string      `json:"winner,omitempty"` // who won, after a conflict
	Edits   []AuditEdit `json:"edits"`
}

// AuditEdit is one edit of a change: from which revision and value to which.
type AuditEdit struct {
	Name string           `json:"name"`
	Base int64            `json:"base"`
	From *record.ClassMsg `json:"from,omitempty"`
	To   *record.ClassMsg `json:"to,omitempty"`
}

// EntryStatus is what an entry knows of the deployment.
type EntryStatus struct {
	Node          string       `json:"node"`
	Ready         bool         `json:"ready"`
	Offset        int64        `json:"offset"`
	FreshMS       int64        `json:"fresh-ms-ago"`     // since the configuration was known to be the newest, -1 for never
	PossiblyStale bool         `json:"unsure,omitempty"` // a newer configuration may exist
	Outages       []string     `json:"outages,omitempty"`
	Leases        []Lease      `json:"leases,omitempty"`
	Nodes         []NodeStatus `json:"nodes"`
}

// Lease is a lease on the log as an entry has read it.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder,omitempty"` // empty if nobody holds it
	Fence  int64  `json:"fence,omitempty"`
}

// Nodes lists all nodes that any entry hears.
type Nodes struct {
	Nodes []NodeStatus `json:"nodes"`
}

// NodeStatus is one node as an entry knows it.
type NodeStatus struct {
	Node       string `json:"node"`
	Role       string `json:"role"`
	Zone       string `json:"zone"`
	Service    string `json:"service,omitempty"`
	Version    uint64 `json:"version,omitempty"`
	Offset     int64  `json:"offset"`
	LastSeenMS int64  `json:"heard-ms-ago"` // -1 for an entry that did not answer
	Live       bool   `json:"live"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// QuarantinedRequest is one quarantined request.
type QuarantinedRequest struct {
	Request string   `json:"request"`
	Crashes []string `json:"crashes"` // node and start of the server
}

// LiftRequest names a request to be let run again.
type LiftRequest struct {
	Request string `json:"request"`
}
