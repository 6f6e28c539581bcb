// Package conf follows the configuration, the announced model versions, the
// demand for models and the list of backend servers in the platform's store.
//
// Readers load immutable snapshots through atomic pointers. The version of the
// configuration and the announced version of a model never decrease while the
// process runs.
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
	"slices"
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

// Change is a decoded record of the operator's topic: a configuration or an
// announced version of a model.
type Change struct {
	Config  *router.Config
	Model   string
	Version int64
}

// Decoder has the names of the topics and the functions that decode their
// records.
type Decoder struct {
	OperatorTopic string
	ServersTopic  string
	PlansTopic    string // topic of the published demand for each model, and of releases
	DecodeKeyed   func(offset int64, rec []byte) (plat.Keyed, error)
	DecodeChange  func(key string, value []byte) (Change, error)
	DecodeServer  func(id string, value []byte) (*fleet.Server, error)
}

// expireInterval is the interval at which expired servers are removed.
const expireInterval = 200 * clock.Milli

// Follower follows the three topics of its [Decoder] and publishes their latest
// state.
type Follower struct {
	decoder Decoder
	clock   clock.Clock
	log     zerolog.Logger

	config   atomic.Pointer[router.Config]
	versions atomic.Pointer[map[string]int64]
	view     atomic.Pointer[fleet.View] // of servers
	demand   atomic.Pointer[map[string]int64]
	releases atomic.Pointer[map[string]index.Release] // by key, nil until the topic was read

	storeDown atomic.Bool // the last read of the servers failed

	// readSince is when the current read of the operator's topic began, or an earlier
	// time, and currentAt when the topic was last known to have no other records.
	readSince atomic.Int64
	currentAt atomic.Int64

	mu       sync.Mutex
	servers  *fleet.List
	onChange func()
}

// New returns a follower without a configuration or servers.
func New(decoder Decoder, c clock.Clock, log zerolog.Logger) *Follower {
	f := &Follower{decoder: decoder, clock: c, log: log, servers: fleet.New(), onChange: func() {}}
	f.versions.Store(&map[string]int64{})
	f.view.Store(f.servers.View())
	f.demand.Store(&map[string]int64{})
	return f
}

// OnChange sets the function that is called after each change of the
// configuration, the versions, the demand or the servers. It must be called
// before Run.
func (f *Follower) OnChange(fn func()) { f.onChange = fn }

// Config returns the configuration in force, or nil if none was read yet.
func (f *Follower) Config() *router.Config { return f.config.Load() }

// Age returns the time since the configuration in force was known to be the newest.
func (f *Follower) Age() clock.Millis { return f.clock.Now() - clock.Millis(f.currentAt.Load()) }

// confirmConfig records that a read of the operator's topic reached its end. The state was
// the newest when the read began, not necessarily when its answer arrived.
func (f *Follower) confirmConfig() {
	f.currentAt.Store(f.readSince.Load())
	f.readSince.Store(int64(f.clock.Now()))
}

// Servers returns the current backend servers.
func (f *Follower) Servers() *fleet.View { return f.view.Load() }

// IsStoreDown reports whether the last read of the store failed.
func (f *Follower) IsStoreDown() bool { return f.storeDown.Load() }

// Demand returns the demand for each model, by which engines are assigned to models.
func (f *Follower) Demand() map[string]int64 { return *f.demand.Load() }

// Version returns the newest announced version of a model, at least 1, which is
// the version that engines start with.
func (f *Follower) Version(model string) int64 { return max(1, (*f.versions.Load())[model]) }

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context, store plat.Store) {
	f.readSince.Store(int64(f.clock.Now()))
	go logs.FollowKeyed(ctx, store, logs.Subscription{
		Topic: f.decoder.OperatorTopic, DecodeKeyed: f.decoder.DecodeKeyed,
		OnSnapshot: f.applyOperatorSnapshot, OnRecord: f.applyOperatorRecord, OnRead: f.confirmConfig,
	}, f.log)
	go logs.FollowKeyed(ctx, store, logs.Subscription{
		Topic: f.decoder.PlansTopic, DecodeKeyed: f.decoder.DecodeKeyed,
		OnSnapshot: f.applyPlanSnapshot, OnRecord: f.applyPlanRecord,
	}, f.log)
	go clock.Every(ctx, expireInterval, f.expireServers)
	logs.FollowKeyed(ctx, store, logs.Subscription{
		Topic: f.decoder.ServersTopic, DecodeKeyed: f.decoder.DecodeKeyed,
		OnSnapshot: f.applyServerSnapshot, OnRecord: f.applyServerRecord,
		OnAvailability: f.setStoreAvailable,
	}, f.log)
}

func (f *Follower) applyOperatorSnapshot(ks []plat.Keyed) {
	for _, k := range ks {
		f.applyOperatorRecord(k)
	}
	f.confirmConfig()
}

