package duties

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/epoch"
	"github.com/jujuberamp/jujuberamp/internal/decide/scale"
	"github.com/jujuberamp/jujuberamp/internal/decide/usage"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/tally"
)

const (
	// scaleInterval is how often the orders of servers are decided.
	scaleInterval = clock.Second
	// busyDelay is the time after the end of a window by which nodes have stated for how
	// long their requests kept servers busy in it.
	busyDelay = countDelay + countSpread + 500*clock.Milli
	// keptBusyWindows is the number of windows whose statements are kept.
	keptBusyWindows = 4
)

// Scaled is a service with servers on order and what jobs ask of it.
type Scaled struct {
	scale.Service
	Jobs    []scale.Job
	Running int   // items that run now, as far as this node knows
	Ended   int64 // items of the jobs that this node knows that have ended; falls when old jobs are dropped
}

// scaling is the state of the orders of servers.
type scaling struct {
	planner *scale.Planner
	pace    map[string]*scale.Pace
	ended   map[string]int64
	busy    map[string]int64                      // by service, of this node, not written yet
	stated  map[int64]map[string]map[string]int64 // by window, writer and service
	pending map[subject]scale.Order               // orders that were not answered
	token   ident.Offset                          // of the turn in which orders of earlier turns were repeated
}

// subject is a service in a zone.
type subject struct{ service, zone string }

func newScaling(p scale.Policy) *scaling {
	return &scaling{
		planner: scale.New(p), pace: make(map[string]*scale.Pace), ended: make(map[string]int64),
		busy: make(map[string]int64), stated: make(map[int64]map[string]map[string]int64), pending: make(map[subject]scale.Order),
	}
}

