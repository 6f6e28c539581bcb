package origin

import (
	"context"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
)

const (
	// releaseInterval is the interval at which the recorded releases are compared with
	// the listed ones. A new release is recorded at once by the first entry by rank.
	releaseInterval = 2 * clock.Second
	// releaseTimeout bounds one change of the record in the store.
	releaseTimeout = clock.Second
	// recorders is the number of entries that change the record of a service's releases.
	recorders = 2
)

// Releases are the versions of the software of each service that are recorded in the
// platform's store; see [conf.ReleaseLog].
type Releases interface {
	// Recorded returns the versions by service, and false until they were read.
	Recorded() (map[string]sets.Set[string], bool)
	Add(ctx context.Context, service, software string) error
	Remove(ctx context.Context, service, software string) error
}

// Run keeps the copies of origins complete (rule 5), writes them to the platform's store (rule
// 7) and records releases (rule 6) until the context ends.
func (s *Store) Run(ctx context.Context) {
	go s.journal.run(ctx)
	go s.journal.runReads(ctx)
	go s.storeOrigins(ctx)
	go clock.Every(ctx, readAheadInterval, s.readAhead)
	go clock.Every(ctx, cleanInterval, func() { s.cleanJournal(ctx) })
	go s.restore(ctx)
	go s.followPeers(ctx)
	ticker := time.NewTicker(releaseInterval.Duration())
	defer ticker.Stop()
	for {
		ranks := 1
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-ticker.C:
			ranks = recorders
		}
		s.recordReleases(ctx, ranks)
	}
}

// recordReleases records the releases that are listed, and removes the record of those
// that were not listed for the lifetime of a stream, for the services of which this entry
// is among the first by rank.
func (s *Store) recordReleases(ctx context.Context, ranks int) {
	recorded, ok := s.Releases.Recorded()
	if !ok {
		return
	}
	for _, c := range s.releaseChanges(recorded) {
		if !s.isRecorder(c.service, ranks) {
			continue
		}
		change := s.Releases.Remove
		if c.listed {
			change = s.Releases.Add
		}
		changeCtx, cancel := context.WithTimeout(ctx, releaseTimeout.Duration())
		err := change(changeCtx, c.service, c.software)
		cancel()
		if err != nil && ctx.Err() == nil {
			s.Log.Warn().Str("service", c.service).Str("software", c.software).Bool("listed", c.listed).Err(err).
				Msg("origin: record of a release not changed, tried again")
		}
	}
}

// releaseChange is a release whose record differs from what this entry observes.
type releaseChange struct {
	service, software string
	listed            bool
}

// releaseChanges compares recorded releases with the observed ones.
func (s *Store) releaseChanges(recorded map[string]sets.Set[string]) []releaseChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []releaseChange
	for service, versions := range s.listed {
		for v := range versions {
			if !recorded[service].Has(v) {
				out = append(out, releaseChange{service, v, true})
			}
		}
	}
	if !s.hasObserved() {
		return out
	}
	for service, versions := range recorded {
		recent := sets.Of(s.softwareOf(service)...)
		for v := range versions {
			if !recent.Has(v) {
				out = append(out, releaseChange{service, v, false})
			}
		}
	}
	return out
}

// isRecorder reports whether this entry is one of the first by rank for a service.
func (s *Store) isRecorder(service string, ranks int) bool {
	peers, _ := s.Peers()
	for _, p := range spread.TopPeers("release/"+service, peers, ranks) {
		if p.Name == s.Self {
			return true
		}
	}
	return false
}
