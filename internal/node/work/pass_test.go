package work

import (
	"context"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/decide/sched"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

const (
	passSlots = 6
	never     = 100 * clock.Hour
)

// passWorker returns a worker with one open job in a fleet of n engines. It runs no
// passes by itself, and asks no agent for its state.
func passWorker(t testing.TB, n, items int) (*Worker, *job) {
	const never = 100 * 60 * clock.Minute
	cfg := router.New(1, router.Limits{}, []*router.Route{
		{Host: "h", Prefix: "/p/", Kind: router.Rollout, Backends: []router.Backend{{Service: "s", Weight: 1}}, DueAfter: 7 * clock.Second, MaxAttempts: 3},
	}, []*router.Service{{Name: "s", Slots: passSlots, Models: []string{"m"}}})
	store := topic.New()
	for i := range n {
		store.Write("servers", fmt.Sprintf("i-%04d", i), fmt.Appendf(nil, "10.0.%d.%d:80", i/250, i%250))
	}
	store.Write("op", "config", []byte("c"))
	follower := conf.New(conf.Decoder{
		OperatorTopic: "op", ServersTopic: "servers", PlansTopic: "plans", DecodeKeyed: topic.DecodeKeyed,
		DecodeChange: func(string, []byte) (conf.Change, error) { return conf.Change{Config: cfg}, nil },
		DecodeServer: func(id string, value []byte) (*fleet.Server, error) {
			return &fleet.Server{ID: id, Addr: string(value), Service: "s", Slots: passSlots, LoadedVersions: map[string]int64{"m": 1}}, nil
		},
	}, clock.NewSystem(), zerolog.Nop())
	go follower.Run(t.Context(), store)
	for follower.Config() == nil || len(follower.Servers().ByService("s")) < n {
		time.Sleep(10 * time.Millisecond)
	}
	w := New(Params{Conf: follower, AgentPort: 81, Clock: clock.NewSystem(), Log: zerolog.Nop()})
	j := &job{id: "j", host: "h", path: "/p/x", model: "m", acceptedAt: w.Clock.Now(), startedAt: w.Clock.Now()}
	j.ctx, j.cancel = context.WithCancel(t.Context())
	j.items, j.states = make([]joblog.Item, items), make([]itemState, items)
	for i := range j.items {
		j.items[i].LengthHint = 12
	}
	w.jobs[j.id] = j
	for _, s := range follower.Servers().ByService("s") {
		e := w.engine(s)
		e.eventInterval, e.lastSeen, e.askAfter = 40, never, never
	}
	return w, j
}

// passCases are states of a job and its engines.
var passCases = map[string]func(w *Worker, j *job){
	"running": startAll,
	"running, slow moments": func(w *Worker, j *job) {
		startAll(w, j)
		for _, e := range w.engines {
			e.slowUntil = never
		}
	},
	"engines full": func(w *Worker, _ *job) { fillEngines(w) },
	"engines full some time ago": func(w *Worker, _ *job) {
		fillEngines(w)
		outdateStates(w)
	},
	"states unknown": func(w *Worker, _ *job) {
		outdateStates(w)
		for _, e := range w.engines {
			e.backoffUntil = never
		}
	},
}

// startAll makes all items of a job run, spread over the engines.
func startAll(w *Worker, j *job) {
	engines := w.Conf.Servers().ByService("s")
	for i := range j.states {
		s := engines[i%len(engines)]
		j.states[i].phase, j.states[i].current = inFlight, &attempt{server: s, cancel: func() {}}
		w.engine(s).ownRuns++
	}
}

func fillEngines(w *Worker) {
	for _, e := range w.engines {
		e.otherRuns = passSlots
	}
}

func outdateStates(w *Worker) {
	for _, e := range w.engines {
		e.lastSeen = w.Clock.Now() - 10*clock.Second
	}
}

// BenchmarkPass measures a pass of an owner whose job has 128 items.
func BenchmarkPass(b *testing.B) {
	for _, name := range slices.Sorted(maps.Keys(passCases)) {
		for _, n := range []int{10, 30, 100, 300} {
			b.Run(fmt.Sprintf("%s/%d-engines", name, n), func(b *testing.B) {
				w, j := passWorker(b, n, 128)
				passCases[name](w, j)
				b.ReportAllocs()
				for b.Loop() {
					w.assign()
				}
			})
		}
	}
}

// averageBytes returns the average size of what a call allocates.
func averageBytes(call func()) float64 {
	const calls = 50
	call()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		call()
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / calls
}

// passBytes returns the average size of what a pass allocates.
func passBytes(t *testing.T, engines, items int, prepare func(w *Worker, j *job)) float64 {
	w, j := passWorker(t, engines, items)
	prepare(w, j)
	return averageBytes(w.assign)
}

// TestPassCopiesNoItemForEachEngine guards against an owner that uses up a small VM while
// the items of a job wait: what an item costs in a pass must not grow with the engines.
func TestPassCopiesNoItemForEachEngine(t *testing.T) {
	const few, many, fewEngines, manyEngines = 16, 512, 10, 300
	for name, prepare := range passCases {
		t.Run(name, func(t *testing.T) {
			ofItem := func(engines int) float64 {
				return (passBytes(t, engines, many, prepare) - passBytes(t, engines, few, prepare)) / (many - few)
			}
			inFew, inMany := ofItem(fewEngines), ofItem(manyEngines)
			qt.New(t).Check(inMany <= 1.5*inFew+64, qt.IsTrue, qt.Commentf("%.0f bytes for each item with %d engines, %.0f with %d", inFew, fewEngines, inMany, manyEngines))
		})
	}
}

// TestPassAllocationsDoNotGrow guards against an owner that builds its view of the fleet anew
// in each pass, of which it makes one for each run that ends and each state that arrives.
func TestPassAllocationsDoNotGrow(t *testing.T) {
	for name, prepare := range passCases {
		t.Run(name, func(t *testing.T) {
			allocs := func(engines int) float64 {
				w, j := passWorker(t, engines, 128)
				prepare(w, j)
				return testing.AllocsPerRun(20, w.assign)
			}
			few, many := allocs(10), allocs(300)
			qt.New(t).Check(many <= few+10, qt.IsTrue, qt.Commentf("%v allocations with 10 engines, %v with 300", few, many))
		})
	}
}

// TestCandidates checks that what a job keeps from pass to pass is what it would compute anew.
func TestCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := &job{model: "m", minVersion: 2}
		var engines []*fleet.Server
		shares := make(map[string]string)
		for range 10 {
			engines = slices.Clone(engines)
			if len(engines) > 0 && rapid.Bool().Draw(t, "drop") {
				engines = slices.Delete(engines, 0, 1)
			}
			for range rapid.IntRange(0, 3).Draw(t, "new") {
				id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id"))
				engines = slices.DeleteFunc(engines, func(s *fleet.Server) bool { return s.ID == id })
				engines = append(engines, &fleet.Server{
					ID: id, Leaving: rapid.Bool().Draw(t, "leaving"),
					LoadedVersions: map[string]int64{"m": rapid.Int64Range(1, 3).Draw(t, "version")},
				})
				shares[id] = rapid.SampledFrom([]string{"m", "other"}).Draw(t, "model")
			}
			j.setCandidates(engines, shares)
			var want []*fleet.Server
			for _, s := range engines {
				if s.IsLeaving() || shares[s.ID] != j.model && s.LoadedVersions[j.model] < j.minVersion {
					continue
				}
				if i, ok := j.positions[s.ID]; !ok || i != len(want) || j.byID[s.ID] != s {
					t.Fatalf("server %s is not at %d", s.ID, len(want))
				}
				want = append(want, s)
			}
			if !slices.Equal(j.candidates, want) || len(j.byID) != len(want) || len(j.positions) != len(want) {
				t.Fatalf("%d candidates, %d by ID, %d positions, not %d", len(j.candidates), len(j.byID), len(j.positions), len(want))
			}
		}
	})
}

