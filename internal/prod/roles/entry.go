package roles

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/access"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/hold"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/decide/scale"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/edge/dial"
	"github.com/jujuberamp/jujuberamp/internal/edge/listen"
	"github.com/jujuberamp/jujuberamp/internal/edge/opcli"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/grant"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
	"github.com/jujuberamp/jujuberamp/internal/inner/room"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
	"github.com/jujuberamp/jujuberamp/internal/node/duties"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
	"github.com/jujuberamp/jujuberamp/internal/node/jobs"
	"github.com/jujuberamp/jujuberamp/internal/node/origin"
	"github.com/jujuberamp/jujuberamp/internal/node/places"
	"github.com/jujuberamp/jujuberamp/internal/node/quar"
	"github.com/jujuberamp/jujuberamp/internal/node/rates"
	"github.com/jujuberamp/jujuberamp/internal/node/relay"
	"github.com/jujuberamp/jujuberamp/internal/node/work"
	"github.com/jujuberamp/jujuberamp/platform"
)

const (
	// defaultSubmitTimeout bounds the submission of a job whose client names no
	// deadline.
	defaultSubmitTimeout = 3 * clock.Second
	// storeLivenessTimeout is the time without an answer of the store after which
	// the readiness probe fails, so that the load balancer chooses another VM.
	storeLivenessTimeout = 2 * clock.Second
	// pruneInterval is the interval at which statistics of removed servers are deleted.
	pruneInterval = 5 * clock.Second
	// idleConnsPerServer is the number of idle connections retained to one
	// backend server.
	idleConnsPerServer = 16
)

// entry serves clients' requests. It implements [platform.Frontend].
type entry struct {
	*process
	front  *front.Proxy
	jobs   *jobs.Service
	work   *work.Worker
	duties *duties.Service // nil if the deployment has none

	requests *workspaceCounter
}

func (e *entry) Authorize(host, path string, c access.Credential) (*router.Route, access.Grant, error) {
	return e.front.Authorize(host, path, c)
}

func (e *entry) ResolveJob(ctx context.Context, c access.Credential, clientID string) (string, error) {
	g, err := e.front.AuthorizeJob(c)
	if err != nil {
		return "", err
	}
	e.requests.count(g.Workspace, "job-call")
	return e.jobs.Resolve(ctx, g, clientID)
}

func (e *entry) Limits() router.Limits {
	if c := e.conf.Config(); c != nil {
		return c.Limits()
	}
	return router.Limits{}
}

func (e *entry) Serve(ctx context.Context, r *front.Request, w http.ResponseWriter) error {
	e.requests.count(r.Workspace, "request")
	return e.front.Serve(ctx, r, w)
}

func (e *entry) Submit(ctx context.Context, spec *joblog.Spec, timeLeft clock.Millis) error {
	e.requests.count(spec.Workspace, "job")
	if timeLeft <= 0 {
		timeLeft = defaultSubmitTimeout
	}
	// The submission must not stop halfway when the client disconnects, so it
	// ignores the cancellation and only the timeout bounds it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeLeft.Duration())
	defer cancel()
	e.work.CacheItems(spec)
	if err := e.jobs.Submit(ctx, spec); err != nil {
		e.work.DropItems(spec.ID)
		return err
	}
	return nil
}

func (e *entry) Results(ctx context.Context, job string, after int, wait clock.Millis) (*jobs.ResultPage, error) {
	return e.jobs.Results(ctx, job, after, wait)
}

func (e *entry) ItemBody(ctx context.Context, job, item string) ([]byte, error) {
	return e.jobs.Body(ctx, job, item)
}

func (e *entry) EndJob(ctx context.Context, job string) error { return e.jobs.End(ctx, job) }

func (e *entry) Now() clock.Millis { return e.clock.Now() }

// EntryOptions are the options of an entry that its command line declares.
type EntryOptions struct {
	// LatenessWorth is for how many seconds of one server a job may be one second less late,
	// where servers are on order.
	LatenessWorth float64
}

// DefaultEntryOptions returns the options of an entry without flags.
func DefaultEntryOptions() EntryOptions {
	return EntryOptions{LatenessWorth: scale.DefaultPolicy().LatenessWorth}
}

// RunEntry runs an entry with the default options until stop is closed. It then drains the
// entry within the grace period.
func RunEntry(stop <-chan struct{}, path string, out io.Writer) error {
	return DefaultEntryOptions().Run(stop, path, out)
}

