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

// scene is a load with one kind of fault, for a trace that shows how the
// decisions meet it.
type scene struct {
	callers int // that send at the same time
	lookups int // one request in so many is a lookup
	faults  []mishap
}

const (
	standardScene = ""
	burstCallers  = 40
	burstFor      = time.Second
	replacements  = 100 // number of the first replaced engine
	shutdownFor   = 10 * time.Second
)

// scenes lists all scenes by the name that --scene takes.
var scenes = map[string]scene{
	standardScene:       {callers: callerCount, lookups: 3, faults: schedule},
	"regie-hour":        {callers: 4, lookups: 4},
	"lamphun-hour":      {callers: 12, lookups: 2},
	"burst":             {callers: 4, lookups: 3, faults: []mishap{{500 * time.Millisecond, "40 more callers for a second", (*run).burst}}},
	"swap-under-load":   {callers: 24, lookups: 6},
	"slow-servers":      {callers: 6, lookups: 3, faults: slowFaults},
	"engine-crash":      {callers: 6, lookups: 3, faults: crashFaults},
	"entry-replaced":    {callers: 6, lookups: 3, faults: []mishap{{time.Second, "an entry is replaced", (*run).replaceEntry}}},
	"log-outage":        {callers: 6, lookups: 3, faults: outageFaults},
	"crashing-request":  {callers: 6, lookups: 3, faults: poisonFaults},
	"region-cut":        {callers: 6, lookups: 3, faults: cutFaults},
	"mass-replacement":  {callers: 6, lookups: 3, faults: []mishap{{time.Second, "all engines are replaced", (*run).replaceEngines}}},
	"slow-and-crash":    {callers: 6, lookups: 3, faults: append(slices.Clone(slowFaults[:1]), crashFaults...)},
	"crash-in-the-swap": {callers: 6, lookups: 3, faults: swapCrashFaults},
}

var slowFaults = []mishap{
	{500 * time.Millisecond, "two engines slow to a fifth", func(r *run) { r.slow(0.2) }},
	{3 * time.Second, "the slow engines are back", func(r *run) { r.slow(1) }},
}

var crashFaults = []mishap{
	{500 * time.Millisecond, "an engine crashes", func(r *run) { r.w.agents[0].engine.Crash() }},
	{1500 * time.Millisecond, "the engine is back", func(r *run) { r.w.agents[0].engine.Restart() }},
}

var swapCrashFaults = []mishap{
	{600 * time.Millisecond, "loads fail on three engines", func(r *run) { r.failSwaps(true) }},
	{2 * time.Second, "loads succeed again", func(r *run) { r.failSwaps(false) }},
}

var outageFaults = []mishap{
	{500 * time.Millisecond, "the log is down", func(r *run) { r.w.store.SetDown(true) }},
	{2500 * time.Millisecond, "the log is back", func(r *run) { r.w.store.SetDown(false) }},
}

var poisonFaults = []mishap{
	{500 * time.Millisecond, "a request crashes engines", (*run).poison},
	{300 * time.Millisecond, "crashed engines are back", (*run).restartAll},
	{300 * time.Millisecond, "its caller sends it again", (*run).poison},
	{300 * time.Millisecond, "crashed engines are back", (*run).restartAll},
	{1500 * time.Millisecond, "crashed engines are back", (*run).restartAll},
}

var cutFaults = []mishap{
	{500 * time.Millisecond, "the far region is not heard", func(r *run) { r.cut(true) }},
	{4 * time.Second, "the far region is heard again", func(r *run) { r.cut(false) }},
}

func (o Options) scene() scene { return scenes[o.Scenario] }

// sceneNames lists the names for help texts and errors.
func sceneNames() string {
	return strings.Join(slices.Sorted(maps.Keys(scenes))[1:], ", ")
}

func (o Options) checkScene() error {
	if _, ok := scenes[o.Scenario]; !ok {
		return errors.Errorf("--scene %q is not known; give one of %s", o.Scenario, sceneNames())
	}
	return nil
}

// burst sends with more callers for a while.
func (r *run) burst() {
	ctx, cancel := context.WithTimeout(r.w.ctx, burstFor)
	defer cancel()
	var wg sync.WaitGroup
	for i := range burstCallers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(r.o.Seed, uint64(1000+i)))
			for n := 0; ctx.Err() == nil; n++ {
				r.oneCall(ctx, fmt.Sprintf("burst caller %d request %d", i, n), rng)
			}
		})
	}
	wg.Wait()
}

// poison sends a request that crashes engines through every entry.
func (r *run) poison() {
	for i, u := range r.w.urls() {
		go func() {
			body := fmt.Sprintf("%s", engine.CrashMarker)
			_, err := send(r.w.ctx, u, codec.Request{Class: "live-draft", Body: body, MaxTokens: draftTokens})
			r.say("crashing request through entry %d: %v", i+1, err)
		}()
	}
}

func (r *run) restartAll() {
	for _, a := range r.w.agents {
		if a.engine != nil && a.engine.IsDown() {
			a.engine.Restart()
		}
	}
}

func (r *run) failSwaps(on bool) {
	for i, a := range r.w.agents {
		if a.engine != nil && i%3 == 0 {
			a.engine.SetFailLoads(on)
		}
	}
}

// replaceEntry kills the last entry and starts another one.
func (r *run) replaceEntry() {
	if len(r.w.urls()) < 2 {
		return
	}
	r.w.killEntry(len(r.w.entries) - 1)
	if err := r.w.addEntry(len(r.w.entries)); err != nil {
		r.say("entry can't be replaced: %v", err)
	}
}

// cut keeps the agents of the far region from reporting, or lets them again.
func (r *run) cut(on bool) {
	for i, a := range r.w.agents {
		if places[i%len(places)].region != "far" {
			continue
		}
		if on {
			a.stop()
			continue
		}
		ctx, stop := context.WithCancel(r.w.ctx)
		a.stop = stop
		go a.Run(ctx)
	}
}

// replaceEngines starts a new engine for each old one, which then leaves.
func (r *run) replaceEngines() {
	old := slices.Clone(r.w.agents)
	for i, a := range old {
		if a.engine == nil {
			continue
		}
		if err := r.w.addEngine(replacements + i); err != nil {
			r.say("engine can't be replaced: %v", err)
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(r.w.ctx, shutdownFor)
			defer cancel()
			_ = a.Shutdown(ctx)
			a.stop()
			r.w.vms.Remove(a.name)
		}()
	}
}

// traceLimit bounds a trace of the demonstration.
const traceLimit = 20_000_000

// openTrace returns the recorder that all entries share; their instants come
// from the same clock.
func (o Options) openTrace() (*trace.Recorder, error) {
	if o.Trace == "" {
		return nil, nil //nolint:nilnil // A nil recorder drops events.
	}
	f, err := os.Create(o.Trace)
	if err != nil {
		return nil, errors.Wrap(err, "--trace")
	}
	return trace.NewRecorder(f, traceLimit, trace.Header{Node: "deployment", Role: "deployment"})
}
