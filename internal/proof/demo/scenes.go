package demo

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/stand/engine"
)

// scene is a load and the faults that are injected during it. Scenes other than
// the default one have few kinds of faults, so that a trace shows how the system
// reacts to them.
type scene struct {
	callers           int // concurrent callers
	requestsPerLookup int // one in this many requests is a lookup, on average
	faults            []faultEvent
}

const (
	defaultScene      = ""
	burstCallers      = 40
	burstDuration     = time.Second
	replacementOffset = 100 // added to the index of a replaced engine to get that of the new one
	shutdownTimeout   = 10 * time.Second
)

// scenes lists all scenes by their name, the value of --scene.
var scenes = map[string]scene{
	defaultScene:        {callers: callerCount, requestsPerLookup: 3, faults: defaultFaults},
	"regie-hour":        {callers: 4, requestsPerLookup: 4},
	"lamphun-hour":      {callers: 12, requestsPerLookup: 2},
	"burst":             {callers: 4, requestsPerLookup: 3, faults: []faultEvent{{500 * time.Millisecond, "40 more callers for a second", (*run).burst}}},
	"swap-under-load":   {callers: 24, requestsPerLookup: 6},
	"slow-servers":      {callers: 6, requestsPerLookup: 3, faults: slowFaults},
	"engine-crash":      {callers: 6, requestsPerLookup: 3, faults: crashFaults},
	"entry-replaced":    {callers: 6, requestsPerLookup: 3, faults: []faultEvent{{time.Second, "an entry is replaced", (*run).replaceEntry}}},
	"log-outage":        {callers: 6, requestsPerLookup: 3, faults: storeOutageFaults},
	"crashing-request":  {callers: 6, requestsPerLookup: 3, faults: crashingRequestFaults},
	"region-cut":        {callers: 6, requestsPerLookup: 3, faults: regionCutFaults},
	"mass-replacement":  {callers: 6, requestsPerLookup: 3, faults: []faultEvent{{time.Second, "all engines are replaced", (*run).replaceEngines}}},
	"slow-and-crash":    {callers: 6, requestsPerLookup: 3, faults: append(slices.Clone(slowFaults[:1]), crashFaults...)},
	"crash-in-the-swap": {callers: 6, requestsPerLookup: 3, faults: failedLoadFaults},
}

var slowFaults = []faultEvent{
	{500 * time.Millisecond, "two engines slow to a fifth", func(r *run) { r.setSpeed(0.2) }},
	{3 * time.Second, "the slow engines are back", func(r *run) { r.setSpeed(1) }},
}

var crashFaults = []faultEvent{
	{500 * time.Millisecond, "an engine crashes", func(r *run) { r.cluster.agents[0].engine.Crash() }},
	{1500 * time.Millisecond, "the engine is back", func(r *run) { r.cluster.agents[0].engine.Restart() }},
}

var failedLoadFaults = []faultEvent{
	{600 * time.Millisecond, "loads fail on three engines", func(r *run) { r.setFailLoads(true) }},
	{2 * time.Second, "loads succeed again", func(r *run) { r.setFailLoads(false) }},
}

var storeOutageFaults = []faultEvent{
	{500 * time.Millisecond, "the log is down", func(r *run) { r.cluster.store.SetDown(true) }},
	{2500 * time.Millisecond, "the log is back", func(r *run) { r.cluster.store.SetDown(false) }},
}

var crashingRequestFaults = []faultEvent{
	{500 * time.Millisecond, "a request crashes engines", (*run).sendCrashingRequest},
	{300 * time.Millisecond, "crashed engines are back", (*run).restartCrashedEngines},
	{300 * time.Millisecond, "its caller sends it again", (*run).sendCrashingRequest},
	{300 * time.Millisecond, "crashed engines are back", (*run).restartCrashedEngines},
	{1500 * time.Millisecond, "crashed engines are back", (*run).restartCrashedEngines},
}

var regionCutFaults = []faultEvent{
	{500 * time.Millisecond, "the far region is not heard", func(r *run) { r.setFarRegionCut(true) }},
	{4 * time.Second, "the far region is heard again", func(r *run) { r.setFarRegionCut(false) }},
}

