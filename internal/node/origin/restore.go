package origin

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
)

const (
	// restoreInterval is the time between two attempts to get origins back from the entries
	// that have not answered.
	restoreInterval = 500 * clock.Milli
	// passOnInterval is the interval at which the live entries are compared with those before.
	passOnInterval = clock.Second
	// restoreTimeout bounds the answer of one entry.
	restoreTimeout = clock.Second
	// restoreParallel is the number of entries that are asked at a time, so that a start
	// beside hundreds of entries needs few connections at once.
	restoreParallel = 8
)

// restore asks all other entries for the origins that this one is to keep, until each live
// one has answered (rule 5). Origins older than their lifetime need not be asked for.
func (s *Store) restore(ctx context.Context) {
	knowsSince := make(map[ident.Node]clock.Millis) // of the entries that have answered
	ticker := time.NewTicker(restoreInterval.Duration())
	defer ticker.Stop()
	for s.Clock.Now()-s.startedAt < lifetime {
		if s.Resumable() {
			peers, known := s.Peers()
			if known && s.restoreFrom(ctx, peers, knowsSince) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// restoreFrom asks the entries that have not answered yet, and reports whether all have.
func (s *Store) restoreFrom(ctx context.Context, peers []spread.Peer, knowsSince map[ident.Node]clock.Millis) bool {
	before := s.count()
	type answer struct {
		from  ident.Node
		since clock.Millis
		err   error
	}
	answers := make(chan answer, len(peers))
	slots := make(chan struct{}, restoreParallel)
	asked := 0
	for _, p := range peers {
		if _, answered := knowsSince[p.Name]; answered || p.Name == s.Self {
			continue
		}
		asked++
		slots <- struct{}{}
		go func() {
			since, err := s.fetch(ctx, p)
			<-slots
			answers <- answer{p.Name, since, err}
		}()
	}
	all := true
	for range asked {
		a := <-answers
		if a.err != nil {
			all = false
			continue
		}
		knowsSince[a.from] = a.since
	}
	if !all {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(knowsSince) > 0 {
		s.knowsSince = min(s.knowsSince, slices.Max(slices.Collect(maps.Values(knowsSince))))
	}
	s.Log.Info().Int("streams", len(s.origins)-before).Int("entries", len(knowsSince)).Int64("known-ms", int64(s.Clock.Now()-s.knowsSince)).
		Msg("origin: origins of streams got back")
	return true
}

func (s *Store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.origins)
}

// fetch keeps the origins that an entry holds for this one, and returns since when that
// entry has known all its origins.
func (s *Store) fetch(ctx context.Context, from spread.Peer) (knowsSince clock.Millis, err error) {
	q := resume.HoldQuery{Node: s.Self}
	for {
		askedAt := s.Clock.Now()
		askCtx, cancel := context.WithTimeout(ctx, restoreTimeout.Duration())
		r, err := resume.Hold(askCtx, s.http, from.Addr, q)
		cancel()
		if err != nil {
			s.Log.Info().Str("from", string(from.Name)).Err(err).Msg("origin: an entry does not answer")
			return 0, err
		}
		s.keepHeld(r.Origins)
		if q.After == "" {
			knowsSince = askedAt - clock.Millis(r.KnowsFor)
		}
		if !r.More || len(r.Origins) == 0 {
			return knowsSince, nil
		}
		q.After = r.Origins[len(r.Origins)-1].Stream
	}
}

// keepHeld keeps origins for the time for which another entry still keeps them.
func (s *Store) keepHeld(held []resume.Held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, h := range held {
		k, ok := s.origins[h.Stream]
		if !ok {
			k.Origin = h.Origin
		}
		k.until = max(k.until, now+min(clock.Millis(h.Left), lifetime))
		s.origins[h.Stream] = k
	}
}

// followPeers passes origins on when entries are gone, until the context ends.
func (s *Store) followPeers(ctx context.Context) {
	var before []spread.Peer
	clock.Every(ctx, passOnInterval, func() {
		if s.count() == 0 {
			before = nil
			return
		}
		if peers, known := s.Peers(); known {
			s.passOn(ctx, before, peers)
			before = peers
		}
	})
}

// passOn sends origins to the entries that are to keep them since others are gone (rule 5).
// Entries that have started ask by themselves.
func (s *Store) passOn(ctx context.Context, before, now []spread.Peer) {
	listed := make(map[ident.Node]bool, len(now))
	for _, p := range now {
		listed[p.Name] = true
	}
	var gone []ident.Node
	for _, p := range before {
		if !listed[p.Name] {
			gone = append(gone, p.Name)
		}
	}
	if len(gone) == 0 {
		return
	}
	s.mu.Lock()
	all := slices.Collect(maps.Values(s.origins))
	s.mu.Unlock()
	namesBefore, namesNow := peerNames(before), peerNames(now)
	byName := make(map[ident.Node][]resume.Origin)
	for _, k := range all {
		key := holderKey(k.Stream)
		if !slices.ContainsFunc(gone, func(n ident.Node) bool { return spread.IsTop(key, n, namesBefore, copies) }) {
			continue
		}
		had := spread.Top(key, namesBefore, copies)
		for _, name := range spread.Top(key, namesNow, copies) {
			if name != s.Self && !slices.Contains(had, name) {
				byName[name] = append(byName[name], k.Origin)
			}
		}
	}
	for _, p := range now {
		for part := range slices.Chunk(byName[p.Name], resume.MaxOrigins) {
			sendCtx, cancel := context.WithTimeout(ctx, restoreTimeout.Duration())
			err := s.send(sendCtx, p, part, false)
			cancel()
			if err != nil {
				break
			}
		}
	}
}

// Hold answers an entry that has started and asks for the origins that it is to keep.
func (s *Store) Hold(q resume.HoldQuery) resume.HoldReply {
	s.mu.Lock()
	now := s.Clock.Now()
	reply := resume.HoldReply{KnowsFor: int64(now - s.knowsSince)}
	held := make([]resume.Held, 0, len(s.origins))
	for stream, k := range s.origins {
		if stream > q.After && k.until > now {
			held = append(held, resume.Held{Origin: k.Origin, Left: int64(k.until - now)})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(held, func(a, b resume.Held) int { return cmp.Compare(a.Stream, b.Stream) })
	peers, _ := s.Peers()
	names := peerNames(peers) // The entry that asks may not be known to live yet.
	for _, h := range held {
		if !spread.IsTop(holderKey(h.Stream), q.Node, names, copies+1) {
			continue
		}
		if len(reply.Origins) == resume.MaxOrigins {
			reply.More = true
			break
		}
		reply.Origins = append(reply.Origins, h)
	}
	return reply
}

func peerNames(peers []spread.Peer) []ident.Node {
	names := make([]ident.Node, 0, len(peers))
	for _, p := range peers {
		names = append(names, p.Name)
	}
	return names
}
