// Package demo runs a whole deployment in one process on loopback: entries,
// agents and all stand-ins. Callers, a trainer and an operator use it while
// faults happen, and observers outside the system count kept and broken
// promises.
//
// # Usage
//
//	rep, err := demo.Run(ctx, demo.Options{Entries: 3, Engines: 9, Apps: 3, Seed: 1}, os.Stdout)
//	os.Exit(rep.Status())
//
// The verdict rests on what the trainer and callers received and on the
// engines' own records, never on how fast the machine was.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/edge/opcli"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/proof/invar"
)

// Options are the flags of the demonstration.
type Options struct {
	Entries        int
	Engines        int
	Apps           int
	Seed           uint64
	Faults         bool
	NoServiceDelay bool // the plain service takes no time of its own
	Verbose        bool
	Scenario       string // load and faults, empty for the standard ones
	Trace          string // file for the trace of all entries, empty for none
}

const (
	readyFor = 20 * time.Second
	runFor   = 50 * time.Second // bound of the whole run
)

// run is one demonstration.
type run struct {
	o      Options
	scene  scene
	w      *world
	out    io.Writer
	counts *invar.Counts
	meas   *measures
	deeds  deeds
	began  time.Time
	book   book
}

// Run carries out the demonstration and prints its progress and report. It
// returns whether all promises were kept.
func Run(ctx context.Context, o Options, out io.Writer) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, runFor)
	defer cancel()
	log := zerolog.Nop()
	if o.Verbose {
		log = zerolog.New(out).Level(zerolog.DebugLevel).With().Timestamp().Logger()
	}
	rec, err := o.openTrace()
	if err != nil {
		return false, err
	}
	w, err := newWorld(ctx, o, log, rec)
	if err != nil {
		return false, err
	}
	defer func() {
		w.close()
		_ = rec.Close()
	}()
	r := &run{o: o, scene: o.scene(), w: w, out: out, counts: invar.NewCounts(), meas: newMeasures(), began: time.Now()}
	if err := r.all(ctx); err != nil {
		return false, err
	}
	return r.report(), nil
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.out, "%5.1fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// all runs the operator first, then everybody at once.
func (r *run) all(ctx context.Context) error {
	r.say("%d entries, %d engines, %d plain services on loopback", r.o.Entries, r.o.Engines, r.o.Apps)
	if err := r.apply(ctx, firstClasses()); err != nil {
		return err
	}
	if err := r.waitServing(ctx); err != nil {
		return err
	}
	var wg sync.WaitGroup
	load, endLoad := context.WithCancel(ctx)
	defer endLoad()
	if err := r.probes(ctx); err != nil {
		return err
	}
	wg.Go(func() { r.callers(load) })
	wg.Go(func() { r.actions(load) })
	wg.Go(func() { r.operators(load) })
	wg.Go(func() { r.watch(load) })
	var events sync.WaitGroup
	if r.o.Faults || r.o.Scenario != standardScene {
		events.Go(func() { r.faults(load) })
	}
	if r.isComplete() {
		events.Go(func() { r.leaving(ctx) })
	}
	err := r.train(ctx)
	if r.isComplete() {
		events.Wait()
		r.drainAgents(ctx)
		if len(r.w.urls()) == 1 { // The load would have nowhere to go.
			endLoad()
			wg.Wait()
		}
		r.drainEntry(ctx)
	}
	endLoad()
	events.Wait()
	wg.Wait()
	r.judgeActions()
	return err
}

func firstClasses() []record.ClassMsg {
	return []record.ClassMsg{
		{Name: "train-notices", Kind: "round", Service: model, LatenessMS: 60_000, WaitingMS: 10_000, Staleness: 1, Scorer: scorer, MaxTokens: 512},
		{Name: "live-draft", Kind: "draft", Service: model, LatenessMS: 8000, WaitingMS: 500, MaxTokens: 256},
		{Name: "closure-record", Kind: "lookup", Service: pages, LatenessMS: 2000, WaitingMS: 200},
		{Name: "branch-notice", Kind: "action", Service: pages, LatenessMS: 5000, WaitingMS: 1000},
	}
}

// waitServing waits until every entry knows every agent.
func (r *run) waitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyFor)
	defer cancel()
	want := r.o.Engines + r.o.Apps
	for _, u := range r.w.urls() {
		for {
			st, err := opcli.New(operatorToken, u).Status(ctx)
			if err == nil && len(st.Nodes) >= want {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("entry %s knows %d of %d agents after %s", u, len(st.Nodes), want, readyFor)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.say("every entry knows every agent")
	return nil
}

// isComplete reports whether the run must test every promise; a scene for a
// trace tests some.
func (r *run) isComplete() bool { return r.o.Scenario == standardScene }

// report prints the counts and measures and returns whether all was kept.
func (r *run) report() bool {
	fmt.Fprintf(r.out, "\nPromises, counted from outside:\n%s\nMeasures of this run:\n%s\n", r.counts.Report(), r.meas.report())
	kept, all := r.counts.Kept()
	fmt.Fprintf(r.out, "promises kept: %d of %d\n", kept, all)
	return r.counts.Broken() == 0 && (kept == all || !r.isComplete())
}
