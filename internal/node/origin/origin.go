// Package origin remembers which service, with which version of its software, began
// each resumable stream of a client, so that any entry can let the stream go on there.
//
//  1. Before an entry forwards the first event of a stream, it records the origin at a
//     few entries that are chosen by rendezvous hashing of the stream's ID. An origin
//     never changes.
//  2. An entry that a client asks to go on with a stream asks these entries, and the
//     next ones by rank, since entries may have arrived in the meantime.
//  3. If no entry knows the origin, the stream goes on only if all servers that were
//     listed within the lifetime of a stream have one version of the software, as far
//     as the asked entries know. An entry that has not observed the list for so long
//     relies on the releases that are recorded in the store; if it can't read them, if
//     it does not know the other entries yet, or if an asked one does not answer, the
//     stream does not go on.
//  4. An entry that stops hands its origins to the next entries by rank.
//  5. An entry that starts asks all others for the origins that it is to keep, unless no
//     stream can be resumed. It says for how long it has known all of them: since it
//     started or, once all others have answered, as long as the last one of them. When
//     entries are gone, the others pass their origins on to the next ones by rank. So the
//     loss of entries one after the other loses no origin, and "nobody knows" is told from
//     "nobody has seen the stream begin".
//  6. Each release that is listed is recorded in the store, and the record is removed
//     once an entry has not seen the release listed for the lifetime of a stream. Two
//     entries by rank do so.
//  7. Origins are also written to the platform's store, where they outlive all entries:
//     behind the first event, gathered by a few entries that write for the others. If no
//     entry knows an origin, one of these few looks it up there.
//
// Origins are kept for the lifetime of a stream. A stream whose origin is lost, with all entries
// that knew it before it was written, ends, unless only one release can have begun it; it
// never goes on at other software.
//
// # Usage
//
//	s := origin.New(origin.Params{...})
//	go s.Run(ctx)
//	s.Record(ctx, resume.Origin{Stream: id, Service: service, Software: software})
//	o, err := s.Find(ctx, id, service)
package origin

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
)

const (
	// copies is the number of entries that keep an origin, and searched the number of
	// entries that are asked for it.
	copies   = 3
	searched = 5
	// recordTimeout bounds the delay of the first event: two round trips between regions.
	recordTimeout = 60 * clock.Milli
	// findTimeout bounds the search for an origin.
	findTimeout = 300 * clock.Milli
	// lookUpDelay is how long a search waits for the entries that may know the origin before it
	// is also looked up in the platform's store: one round trip between regions.
	lookUpDelay = 30 * clock.Milli
	// lifetime is longer than any stream that a client still takes up.
	lifetime = 2 * clock.Minute
	// handOverTimeout bounds the handing over of the origins of a stopping entry.
	handOverTimeout = 500 * clock.Milli
)

// Params are the dependencies of a [Store].
type Params struct {
	Self ident.Node
	Boot string // of this process, differs from those of earlier ones
	// Peers returns the entries that live, including this one unless it is leaving. It
	// returns false while they are not known.
	Peers     func() ([]spread.Peer, bool)
	Servers   func() *fleet.View
	Resumable func() bool // whether any stream can be resumed, as far as is known
	Releases  Releases
	// Platform is the platform's store, and Topic the compacted topic of origins.
	Platform    plat.Store
	Topic       string
	DecodeKeyed func(offset int64, rec []byte) (plat.Keyed, error)
	Transport   http.RoundTripper
	Clock       clock.Clock
	Log         zerolog.Logger
}

// kept is an origin with the time until which it is kept.
type kept struct {
	resume.Origin
	until clock.Millis
}

// Store keeps the origins of streams.
type Store struct {
	Params
	http         *http.Client
	wake         chan struct{} // the listed releases have changed
	journal      *journal
	unstoredWake chan struct{} // unstored has changed

	mu         sync.Mutex
	startedAt  clock.Millis
	knowsSince clock.Millis                       // all origins recorded since then are known here
	observedAt clock.Millis                       // when servers were first listed, 0 before
	origins    map[string]kept                    // by stream
	unstored   []string                           // streams that this entry is to write to the journal
	listed     map[string]sets.Set[string]        // by service: versions of the software, as of the last observation
	lastSeen   map[string]map[string]clock.Millis // by service and version: when it was last listed
}

// New returns an empty store.
func New(p Params) *Store {
	now := p.Clock.Now()
	return &Store{
		startedAt: now, knowsSince: now,
		Params: p, http: &http.Client{Transport: p.Transport}, wake: make(chan struct{}, 1), origins: make(map[string]kept),
		journal: newJournal(p), unstoredWake: make(chan struct{}, 1),
		listed: make(map[string]sets.Set[string]), lastSeen: make(map[string]map[string]clock.Millis),
	}
}

// wakeUp wakes the goroutine that receives from a channel with room for one wake-up.
func wakeUp(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default: // A wake-up is pending.
	}
}

