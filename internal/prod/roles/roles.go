// Package roles runs the two kinds of processes on the platform: the entry, which
// serves clients' requests, and the agent, which runs beside a model engine.
//
// # Usage
//
//	err := roles.RunEntry(roles.StopSignal(), os.Getenv(platform.SettingsVar), os.Stdout)
//	err := roles.RunAgent(roles.StopSignal(), os.Getenv(platform.SettingsVar), os.Stdout)
//
// A process reloads its settings file on SIGHUP and when the file's content changes.
package roles

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/early"
	"github.com/jujuberamp/jujuberamp/internal/decide/hold"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/dial"
	"github.com/jujuberamp/jujuberamp/internal/edge/listen"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
	"github.com/jujuberamp/jujuberamp/internal/node/relay"
	"github.com/jujuberamp/jujuberamp/internal/prod/telem"
	"github.com/jujuberamp/jujuberamp/platform"
)

const (
	// MetricsPort is the port at which both roles serve their metrics. It is outside
	// the port ranges that the platform assigns.
	MetricsPort = 9464
	// logBufferLines is the number of log lines buffered for a slow reader of the
	// log. Further lines are dropped and counted.
	logBufferLines  = 1000
	logPollInterval = 20 * time.Millisecond
	// settingsPollInterval is the interval at which the settings file is checked for
	// changes.
	settingsPollInterval = clock.Second
	// gcPercent is the growth of the heap that starts a garbage collection. It is
	// lower than Go's default because memory costs more than CPU time here.
	gcPercent = 40
	// maxInnerHeaderBytes and innerHeaderTimeout bound heads of other nodes and of
	// operators' tools, which are small and sent at once.
	maxInnerHeaderBytes = 64 << 10
	innerHeaderTimeout  = clock.Second
	// idleStoreConns is the number of idle connections retained to the store. Long
	// polls use three of them.
	idleStoreConns = 8
)

// process is the common part of both roles.
type process struct {
	role           string
	settingsPath   string
	settings       atomic.Pointer[plat.Settings]
	settingsText   []byte // content of the settings file when it was last read
	self           joblog.Node
	clock          clock.Clock
	log            zerolog.Logger
	meters         *telem.Metrics
	directStore    *platform.Store
	store          *relay.Store // uses relay peers if the store can't be reached directly
	conf           *conf.Follower
	writer         *logs.Writer
	peerAddrs      func() []string   // inner addresses of the relay peers
	innerTransport http.RoundTripper // for requests to other nodes
	countEvent     func(name, label string)
	operators      *http.ServeMux // at the address of the metrics
	closers        []func() error // called in reverse order when the process ends
}

// close calls the closers.
func (p *process) close() {
	for _, closer := range slices.Backward(p.closers) {
		if err := closer(); err != nil {
			p.log.Info().Err(err).Msg("roles: closing failed")
		}
	}
}

// start reads the settings and sets up the parts that both roles use.
func start(ctx context.Context, role, path string, out io.Writer) (*process, error) {
	debug.SetGCPercent(gcPercent)
	settings, text, err := platform.ReadSettings(path)
	if err != nil {
		return nil, err
	}
	if limit := hold.GCLimit(settings.MemoryMB); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	p := &process{role: role, settingsPath: path, settingsText: text, clock: clock.NewSystem()}
	p.settings.Store(settings)
	incarnation := make([]byte, 6)
	if _, err := rand.Read(incarnation); err != nil {
		return nil, errors.Wrap(err, "incarnation")
	}
	p.self = joblog.Node{Name: settings.Node, Boot: hex.EncodeToString(incarnation)}
	var dropped atomic.Int64
	w := diode.NewWriter(out, logBufferLines, logPollInterval, func(n int) { dropped.Add(int64(n)) })
	p.closers = append(p.closers, w.Close)
	p.log = telem.RateLimited(telem.NewLogger(w, "info", role), func() { dropped.Add(1) })
	if retention := settings.Store.Retention; retention > 0 && retention < settings.ResultRetention {
		p.log.Error().Int64("retention-ms", int64(retention)).Int64("promised-ms", int64(settings.ResultRetention)).
			Msg("roles: the store drops results before the time for which they are promised; raise its retention")
	}
	if p.meters, err = telem.NewMetrics(); err != nil {
		return nil, err
	}
	if p.countEvent, err = newEventCounter(p.meters.Meter(role), &dropped); err != nil {
		return nil, err
	}
	p.innerTransport = dial.NewTransport(16, 0)
	p.directStore = platform.NewStore(func() string { return p.settings.Load().Store.Address },
		&http.Client{Transport: dial.NewTransport(idleStoreConns, 0)})
	p.peerAddrs = p.configuredPeers
	p.store = relay.New(p.directStore, func() []string { return p.peerAddrs() }, p.innerTransport, p.clock, p.log)
	p.conf = conf.New(conf.Decoder{
		OperatorTopic: platform.TopicOperator, ServersTopic: platform.TopicServers, PlansTopic: platform.KeyedTopic(index.PlansTopic),
		DecodeKeyed: platform.DecodeKeyed,
		DecodeChange: func(key string, value []byte) (conf.Change, error) {
			c, err := platform.DecodeChange(key, value)
			return conf.Change(c), err
		},
		DecodeServer: platform.DecodeServer,
	}, p.clock, p.log)
	p.writer = logs.NewWriter(ctx, p.store, p.self.Name+"/"+p.self.Boot, settings.Store.MaxAppendBytes, p.log)
	p.writer.SetMaxRecordBytes(settings.Store.MaxRecordBytes)
	go p.watchSettings(ctx, early.ReloadSignals())
	p.serveMetrics()
	p.log.Info().Str("node", settings.Node).Str("incarnation", p.self.Boot).Str("zone", settings.Zone).Str("inner", settings.InnerAddr).
		Str("store", settings.Store.Address).Msg("roles: started")
	return p, nil
}