func (f *Follower) applyOperatorRecord(k plat.Keyed) {
	if k.Value == nil {
		return // Deleting the record doesn't revoke its configuration or version.
	}
	ch, err := f.decoder.DecodeChange(k.Key, k.Value)
	switch {
	case err != nil:
		f.log.Error().Err(err).Int64("offset", k.Offset).
			Msg("conf: record passed over, the one before stays in force")
	case ch.Config != nil:
		old := f.config.Load()
		if old != nil && old.Version() >= ch.Config.Version() {
			return
		}
		f.config.Store(ch.Config)
		f.log.Info().Int64("version", ch.Config.Version()).Int64("offset", k.Offset).
			Int("workspaces", ch.Config.Workspaces().Len()).Msg("conf: configuration in force")
		f.logProblems(old, ch.Config)
		f.onChange()
	case ch.Model != "" && ch.Version > f.Version(ch.Model):
		next := maps.Clone(*f.versions.Load())
		next[ch.Model] = ch.Version
		f.versions.Store(&next)
		f.log.Info().Str("model", ch.Model).Int64("version", ch.Version).Int64("offset", k.Offset).
			Msg("conf: version announced")
		f.onChange()
	}
}

// logProblems logs what is wrong with the workspaces of a configuration, unless it was
// wrong with those of the one before as well.
func (f *Follower) logProblems(old, cfg *router.Config) {
	var known []string
	if old != nil {
		known = old.Workspaces().Problems()
	}
	for _, problem := range cfg.Workspaces().Problems() {
		if !slices.Contains(known, problem) {
			f.log.Error().Int64("version", cfg.Version()).Msg("conf: " + problem)
		}
	}
}

func (f *Follower) applyDemand(k plat.Keyed) {
	if k.Key != index.DemandKey || k.Value == nil {
		return
	}
	d, err := index.DecodeDemand(k.Value)
	if err != nil {
		f.log.Error().Err(err).Int64("offset", k.Offset).
			Msg("conf: undecodable demand skipped, the previous one stays in force")
		return
	}
	f.demand.Store(&d)
	f.log.Info().Interface("demand", d).Int64("offset", k.Offset).Msg("conf: engines are shared out anew")
	f.onChange()
}

// applyServer applies the record of one server. A record that can't be decoded
// removes the server.
func (f *Follower) applyServer(k plat.Keyed) {
	now := f.clock.Now()
	old := f.servers.ByID(k.Key)
	if k.Value == nil {
		f.servers.Drop(now, k.Key)
		f.log.Info().Str("server", k.Key).Int64("offset", k.Offset).Msg("conf: server removed")
		return
	}
	s, err := f.decoder.DecodeServer(k.Key, k.Value)
	if err != nil {
		f.servers.Drop(now, k.Key)
		f.log.Warn().Err(err).Int64("offset", k.Offset).Msg("conf: entry names no server")
		return
	}
	f.servers.Put(s)
	if old == nil || old.Leaving != s.Leaving || old.StartedAt != s.StartedAt || old.Addr != s.Addr {
		f.log.Info().Str("server", s.ID).Str("service", s.Service).Str("addr", s.Addr).Str("zone", s.Zone).
			Str("software", s.Software).Bool("leaving", s.Leaving).Int64("offset", k.Offset).Msg("conf: server listed")
	}
}

// publishAndUnlock publishes the servers, unlocks f.mu and calls onChange.
func (f *Follower) publishAndUnlock() {
	f.view.Store(f.servers.View())
	f.mu.Unlock()
	f.onChange()
}

func (f *Follower) applyServerRecord(k plat.Keyed) {
	f.mu.Lock()
	defer f.publishAndUnlock()
	f.applyServer(k)
}

func (f *Follower) applyServerSnapshot(ks []plat.Keyed) {
	f.mu.Lock()
	defer f.publishAndUnlock()
	ids := make(map[string]bool, len(ks))
	for _, k := range ks {
		ids[k.Key] = true
		f.applyServer(k)
	}
	f.servers.Retain(f.clock.Now(), ids)
}

// RecordLeaving records that an incarnation of a server states that it leaves, from then
// on whatever the registry says; see package fleet. The source names who said so.
func (f *Follower) RecordLeaving(id string, startedAt int64, source string) {
	listed := f.Servers().ByID(id)
	if listed != nil && listed.StartedAt == startedAt && listed.LeavingSince > 0 {
		return
	}
	f.mu.Lock()
	if !f.servers.RecordLeaving(f.clock.Now(), id, startedAt) {
		f.mu.Unlock()
		return
	}
	f.log.Info().Str("server", id).Int64("started-at", startedAt).Str("source", source).Bool("listed", listed != nil).
		Bool("by-registry", listed != nil && listed.Leaving).Msg("conf: server states that it leaves")
	f.publishAndUnlock()
}

func (f *Follower) setStoreAvailable(ok bool) {
	f.storeDown.Store(!ok)
	f.mu.Lock()
	defer f.publishAndUnlock()
	if ok {
		f.servers.StoreUp(f.clock.Now())
	} else {
		f.servers.StoreDown()
	}
}

func (f *Follower) expireServers() {
	f.mu.Lock()
	expired := f.servers.Expire(f.clock.Now())
	if len(expired) == 0 {
		f.mu.Unlock()
		return
	}
	f.log.Info().Strs("servers", expired).Msg("conf: lapsed servers did not come back")
	f.publishAndUnlock()
}