// ObserveServers records which versions of the software are listed. It is called after
// each change of the list of servers.
func (s *Store) ObserveServers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	listed := make(map[string]sets.Set[string])
	for service, servers := range s.Servers().Services() {
		listed[service] = make(sets.Set[string])
		for _, server := range servers {
			listed[service].Add(server.Software)
		}
	}
	if s.observedAt == 0 && len(listed) > 0 {
		s.observedAt = now
	}
	for _, observed := range []map[string]sets.Set[string]{s.listed, listed} {
		for service, versions := range observed {
			if s.lastSeen[service] == nil {
				s.lastSeen[service] = make(map[string]clock.Millis)
			}
			for v := range versions {
				s.lastSeen[service][v] = now
			}
		}
	}
	if !maps.EqualFunc(s.listed, listed, maps.Equal) {
		wakeUp(s.wake)
	}
	s.listed = listed
}

// hasObserved reports whether this entry has observed the list of servers for the lifetime
// of a stream. The caller holds the lock.
func (s *Store) hasObserved() bool {
	return s.observedAt > 0 && s.Clock.Now()-s.observedAt >= lifetime
}

// softwareOf returns the versions of the software of a service that were listed within
// the lifetime of a stream. The caller holds the lock.
func (s *Store) softwareOf(service string) []string {
	var out []string
	for v, at := range s.lastSeen[service] {
		if s.listed[service].Has(v) || s.Clock.Now()-at <= lifetime {
			out = append(out, v)
		}
	}
	return out
}

// holders returns up to n entries that keep the origin of a stream, by rank.
func (s *Store) holders(stream string, n int) []spread.Peer {
	peers, _ := s.Peers()
	return spread.TopPeers(holderKey(stream), peers, n)
}

// holderKey is the key by which the entries that keep the origin of a stream are chosen.
func holderKey(stream string) string { return "stream/" + stream }

// Keep keeps origins that this or another entry recorded, and writes them to the platform's
// store if store is set. The first origin of a stream counts.
func (s *Store) Keep(origins []resume.Origin, store bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.Clock.Now() + lifetime
	for _, o := range origins {
		if k, ok := s.origins[o.Stream]; ok {
			o = k.Origin
		}
		s.origins[o.Stream] = kept{o, until}
		if store {
			s.unstored = append(s.unstored, o.Stream)
		}
	}
	if store {
		wakeUp(s.unstoredWake)
	}
}

// Record records the origin of a stream that begins here (rules 1 and 7). It returns when
// another entry keeps it as well, or after recordTimeout.
func (s *Store) Record(ctx context.Context, o resume.Origin) { s.record(ctx, o, true) }

// record records the origin of a stream at the entries that keep it. If it is to be stored, this
// entry and one of them write it to the platform's store, so that a crash of one is no loss.
func (s *Store) record(ctx context.Context, o resume.Origin, store bool) {
	s.Keep([]resume.Origin{o}, store)
	// The origin is needed most if the client has left or this attempt has failed.
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), findTimeout.Duration())
	answers := make(chan error, copies)
	var sending sync.WaitGroup
	sent := 0
	for _, h := range s.holders(o.Stream, copies) {
		if h.Name != s.Self {
			store := store && sent == 0
			sent++
			sending.Go(func() { answers <- s.send(sendCtx, h, []resume.Origin{o}, store) })
		}
	}
	go func() {
		sending.Wait()
		cancel()
	}()
	timeout := time.NewTimer(recordTimeout.Duration())
	defer timeout.Stop()
	for range sent {
		select {
		case err := <-answers:
			if err == nil {
				return
			}
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) send(ctx context.Context, to spread.Peer, origins []resume.Origin, store bool) error {
	err := resume.Record(ctx, s.http, to.Addr, origins, store)
	if err != nil {
		s.Log.Info().Str("to", string(to.Name)).Int("streams", len(origins)).Err(err).Msg("origin: origins of streams not recorded at an entry")
	}
	return err
}

// Answer answers a query of another entry.
func (s *Store) Answer(q resume.Query) resume.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.origins[q.Stream]
	return resume.Reply{
		Known: ok, Origin: k.Origin, Mixed: len(s.softwareOf(q.Service)) > 1, KnowsFor: int64(s.Clock.Now() - s.knowsSince),
	}
}

// Find returns the origin of a stream (rules 2, 3 and 7). If no entry knows it, the given
// service is assumed. If the stream must not go on, the error is [resume.ErrUnknown] or
// [resume.ErrNotBegun].
func (s *Store) Find(ctx context.Context, stream, service string) (resume.Origin, error) {
	o, found, err := s.look(ctx, stream, service, s.Log)
	if found {
		s.record(ctx, o, false) // Entries that kept it may be gone.
	}
	return o, err
}

// Look is Find without a record and a log line of what it finds.
func (s *Store) Look(ctx context.Context, stream, service string) (resume.Origin, error) {
	o, _, err := s.look(ctx, stream, service, zerolog.Nop())
	return o, err
}

