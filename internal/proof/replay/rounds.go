package replay

import (
	"fmt"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

// replayedRound is one round and the state of its trainer's reading.
type replayedRound struct {
	spec           round.Spec
	entry          ident.Node
	state          Round
	cursor         round.Cursor
	deliveryCounts map[int]int // number of deliveries by ordinal
	openedAt       clock.Millis
	completedAt    clock.Millis          // 0 until all samples are delivered
	trainerTime    clock.Millis          // from the end of the trainer's previous round to this round
	oldestVersions map[int]ident.Version // oldest version that generated tokens, by ordinal
	generation     int                   // incremented when the state is rebuilt; samples of an earlier state are dropped
}

const (
	maxRunningSamples = 256 // of one round
	maxPageSamples    = 256 // that a trainer reads at once
)

// trainerOf returns the trainer of a round. The ID of a round has the form
// "trainer/name".
func trainerOf(r ident.Round) ident.Caller {
	name, _, _ := strings.Cut(string(r), "/")
	return ident.Caller(name)
}

// handleRoundOpen opens a round, as long after the trainer's previous round as
// in the trace. A round that exists already is opened again only if its entry
// stopped: its state is rebuilt from the cursor.
func (sim *simulation) handleRoundOpen(e trace.Event) {
	if rd, ok := sim.rounds[e.Round]; ok {
		if rd.state != nil && sim.stoppedEntries[rd.entry] {
			rd.entry = e.Node
			rd.generation++
			rd.state = sim.options.Decisions.Round(sim.Now(), rd.spec, rd.cursor)
		}
		return
	}
	trainer := trainerOf(e.Round)
	rd := &replayedRound{
		entry:          e.Node,
		deliveryCounts: make(map[int]int),
		oldestVersions: make(map[int]ident.Version),
		trainerTime:    sim.info.trainerTimes[e.Round],
	}
	rd.spec = round.Spec{
		ID:              e.Round,
		Class:           e.Class,
		Model:           e.Service,
		Version:         e.Version,
		SamplesPerGroup: max(1, e.Samples),
		Prompts:         make([][]byte, max(1, e.Groups)),
	}
	if c, ok := sim.classes[e.Class]; ok {
		rd.spec.Staleness = c.Staleness()
	}
	sim.rounds[e.Round] = rd
	previous := sim.lastRounds[trainer]
	sim.lastRounds[trainer] = rd
	sim.result.rounds = append(sim.result.rounds, rd)
	sim.openWhenReady(rd, previous)
}

// openWhenReady opens a round trainerTime after the trainer's previous round is
// complete, or at once if there is no previous round.
func (sim *simulation) openWhenReady(rd, previous *replayedRound) {
	if previous == nil {
		sim.openRound(rd)
		return
	}
	if previous.completedAt == 0 {
		sim.After(tickInterval, func() { sim.openWhenReady(rd, previous) })
		return
	}
	sim.At(previous.completedAt+rd.trainerTime, func() { sim.openRound(rd) })
}

// openRound announces the round's version if the round brings a new one, and
// starts the first samples.
func (sim *simulation) openRound(rd *replayedRound) {
	rd.openedAt = sim.Now()
	rd.cursor = round.NewCursor(rd.spec.Total())
	if sim.info.announcedByRound[serviceVersion{rd.spec.Model, rd.spec.Version}] {
		sim.announce(rd.spec.Model, rd.spec.Version)
	}
	rd.state = sim.options.Decisions.Round(sim.Now(), rd.spec, rd.cursor)
	sim.startSamples(rd)
	sim.dispatch()
}

// announce sets a model's target version. Versions that are not newer than the
// target are ignored.
func (sim *simulation) announce(service ident.Service, v ident.Version) {
	if v <= sim.targetVersions[service] {
		return
	}
	sim.targetVersions[service] = v
	sim.result.announcements = append(sim.result.announcements, announcement{announcedAt: sim.Now(), service: service, version: v})
	sim.completeAnnouncements()
}

// completeAnnouncements sets the completion time of announcements whose version
// or a newer one is loaded on all servers.
func (sim *simulation) completeAnnouncements() {
	for i := range sim.result.announcements {
		a := &sim.result.announcements[i]
		if a.completedAt > 0 {
			continue
		}
		completed := true
		for _, server := range sim.swapServers(a.service) {
			completed = completed && server.Version >= a.version
		}
		if completed {
			a.completedAt = sim.Now()
		}
	}
}

// recordZoneOutage records that all servers of a model in the zone of s are
// loading weights, if the zone has two or more of them.
func (sim *simulation) recordZoneOutage(s *server) {
	all, serving := 0, 0
	for _, other := range sim.swapServers(s.service) {
		if other.Zone != s.zone {
			continue
		}
		all++
		if !other.Loading {
			serving++
		}
	}
	if all > 1 && serving == 0 {
		sim.result.zoneOutages = append(sim.result.zoneOutages, violation{sim.traceNow(), "all servers of " + string(s.service) + " in " + string(s.zone) + " load at the same time"})
	}
}

// startSamples submits the samples that the round decides to start.
func (sim *simulation) startSamples(rd *replayedRound) {
	if rd.state == nil || rd.completedAt > 0 {
		return
	}
	for _, req := range rd.state.Start(sim.Now(), maxRunningSamples) {
		work := &workItem{
			request:    ident.Request(fmt.Sprintf("%s/%d", rd.spec.ID, req.Ordinal)),
			class:      rd.spec.Class,
			service:    rd.spec.Model,
			prefix:     trace.Hash(fmt.Sprintf("%s/%d", rd.spec.ID, rd.spec.Group(req.Ordinal))),
			tokens:     sim.info.tokensOfSample(rd.spec.ID, rd.spec.Class, req.Ordinal),
			round:      rd,
			ordinal:    req.Ordinal,
			entry:      rd.entry,
			generation: rd.generation,
		}
		work.item.MinVersion = req.MinVersion
		sim.submit(work)
	}
}

// completeSample adds a complete sample to its round and lets the trainer read.
func (sim *simulation) completeSample(work *workItem, a *attempt) {
	rd := work.round
	if work.generation != rd.generation {
		return
	}
	spans := []model.Span{{Version: a.version, To: work.tokens}}
	rd.oldestVersions[work.ordinal] = a.version
	rd.state.Complete(round.Sample{Ordinal: work.ordinal, Node: a.server.node, Tokens: make([]uint32, work.tokens), Spans: spans}, false)
	sim.deliverSamples(rd)
	sim.startSamples(rd)
}

// failSample reports a sample without an answer to its round.
func (sim *simulation) failSample(work *workItem) {
	rd := work.round
	if work.generation != rd.generation || rd.state == nil {
		return
	}
	rd.state.Interrupt(sim.Now(), work.ordinal, round.Partial{}, round.Failed)
}

// deliverSamples delivers one page of complete samples to the trainer.
func (sim *simulation) deliverSamples(rd *replayedRound) {
	rd.state.ApplyCursor(sim.Now(), rd.cursor)
	pg := rd.state.Read(rd.cursor, rd.spec.Version, maxPageSamples)
	for _, s := range pg.Samples {
		rd.deliveryCounts[s.Ordinal]++
		sim.result.deliveries = append(sim.result.deliveries, delivery{
			at:             sim.traceNow(),
			round:          rd,
			ordinal:        s.Ordinal,
			roundVersion:   rd.spec.Version,
			oldestVersion:  rd.oldestVersions[s.Ordinal],
			stalenessBound: rd.spec.Staleness,
		})
	}
	rd.cursor = rd.cursor.With(pg.Samples...)
	if rd.completedAt == 0 && rd.cursor.Count() == rd.spec.Total() {
		rd.completedAt = sim.Now()
	}
}