// Run is RunEntry with the options.
func (opts EntryOptions) Run(stop <-chan struct{}, path string, out io.Writer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, err := start(ctx, "entry", path, out)
	if err != nil {
		return err
	}
	defer p.close()
	settings := p.settings.Load()
	latency, err := p.meters.Meter("entry").Float64Histogram("request.duration",
		metric.WithUnit("s"), metric.WithDescription("Time to the end of clients' requests"))
	if err != nil {
		return errors.Wrap(err, "metrics")
	}
	locality := pick.Locality{Zone: settings.Zone, Regions: settings.ZoneRegions, Costs: settings.ZoneCosts}
	requests, err := newWorkspaceCounter(p.meters.Meter("entry"))
	if err != nil {
		return err
	}
	e := &entry{process: p, requests: requests}
	client := platform.NewBackendClient(dial.NewTransport(idleConnsPerServer, 0))
	crashDetector := quar.NewCrashDetector(quar.New(quar.Params{
		Policy: crash.SharedPolicy(), Clock: p.clock, Log: p.log,
	}), func(server string) bool {
		return p.conf.Servers().HasIncarnation(server)
	}, func(ctx context.Context, c crash.Crash) error { return e.jobs.ReportCrash(ctx, c) })
	origins := origin.New(origin.Params{
		Self: ident.Node(p.self.Name), Boot: p.self.Boot, Peers: e.livePeers, Servers: p.conf.Servers,
		Platform: p.store, Topic: platform.KeyedTopic(index.OriginsTopic), DecodeKeyed: platform.DecodeKeyed,
		Resumable: func() bool { cfg := p.conf.Config(); return cfg != nil && cfg.HasResumable() },
		Releases:  conf.NewReleaseLog(p.conf, p.store), Transport: p.innerTransport, Clock: p.clock, Log: p.log,
	})
	limiter := rates.New(rates.Params{
		Self: ident.Node(p.self.Name), Entries: e.recentPeers, AgentPort: settings.InnerPort,
		StatesLeaving: func(server string) bool { return p.conf.Servers().StatesLeaving(server) },
		OnLeaving:     func(s *fleet.Server) { p.conf.RecordLeaving(s.ID, s.StartedAt, "granter") },
		Transport:     p.innerTransport, Clock: p.clock, Log: p.log, Count: p.countEvent,
	})
	keeper := places.New(places.Params{
		Self: ident.Node(p.self.Name), Entries: e.livePeers,
		Servers:  func(service string) []*fleet.Server { return p.conf.Servers().ByService(service) },
		Locality: locality, Transport: p.innerTransport, Clock: p.clock, Log: p.log, Count: p.countEvent,
	})
	var shared front.Places // nil where the deployment doesn't ask for it
	if settings.ScarcePlaces {
		shared = keeper
	}
	e.front = front.New(front.Params{
		Conf: p.conf, Sender: client, Quarantine: crashDetector, Rates: limiter, Origins: origins, Places: shared, Locality: locality,
		Access:    access.Policy{Strict: settings.StrictRevocation, RevokeBound: settings.RevokeBound},
		DrainTime: settings.DrainTime, Clock: p.clock, Log: p.log, OnStart: e.countStart, OnEnd: e.countEnd,
		ObserveZone:    func(zone string) { p.countEvent("zone", zoneLabel(settings, zone)) },
		ObserveRefusal: func(r access.Refusal) { p.countEvent("access", string(r)) },
		Observe: func(route, outcome string, duration clock.Millis) {
			p.countEvent("requests", outcome)
			latency.Record(ctx, duration.Seconds(), metric.WithAttributes(attribute.String("route", route)))
		},
	})
	e.jobs = jobs.New(jobs.Params{
		Self: p.self, Addr: settings.InnerAddr, Zone: settings.Zone, StoreInfo: settings.Store,
		Retention: settings.ResultRetention, PlansTopic: platform.KeyedTopic(index.PlansTopic),
		NodesTopic: platform.KeyedTopic(index.NodesTopic), DecodeKeyed: platform.DecodeKeyed,
		Store: p.store, Writer: p.writer, Clock: p.clock, Log: p.log, OnCrash: crashDetector.RecordCrash,
		TimeOfDay: timeOfDay, OnTimeOfDay: e.observePeerClock,
	})
	e.duties = newDuties(p, e.livePeers, e.scaledServices, opts)
	if err := e.measureDuties(); err != nil {
		return err
	}
	p.peerAddrs = func() []string { return append(p.configuredPeers(), e.jobs.PeerAddrs()...) }
	e.work = work.New(work.Params{
		Self: p.self, Jobs: e.jobs, Proxy: e.front, Conf: p.conf,
		Locality: locality, AgentPort: settings.InnerPort,
		Transport: p.innerTransport, Clock: p.clock, Log: p.log, Count: p.countEvent,
	})
	p.operators.HandleFunc("POST "+opcli.ExplainPath, e.serveExplain)
	srv := listen.New(platform.NewIngress(e, p.log), p.log)
	srv.SetBounds(hold.BoundsOf(settings.MemoryMB, settings.MaxFDs), p.countNoRoom)
	p.conf.OnChange(func() {
		srv.SetLimits(e.Limits())
		origins.ObserveServers()
		e.work.Wake()
	})
	var leaving atomic.Bool
	if err := e.serveReadiness(settings.ReadyAddr, &leaving); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(relay.Prefix, relay.Handler(p.directStore, p.log))
	mux.HandleFunc("GET "+work.IncarnationPath, e.work.ServeIncarnation)
	mux.Handle(grant.Path, grant.Handler(limiter.Grant, p.log))
	mux.Handle(room.Path, room.Handler(keeper.Lease, p.log))
	mux.Handle(resume.RecordPath, resume.RecordHandler(origins.Keep, p.log))
	mux.Handle(resume.FindPath, resume.FindHandler(origins.Answer, p.log))
	mux.Handle(resume.HoldPath, resume.HoldHandler(origins.Hold, p.log))
	mux.Handle(resume.LookUpPath, resume.LookUpHandler(origins.LookUp, p.log))
	mux.Handle(resume.StorePath, resume.StoreHandler(origins.StoreAll, p.log))
	if err := p.serveInner(mux); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", settings.FrontendAddr)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	go func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) {
			p.log.Error().Err(err).Msg("roles: stopped serving clients")
		}
	}()
	go p.conf.Run(ctx, p.store)
	go e.jobs.Run(ctx)
	go crashDetector.Run(ctx)
	workCtx, stopWork := context.WithCancel(ctx)
	defer stopWork()
	go e.work.Run(workCtx)
	go e.work.RunPlanner(workCtx)
	go clock.Every(ctx, pruneInterval, e.front.PruneServers)
	go clock.Every(ctx, pruneInterval, limiter.Prune)
	go clock.Every(ctx, pruneInterval, keeper.Prune)
	go clock.Every(ctx, pruneInterval, origins.Prune)
	go origins.Run(ctx)
	go e.runDuties(ctx)

	<-stop
	leaving.Store(true)
	p.log.Info().Msg("roles: stopping, no longer ready")
	deadline := p.clock.Now() + max(settings.GracePeriod/2, settings.GracePeriod-exitTime)
	go e.handOverDuties(ctx)
	d := drainer{
		work: e.work, jobs: e.jobs, origins: origins, listener: ln, server: srv, stopWork: stopWork, clock: p.clock, log: p.log,
	}
	d.drain(ctx, deadline)
	e.flushDuties(ctx)
	p.log.Info().Msg("roles: stopped")
	return nil
}

