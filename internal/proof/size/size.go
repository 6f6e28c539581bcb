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
	Entries           int
	Agents            int
	Models            int     // one for each trainer
	SamplesPerStep    int     // a step and trainer
	StepSeconds       float64 // s
	RequestsPerSecond float64 // 1/s
	TokensPerSecond   float64 // 1/s
	ChangesPerDay     float64 // of the configuration, a day
	SwapSeconds       float64 // s, until all engines hold new weights
	MaxBytesPerSecond float64 // of control, a node, 1/s
	MaxCoreShare      float64 // of control, share of a core
	MaxMemoryBytes    float64 // bytes
}

// RequiredTarget returns the target of the users' letter.
func RequiredTarget() Target {
	return Target{
		Entries:           400,
		Agents:            3900,
		Models:            23,
		SamplesPerStep:    2048,
		StepSeconds:       900,
		RequestsPerSecond: 6600,
		TokensPerSecond:   1.3e6,
		ChangesPerDay:     2600,
		SwapSeconds:       9,
		MaxBytesPerSecond: 9000,
		MaxCoreShare:      0.031,
		MaxMemoryBytes:    64e6,
	}
}

// Topology is how many others a node talks to, and how often.
type Topology struct {
	Name                  string
	EntriesPerAgent       int     // entries to which an agent reports
	ReportIntervalSeconds float64 // s between reports to one entry
	PeersPerEntry         int     // entries that an entry calls
	PeerIntervalSeconds   float64 // s between messages to one peer
	VMListIntervalSeconds float64 // s between looks at the whole VM list
	DemandIntervalSeconds float64 // s between messages of an entry to the holder of the placement lease
	Deltas                bool    // nodes tell only versions and changes that the other lacks
}

// FullMesh is everyone talking to everyone at the standard settings, as a plain
// baseline.
func FullMesh(t Target) Topology {
	return Topology{Name: "mesh", EntriesPerAgent: t.Entries, ReportIntervalSeconds: 0.5, PeersPerEntry: t.Entries - 1, PeerIntervalSeconds: 1, VMListIntervalSeconds: 1, DemandIntervalSeconds: 1}
}

// Current is what the program does at its standard settings.
func Current(t Target) Topology {
	list := peers.PollInterval(clock.Second, t.Entries+t.Agents)
	return Topology{Name: "built", EntriesPerAgent: 8, ReportIntervalSeconds: 0.5, PeersPerEntry: roster.DefaultPolicy().Fanout, PeerIntervalSeconds: 1, VMListIntervalSeconds: list.Seconds(), DemandIntervalSeconds: place.DemandInterval(t.Entries).Seconds()}
}

// Planned is what meets the bounds; docs/CAPACITY.md tells what is missing.
func Planned() Topology {
	return Topology{Name: "planned", EntriesPerAgent: 3, ReportIntervalSeconds: 3, PeersPerEntry: 8, PeerIntervalSeconds: 4, VMListIntervalSeconds: 600, DemandIntervalSeconds: place.DemandInterval(RequiredTarget().Entries).Seconds(), Deltas: true}
}

// UnitCosts are measured costs in bytes on the wire, of both directions and with
// the headers of packets.
type UnitCosts struct {
	Report     float64 // one report and its answer
	Peer       float64 // one message between entries and its answer
	Version    float64 // one version that a peer tells
	Demand     float64 // one message of an entry about the work of each model
	VM         float64 // one line of the VM list
	Change     float64 // one change on the log
	FullConfig float64 // the whole configuration, of 100 classes
}

// Row is one row of the table.
type Row struct {
	Role              string
	Message           string
	MessagesPerSecond float64 // messages a second
	BytesPerSecond    float64 // a second
}

// daySeconds is the length of a day in seconds.
const daySeconds = 86400

// Rows works out the traffic of control of one node of each role.
func Rows(t Target, f Topology, s UnitCosts) []Row {
	reports := float64(f.EntriesPerAgent) / f.ReportIntervalSeconds
	each := float64(t.Agents) / float64(t.Entries) // agents that learn a change from one entry
	heard := reports * each
	peers := 2 * float64(f.PeersPerEntry) / f.PeerIntervalSeconds
	versions, told := float64(t.Models)*s.Version, s.FullConfig
	if f.Deltas {
		versions, told = 0, s.Change
	}
	changes := t.ChangesPerDay / daySeconds
	list := s.VM * float64(t.Entries+t.Agents)
	return []Row{
		{"agent", "reports", reports, reports * s.Report},
		{"agent", "VM list", 1 / f.VMListIntervalSeconds, list / f.VMListIntervalSeconds},
		{"agent", "configuration, 100 classes", changes, changes * told},
		{"entry", "reports heard", heard, heard * s.Report},
		{"entry", "peers, called and calling", peers, peers * (s.Peer + versions)},
		{"entry", "VM list", 1 / f.VMListIntervalSeconds, list / f.VMListIntervalSeconds},
		{"entry", "configuration from the log", changes, changes * s.Change},
		{"entry", "configuration to agents", changes * each, changes * each * told},
		{"entry", "demand told", 1 / f.DemandIntervalSeconds, s.Demand / f.DemandIntervalSeconds},
		{holder, "demands heard", float64(t.Entries) / f.DemandIntervalSeconds, float64(t.Entries) / f.DemandIntervalSeconds * s.Demand},
	}
}

// BytesOf adds up the bytes a second of a role. The holder of a lease is an entry
// too.
func BytesOf(ls []Row, role string) float64 {
	sum := 0.0
	for _, l := range ls {
		if l.Role == role || role == holder && l.Role == "entry" {
			sum += l.BytesPerSecond
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
func Table(t Target, s UnitCosts, fans ...Topology) string {
	var b strings.Builder
	b.WriteString("| role | what |")
	for _, f := range fans {
		fmt.Fprintf(&b, " %s: messages/s | bytes/s |", f.Name)
	}
	b.WriteString("\n| --- | --- |" + strings.Repeat(" ---: | ---: |", len(fans)) + "\n")
	for i, l := range Rows(t, fans[0], s) {
		fmt.Fprintf(&b, "| %s | %s |", l.Role, l.Message)
		for _, f := range fans {
			o := Rows(t, f, s)[i]
			fmt.Fprintf(&b, " %.3g | %.0f |", o.MessagesPerSecond, o.BytesPerSecond)
		}
		b.WriteString("\n")
	}
	for _, r := range roles {
		fmt.Fprintf(&b, "| %s | sum, at most %.0f |", r, t.MaxBytesPerSecond)
		for _, f := range fans {
			fmt.Fprintf(&b, " | %.0f |", BytesOf(Rows(t, f, s), r))
		}
		b.WriteString("\n")
	}
	return b.String()
}