// TestTakeFirst checks that an engine takes the same items as the places of one engine do.
func TestTakeFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		software := rapid.SampledFrom([]string{"1", "2"})
		e := &sched.Engine{ID: "e", Software: software.Draw(t, "software"), Outdated: true, Slots: passSlots}
		pool := sched.New([]*sched.Engine{e, {ID: "other", Software: "1", Slots: passSlots}})
		items := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) sched.Item {
			return sched.Item{
				Received: rapid.IntRange(0, 2).Draw(t, "received"), Software: software.Draw(t, "software"),
				Avoid: sets.Of(rapid.SliceOfN(rapid.Just("e"), 0, 1).Draw(t, "avoid")...),
			}
		}), 0, 20).Draw(t, "items")
		views := make([]*sched.View, len(items))
		for i, it := range items {
			v := pool.View(it)
			views[i] = &v
		}
		n := rapid.IntRange(1, 8).Draw(t, "n")
		want := (&places{[]*sched.Engine{e}, []int{n}}).place(slices.Clone(views), (*sched.View).IsUnknown)
		got := takeFirst(slices.Clone(views), n, func(v *sched.View) bool { return v.IsUnknown(e) })
		if !slices.Equal(got, want) {
			t.Fatalf("%d of %d items are left, not %d", len(got), len(items), len(want))
		}
	})
}
