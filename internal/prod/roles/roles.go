// Package roles runs the entry and the agent on the users' platform.
//
// # Usage
//
//	err := roles.Entry(roles.Terminated(), os.Getenv(platform.BootVar), os.Stdout)
//	err := roles.Agent(roles.Terminated(), os.Getenv(platform.BootVar), os.Stdout)
//
// The settings file is read again on SIGHUP and when its content changes.
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
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/edge/dial"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
	"github.com/jujuberamp/jujuberamp/internal/node/relay"
	"github.com/jujuberamp/jujuberamp/internal/prod/telem"
	"github.com/jujuberamp/jujuberamp/platform"
)

const (
	// MetricsPort is where both roles serve their metrics; it lies outside the
	// ports that the platform hands out.
	MetricsPort = 9464
	// logLines are held for a reader of the log that is slow; further ones are
	// dropped and counted.
	logLines = 1000
	logPoll  = 20 * time.Millisecond
	// settingsEach is how often the settings file is compared with the one in
	// force.
	settingsEach = clock.Second
	// heapPercent is how far the heap grows beyond what is in use before it
	// is collected; memory costs more than processor time here.
	heapPercent = 40
	// storeConns to the store are kept; long polls hold three of them.
	storeConns = 8
)

// base is what both roles have.
type base struct {
	role   string
	path   string
	boot   atomic.Pointer[plat.Settings]
	raw    []byte
	self   joblog.Node
	clock  clock.Clock
	log    zerolog.Logger
	meters *telem.Metrics
	direct *platform.Store
	store  *relay.Store
	conf   *conf.Follower
	writer *logs.Writer
	peers  func() []string
	inner  http.RoundTripper // to other nodes
	count  func(name, label string)
	ends   []func() error // what the end of the process closes, last first
}

// close closes what was opened.
func (b *base) close() {
	for _, end := range slices.Backward(b.ends) {
		if err := end(); err != nil {
			b.log.Info().Err(err).Msg("roles: not closed")
		}
	}
}

func start(ctx context.Context, role, path string, out io.Writer) (*base, error) {
	debug.SetGCPercent(heapPercent)
	boot, raw, err := platform.ReadSettings(path)
	if err != nil {
		return nil, err
	}
	b := &base{role: role, path: path, raw: raw, clock: clock.NewSystem()}
	b.boot.Store(boot)
	id := make([]byte, 6)
	if _, err := rand.Read(id); err != nil {
		return nil, errors.Wrap(err, "incarnation")
	}
	b.self = joblog.Node{Name: boot.Node, Boot: hex.EncodeToString(id)}
	var dropped atomic.Int64
	w := diode.NewWriter(out, logLines, logPoll, func(n int) { dropped.Add(int64(n)) })
	b.ends = append(b.ends, w.Close)
	b.log = telem.RateLimited(telem.NewLogger(w, "info", role), func() { dropped.Add(1) })
	if r := boot.Store.Retention; r > 0 && r < boot.ResultRetention {
		b.log.Error().Int64("retention-ms", int64(r)).Int64("promised-ms", int64(boot.ResultRetention)).
			Msg("roles: the store drops results before the time for which they are promised; have it keep records longer")
	}
	if b.meters, err = telem.NewMetrics(); err != nil {
		return nil, err
	}
	if b.count, err = counter(b.meters.Meter(role), &dropped); err != nil {
		return nil, err
	}
	b.inner = dial.NewTransport(16, 0)
	b.direct = platform.NewStore(func() string { return b.boot.Load().Store.Address }, &http.Client{Transport: dial.NewTransport(storeConns, 0)})
	b.peers = b.around
	b.store = relay.New(b.direct, func() []string { return b.peers() }, b.inner, b.clock, b.log)
	b.conf = conf.New(conf.Decoder{
		OperatorTopic: platform.TopicOperator, ServersTopic: platform.TopicServers, PlansTopic: platform.KeyedTopic(index.PlansTopic),
		DecodeKeyed: platform.DecodeKeyed,
		DecodeChange: func(key string, value []byte) (conf.Change, error) {
			c, err := platform.DecodeChange(key, value)
			return conf.Change(c), err
		},
		DecodeServer: platform.DecodeServer,
	}, b.clock, b.log)
	b.writer = logs.NewWriter(ctx, b.store, b.self.Name+"/"+b.self.Boot, boot.Store.MaxAppendBytes, b.log)
	go b.reload(ctx, early.ReloadSignals())
	b.metrics()
	b.log.Info().Str("node", boot.Node).Str("incarnation", b.self.Boot).Str("zone", boot.Zone).Str("inner", boot.InnerAddr).
		Str("store", boot.Store.Address).Msg("roles: started")
	return b, nil
}

// counter returns a function that counts events by a name and a label.
func counter(m metric.Meter, dropped *atomic.Int64) (func(name, label string), error) {
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

// around returns the inner addresses of other VMs: those that the settings
// name, and those with an engine, which each have an agent. A cut between the
// entries need not cut the ways to the agents.
func (b *base) around() []string {
	boot := b.boot.Load()
	var out []string
	add := func(addr string) {
		if host, _, err := net.SplitHostPort(addr); err == nil && host != boot.IP {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(boot.InnerPort)))
		}
	}
	for _, s := range boot.Seeds {
		add(s)
	}
	if cfg := b.conf.Config(); cfg != nil {
		for service := range cfg.Models() {
			for _, s := range b.conf.Servers().ByService(service) {
				add(s.Addr)
			}
		}
	}
	return out
}

// reload reads the settings again on SIGHUP and when the file has changed.
func (b *base) reload(ctx context.Context, hup <-chan os.Signal) {
	tick := time.NewTicker(settingsEach.Duration())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
		}
		raw, err := os.ReadFile(b.path)
		if err != nil {
			b.log.Warn().Err(err).Msg("roles: settings can't be read, those before stay in force")
			continue
		}
		if string(raw) == string(b.raw) {
			continue
		}
		b.raw = raw
		boot, err := platform.DecodeSettings(raw)
		if err != nil {
			b.log.Error().Err(err).Msg("roles: settings refused, those before stay in force")
			continue
		}
		b.boot.Store(boot)
		b.log.Info().Str("store", boot.Store.Address).Strs("seeds", boot.Seeds).Msg("roles: settings reloaded")
	}
}

// metrics serves the metrics; a process goes on without them.
func (b *base) metrics() {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", b.meters.Handler())
	if err := b.serve("metrics", net.JoinHostPort(b.boot.Load().IP, strconv.Itoa(MetricsPort)), mux); err != nil {
		b.log.Warn().Err(err).Msg("roles: metrics are not served")
	}
}

// serve serves HTTP on an address until the process ends.
func (b *base) serve(what, addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, what)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	b.ends = append(b.ends, srv.Close)
	go func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			b.log.Error().Err(err).Str("addr", addr).Msg("roles: " + what + " not served any more")
		}
	}()
	return nil
}

// serveInner listens for other nodes.
func (b *base) serveInner(h http.Handler) error {
	return b.serve("inner address", b.boot.Load().InnerAddr, h)
}

// StopSignal returns a channel that is closed by the signal to stop. Further
// SIGTERMs change nothing, since whoever repeats one must not cut what is in
// progress; a second SIGINT ends the process at once.
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
