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
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/dial"
	"github.com/jujuberamp/jujuberamp/internal/edge/listen"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
	"github.com/jujuberamp/jujuberamp/internal/node/jobs"
	"github.com/jujuberamp/jujuberamp/internal/node/quar"
	"github.com/jujuberamp/jujuberamp/internal/node/relay"
	"github.com/jujuberamp/jujuberamp/internal/node/work"
	"github.com/jujuberamp/jujuberamp/platform"
)

const (
	// submitFor bounds the acceptance of a job whose client names no limit.
	submitFor = 3 * clock.Second
	// unseen is how long the store may be silent before the balancer should
	// rather choose another VM.
	unseen = 2 * clock.Second
	// balancerFor is how long the balancer may still send new connections
	// after the readiness probe fails: two probes, one a second.
	balancerFor = 2500 * clock.Milli
	// drainShare of the time to stop is left to items in progress; the rest is
	// for handing over and answering.
	drainShare = 0.6
	tidyEach   = 5 * clock.Second
	// handOverFor bounds the storing of texts before a stopping entry leaves its
	// jobs: two appends between regions, and one repeat.
	handOverFor = 500 * clock.Milli
	// engineConns to one server are kept for their next use.
	engineConns = 16
)

// entry joins the parts that clients' requests need.
type entry struct {
	*base
	front *front.Proxy
	board *jobs.Service
	work  *work.Worker
}

func (e *entry) Route(host, path string) (*router.Route, error) { return e.front.Route(host, path) }

func (e *entry) Limits() router.Limits {
	if c := e.conf.Config(); c != nil {
		return c.Limits()
	}
	return router.Limits{}
}

func (e *entry) Serve(ctx context.Context, r *front.Request, w http.ResponseWriter) error {
	return e.front.Serve(ctx, r, w)
}

func (e *entry) Submit(ctx context.Context, s *joblog.Spec, left clock.Millis) error {
	if left <= 0 {
		left = submitFor
	}
	// The record must not be left halfway when the client leaves, so only the
	// time bounds it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left.Duration())
	defer cancel()
	e.work.CacheItems(s)
	if err := e.board.Submit(ctx, s); err != nil {
		e.work.DropItems(s.ID)
		return err
	}
	return nil
}

func (e *entry) Results(ctx context.Context, job string, after int, wait clock.Millis) (*jobs.ResultPage, error) {
	return e.board.Results(ctx, job, after, wait)
}

func (e *entry) ItemBody(ctx context.Context, job, item string) ([]byte, error) {
	return e.board.Body(ctx, job, item)
}

func (e *entry) EndJob(ctx context.Context, job string) error { return e.board.End(ctx, job) }

func (e *entry) Now() clock.Millis { return e.clock.Now() }

