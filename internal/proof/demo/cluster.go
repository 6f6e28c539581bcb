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

// Service names, tokens and addresses of the test cluster.
const (
	modelName         = "notice-model"
	plainServiceName  = "notice-pages"
	scorerName        = "tone-check"
	callerToken       = "demo-caller"
	trainerToken      = "demo-trainer"
	otherTrainerToken = "demo-trainer-2"
	operatorToken     = "demo-operator"
	innerKey          = "demo-inner-key-0123456789"
	loopback          = "127.0.0.1:0"
)

// Capacities and delays of the fakes.
const (
	engineSlots              = 16
	plainSlots               = 64
	logAppendsPerSecond      = 400
	maxLogRecords            = 100_000
	weightTransfersPerSecond = 6
	vmListDelay              = clock.Second
	loadReportAge            = 500 * clock.Milli
	loadTime                 = 300 * clock.Milli
	plainCallTime            = 3 * clock.Milli
)

// locality is the zone and region of a node.
type locality struct {
	zone   ident.Zone
	region ident.Region
}

// localities lists the localities that nodes are assigned to in turn.
var localities = []locality{{"zone-a", "main"}, {"zone-b", "main"}, {"zone-c", "far"}}

// cluster is a complete deployment in one process: the nodes and the fakes of
// the platform and of the backend servers.
type cluster struct {
	ctx   context.Context
	clock clock.Clock
	log   zerolog.Logger
	trace *trace.Recorder

	store        *logsvc.Log
	vms          *vmlist.List
	weights      *weight.Store
	scorer       *score.Scorer
	runCounts    *plain.RunCounter
	serviceDelay clock.Millis // duration of a call of the plain service
	platformURL  string       // of the fake platform
	scorerURL    string       // of the fake scoring service

	mu      sync.Mutex
	entries []*runningEntry
	agents  []*runningAgent
	servers []*http.Server
}

// runningEntry is an entry of the cluster and its state in the run.
type runningEntry struct {
	*entry.Entry
	name    ident.Node
	stopped bool               // was killed or is shut down
	stop    context.CancelFunc // cancels the entry's context
}

// runningAgent is an agent of the cluster with its fake backend server.
type runningAgent struct {
	*agent.Agent
	name     ident.Node
	engine   *engine.Engine // nil for a plain service
	plain    *plain.Service // nil for an engine
	locality locality
	shutDown bool
	stop     context.CancelFunc
}

