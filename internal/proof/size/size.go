// Package size works out what control costs a node at the target size, from
// slopes that its tests and benchmarks measure.
//
// The slopes in bytes and messages do not depend on the machine; a test
// measures them again and compares docs/CAPACITY.md with the result. The
// slopes in time come from the benchmarks of this package.
//
// # Usage
//
//	for _, l := range size.Lines(size.Letter(), size.Built(), slopes) { fmt.Println(l) }
package size

import "fmt"

// Target is a size of the deployment, with the bounds of control per node.
type Target struct {
	Entries   int
	Agents    int
	Models    int     // one for each trainer
	Samples   int     // a step and trainer
	StepFor   float64 // s
	Requests  float64 // 1/s
	Tokens    float64 // 1/s
	Changes   float64 // of the configuration, a day
	SwapFor   float64 // s, until all engines hold new weights
	MaxBytes  float64 // of control, a node, 1/s
	MaxCore   float64 // of control, share of a core
	MaxMemory float64 // bytes
}

// Letter returns the target of the users' letter.
func Letter() Target {
	return Target{
		Entries:   400,
		Agents:    3900,
		Models:    23,
		Samples:   2048,
		StepFor:   900,
		Requests:  6600,
		Tokens:    1.3e6,
		Changes:   2600,
		SwapFor:   9,
		MaxBytes:  9000,
		MaxCore:   0.031,
		MaxMemory: 64e6,
	}
}

// Fan is how many others a node talks to, and how often.
type Fan struct {
	Name      string
	Reports   int     // entries to which an agent reports
	ReportFor float64 // s between reports to one entry
	Peers     int     // entries to which an entry talks
	PeerFor   float64 // s between messages to one peer
	ListFor   float64 // s between looks at the VM list
}

// Slopes are measured costs. Bytes are those of both directions on the wire,
// with the headers of packets.
type Slopes struct {
	Report   float64 // bytes of one report and its answer
	Peer     float64 // bytes of one message between entries and its answer
	Announce float64 // bytes that one announced version adds to a message
	VM       float64 // bytes of one line of the VM list
	Change   float64 // bytes of one change on the log
}

// Line is one row of the table.
type Line struct {
	Role  string
	What  string
	Count float64 // messages a second
	Bytes float64 // a second
}

// daySeconds is the length of a day in seconds.
const daySeconds = 86400

// Lines works out the traffic of control of one node of each role.
func Lines(t Target, f Fan, s Slopes) []Line {
	reports := float64(f.Reports) / f.ReportFor
	heard := reports * float64(t.Agents) / float64(t.Entries)
	peers := float64(f.Peers) / f.PeerFor
	versions := float64(t.Models) * s.Announce
	changes := t.Changes / daySeconds
	list := s.VM * float64(t.Entries+t.Agents)
	return []Line{
		{"agent", "reports", reports, reports * (s.Report + versions)},
		{"agent", "VM list", 1 / f.ListFor, list / f.ListFor},
		{"entry", "reports heard", heard, heard * (s.Report + versions)},
		{"entry", "peers, both directions", 2 * peers, 2 * peers * (s.Peer + 2*versions)},
		{"entry", "VM list", 1 / f.ListFor, list / f.ListFor},
		{"entry", "configuration", changes, changes * s.Change},
	}
}

// Sum adds up the bytes a second of a role.
func Sum(ls []Line, role string) float64 {
	sum := 0.0
	for _, l := range ls {
		if l.Role == role {
			sum += l.Bytes
		}
	}
	return sum
}

// Table returns the lines as a table in Markdown.
func Table(ls []Line) string {
	out := "| role | what | messages/s | bytes/s |\n| --- | --- | ---: | ---: |\n"
	for _, l := range ls {
		out += fmt.Sprintf("| %s | %s | %.4g | %.0f |\n", l.Role, l.What, l.Count, l.Bytes)
	}
	for _, r := range []string{"agent", "entry"} {
		out += fmt.Sprintf("| %s | **sum** | | **%.0f** |\n", r, Sum(ls, r))
	}
	return out
}
