package demo

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
	"github.com/jujuberamp/jujuberamp/internal/edge/client"
	"github.com/jujuberamp/jujuberamp/internal/edge/httpd"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/node/agent"
	"github.com/jujuberamp/jujuberamp/internal/node/entry"
	"github.com/jujuberamp/jujuberamp/internal/prod/telem"
	"github.com/jujuberamp/jujuberamp/internal/stand/batch"
	"github.com/jujuberamp/jujuberamp/internal/stand/engine"
	"github.com/jujuberamp/jujuberamp/internal/stand/logsvc"
	"github.com/jujuberamp/jujuberamp/internal/stand/plain"
	"github.com/jujuberamp/jujuberamp/internal/stand/score"
	"github.com/jujuberamp/jujuberamp/internal/stand/serve"
	"github.com/jujuberamp/jujuberamp/internal/stand/vmlist"
	"github.com/jujuberamp/jujuberamp/internal/stand/weight"
)

// Names and tokens of the demonstration.
const (
	model             = "notice-model"
	pages             = "notice-pages"
	scorer            = "tone-check"
	callerToken       = "demo-caller"
	trainerToken      = "demo-trainer"
	otherTrainerToken = "demo-trainer-2"
	operatorToken     = "demo-operator"
	innerKey          = "demo-inner-key-0123456789"
	loopback          = "127.0.0.1:0"
)

// Sizes of the demonstration.
const (
	engineSlots = 16
	plainSlots  = 64
	logRate     = 400 // appends/s
	logKeep     = 100_000
	storeRate   = 6 // transfers/s
	listLag     = clock.Second
	loadLag     = 500 * clock.Milli
	swapTime    = 300 * clock.Milli
	callTime    = 3 * clock.Milli
)

// place is where a node runs: two zones in one region, one in another.
type place struct {
	zone   ident.Zone
	region ident.Region
}

var places = []place{{"zone-a", "main"}, {"zone-b", "main"}, {"zone-c", "far"}}

// world is a whole deployment in one process: stand-ins and nodes.
type world struct {
	ctx   context.Context
	clock clock.Clock
	log   zerolog.Logger
	trace *trace.Recorder

	store  *logsvc.Log
	vms    *vmlist.List
	weight *weight.Store
	scorer *score.Scorer
	ledger *plain.RunCounter
	took   clock.Millis // time of a call of the plain service
	plat   string       // URL of the platform
	score  string       // URL of the scoring service

	mu      sync.Mutex
	entries []*runningEntry
	agents  []*runningAgent
	servers []*http.Server
}

type runningEntry struct {
	*entry.Entry
	name ident.Node
	dead bool
	stop context.CancelFunc
}

type runningAgent struct {
	*agent.Agent
	name   ident.Node
	engine *engine.Engine // nil for a plain service
	plain  *plain.Service // nil for an engine
	at     place
	gone   bool // was shut down
	stop   context.CancelFunc
}

