// Package demo runs a complete deployment in one process on loopback: entries,
// agents, and fakes of the platform and of the backend servers. Callers, a
// trainer and operators use the deployment while faults are injected. The
// package checks the guarantees of package invar from outside the system and
// counts how often each was checked and violated.
//
// # Usage
//
//	held, err := demo.Run(ctx, demo.Options{Entries: 3, Engines: 9, Apps: 3, Seed: 1}, os.Stdout)
//
// The checks compare what the trainer and callers received with the records of
// the fake engines and services. They don't depend on the speed of the machine.
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

// Options configures a demonstration; most fields are command-line flags.
type Options struct {
	Entries        int
	Engines        int
	Apps           int
	Seed           uint64
	Faults         bool
	NoServiceDelay bool // calls of the plain service return at once
	Verbose        bool
	Scene          string // empty for the default one
	Trace          string // output file for the trace of all entries, empty for none
}

const (
	readyTimeout = 20 * time.Second // until all entries know all agents
	runTimeout   = 50 * time.Second // for the whole run
)

// run is the state of one demonstration.
type run struct {
	opts      Options
	scene     scene
	cluster   *cluster
	out       io.Writer
	counts    *invar.Counts
	measures  *measures
	actionLog actionLog
	startedAt time.Time
	changeLog changeLog
}

// Run executes the demonstration, prints its progress and its report, and
// reports whether all guarantees held.
func Run(ctx context.Context, opts Options, out io.Writer) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	log := zerolog.Nop()
	if opts.Verbose {
		log = zerolog.New(out).Level(zerolog.DebugLevel).With().Timestamp().Logger()
	}
	rec, err := opts.openTrace()
	if err != nil {
		return false, err
	}
	cl, err := newCluster(ctx, opts, log, rec)
	if err != nil {
		return false, err
	}
	defer func() {
		cl.close()
		_ = rec.Close()
	}()
	r := &run{
		opts:      opts,
		scene:     opts.scene(),
		cluster:   cl,
		out:       out,
		counts:    invar.NewCounts(),
		measures:  newMeasures(),
		startedAt: time.Now(),
	}
	if err := r.execute(ctx); err != nil {
		return false, err
	}
	return r.report(), nil
}

// progressf prints a line of progress with the time since the start.
func (r *run) progressf(format string, args ...any) {
	fmt.Fprintf(r.out, "%5.1fs  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// execute configures the classes and runs all clients and faults concurrently
// until the trainer has finished. In the default scene it then shuts down an
// agent of each kind and an entry. At the end it verifies the actions.
func (r *run) execute(ctx context.Context) error {
	r.progressf("%d entries, %d engines, %d plain services on loopback", r.opts.Entries, r.opts.Engines, r.opts.Apps)
	if err := r.applyClasses(ctx, initialClasses()); err != nil {
		return err
	}
	if err := r.waitForAgents(ctx); err != nil {
		return err
	}
	var wg sync.WaitGroup
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	if err := r.checkRefusals(ctx); err != nil {
		return err
	}
	wg.Go(func() { r.runCallers(loadCtx) })
	wg.Go(func() { r.runActionCallers(loadCtx) })
	wg.Go(func() { r.runOperators(loadCtx) })
	wg.Go(func() { r.watchConfig(loadCtx) })
	var faultsWG sync.WaitGroup
	if r.opts.Faults || r.opts.Scene != defaultScene {
		faultsWG.Go(func() { r.injectFaults(loadCtx) })
	}
	if r.testsAllGuarantees() {
		faultsWG.Go(func() { r.checkLeavingServers(ctx) })
	}
	err := r.runTrainer(ctx)
	if r.testsAllGuarantees() {
		faultsWG.Wait()
		r.drainAgents(ctx)
		if len(r.cluster.entryURLs()) == 1 { // No entry would remain for the load.
			stopLoad()
			wg.Wait()
		}
		r.drainEntry(ctx)
	}
	stopLoad()
	faultsWG.Wait()
	wg.Wait()
	r.verifyActions()
	return err
}

// initialClasses returns the request classes that every run configures.
func initialClasses() []record.ClassMsg {
	return []record.ClassMsg{
		{Name: "train-notices", Kind: "round", Service: modelName, LatenessMS: 60_000, WaitingMS: 10_000, Staleness: 1, Scorer: scorerName, MaxTokens: 512},
		{Name: "live-draft", Kind: "draft", Service: modelName, LatenessMS: 8000, WaitingMS: 500, MaxTokens: 256},
		{Name: "closure-record", Kind: "lookup", Service: plainServiceName, LatenessMS: 2000, WaitingMS: 200},
		{Name: "branch-notice", Kind: "action", Service: plainServiceName, LatenessMS: 5000, WaitingMS: 1000},
	}
}

// waitForAgents waits until the status of every entry lists every agent.
func (r *run) waitForAgents(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	wantNodes := r.opts.Engines + r.opts.Apps
	for _, u := range r.cluster.entryURLs() {
		for {
			st, err := opcli.New(operatorToken, u).Status(ctx)
			if err == nil && len(st.Nodes) >= wantNodes {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("entry %s knows %d of %d agents after %s", u, len(st.Nodes), wantNodes, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.progressf("every entry knows every agent")
	return nil
}

// testsAllGuarantees reports whether the run must test every guarantee. Only the
// default scene does; the others test some of them and serve to record traces.
func (r *run) testsAllGuarantees() bool { return r.opts.Scene == defaultScene }

// report prints the counts and measures and reports whether all guarantees held.
func (r *run) report() bool {
	fmt.Fprintf(r.out, "\nPromises, counted from outside:\n%s\nMeasures of this run:\n%s\n", r.counts.Report(), r.measures.report())
	held, total := r.counts.Held()
	fmt.Fprintf(r.out, "promises kept: %d of %d\n", held, total)
	return r.counts.Violations() == 0 && (held == total || !r.testsAllGuarantees())
}