// newEventCounter returns a function that counts events by name and label.
func newEventCounter(m metric.Meter, dropped *atomic.Int64) (func(name, label string), error) {
	c, err := m.Int64Counter("events", metric.WithDescription("Decisions by name and outcome"))
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	_, err = m.Int64ObservableCounter("log.dropped", metric.WithDescription("Log lines dropped beyond the rate or because their reader was slow"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(dropped.Load())
			return nil
		}))
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	return func(name, label string) {
		c.Add(context.Background(), 1, metric.WithAttributes(attribute.String("name", name), attribute.String("outcome", label)))
	}, nil
}

// configuredPeers returns the inner addresses of other VMs: the seeds from the
// settings and the VMs with an engine, each of which runs an agent. A network
// partition between the entries may leave the agents reachable.
func (p *process) configuredPeers() []string {
	settings := p.settings.Load()
	var out []string
	add := func(addr string) {
		if host, _, err := net.SplitHostPort(addr); err == nil && host != settings.IP {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(settings.InnerPort)))
		}
	}
	for _, s := range settings.Seeds {
		add(s)
	}
	if cfg := p.conf.Config(); cfg != nil {
		for service := range cfg.Models() {
			for _, s := range p.conf.Servers().ByService(service) {
				add(s.Addr)
			}
		}
	}
	return out
}

// watchSettings reloads the settings on SIGHUP and when the file has changed.
func (p *process) watchSettings(ctx context.Context, hup <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
		}
		text, err := os.ReadFile(p.settingsPath)
		if err != nil {
			p.log.Warn().Err(err).Msg("roles: settings can't be read, the previous ones stay in force")
			continue
		}
		if string(text) == string(p.settingsText) {
			continue
		}
		p.settingsText = text
		settings, err := platform.DecodeSettings(text)
		if err != nil {
			p.log.Error().Err(err).Msg("roles: settings refused, the previous ones stay in force")
			continue
		}
		p.settings.Store(settings)
		p.log.Info().Str("store", settings.Store.Address).Strs("seeds", settings.Seeds).Msg("roles: settings reloaded")
	}
}

// serveMetrics serves the metrics. The process runs without them if that fails.
func (p *process) serveMetrics() {
	p.operators = http.NewServeMux()
	p.operators.Handle("GET /metrics", p.meters.Handler())
	if err := p.serve("metrics", net.JoinHostPort(p.settings.Load().IP, strconv.Itoa(MetricsPort)), hold.ProbeBounds(), p.operators); err != nil {
		p.log.Warn().Err(err).Msg("roles: metrics are not served")
	}
}

// serve serves HTTP on an address until the process ends. The name of the server is
// used in errors and log lines.
func (p *process) serve(name, addr string, bounds hold.Bounds, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, name)
	}
	srv := listen.New(h, p.log)
	srv.SetBounds(bounds, p.countNoRoom)
	srv.SetLimits(router.Limits{MaxHeaderBytes: maxInnerHeaderBytes, HeaderTimeout: innerHeaderTimeout})
	p.closers = append(p.closers, srv.Close, ln.Close)
	go func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) {
			p.log.Error().Err(err).Str("addr", addr).Msg("roles: " + name + " no longer served")
		}
	}()
	return nil
}

// countNoRoom counts callers and nodes for which there was no room.
func (p *process) countNoRoom(r hold.Reason) { p.countEvent("no-room", string(r)) }

// serveInner serves requests of other nodes.
func (p *process) serveInner(h http.Handler) error {
	settings := p.settings.Load()
	return p.serve("inner address", settings.InnerAddr, hold.InnerBoundsOf(settings.MemoryMB, settings.MaxFDs), h)
}

// StopSignal returns a channel that is closed by the first SIGTERM or SIGINT. Further
// SIGTERMs are ignored, so that a repeated one doesn't interrupt requests in progress.
// A second SIGINT ends the process immediately.
func StopSignal() <-chan struct{} {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	go func() {
		<-sig
		signal.Reset(syscall.SIGINT)
		close(done)
	}()
	return done
}