// scene returns the selected scene.
func (o Options) scene() scene { return scenes[o.Scene] }

// sceneNames lists the names of all scenes but the default one.
func sceneNames() string {
	return strings.Join(slices.Sorted(maps.Keys(scenes))[1:], ", ")
}

// checkScene returns an error if the selected scene does not exist.
func (o Options) checkScene() error {
	if _, ok := scenes[o.Scene]; !ok {
		return errors.Errorf("--scene %q is not known; give one of %s", o.Scene, sceneNames())
	}
	return nil
}

// burst adds burstCallers callers for burstDuration.
func (r *run) burst() {
	ctx, cancel := context.WithTimeout(r.cluster.ctx, burstDuration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range burstCallers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(1000+i)))
			for n := 0; ctx.Err() == nil; n++ {
				r.sendDraftOrLookup(ctx, fmt.Sprintf("burst caller %d request %d", i, n), rng)
			}
		})
	}
	wg.Wait()
}

// sendCrashingRequest sends a request that crashes engines through every entry.
func (r *run) sendCrashingRequest() {
	for i, u := range r.cluster.entryURLs() {
		go func() {
			body := fmt.Sprintf("%s", engine.CrashMarker)
			_, err := send(r.cluster.ctx, u, codec.Request{Class: "live-draft", Body: body, MaxTokens: draftTokens})
			r.progressf("crashing request through entry %d: %v", i+1, err)
		}()
	}
}

// restartCrashedEngines restarts every engine that is down.
func (r *run) restartCrashedEngines() {
	for _, a := range r.cluster.agents {
		if a.engine != nil && a.engine.IsDown() {
			a.engine.Restart()
		}
	}
}

// setFailLoads makes the weight loads of every third engine fail, or succeed again.
func (r *run) setFailLoads(on bool) {
	for i, a := range r.cluster.agents {
		if a.engine != nil && i%3 == 0 {
			a.engine.SetFailLoads(on)
		}
	}
}

// replaceEntry kills the last entry and starts a new one, unless it is the only
// entry.
func (r *run) replaceEntry() {
	if len(r.cluster.entryURLs()) < 2 {
		return
	}
	r.cluster.killEntry(len(r.cluster.entries) - 1)
	if err := r.cluster.addEntry(len(r.cluster.entries)); err != nil {
		r.progressf("entry can't be replaced: %v", err)
	}
}

// setFarRegionCut stops the main loops of the far region's agents, so that they
// send no reports, or starts the loops again.
func (r *run) setFarRegionCut(on bool) {
	for i, a := range r.cluster.agents {
		if localities[i%len(localities)].region != "far" {
			continue
		}
		if on {
			a.stop()
			continue
		}
		ctx, stop := context.WithCancel(r.cluster.ctx)
		a.stop = stop
		go a.Run(ctx)
	}
}

// replaceEngines starts a new engine for each existing engine and shuts down the
// agent of the existing one.
func (r *run) replaceEngines() {
	existing := slices.Clone(r.cluster.agents)
	for i, a := range existing {
		if a.engine == nil {
			continue
		}
		if err := r.cluster.addEngine(replacementOffset + i); err != nil {
			r.progressf("engine can't be replaced: %v", err)
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(r.cluster.ctx, shutdownTimeout)
			defer cancel()
			_ = a.Shutdown(ctx)
			a.stop()
			r.cluster.vms.Remove(a.name)
		}()
	}
}

// maxTraceBytes bounds the size of the trace file.
const maxTraceBytes = 20_000_000

// openTrace creates the trace file and returns the recorder that all entries
// share. They can share it because they also share the clock.
func (o Options) openTrace() (*trace.Recorder, error) {
	if o.Trace == "" {
		return nil, nil //nolint:nilnil // A nil recorder drops events.
	}
	f, err := os.Create(o.Trace)
	if err != nil {
		return nil, errors.Wrap(err, "--trace")
	}
	return trace.NewRecorder(f, maxTraceBytes, trace.Header{Node: "deployment", Role: "deployment"})
}