// RunEntry runs an entry until a channel is closed, and then finishes what is in
// progress.
func RunEntry(stop <-chan struct{}, path string, out io.Writer) error {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	b, err := start(ctx, "entry", path, out)
	if err != nil {
		return err
	}
	defer b.close()
	boot := b.boot.Load()
	took, err := b.meters.Meter("entry").Float64Histogram("request.duration", metric.WithUnit("s"), metric.WithDescription("Time to the end of clients' requests"))
	if err != nil {
		return errors.Wrap(err, "metrics")
	}
	place := pick.Locality{Zone: boot.Zone, Regions: boot.ZoneRegions}
	e := &entry{base: b}
	engines := platform.NewBackendClient(dial.NewTransport(engineConns, 0))
	ward := quar.NewCrashDetector(quar.New(quar.Params{Policy: crash.SharedPolicy(), Clock: b.clock, Log: b.log}), func(server string) bool {
		return b.conf.Servers().HasIncarnation(server)
	}, func(ctx context.Context, c crash.Crash) error { return e.board.ReportCrash(ctx, c) })
	e.front = front.New(front.Params{
		Conf: b.conf, Sender: engines, Quarantine: ward, Locality: place, Clock: b.clock, Log: b.log,
		Observe: func(route, outcome string, span clock.Millis) {
			b.count("requests", outcome)
			took.Record(ctx, span.Seconds(), metric.WithAttributes(attribute.String("route", route)))
		},
	})
	e.board = jobs.New(jobs.Params{
		Self: b.self, Addr: boot.InnerAddr, Zone: boot.Zone, StoreInfo: boot.Store, Retention: boot.ResultRetention, PlansTopic: platform.KeyedTopic(index.PlansTopic),
		Store: b.store, Writer: b.writer, Clock: b.clock, Log: b.log, OnCrash: ward.RecordCrash,
	})
	b.peers = func() []string { return append(b.around(), e.board.PeerAddrs()...) }
	e.work = work.New(work.Params{
		Self: b.self, Jobs: e.board, Front: e.front, Quarantine: ward, Conf: b.conf, Locality: place, AgentPort: boot.InnerPort,
		Transport: b.inner, Clock: b.clock, Log: b.log, Count: b.count,
	})
	srv := listen.New(platform.NewIngress(e, b.log), b.log)
	b.conf.OnChange(func() {
		srv.SetLimits(e.Limits())
		e.work.Wake()
	})
	var leaving atomic.Bool
	if err := e.probe(boot.ReadyAddr, &leaving); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(relay.Prefix, relay.Handler(b.direct, b.log))
	mux.HandleFunc("GET "+work.AlivePath, e.work.ServeAlive)
	if err := b.serveInner(mux); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", boot.FrontendAddr)
	if err != nil {
		return errors.Wrap(err, "address for clients")
	}
	go func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) {
			b.log.Error().Err(err).Msg("roles: clients not served any more")
		}
	}()
	go b.conf.Run(ctx, b.store)
	go e.board.Run(ctx)
	go ward.Run(ctx)
	workCtx, endWork := context.WithCancel(ctx)
	defer endWork()
	go e.work.Run(workCtx)
	go e.work.RunPlanner(workCtx)
	go clock.Every(ctx, tidyEach, e.front.PruneServers)

	<-stop
	leaving.Store(true)
	b.log.Info().Msg("roles: stopping, not ready any more")
	over := b.clock.Now() + boot.GracePeriod
	e.drain(ctx, ln, srv, endWork, over)
	b.log.Info().Msg("roles: stopped")
	return nil
}

// drain finishes what is in progress, hands the rest over and waits until all
// clients are answered.
func (e *entry) drain(ctx context.Context, ln net.Listener, srv *listen.Server, endWork func(), over clock.Millis) {
	texts, done := context.WithTimeout(ctx, handOverFor.Duration())
	e.work.Checkpoint(texts) // Items go on meanwhile, the store may be slow.
	done()
	e.work.StopAssigning()
	until := e.clock.Now() + clock.Millis(drainShare*float64(over-e.clock.Now()))
	leave, cancel := context.WithTimeout(ctx, (over - e.clock.Now()).Duration())
	defer cancel()
	if err := e.board.AnnounceLeaving(leave); err != nil {
		e.log.Warn().Err(err).Msg("roles: the other nodes were not told; they notice by the silence")
	}
	clock.Sleep(ctx, min(balancerFor, until-e.clock.Now()))
	if err := ln.Close(); err != nil {
		e.log.Info().Err(err).Msg("roles: listener not closed")
	}
	for e.work.InProgress() > 0 && e.clock.Now() < until {
		clock.Sleep(ctx, 50*clock.Milli)
	}
	endWork()
	if err := srv.Shutdown(leave); err != nil {
		e.log.Warn().Err(err).Msg("roles: requests were left unanswered")
	}
}

// probe serves the readiness probe.
func (e *entry) probe(addr string, leaving *atomic.Bool) error {
	mux := http.NewServeMux()
	var was atomic.Bool
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		why := e.unready(leaving)
		if ok := why == ""; was.Swap(ok) != ok {
			e.log.Info().Bool("ready", ok).Str("why", why).Msg("roles: readiness changed")
		}
		if why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
		}
	})
	return e.serve("readiness probe", addr, mux)
}

func (e *entry) unready(leaving *atomic.Bool) string {
	switch {
	case leaving.Load():
		return "stopping"
	case e.conf.Config() == nil:
		return "no configuration is known"
	case !e.board.Ready(unseen):
		return "the store can't be reached"
	}
	return ""
}