func newWorld(ctx context.Context, o Options, log zerolog.Logger, rec *trace.Recorder) (*world, error) {
	c := clock.NewSystem()
	w := &world{
		ctx:    ctx,
		clock:  c,
		log:    log,
		trace:  rec,
		store:  logsvc.New(c, logsvc.Params{Rate: logRate, MaxRecords: logKeep, Seed: o.Seed}),
		vms:    vmlist.New(c, listLag),
		weight: weight.New(c, storeRate),
		scorer: score.New(2 * clock.Milli),
		ledger: plain.NewRunCounter(),
	}
	if !o.NoServiceDelay {
		w.took = callTime
	}
	var err error
	if w.plat, err = w.serve(serve.Platform(w.store, w.vms, w.weight)); err != nil {
		return nil, err
	}
	if w.score, err = w.serve(serve.Scorer(w.scorer)); err != nil {
		return nil, err
	}
	for i := range o.Entries {
		if err := w.addEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range o.Engines {
		if err := w.addEngine(i); err != nil {
			return nil, err
		}
	}
	for i := range o.Apps {
		if err := w.addPlain(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// serve offers a handler on loopback and returns its URL.
func (w *world) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen on loopback")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: clock.Minute.Duration()}
	w.servers = append(w.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return "http://" + ln.Addr().String(), nil
}

func tokens() []httpd.Token {
	mk := func(text string, name ident.Caller, r httpd.Role) httpd.Token {
		return httpd.Token{Digest: sha256.Sum256([]byte(text)), Name: name, Role: r}
	}
	return []httpd.Token{
		mk(callerToken, "branch-app", httpd.RoleCaller),
		mk(trainerToken, "trainer-1", httpd.RoleTrainer),
		mk(otherTrainerToken, "trainer-2", httpd.RoleTrainer),
		mk(operatorToken, "operator-1", httpd.RoleOperator),
	}
}

func (w *world) addEntry(i int) error {
	at := places[i%len(places)]
	name := ident.Node(fmt.Sprintf("entry-%d", i+1))
	m, err := telem.NewMetrics()
	if err != nil {
		return err
	}
	e, err := entry.New(entry.Params{
		Node:         name,
		Zone:         at.zone,
		Region:       at.region,
		HTTPAddr:     loopback,
		InnerAddr:    loopback,
		Key:          []byte(innerKey),
		Tokens:       tokens(),
		PollInterval: 500 * clock.Milli,
		DrainDelay:   500 * clock.Milli,
		Policy:       match.DefaultPolicy(),
		Swap:         swap.DefaultPolicy(),
		Clock:        w.clock,
		Log:          w.log.With().Str("node", string(name)).Logger(),
		Meter:        m.Meter("entry"),
		Metrics:      m.Handler(),
		Trace:        w.trace,
		Source:       client.NewLog(w.plat),
		VMs:          client.NewVMs(w.plat),
		Scorer:       func(ident.Service) (plat.Scorer, error) { return client.NewScorer(w.score), nil },
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(w.ctx)
	go e.Run(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = append(w.entries, &runningEntry{Entry: e, name: name, stop: stop})
	w.vms.Put(plat.VM{Node: name, Role: plat.RoleEntry, Addr: e.Addr(), Zone: at.zone, Region: at.region})
	return nil
}

func (w *world) addEngine(i int) error {
	eng := engine.New(engine.Params{
		Batch:         batch.Params{Slots: engineSlots, Rate: 400, Knee: 8, PrefillRate: 50_000, CachedPrefixes: 64},
		Model:         model,
		Version:       1,
		LoadTime:      swapTime,
		Fenced:        i%2 == 0,
		LoadReportAge: loadLag,
	}, w.clock)
	go eng.Run(w.ctx)
	u, err := w.serve(serve.Engine(eng))
	if err != nil {
		return err
	}
	p := w.agentParams(ident.Node(fmt.Sprintf("agent-%d", i+1)), i)
	p.Slots = engineSlots
	p.Engine = client.NewEngine(u)
	p.Weights = client.NewWeights(w.plat)
	return w.addAgent(p, &runningAgent{engine: eng})
}

func (w *world) addPlain(i int) error {
	svc := plain.New(w.ledger, w.took)
	u, err := w.serve(serve.Plain(svc))
	if err != nil {
		return err
	}
	p := w.agentParams(ident.Node(fmt.Sprintf("agent-app-%d", i+1)), i)
	p.Slots = plainSlots
	p.Service = pages
	p.Plain = client.NewPlain(u)
	return w.addAgent(p, &runningAgent{plain: svc})
}

func (w *world) agentParams(name ident.Node, i int) agent.Params {
	at := places[i%len(places)]
	return agent.Params{
		Node:            name,
		Zone:            at.zone,
		Region:          at.region,
		InnerAddr:       loopback,
		Key:             []byte(innerKey),
		ReportInterval:  250 * clock.Milli,
		AnswerRetention: 2 * clock.Minute,
		Clock:           w.clock,
		Log:             w.log.With().Str("node", string(name)).Logger(),
		Meter:           noop.NewMeterProvider().Meter(""),
		VMs:             client.NewVMs(w.plat),
	}
}

func (w *world) addAgent(p agent.Params, r *runningAgent) error {
	a, err := agent.New(p)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(w.ctx)
	go a.Run(ctx)
	r.Agent, r.name, r.stop = a, p.Node, stop
	r.at = place{p.Zone, p.Region}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agents = append(w.agents, r)
	w.vms.Put(plat.VM{Node: p.Node, Role: plat.RoleAgent, Addr: a.Addr(), Zone: p.Zone, Region: p.Region})
	return nil
}

// urls returns the outer addresses of the entries that are alive.
func (w *world) urls() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, e := range w.entries {
		if !e.dead {
			out = append(out, e.URL())
		}
	}
	return out
}

// confirms reports whether an engine's record confirms a part of an answer.
func (w *world) confirms(prompt []byte, seed int64, s plat.Span) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.agents {
		if a.engine != nil && a.engine.VerifySpan(prompt, seed, s) {
			return true
		}
	}
	return false
}

// killEntry stops an entry's servers at once.
func (w *world) killEntry(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.entries[i]
	e.dead = true
	e.stop()
	e.Close()
	w.vms.Remove(e.name)
}

func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.entries {
		e.stop()
		e.Close()
	}
	for _, a := range w.agents {
		a.stop()
		a.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}
