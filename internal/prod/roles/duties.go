package roles

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/epoch"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/decide/scale"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/node/duties"
	"github.com/jujuberamp/jujuberamp/platform"
)

const (
	// leaveTimeout bounds the release of the lease when an entry stops: an append at a
	// slow store.
	leaveTimeout = clock.Second
	// flushTimeout bounds the writing of the last counts. It is less than exitTime.
	flushTimeout = 400 * clock.Milli
)

// timeOfDay returns this VM's time of day, which may be wrong.
func timeOfDay() epoch.Unix { return epoch.Unix(time.Now().UnixMilli()) }

// newDuties returns the duties of an entry, nil if the deployment has none.
func newDuties(p *process, peers func() ([]spread.Peer, bool), scaled func() []duties.Scaled, opts EntryOptions) *duties.Service {
	settings := p.settings.Load()
	if settings.Duties.Address == "" {
		return nil
	}
	policy := scale.DefaultPolicy()
	policy.LatenessWorth = opts.LatenessWorth
	return duties.New(duties.Params{
		Self: p.self, Info: settings.Duties, Store: p.store, Writer: p.writer,
		API:   platform.NewDutyAPI(func() string { return p.settings.Load().Duties.Address }),
		Peers: peers, Scaled: scaled, Policy: policy, Clock: clock.NewBoot(), Wall: timeOfDay, Log: p.log, Count: p.countEvent,
	})
}

// measureDuties adds gauges of the status of the duties.
func (e *entry) measureDuties() error {
	if e.duties == nil {
		return nil
	}
	meter := e.meters.Meter("duties")
	var gauges []metric.Observable
	gauge := func(name, text string) metric.Int64ObservableGauge {
		g, err := meter.Int64ObservableGauge(name, metric.WithDescription(text))
		if err == nil {
			gauges = append(gauges, g)
		}
		return g
	}
	held := gauge("duties.held", "1 if this entry holds the duties")
	token := gauge("duties.token", "Fencing token of the holder that this entry knows")
	age := gauge("duties.last.act.age.ms", "Time since the platform last answered this entry")
	last := gauge("usage.last.window", "Newest window of which this entry has sent the report")
	unsent := gauge("usage.unsent", "Windows whose report is written and not sent")
	unreported := gauge("usage.unreported", "Windows that have ended and have no report yet")
	ordered := gauge("servers.ordered", "Servers of a service that are ordered in a zone, 0 if none was ordered")
	present := gauge("servers.present", "Servers of a service with servers on order that take work in a zone")
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := e.duties.Status()
		isHeld := int64(0)
		if s.Held {
			isHeld = 1
		}
		o.ObserveInt64(held, isHeld)
		o.ObserveInt64(token, int64(s.Token))
		o.ObserveInt64(age, int64(s.LastAct))
		o.ObserveInt64(last, s.LastReported)
		o.ObserveInt64(unsent, int64(s.Unsent))
		o.ObserveInt64(unreported, int64(s.Unreported))
		for _, n := range s.Servers {
			labels := metric.WithAttributes(attribute.String("service", n.Service), attribute.String("zone", n.Zone))
			o.ObserveInt64(ordered, int64(n.Ordered), labels)
			o.ObserveInt64(present, int64(n.Present), labels)
		}
		return nil
	}, gauges...)
	return errors.Wrap(err, "metrics of the duties")
}

// countStart counts a client's request that a server began to run.
func (e *entry) countStart(w ident.Workspace, at clock.Millis) {
	if e.duties != nil {
		e.duties.CountRequest(w, e.clock.Now()-at)
	}
}

// countEnd counts the time that a request spent at a service.
func (e *entry) countEnd(service string, took clock.Millis) {
	if e.duties != nil {
		e.duties.CountBusy(service, took)
	}
}

// scaledServices returns the services with servers on order, and what jobs ask of them.
func (e *entry) scaledServices() []duties.Scaled {
	cfg := e.conf.Config()
	if cfg == nil {
		return nil
	}
	var out []duties.Scaled
	for _, svc := range cfg.Scaled() {
		s := duties.Scaled{Service: scale.Service{
			Name: svc.Name, Min: svc.Scaling.Min, Max: svc.Scaling.Max, Boot: svc.Scaling.Boot, Slots: svc.Slots, Present: make(map[string]int),
		}}
		taking := 0
		for _, server := range e.conf.Servers().ByService(svc.Name) {
			s.Present[server.Zone] += 0 // Also a zone in which all servers leave is one of its zones.
			if !server.IsLeaving() {
				s.Present[server.Zone]++
				taking++
			}
			s.Slots = max(s.Slots, server.Slots)
		}
		e.addJobs(cfg, &s, taking*s.Slots)
		out = append(out, s)
	}
	return out
}

// addJobs adds the open jobs that run at a service, which has a number of slots.
func (e *entry) addJobs(cfg *router.Config, s *duties.Scaled, slots int) {
	now := e.clock.Now()
	e.jobs.View(func(ix *joblog.Index, _ bool) {
		ix.EachJob(func(j *joblog.Job) {
			route := cfg.Find(j.Host, j.Path)
			if route == nil || len(route.Backends) == 0 || route.Backends[0].Service != s.Name {
				return
			}
			s.Ended += int64(len(j.Results))
			if j.IsOpen() {
				items := len(j.ItemIDs) - len(j.Results)
				s.Jobs = append(s.Jobs, scale.Job{Items: items, DueIn: j.AppliedAt + route.DueAfter - now})
				s.Running = min(slots, s.Running+items)
			}
		})
	})
}

// observePeerClock takes the time of day that another entry states.
func (e *entry) observePeerClock(node string, at epoch.Unix) {
	if e.duties != nil {
		e.duties.ObservePeerClock(node, at)
	}
}

// runDuties carries out the duties until the context ends.
func (e *entry) runDuties(ctx context.Context) {
	if e.duties != nil {
		e.duties.Run(ctx)
	}
}

// handOverDuties leaves the duties to other entries. Requests are still counted.
func (e *entry) handOverDuties(ctx context.Context) {
	if e.duties != nil {
		ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
		defer cancel()
		e.duties.HandOver(ctx)
	}
}

// flushDuties writes the last counts, after all requests are answered.
func (e *entry) flushDuties(ctx context.Context) {
	if e.duties != nil {
		ctx, cancel := context.WithTimeout(ctx, flushTimeout.Duration())
		defer cancel()
		e.duties.Flush(ctx)
	}
}