// look returns the origin of a stream, and whether another entry or the platform's store knew it.
func (s *Store) look(ctx context.Context, stream, service string, log zerolog.Logger) (o resume.Origin, found bool, err error) {
	q := resume.Query{Stream: stream, Service: service}
	own := s.Answer(q)
	if own.Known {
		return own.Origin, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout.Duration())
	defer cancel()
	holders := s.holders(stream, searched)
	replies := s.askHolders(ctx, holders, q, own, log)
	_, peersKnown := s.Peers()
	mixed, asked, knowing := own.Mixed, 0, 0
	storedDelay := time.NewTimer(lookUpDelay.Duration())
	defer storedDelay.Stop()
	stored := make(chan resume.LookUpReply, 1)
	lookUp := sync.OnceFunc(func() {
		go func() { stored <- s.lookUpStored(ctx, q, log) }()
	})
	for pending, lookedUp := len(holders), false; pending > 0 || !lookedUp; {
		if pending == 0 {
			lookUp()
		}
		select {
		case r := <-replies:
			pending--
			if r.err == nil {
				asked++
			}
			if r.err == nil && r.KnowsFor >= int64(lifetime) {
				knowing++
			}
			if r.Known {
				return r.Origin, true, nil
			}
			mixed = mixed || r.Mixed
		case <-storedDelay.C:
			lookUp()
		case r := <-stored:
			lookedUp = true
			if r.Found {
				return r.Origin, true, nil
			}
		}
	}
	versions, ok := s.possibleReleases(service, peersKnown && asked == len(holders))
	if mixed || !ok || len(versions) != 1 { // rule 3
		err := resume.ErrUnknown
		if peersKnown && knowing == len(holders) {
			err = resume.ErrNotBegun
		}
		log.Warn().Str("stream", stream).Str("service", service).Strs("software", versions.Sorted()).Bool("certain", ok).
			Int("answers", asked).Int("asked", len(holders)).Int("knowing", knowing).Err(err).Msg("origin: origin of a stream is not known, it can't go on")
		return resume.Origin{}, false, err
	}
	return resume.Origin{Stream: stream, Service: service, Software: versions.Sorted()[0]}, false, nil
}

// holderReply is the reply of an entry that may know an origin.
type holderReply struct {
	resume.Reply
	err error
}

// askHolders asks entries for an origin, and returns a channel with a reply of each. The reply of
// this entry is given.
func (s *Store) askHolders(
	ctx context.Context, holders []spread.Peer, q resume.Query, own resume.Reply, log zerolog.Logger,
) <-chan holderReply {
	replies := make(chan holderReply, len(holders))
	for _, h := range holders {
		go func() {
			if h.Name == s.Self {
				replies <- holderReply{Reply: own}
				return
			}
			r, err := resume.Find(ctx, s.http, h.Addr, q)
			if err != nil && ctx.Err() == nil {
				log.Info().Str("stream", q.Stream).Str("from", string(h.Name)).Err(err).Msg("origin: an entry does not answer")
			}
			replies <- holderReply{r, err}
		}()
	}
	return replies
}

// possibleReleases returns the versions of a service's software that may have begun a stream
// whose origin is not known, given whether all entries that may know it have answered. It
// returns false if there may be others (rule 3).
func (s *Store) possibleReleases(service string, allAnswered bool) (sets.Set[string], bool) {
	recorded, read := s.Releases.Recorded()
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := sets.Of(s.softwareOf(service)...)
	if s.hasObserved() {
		return versions, true
	}
	for v := range recorded[service] {
		versions.Add(v)
	}
	return versions, read && allAnswered
}

// HandOver sends the origins that this entry keeps to the entries that keep them once
// it has stopped (rule 4).
func (s *Store) HandOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout.Duration())
	defer cancel()
	s.mu.Lock()
	all := maps.Clone(s.origins)
	s.mu.Unlock()
	byPeer := make(map[spread.Peer][]resume.Origin)
	for stream, k := range all {
		for _, h := range s.holders(stream, copies+1) {
			if h.Name != s.Self {
				byPeer[h] = append(byPeer[h], k.Origin)
			}
		}
	}
	var wg sync.WaitGroup
	for h, origins := range byPeer {
		wg.Go(func() {
			for part := range slices.Chunk(origins, resume.MaxOrigins) {
				if s.send(ctx, h, part, false) != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	s.Log.Info().Int("streams", len(all)).Int("entries", len(byPeer)).Err(ctx.Err()).Msg("origin: origins of streams handed over")
}

// Prune removes what is older than the lifetime of a stream.
func (s *Store) Prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	maps.DeleteFunc(s.origins, func(_ string, k kept) bool { return now >= k.until })
	s.unstored = slices.DeleteFunc(s.unstored, func(stream string) bool { _, ok := s.origins[stream]; return !ok })
	s.journal.prune()
	for service, versions := range s.lastSeen {
		maps.DeleteFunc(versions, func(v string, at clock.Millis) bool { return !s.listed[service].Has(v) && now-at > lifetime })
		if len(versions) == 0 {
			delete(s.lastSeen, service)
		}
	}
}
