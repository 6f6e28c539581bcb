// Package size computes the cost of control traffic for each node of a large
// deployment, from unit costs that its tests and benchmarks measure.
//
// The unit costs in bytes and messages don't depend on the machine. A test
// measures them and compares the table in docs/CAPACITY.md with the result. The
// unit costs in time come from the benchmarks of this package.
//
// # Usage
//
//	fmt.Print(size.Table(t, costs, size.Current(t), size.Planned()))
package size

import (
	"fmt"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/place"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/node/peers"
)

// Target is the size of a deployment, with the bounds on the cost of control for
// each node.
type Target struct {
	Entries           int
	Agents            int
	Models            int // one per trainer
	SamplesPerStep    int // per step and trainer
	StepSeconds       float64
	RequestsPerSecond float64
	TokensPerSecond   float64
	ChangesPerDay     float64 // of the configuration
	SwapSeconds       float64 // until all engines have loaded new weights
	MaxBytesPerSecond float64 // of control traffic, per node, in both directions
	MaxCoreShare      float64 // of control, per node, as a share of one core
	MaxMemoryBytes    float64 // of control, per node
}

// RequiredTarget returns the size and the bounds that the users require.
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

// Topology states with how many nodes a node exchanges messages, and how often.
type Topology struct {
	Name                  string
	EntriesPerAgent       int     // entries to which an agent reports
	ReportIntervalSeconds float64 // between reports to one entry
	PeersPerEntry         int     // entries that an entry calls
	PeerIntervalSeconds   float64 // between messages to one peer
	VMListIntervalSeconds float64 // between requests for the whole VM list
	DemandIntervalSeconds float64 // between messages of an entry to the holder of the placement lease
	Deltas                bool    // nodes send only the versions and changes that the receiver lacks
}

// FullMesh returns the baseline, in which every node exchanges messages with every
// entry at the default intervals.
func FullMesh(t Target) Topology {
	return Topology{
		Name:                  "mesh",
		EntriesPerAgent:       t.Entries,
		ReportIntervalSeconds: 0.5,
		PeersPerEntry:         t.Entries - 1,
		PeerIntervalSeconds:   1,
		VMListIntervalSeconds: 1,
		DemandIntervalSeconds: 1,
	}
}

// Current returns the topology of the program at its default settings.
func Current(t Target) Topology {
	vmListInterval := peers.PollInterval(clock.Second, t.Entries+t.Agents)
	return Topology{
		Name:                  "built",
		EntriesPerAgent:       8,
		ReportIntervalSeconds: 0.5,
		PeersPerEntry:         roster.DefaultPolicy().Fanout,
		PeerIntervalSeconds:   1,
		VMListIntervalSeconds: vmListInterval.Seconds(),
		DemandIntervalSeconds: place.DemandInterval(t.Entries).Seconds(),
	}
}

// Planned returns a topology that meets the bounds. docs/CAPACITY.md lists what is
// not implemented yet.
func Planned() Topology {
	return Topology{
		Name:                  "planned",
		EntriesPerAgent:       3,
		ReportIntervalSeconds: 3,
		PeersPerEntry:         8,
		PeerIntervalSeconds:   4,
		VMListIntervalSeconds: 600,
		DemandIntervalSeconds: place.DemandInterval(RequiredTarget().Entries).Seconds(),
		Deltas:                true,
	}
}

// UnitCosts holds measured costs in bytes on the wire, in both directions and with
// packet headers.
type UnitCosts struct {
	Report     float64 // one report and its answer
	Peer       float64 // one message between entries and its answer
	Version    float64 // one version in a message between entries
	Demand     float64 // one message of an entry with the work of each model
	VM         float64 // one VM in the VM list
	Change     float64 // one record of a change on the log
	FullConfig float64 // the whole configuration, of 100 classes
}

// Row is a row of the table: one kind of message that nodes of a role send or
// receive.
type Row struct {
	Role              string
	Message           string
	MessagesPerSecond float64
	BytesPerSecond    float64
}

const secondsPerDay = 86400

// Rows returns the control traffic of one node of each role.
func Rows(t Target, topo Topology, costs UnitCosts) []Row {
	reports := float64(topo.EntriesPerAgent) / topo.ReportIntervalSeconds
	agentsPerEntry := float64(t.Agents) / float64(t.Entries)
	received := reports * agentsPerEntry
	peerMessages := 2 * float64(topo.PeersPerEntry) / topo.PeerIntervalSeconds
	versions, config := float64(t.Models)*costs.Version, costs.FullConfig
	if topo.Deltas {
		versions, config = 0, costs.Change
	}
	changes := t.ChangesPerDay / secondsPerDay
	list := costs.VM * float64(t.Entries+t.Agents)
	return []Row{
		{"agent", "reports", reports, reports * costs.Report},
		{"agent", "VM list", 1 / topo.VMListIntervalSeconds, list / topo.VMListIntervalSeconds},
		{"agent", "configuration, 100 classes", changes, changes * config},
		{"entry", "reports heard", received, received * costs.Report},
		{"entry", "peers, called and calling", peerMessages, peerMessages * (costs.Peer + versions)},
		{"entry", "VM list", 1 / topo.VMListIntervalSeconds, list / topo.VMListIntervalSeconds},
		{"entry", "configuration from the log", changes, changes * costs.Change},
		{"entry", "configuration to agents", changes * agentsPerEntry, changes * agentsPerEntry * config},
		{"entry", "demand told", 1 / topo.DemandIntervalSeconds, costs.Demand / topo.DemandIntervalSeconds},
		{leaseHolder, "demands heard", float64(t.Entries) / topo.DemandIntervalSeconds, float64(t.Entries) / topo.DemandIntervalSeconds * costs.Demand},
	}
}

// BytesOf returns the total bytes per second of a role. The total of the lease
// holder includes that of an entry.
func BytesOf(rows []Row, role string) float64 {
	sum := 0.0
	for _, row := range rows {
		if row.Role == role || role == leaseHolder && row.Role == "entry" {
			sum += row.BytesPerSecond
		}
	}
	return sum
}

// roles lists all roles in the order of the table.
var roles = []string{"agent", "entry", leaseHolder}

// leaseHolder is the role of the entry that holds the placement lease. Its rows
// count in addition to those of an entry.
const leaseHolder = "lease holder"

// Table returns a Markdown table that compares the control traffic of several
// topologies.
func Table(t Target, costs UnitCosts, topologies ...Topology) string {
	var b strings.Builder
	b.WriteString("| role | what |")
	for _, topo := range topologies {
		fmt.Fprintf(&b, " %s: messages/s | bytes/s |", topo.Name)
	}
	b.WriteString("\n| --- | --- |" + strings.Repeat(" ---: | ---: |", len(topologies)) + "\n")
	for i, first := range Rows(t, topologies[0], costs) {
		fmt.Fprintf(&b, "| %s | %s |", first.Role, first.Message)
		for _, topo := range topologies {
			row := Rows(t, topo, costs)[i]
			fmt.Fprintf(&b, " %.3g | %.0f |", row.MessagesPerSecond, row.BytesPerSecond)
		}
		b.WriteString("\n")
	}
	for _, r := range roles {
		fmt.Fprintf(&b, "| %s | sum, at most %.0f |", r, t.MaxBytesPerSecond)
		for _, topo := range topologies {
			fmt.Fprintf(&b, " | %.0f |", BytesOf(Rows(t, topo, costs), r))
		}
		b.WriteString("\n")
	}
	return b.String()
}
