package conf

import (
	"context"
	"maps"

	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
)

// ReleaseLog reads and changes the releases that are recorded in the store: the versions of
// the software that servers of each service have, or had recently. They outlive all nodes.
type ReleaseLog struct {
	follower *Follower
	store    plat.Store
}

// NewReleaseLog returns the log in the plans topic of a follower.
func NewReleaseLog(f *Follower, store plat.Store) *ReleaseLog { return &ReleaseLog{f, store} }

// Recorded returns the recorded versions by service. It returns false until they were read
// from the store.
func (l *ReleaseLog) Recorded() (map[string]sets.Set[string], bool) {
	releases := l.follower.releases.Load()
	if releases == nil {
		return nil, false
	}
	out := make(map[string]sets.Set[string])
	for _, r := range *releases {
		if out[r.Service] == nil {
			out[r.Service] = make(sets.Set[string])
		}
		out[r.Service].Add(r.Software)
	}
	return out, true
}

// Add records a release.
func (l *ReleaseLog) Add(ctx context.Context, service, software string) error {
	r := index.Release{Service: service, Software: software}
	value, err := index.EncodeRelease(r)
	if err != nil {
		return err
	}
	return l.store.Put(ctx, l.follower.decoder.PlansTopic, index.ReleaseKey(r), value)
}

// Remove removes the record of a release.
func (l *ReleaseLog) Remove(ctx context.Context, service, software string) error {
	r := index.Release{Service: service, Software: software}
	return l.store.Put(ctx, l.follower.decoder.PlansTopic, index.ReleaseKey(r), nil)
}

// applyRelease applies the record of a release to a map by key.
func (f *Follower) applyRelease(releases map[string]index.Release, k plat.Keyed) {
	r := releases[k.Key]
	if k.Value == nil {
		delete(releases, k.Key)
	} else {
		var err error
		if r, err = index.DecodeRelease(k.Value); err != nil {
			f.log.Error().Err(err).Int64("offset", k.Offset).
				Msg("conf: undecodable release skipped, the previous one stays in force")
			return
		}
		releases[k.Key] = r
	}
	f.log.Info().Str("service", r.Service).Str("software", r.Software).Bool("recorded", k.Value != nil).
		Int64("offset", k.Offset).Msg("conf: record of a release changed")
}

// applyPlanSnapshot applies the records of the plans topic.
func (f *Follower) applyPlanSnapshot(ks []plat.Keyed) {
	releases := make(map[string]index.Release)
	for _, k := range ks {
		if index.IsReleaseKey(k.Key) {
			f.applyRelease(releases, k)
		} else {
			f.applyDemand(k)
		}
	}
	f.releases.Store(&releases)
}

// applyPlanRecord applies one record of the plans topic.
func (f *Follower) applyPlanRecord(k plat.Keyed) {
	if !index.IsReleaseKey(k.Key) {
		f.applyDemand(k)
		return
	}
	releases := maps.Clone(*f.releases.Load()) // A snapshot comes before the first record.
	f.applyRelease(releases, k)
	f.releases.Store(&releases)
}
