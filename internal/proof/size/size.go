// Package size works out what control costs a node at the target size, from
// slopes that its tests and benchmarks measure.
//
// The slopes in bytes and messages do not depend on the machine; a test
// measures them again and compares docs/CAPACITY.md with the result. The
// slopes in time come from the benchmarks of this package.
//
// # Usage
//
//	fmt.Print(size.Table(t, slopes, size.Built(t), size.Planned()))
package size

import (
	"fmt"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/place"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/node/peers"
)

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
	Peers     int     // entries that an entry calls
	PeerFor   float64 // s between messages to one peer
	ListFor   float64 // s between looks at the whole VM list
	DemandFor float64 // s between messages of an entry to the holder of the placement lease
	Deltas    bool    // nodes tell only versions and changes that the other lacks
}

// Mesh is everyone talking to everyone at the standard settings, as a plain
// baseline.
func Mesh(t Target) Fan {
	return Fan{Name: "mesh", Reports: t.Entries, ReportFor: 0.5, Peers: t.Entries - 1, PeerFor: 1, ListFor: 1, DemandFor: 1}
}

// Built is what the program does at its standard settings.
func Built(t Target) Fan {
	list := peers.Interval(clock.Second, t.Entries+t.Agents)
	return Fan{Name: "built", Reports: 8, ReportFor: 0.5, Peers: roster.Standard().Fanout, PeerFor: 1, ListFor: list.Seconds(), DemandFor: place.TellEvery(t.Entries).Seconds()}
}

// Planned is what meets the bounds; docs/CAPACITY.md tells what is missing.
func Planned() Fan {
	return Fan{Name: "planned", Reports: 3, ReportFor: 3, Peers: 8, PeerFor: 4, ListFor: 600, DemandFor: place.TellEvery(Letter().Entries).Seconds(), Deltas: true}
}

// Slopes are measured costs in bytes on the wire, of both directions and with
// the headers of packets.
type Slopes struct {
	Report  float64 // one report and its answer
	Peer    float64 // one message between entries and its answer
	Version float64 // one version that a peer tells
	Demand  float64 // one message of an entry about the work of each model
	VM      float64 // one line of the VM list
	Change  float64 // one change on the log
	Classes float64 // the whole configuration, of 100 classes
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
	each := float64(t.Agents) / float64(t.Entries) // agents that learn a change from one entry
	heard := reports * each
	peers := 2 * float64(f.Peers) / f.PeerFor
	versions, told := float64(t.Models)*s.Version, s.Classes
	if f.Deltas {
		versions, told = 0, s.Change
	}
	changes := t.Changes / daySeconds
	list := s.VM * float64(t.Entries+t.Agents)
	return []Line{
		{"agent", "reports", reports, reports * s.Report},
		{"agent", "VM list", 1 / f.ListFor, list / f.ListFor},
		{"agent", "configuration, 100 classes", changes, changes * told},
		{"entry", "reports heard", heard, heard * s.Report},
		{"entry", "peers, called and calling", peers, peers * (s.Peer + versions)},
		{"entry", "VM list", 1 / f.ListFor, list / f.ListFor},
		{"entry", "configuration from the log", changes, changes * s.Change},
		{"entry", "configuration to agents", changes * each, changes * each * told},
		{"entry", "demand told", 1 / f.DemandFor, s.Demand / f.DemandFor},
		{holder, "demands heard", float64(t.Entries) / f.DemandFor, float64(t.Entries) / f.DemandFor * s.Demand},
	}
}

// Sum adds up the bytes a second of a role. The holder of a lease is an entry
// too.
func Sum(ls []Line, role string) float64 {
	sum := 0.0
	for _, l := range ls {
		if l.Role == role || role == holder && l.Role == "entry" {
			sum += l.Bytes
		}
	}
	return sum
}

// roles lists the roles in the order of the table.
var roles = []string{"agent", "entry", holder}

// holder is an entry that holds the placement lease; its lines come on top of
// those of an entry.
const holder = "lease holder"

// Table returns the bytes a second of several fans beside each other, in
// Markdown.
func Table(t Target, s Slopes, fans ...Fan) string {
	var b strings.Builder
	b.WriteString("| role | what |")
	for _, f := range fans {
		fmt.Fprintf(&b, " %s: messages/s | bytes/s |", f.Name)
	}
	b.WriteString("\n| --- | --- |" + strings.Repeat(" ---: | ---: |", len(fans)) + "\n")
	for i, l := range Lines(t, fans[0], s) {
		fmt.Fprintf(&b, "| %s | %s |", l.Role, l.What)
		for _, f := range fans {
			o := Lines(t, f, s)[i]
			fmt.Fprintf(&b, " %.3g | %.0f |", o.Count, o.Bytes)
		}
		b.WriteString("\n")
	}
	for _, r := range roles {
		fmt.Fprintf(&b, "| %s | sum, at most %.0f |", r, t.MaxBytes)
		for _, f := range fans {
			fmt.Fprintf(&b, " | %.0f |", Sum(Lines(t, f, s), r))
		}
		b.WriteString("\n")
	}
	return b.String()
}