// zoneLabel returns the label of a zone in metrics: its name if the settings know it.
func zoneLabel(s *plat.Settings, zone string) string {
	if _, known := s.ZoneRegions[zone]; known {
		return zone
	}
	return "other"
}

// livePeers returns the live entries; see [jobs.Service.LivePeers].
func (e *entry) livePeers() ([]spread.Peer, bool) { return e.jobs.LivePeers() }

// recentPeers returns the entries; see [jobs.Service.RecentPeers].
func (e *entry) recentPeers() ([]spread.Peer, bool) { return e.jobs.RecentPeers() }

// serveReadiness serves the readiness probe and logs each change of readiness.
func (e *entry) serveReadiness(addr string, leaving *atomic.Bool) error {
	mux := http.NewServeMux()
	var wasReady atomic.Bool
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		reason := e.unreadyReason(leaving)
		if ready := reason == ""; wasReady.Swap(ready) != ready {
			e.log.Info().Bool("ready", ready).Str("why", reason).Msg("roles: readiness changed")
		}
		if reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	return e.serve("readiness probe", addr, hold.ProbeBounds(), mux)
}

// unreadyReason returns why the entry isn't ready, or an empty string if it is.
func (e *entry) unreadyReason(leaving *atomic.Bool) string {
	switch {
	case leaving.Load():
		return "stopping"
	case e.conf.Config() == nil:
		return "no configuration is known"
	case !e.jobs.Ready(storeLivenessTimeout):
		return "the store can't be reached"
	}
	return ""
}