// newCluster starts the fakes, entries and agents of a cluster.
func newCluster(ctx context.Context, opts Options, log zerolog.Logger, rec *trace.Recorder) (*cluster, error) {
	clk := clock.NewSystem()
	c := &cluster{
		ctx:       ctx,
		clock:     clk,
		log:       log,
		trace:     rec,
		store:     logsvc.New(clk, logsvc.Params{Rate: logAppendsPerSecond, MaxRecords: maxLogRecords, Seed: opts.Seed}),
		vms:       vmlist.New(clk, vmListDelay),
		weights:   weight.New(clk, weightTransfersPerSecond),
		scorer:    score.New(2 * clock.Milli),
		runCounts: plain.NewRunCounter(),
	}
	if !opts.NoServiceDelay {
		c.serviceDelay = plainCallTime
	}
	var err error
	if c.platformURL, err = c.serve(serve.Platform(c.store, c.vms, c.weights)); err != nil {
		return nil, err
	}
	if c.scorerURL, err = c.serve(serve.Scorer(c.scorer)); err != nil {
		return nil, err
	}
	for i := range opts.Entries {
		if err := c.addEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range opts.Engines {
		if err := c.addEngine(i); err != nil {
			return nil, err
		}
	}
	for i := range opts.Apps {
		if err := c.addPlain(i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// serve starts an HTTP server on loopback and returns its URL.
func (c *cluster) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen on loopback")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: clock.Minute.Duration()}
	c.servers = append(c.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return "http://" + ln.Addr().String(), nil
}

// tokens returns the access tokens that every entry accepts.
func tokens() []httpd.Token {
	newToken := func(text string, name ident.Caller, r httpd.Role) httpd.Token {
		return httpd.Token{Digest: sha256.Sum256([]byte(text)), Name: name, Role: r}
	}
	return []httpd.Token{
		newToken(callerToken, "branch-app", httpd.RoleCaller),
		newToken(trainerToken, "trainer-1", httpd.RoleTrainer),
		newToken(otherTrainerToken, "trainer-2", httpd.RoleTrainer),
		newToken(operatorToken, "operator-1", httpd.RoleOperator),
	}
}

// addEntry starts entry i+1 and adds it to the VM list.
func (c *cluster) addEntry(i int) error {
	loc := localities[i%len(localities)]
	name := ident.Node(fmt.Sprintf("entry-%d", i+1))
	m, err := telem.NewMetrics()
	if err != nil {
		return err
	}
	e, err := entry.New(entry.Params{
		Node:         name,
		Zone:         loc.zone,
		Region:       loc.region,
		HTTPAddr:     loopback,
		InnerAddr:    loopback,
		Key:          []byte(innerKey),
		Tokens:       tokens(),
		PollInterval: 500 * clock.Milli,
		DrainDelay:   500 * clock.Milli,
		Policy:       match.DefaultPolicy(),
		Swap:         swap.DefaultPolicy(),
		Clock:        c.clock,
		Log:          c.log.With().Str("node", string(name)).Logger(),
		Meter:        m.Meter("entry"),
		Metrics:      m.Handler(),
		Trace:        c.trace,
		Source:       client.NewLog(c.platformURL),
		VMs:          client.NewVMs(c.platformURL),
		Scorer:       func(ident.Service) (plat.Scorer, error) { return client.NewScorer(c.scorerURL), nil },
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(c.ctx)
	go e.Run(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = append(c.entries, &runningEntry{Entry: e, name: name, stop: stop})
	c.vms.Put(plat.VM{Node: name, Role: plat.RoleEntry, Addr: e.Addr(), Zone: loc.zone, Region: loc.region})
	return nil
}

// addEngine starts a fake engine with agent i+1.
func (c *cluster) addEngine(i int) error {
	eng := engine.New(engine.Params{
		Batch:         batch.Params{Slots: engineSlots, Rate: 400, Knee: 8, PrefillRate: 50_000, CachedPrefixes: 64},
		Model:         modelName,
		Version:       1,
		LoadTime:      loadTime,
		Fenced:        i%2 == 0,
		LoadReportAge: loadReportAge,
	}, c.clock)
	go eng.Run(c.ctx)
	u, err := c.serve(serve.Engine(eng))
	if err != nil {
		return err
	}
	p := c.agentParams(ident.Node(fmt.Sprintf("agent-%d", i+1)), i)
	p.Slots = engineSlots
	p.Engine = client.NewEngine(u)
	p.Weights = client.NewWeights(c.platformURL)
	return c.addAgent(p, &runningAgent{engine: eng})
}

// addPlain starts a fake plain service with its agent.
func (c *cluster) addPlain(i int) error {
	svc := plain.New(c.runCounts, c.serviceDelay)
	u, err := c.serve(serve.Plain(svc))
	if err != nil {
		return err
	}
	p := c.agentParams(ident.Node(fmt.Sprintf("agent-app-%d", i+1)), i)
	p.Slots = plainSlots
	p.Service = plainServiceName
	p.Plain = client.NewPlain(u)
	return c.addAgent(p, &runningAgent{plain: svc})
}

// agentParams returns the parameters common to all agents.
func (c *cluster) agentParams(name ident.Node, i int) agent.Params {
	loc := localities[i%len(localities)]
	return agent.Params{
		Node:            name,
		Zone:            loc.zone,
		Region:          loc.region,
		InnerAddr:       loopback,
		Key:             []byte(innerKey),
		ReportInterval:  250 * clock.Milli,
		AnswerRetention: 2 * clock.Minute,
		Clock:           c.clock,
		Log:             c.log.With().Str("node", string(name)).Logger(),
		Meter:           noop.NewMeterProvider().Meter(""),
		VMs:             client.NewVMs(c.platformURL),
	}
}

// addAgent starts an agent and adds it to the VM list.
func (c *cluster) addAgent(p agent.Params, r *runningAgent) error {
	a, err := agent.New(p)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(c.ctx)
	go a.Run(ctx)
	r.Agent, r.name, r.stop = a, p.Node, stop
	r.locality = locality{p.Zone, p.Region}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agents = append(c.agents, r)
	c.vms.Put(plat.VM{Node: p.Node, Role: plat.RoleAgent, Addr: a.Addr(), Zone: p.Zone, Region: p.Region})
	return nil
}

// entryURLs returns the HTTP URLs of the entries that are not stopped.
func (c *cluster) entryURLs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, e := range c.entries {
		if !e.stopped {
			out = append(out, e.URL())
		}
	}
	return out
}

// confirmSpan reports whether the record of an engine confirms that it generated
// a span of an answer.
func (c *cluster) confirmSpan(prompt []byte, seed int64, s plat.Span) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.agents {
		if a.engine != nil && a.engine.VerifySpan(prompt, seed, s) {
			return true
		}
	}
	return false
}

// killEntry stops an entry without draining it and removes it from the VM list.
func (c *cluster) killEntry(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[i]
	e.stopped = true
	e.stop()
	e.Close()
	c.vms.Remove(e.name)
}

// close stops all nodes and fakes.
func (c *cluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entries {
		e.stop()
		e.Close()
	}
	for _, a := range c.agents {
		a.stop()
		a.Close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
}
