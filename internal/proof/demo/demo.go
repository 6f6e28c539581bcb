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

	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/opcli"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/proof/invar"
)

// Options are the flags of the demonstration.
type Options struct {
	Entries int
	Engines int
	Apps    int
	Seed    uint64
	Faults  bool
	Instant bool // the plain service takes no time of its own
	Verbose bool
	Scene   string // load and faults, empty for the standard ones
	Trace   string // file for the trace of all entries, empty for none
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
	errs := make(chan error, 4)
	load, endLoad := context.WithCancel(ctx)
	defer endLoad()
	if err := r.probes(ctx); err != nil {
		return err
	}
	wg.Go(func() { r.callers(load) })
	wg.Go(func() { r.actions(load) })
	var events sync.WaitGroup
	if r.o.Faults || r.o.Scene != standardScene {
		events.Go(func() { r.faults(load) })
	}
	if r.isComplete() {
		events.Go(func() { r.leaving(ctx) })
	}
	errs <- r.train(ctx)
	errs <- r.change(ctx)
	if r.isComplete() {
		events.Wait()
		r.drain(ctx)
	}
	endLoad()
	events.Wait()
	wg.Wait()
	r.judgeActions()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func firstClasses() []record.ClassMsg {
	return []record.ClassMsg{
		{Name: "train-notices", Kind: "round", Service: model, LatenessMS: 60_000, WaitingMS: 10_000, Staleness: 1, Scorer: scorer, MaxTokens: 512},
		{Name: "live-draft", Kind: "draft", Service: model, LatenessMS: 8000, WaitingMS: 500, MaxTokens: 256},
		{Name: "closure-record", Kind: "lookup", Service: pages, LatenessMS: 2000, WaitingMS: 200},
		{Name: "branch-notice", Kind: "action", Service: pages, LatenessMS: 5000, WaitingMS: 1000},
	}
}

// apply publishes classes through one entry and waits until they are in force
// on all entries.
func (r *run) apply(ctx context.Context, classes []record.ClassMsg) error {
	var edits []codec.Edit
	for _, c := range classes {
		edits = append(edits, codec.Edit{Name: c.Name, Class: &c})
	}
	_, err := r.publish(ctx, codec.Change{Comment: "first classes", Edits: edits})
	return err
}

func (r *run) publish(ctx context.Context, ch codec.Change) (int64, error) {
	op := opcli.New(operatorToken, r.w.urls()[0])
	done, err := op.Change(ctx, ch)
	if err != nil {
		return 0, err
	}
	took := time.Now()
	ok := r.inForce(ctx, done.Revision)
	r.counts.Check(invar.ConfigStands, ok, fmt.Sprintf("revision %d is not in force everywhere after %s", done.Revision, configIn))
	r.say("revision %d in force on every entry after %s", done.Revision, time.Since(took).Round(time.Millisecond))
	return done.Revision, nil
}

// configIn is the stated bound from accepted to in force everywhere.
const configIn = 10 * time.Second

func (r *run) inForce(ctx context.Context, rev int64) bool {
	until := time.Now().Add(configIn)
	for time.Now().Before(until) && ctx.Err() == nil {
		behind := 0
		for _, u := range r.w.urls() {
			cfg, err := opcli.New(operatorToken, u).Config(ctx)
			if err != nil || cfg.Offset < rev {
				behind++
			}
		}
		if behind == 0 {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// change sets another target while traffic runs, and looks that it stays.
func (r *run) change(ctx context.Context) error {
	op := opcli.New(operatorToken, r.w.urls()[0])
	cfg, err := op.Config(ctx)
	if err != nil {
		return err
	}
	var e codec.Edit
	for _, c := range cfg.Classes {
		if c.Class.Name == "live-draft" {
			m := c.Class
			m.LatenessMS = 9000
			e = codec.Edit{Name: m.Name, Base: c.Revision, Class: &m}
		}
	}
	rev, err := r.publish(ctx, codec.Change{Comment: "more time for drafts", Edits: []codec.Edit{e}})
	if err != nil {
		return err
	}
	for _, u := range r.w.urls() {
		cfg, err := opcli.New(operatorToken, u).Config(ctx)
		if err != nil {
			return err
		}
		r.counts.Check(invar.ConfigStands, cfg.Offset >= rev, fmt.Sprintf("%s fell back to offset %d", u, cfg.Offset))
	}
	return nil
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
func (r *run) isComplete() bool { return r.o.Scene == standardScene }

// report prints the counts and measures and returns whether all was kept.
func (r *run) report() bool {
	fmt.Fprintf(r.out, "\nPromises, counted from outside:\n%s\nMeasures of this run:\n%s\n", r.counts.Report(), r.meas.report())
	kept, all := r.counts.Kept()
	fmt.Fprintf(r.out, "promises kept: %d of %d\n", kept, all)
	return r.counts.Broken() == 0 && (kept == all || !r.isComplete())
}
