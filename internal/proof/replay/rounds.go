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

// player is one round with its trainer.
type player struct {
	spec   round.Spec
	entry  ident.Node
	state  Round
	cursor round.Cursor
	got    map[int]int // how often each ordinal came
	opened clock.Millis
	whole  clock.Millis // 0 while samples are missing
	worked clock.Millis // the trainer's own time before this round
	oldest map[int]ident.Version
	gen    int // of the state; samples of an older one are dropped
}

// Limits of the model of a trainer.
const (
	window    = 256 // samples that run at once
	pageLimit = 256
)

// trainerOf returns the trainer whose name begins the name of a round.
func trainerOf(r ident.Round) ident.Caller {
	who, _, _ := strings.Cut(string(r), "/")
	return ident.Caller(who)
}

// recordedOpen plays the opening of a round: at once, or as long after the
// trainer's last round as it took in the trace. A round that is open is opened
// again only after its entry stopped.
func (w *world) recordedOpen(e trace.Event) {
	if p, ok := w.rounds[e.Round]; ok {
		if p.state != nil && w.gone[p.entry] {
			p.entry = e.Node
			p.gen++
			p.state = w.o.Decisions.Round(w.Now(), p.spec, p.cursor)
		}
		return
	}
	who := trainerOf(e.Round)
	p := &player{entry: e.Node, got: make(map[int]int), oldest: make(map[int]ident.Version), worked: w.facts.gaps[e.Round]}
	p.spec = round.Spec{ID: e.Round, Class: e.Class, Model: e.Service, Version: e.Version, SamplesPerGroup: max(1, e.Samples), Prompts: make([][]byte, max(1, e.Groups))}
	if c, ok := w.classes[e.Class]; ok {
		p.spec.Staleness = c.Staleness()
	}
	w.rounds[e.Round] = p
	before := w.last[who]
	w.last[who] = p
	w.res.rounds = append(w.res.rounds, p)
	w.openAfter(p, before)
}

// openAfter opens a round when its trainer is ready for it.
func (w *world) openAfter(p, before *player) {
	if before == nil {
		w.open(p)
		return
	}
	if before.whole == 0 {
		w.After(tick, func() { w.openAfter(p, before) })
		return
	}
	w.At(before.whole+p.worked, func() { w.open(p) })
}

func (w *world) open(p *player) {
	p.opened = w.Now()
	p.cursor = round.NewCursor(p.spec.Total())
	if w.facts.announce[announced{p.spec.Model, p.spec.Version}] {
		w.announce(p.spec.Model, p.spec.Version)
	}
	p.state = w.o.Decisions.Round(w.Now(), p.spec, p.cursor)
	w.startSamples(p)
	w.decide()
}

// announce takes in new weights; the highest version of a model stays.
func (w *world) announce(m ident.Service, v ident.Version) {
	if v <= w.targets[m] {
		return
	}
	w.targets[m] = v
	w.res.swaps = append(w.res.swaps, swapped{at: w.Now(), service: m, version: v})
	w.noteSwap()
}

// noteSwap closes the announcements that all servers have met.
func (w *world) noteSwap() {
	for i := range w.res.swaps {
		s := &w.res.swaps[i]
		if s.done > 0 {
			continue
		}
		held := true
		for _, v := range w.view(s.service) {
			held = held && v.Version >= s.version
		}
		if held {
			s.done = w.Now()
		}
	}
}

// noteDark notes when a zone with two or more servers of a model has none that
// serves.
func (w *world) noteDark(s *server) {
	all, serving := 0, 0
	for _, v := range w.view(s.service) {
		if v.Zone != s.zone {
			continue
		}
		all++
		if !v.Loading {
			serving++
		}
	}
	if all > 1 && serving == 0 {
		w.res.dark = append(w.res.dark, event{w.recorded(), "all servers of " + string(s.service) + " in " + string(s.zone) + " load at the same time"})
	}
}

// startSamples starts the samples that a round may start.
func (w *world) startSamples(p *player) {
	if p.state == nil || p.whole > 0 {
		return
	}
	for _, b := range p.state.Start(w.Now(), window) {
		wk := &work{
			request: ident.Request(fmt.Sprintf("%s/%d", p.spec.ID, b.Ordinal)),
			class:   p.spec.Class,
			service: p.spec.Model,
			prefix:  trace.Hash(fmt.Sprintf("%s/%d", p.spec.ID, p.spec.Group(b.Ordinal))),
			tokens:  w.facts.tokensOf(p.spec.ID, p.spec.Class, b.Ordinal),
			player:  p,
			ordinal: b.Ordinal,
			entry:   p.entry,
			gen:     p.gen,
		}
		wk.item.MinVersion = b.MinVersion
		w.offer(wk)
	}
}

// sampleDone takes in a whole sample and lets the trainer read.
func (w *world) sampleDone(wk *work, r *run) {
	p := wk.player
	if wk.gen != p.gen {
		return
	}
	spans := []model.Span{{Version: r.started, To: wk.tokens}}
	p.oldest[wk.ordinal] = r.started
	p.state.Complete(round.Sample{Ordinal: wk.ordinal, Node: r.s.node, Tokens: make([]uint32, wk.tokens), Spans: spans}, false)
	w.read(p)
	w.startSamples(p)
}

func (w *world) sampleFailed(wk *work) {
	p := wk.player
	if wk.gen != p.gen || p.state == nil {
		return
	}
	p.state.Interrupt(w.Now(), wk.ordinal, round.Partial{}, round.Failed)
}

// read hands finished samples to the trainer.
func (w *world) read(p *player) {
	p.state.ApplyCursor(w.Now(), p.cursor)
	pg := p.state.Read(p.cursor, p.spec.Version, pageLimit)
	for _, s := range pg.Samples {
		p.got[s.Ordinal]++
		w.res.given = append(w.res.given, given{
			at: w.recorded(), round: p, ordinal: s.Ordinal, asked: p.spec.Version, oldest: p.oldest[s.Ordinal], bound: p.spec.Staleness,
		})
	}
	p.cursor = p.cursor.With(pg.Samples...)
	if p.whole == 0 && p.cursor.Count() == p.spec.Total() {
		p.whole = w.Now()
	}
}
