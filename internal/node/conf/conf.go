// Package conf keeps the configuration, the named versions and the backend
// servers of a node up to date from the platform's store.
//
// Readers take snapshots by atomic pointer. A configuration or version in
// force never falls while the process runs.
//
// # Usage
//
//	f := conf.New(decoder, clock, log)
//	go f.Run(ctx, store)
//	cfg := f.Config()
package conf

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/node/logs"
)

// Change is a decoded record of the operator's topic.
type Change struct {
	Config  *router.Config
	Model   string
	Version int64
}

// Decoder names the topics and decodes their records.
type Decoder struct {
	OperatorTopic string
	ServersTopic  string
	PlansTopic    string
	DecodeKeyed   func(offset int64, rec []byte) (plat.Keyed, error)
	DecodeChange  func(key string, value []byte) (Change, error)
	DecodeServer  func(id string, value []byte) (*fleet.Server, error)
}

// expireEach is how often lapsed servers are looked for.
const expireEach = 200 * clock.Milli

// Follower follows both topics.
type Follower struct {
	dec   Decoder
	clock clock.Clock
	log   zerolog.Logger

	config   atomic.Pointer[router.Config]
	versions atomic.Pointer[map[string]int64]
	view     atomic.Pointer[fleet.View]
	demand   atomic.Pointer[map[string]int64]

	mu      sync.Mutex
	list    *fleet.List
	changed func()
}

// New returns a follower that knows nothing yet.
func New(dec Decoder, c clock.Clock, log zerolog.Logger) *Follower {
	f := &Follower{dec: dec, clock: c, log: log, list: fleet.New(), changed: func() {}}
	f.versions.Store(&map[string]int64{})
	f.view.Store(f.list.View())
	f.demand.Store(&map[string]int64{})
	return f
}

// OnChange sets what is called after each change of the servers or versions;
// call it before Run.
func (f *Follower) OnChange(fn func()) { f.changed = fn }

// Config returns the configuration in force, nil before the first is known.
func (f *Follower) Config() *router.Config { return f.config.Load() }

// Servers returns the backend servers.
func (f *Follower) Servers() *fleet.View { return f.view.Load() }

// Demand returns the demand by which engines share out the models.
func (f *Follower) Demand() map[string]int64 { return *f.demand.Load() }

// Version returns the newest named version of a model; engines start at 1.
func (f *Follower) Version(model string) int64 { return max(1, (*f.versions.Load())[model]) }

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context, store plat.Store) {
	go logs.FollowKeyed(ctx, store, logs.Subscription{
		Topic: f.dec.OperatorTopic, DecodeKeyed: f.dec.DecodeKeyed,
		OnSnapshot: logs.Each(f.operator), OnRecord: f.operator,
	}, f.log)
	go logs.FollowKeyed(ctx, store, logs.Subscription{
		Topic: f.dec.PlansTopic, DecodeKeyed: f.dec.DecodeKeyed,
		OnSnapshot: logs.Each(f.plan), OnRecord: f.plan,
	}, f.log)
	go clock.Every(ctx, expireEach, f.expire)
	logs.FollowKeyed(ctx, store, logs.Subscription{Topic: f.dec.ServersTopic, DecodeKeyed: f.dec.DecodeKeyed, OnSnapshot: f.all, OnRecord: f.one, OnAvailability: f.state}, f.log)
}

func (f *Follower) operator(k plat.Keyed) {
	if k.Value == nil {
		return // What the operator named stays in force.
	}
	ch, err := f.dec.DecodeChange(k.Key, k.Value)
	switch {
	case err != nil:
		f.log.Error().Err(err).Int64("offset", k.Offset).Msg("conf: record passed over, the one before stays in force")
	case ch.Config != nil:
		old := f.config.Load()
		if old != nil && old.Version() >= ch.Config.Version() {
			return
		}
		f.config.Store(ch.Config)
		f.log.Info().Int64("version", ch.Config.Version()).Int64("offset", k.Offset).Msg("conf: configuration in force")
		f.changed()
	case ch.Model != "" && ch.Version > f.Version(ch.Model):
		next := maps.Clone(*f.versions.Load())
		next[ch.Model] = ch.Version
		f.versions.Store(&next)
		f.log.Info().Str("model", ch.Model).Int64("version", ch.Version).Int64("offset", k.Offset).Msg("conf: version named")
		f.changed()
	}
}

func (f *Follower) plan(k plat.Keyed) {
	if k.Key != index.DemandKey || k.Value == nil {
		return
	}
	d, err := index.DecodeDemand(k.Value)
	if err != nil {
		f.log.Error().Err(err).Int64("offset", k.Offset).Msg("conf: plan passed over, the one before stays in force")
		return
	}
	f.demand.Store(&d)
	f.log.Info().Interface("demand", d).Int64("offset", k.Offset).Msg("conf: engines are shared out anew")
	f.changed()
}

// put takes in one entry; one that can't be read counts as dropped.
func (f *Follower) put(k plat.Keyed) {
	now := f.clock.Now()
	old := f.list.ByID(k.Key)
	if k.Value == nil {
		f.list.Drop(now, k.Key)
		f.log.Info().Str("server", k.Key).Int64("offset", k.Offset).Msg("conf: server dropped")
		return
	}
	s, err := f.dec.DecodeServer(k.Key, k.Value)
	if err != nil {
		f.list.Drop(now, k.Key)
		f.log.Warn().Err(err).Int64("offset", k.Offset).Msg("conf: entry names no server")
		return
	}
	f.list.Put(s)
	if old == nil || old.Leaving != s.Leaving || old.StartedAt != s.StartedAt || old.Addr != s.Addr {
		f.log.Info().Str("server", s.ID).Str("service", s.Service).Str("addr", s.Addr).Str("zone", s.Zone).
			Bool("leaving", s.Leaving).Int64("offset", k.Offset).Msg("conf: server listed")
	}
}

func (f *Follower) publish() {
	f.view.Store(f.list.View())
	f.mu.Unlock()
	f.changed()
}

func (f *Follower) one(k plat.Keyed) {
	f.mu.Lock()
	defer f.publish()
	f.put(k)
}

func (f *Follower) all(ks []plat.Keyed) {
	f.mu.Lock()
	defer f.publish()
	ids := make(map[string]bool, len(ks))
	for _, k := range ks {
		ids[k.Key] = true
		f.put(k)
	}
	f.list.Retain(f.clock.Now(), ids)
}

func (f *Follower) state(ok bool) {
	f.mu.Lock()
	defer f.publish()
	if ok {
		f.list.StoreUp(f.clock.Now())
	} else {
		f.list.StoreDown()
	}
}

func (f *Follower) expire() {
	f.mu.Lock()
	gone := f.list.Expire(f.clock.Now())
	if len(gone) == 0 {
		f.mu.Unlock()
		return
	}
	f.log.Info().Strs("servers", gone).Msg("conf: lapsed servers did not come back")
	f.publish()
}