// CountBusy counts the time that a request spent at a service.
func (s *Service) CountBusy(service string, took clock.Millis) {
	if names := s.scaledNames.Load(); names == nil || !(*names)[service] {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scaling.busy[service] += int64(took)
}

// takeBusy returns the times that were counted and starts anew.
func (s *Service) takeBusy() map[string]int64 {
	if len(s.scaling.busy) == 0 {
		return nil
	}
	out := s.scaling.busy
	s.scaling.busy = make(map[string]int64)
	return out
}

// applyBusy applies the times that a node states for a window.
func (s *Service) applyBusy(writer string, window int64, busy map[string]int64) {
	if len(busy) == 0 {
		return
	}
	if s.scaling.stated[window] == nil {
		s.scaling.stated[window] = make(map[string]map[string]int64)
	}
	s.scaling.stated[window][writer] = busy
	maps.DeleteFunc(s.scaling.stated, func(k int64, _ map[string]map[string]int64) bool { return k < window-keptBusyWindows })
}

// busySlots returns the number of slots of a service that requests kept busy in the last
// window that all nodes have stated.
func (s *Service) busySlots(service string) float64 {
	k := usage.Window(s.trueTime()-epoch.Unix(busyDelay), int64(s.Info.Window)) - 1
	total := int64(0)
	for _, busy := range s.scaling.stated[k] {
		total += busy[service]
	}
	return float64(total) / float64(s.Info.Window)
}

// scale decides the orders of servers and sends them, while this node is the holder.
// Other candidates watch, so that they know the services when they take over.
func (s *Service) scale(ctx context.Context) {
	clock.Every(ctx, scaleInterval, func() {
		services := s.Scaled()
		names := make(map[string]bool, len(services))
		for _, svc := range services {
			names[svc.Name] = true
		}
		s.scaledNames.Store(&names)
		token, held := s.lease.Held()
		if !held && !s.isCandidate() {
			return
		}
		s.decideOrders(ctx, services, token, held)
		if held {
			s.sendOrders(ctx)
		}
	})
}

// decideOrders plans the orders and writes those that change to the log.
func (s *Service) decideOrders(ctx context.Context, services []Scaled, token ident.Offset, held bool) {
	now := s.Clock.Now()
	s.mu.Lock()
	current := now-s.readAt <= maxReadAge
	var orders []scale.Order
	for _, svc := range services {
		pace := s.scaling.pace[svc.Name]
		if pace == nil {
			pace = &scale.Pace{}
			s.scaling.pace[svc.Name] = pace
			s.scaling.ended[svc.Name] = svc.Ended
			s.Log.Info().Str("service", svc.Name).Int("min", svc.Min).Int("max", svc.Max).Int64("boot-ms", int64(svc.Boot)).
				Interface("present", svc.Present).Msg("duties: service with servers on order")
		}
		pace.Observe(now, svc.Running, int(max(0, svc.Ended-s.scaling.ended[svc.Name])))
		s.scaling.ended[svc.Name] = svc.Ended
		if !held || !current {
			s.scaling.planner.Watch(now, svc.Service)
			continue
		}
		if s.scaling.token != token {
			// Orders of an earlier turn may have been lost.
			for zone := range svc.Present {
				if n, ok := s.scaling.planner.OrderedIn(svc.Name, zone); ok {
					s.scaling.pending[subject{svc.Name, zone}] = scale.Order{Service: svc.Name, Zone: zone, Servers: n, Reason: "repeated by a new holder"}
				}
			}
		}
		load := scale.Load{Busy: s.busySlots(svc.Name), Jobs: svc.Jobs, ItemTime: pace.ItemTime()}
		planned := s.scaling.planner.Plan(now, svc.Service, load)
		for _, o := range planned {
			s.scaling.pending[subject{o.Service, o.Zone}] = o
			s.Log.Info().Str("service", o.Service).Str("zone", o.Zone).Int("servers", o.Servers).Int("present", svc.Present[o.Zone]).
				Str("why", o.Reason).Float64("busy", load.Busy).Int("jobs", len(load.Jobs)).Int64("item-ms", int64(load.ItemTime)).
				Int64("token", int64(token)).Msg("duties: servers ordered")
		}
		orders = append(orders, planned...)
	}
	if held && current {
		s.scaling.token = token
	}
	s.mu.Unlock()
	if len(orders) == 0 {
		return
	}
	records := make([]tally.Record, 0, len(orders))
	for _, o := range orders {
		records = append(records, tally.Record{Kind: tally.Order, Node: s.Self.Name, Service: o.Service, Zone: o.Zone, Servers: o.Servers})
	}
	if err := s.append(ctx, records...); err != nil {
		s.Log.Warn().Err(err).Int("orders", len(orders)).Msg("duties: orders not recorded, the next holder plans from the servers that it sees")
	}
}

// sendOrders sends the orders that were not answered.
func (s *Service) sendOrders(ctx context.Context) {
	s.mu.Lock()
	orders := slices.SortedFunc(maps.Values(s.scaling.pending), func(a, b scale.Order) int {
		return strings.Compare(a.Service+"/"+a.Zone, b.Service+"/"+b.Zone)
	})
	s.mu.Unlock()
	for _, o := range orders {
		err := s.call(ctx, func(ctx context.Context, c plat.DutyCall) error {
			return s.API.OrderEngines(ctx, c, o.Service, o.Zone, o.Servers)
		})
		if errors.Is(err, plat.ErrDutyLost) {
			return
		}
		outcome := "sent"
		switch {
		case errors.Is(err, plat.ErrDutyRefused):
			outcome = "refused"
		case err != nil:
			outcome = "no-answer"
		}
		s.Count("orders-of-servers", outcome)
		s.Log.Info().Err(err).Str("service", o.Service).Str("zone", o.Zone).Int("servers", o.Servers).Str("outcome", outcome).
			Msg("duties: order of servers")
		if outcome != "no-answer" {
			s.mu.Lock()
			if k := (subject{o.Service, o.Zone}); s.scaling.pending[k] == o {
				delete(s.scaling.pending, k)
			}
			s.mu.Unlock()
		}
		s.pause(ctx)
		if outcome == "no-answer" {
			return
		}
	}
}
