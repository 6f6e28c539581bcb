// Package relay calls the platform's store through peer nodes while the store
// is unreachable over the direct connection.
//
//  1. A call uses the direct connection, unless a direct call failed within the
//     last 500 ms.
//  2. If the direct call fails or is skipped, up to two peers are called, each
//     of which uses its own direct connection. If the direct call was skipped
//     and there is no peer, it is made nevertheless.
//  3. A call is proven as not applied only if that is proven for each
//     connection that was tried.
//  4. While peers fail as well, the store is down or slow for all. Peers are then
//     not called for a time that doubles, since each call through a peer adds to
//     the load of the store.
//
// # Usage
//
//	s := relay.New(direct, peers, transport, clock, log)
//	http.Handle(relay.Prefix, relay.Handler(direct, log))
package relay

import (
	"bytes"
	"context"
	"encoding/gob"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/post"
)

// Prefix is the HTTP path under which a node relays store calls.
const Prefix = "/store/"

const (
	// directBackoff is how long the direct connection is skipped after a
	// failure.
	directBackoff = 500 * clock.Milli
	// minPeerBackoff is how long peers are not called after a call failed through all
	// peers that it tried. It doubles with each further one, up to maxPeerBackoff.
	minPeerBackoff = 200 * clock.Milli
	maxPeerBackoff = 3200 * clock.Milli
	// maxPeers is the maximum number of peers that one call tries.
	maxPeers = 2
	// peerTimeout bounds a call to a peer, in addition to call.Wait. It covers
	// the peer's own timeout and the round-trip time between regions.
	peerTimeout = 1300 * clock.Milli
	// MaxBodyBytes bounds the body of a relayed call; the largest append is
	// 2 MB.
	MaxBodyBytes = 4 << 20
	// maxReadKB and maxWait bound a relayed read. Nodes read at most that much at once
	// and wait for half a second.
	maxReadKB = 1 << 10
	maxWait   = 2 * clock.Second
)

// call is a store call that is sent to a peer.
type call struct {
	Append *plat.Append
	Topic  string
	Part   int
	From   int64
	MaxKB  int
	Wait   clock.Millis // how long a read waits for a new record
	Newest bool
	Key    string // of the record to put, else empty
	Value  []byte
}

// answer is the result of a call.
type answer struct {
	Offset  int64
	Page    plat.Page
	Keyed   []plat.Keyed
	NotDone bool // proven as not applied
	Gone    *plat.GoneError
	Seq     *plat.SequenceError
	Failed  string // text of the error, empty for none
}

func (a *answer) err() error {
	switch {
	case a.NotDone:
		return errors.WithMessage(plat.ErrNotApplied, a.Failed)
	case a.Gone != nil:
		return a.Gone
	case a.Seq != nil:
		return a.Seq
	case a.Failed != "":
		return errors.New(a.Failed)
	}
	return nil
}

func (a *answer) setErr(err error) {
	if err == nil {
		return
	}
	a.Failed = err.Error()
	a.NotDone = errors.Is(err, plat.ErrNotApplied)
	errors.As(err, &a.Gone)
	errors.As(err, &a.Seq)
}

// callStore executes a call on a store.
func callStore(ctx context.Context, s plat.Store, c *call) *answer {
	var a answer
	var err error
	switch {
	case c.Append != nil:
		a.Offset, err = s.Append(ctx, *c.Append)
	case c.Key != "":
		err = s.Put(ctx, c.Topic, c.Key, c.Value)
	case c.Newest:
		a.Keyed, a.Offset, err = s.Newest(ctx, c.Topic)
	default:
		a.Page, err = s.Read(ctx, c.Topic, c.Part, c.From, c.MaxKB, c.Wait)
	}
	a.setErr(err)
	return &a
}

// Store is a [plat.Store] that uses peers while the direct connection fails.
type Store struct {
	direct         plat.Store
	peers          func() []string // addresses on the inner network
	http           *http.Client
	clock          clock.Clock
	log            zerolog.Logger
	directFailedAt atomic.Int64           // when the direct connection failed last, 0 if it works
	lastGoodPeer   atomic.Pointer[string] // peer of the last relayed call, nil after a failed one

	mu          sync.Mutex
	peerBackoff clock.Millis // 0 after a successful call through a peer
	peersAfter  clock.Millis // peers are not called before this time
}

// New returns a store that calls peers while the direct connection fails.
func New(direct plat.Store, peers func() []string, rt http.RoundTripper, c clock.Clock, log zerolog.Logger) *Store {
	return &Store{direct: direct, peers: peers, http: &http.Client{Transport: rt}, clock: c, log: log}
}

// isStoreResult reports whether an error is the store's result of the call, not
// a failure of the connection to the store.
func isStoreResult(err error) bool {
	var gone *plat.GoneError
	var seq *plat.SequenceError
	return err == nil || errors.As(err, &gone) || errors.As(err, &seq)
}

// callDirect runs a call over the direct connection. It reports whether the answer is
// the store's result.
func (s *Store) callDirect(ctx context.Context, c *call) (*answer, bool) {
	a := callStore(ctx, s.direct, c)
	if !isStoreResult(a.err()) {
		return a, false
	}
	if s.directFailedAt.Swap(0) != 0 {
		s.log.Info().Msg("relay: the direct connection to the store works again")
	}
	return a, true
}

// execute runs a call over the direct connection or through peers.
func (s *Store) execute(ctx context.Context, c *call) *answer {
	notApplied := true
	now := s.clock.Now()
	failedAt := clock.Millis(s.directFailedAt.Load())
	var a *answer
	useDirect := failedAt == 0 || now-failedAt >= directBackoff // rule 1
	if useDirect {
		var ok bool
		if a, ok = s.callDirect(ctx, c); ok {
			return a
		}
		if s.directFailedAt.Swap(int64(s.clock.Now())) == 0 {
			s.log.Warn().Err(a.err()).Msg("relay: the store is not reached directly")
		}
		notApplied = a.NotDone
	}
	triedPeer := false
	for _, p := range s.choosePeers() { // rule 2
		if ctx.Err() != nil {
			break
		}
		triedPeer = true
		peerAnswer := s.callPeer(ctx, p, c)
		if isStoreResult(peerAnswer.err()) {
			s.lastGoodPeer.Store(&p)
			s.recordPeerResult(true)
			return peerAnswer
		}
		s.lastGoodPeer.CompareAndSwap(s.lastGoodPeer.Load(), nil)
		notApplied = notApplied && peerAnswer.NotDone
		a = peerAnswer
	}
	if triedPeer && ctx.Err() == nil {
		s.recordPeerResult(false)
	}
	if a == nil {
		var ok bool
		if a, ok = s.callDirect(ctx, c); ok {
			return a
		}
		notApplied = a.NotDone
	}
	a.NotDone = notApplied // rule 3
	if a.Failed == "" {
		a.Failed = "the store is unreachable"
	}
	return a
}

// recordPeerResult records whether a call through peers succeeded (rule 4). The jitter
// keeps the nodes that lost the store at the same time from calling at the same time.
func (s *Store) recordPeerResult(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.peerBackoff, s.peersAfter = 0, 0
		return
	}
	now := s.clock.Now()
	if now < s.peersAfter {
		return // A concurrent call has failed as well.
	}
	s.peerBackoff = min(maxPeerBackoff, max(minPeerBackoff, 2*s.peerBackoff))
	s.peersAfter = now + s.peerBackoff/2 + rand.N(s.peerBackoff/2) //nolint:gosec // spreads out the calls of the nodes
	s.log.Info().Int64("backoff-ms", int64(s.peersAfter-now)).Msg("relay: peers don't reach the store either")
}

// choosePeers returns the peers to call: first the one of the last relayed call,
// then others in random order. It returns none during the backoff of rule 4.
func (s *Store) choosePeers() []string {
	s.mu.Lock()
	inBackoff := s.clock.Now() < s.peersAfter
	s.mu.Unlock()
	if inBackoff {
		return nil
	}
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if last := s.lastGoodPeer.Load(); last != nil {
		peers = slices.DeleteFunc(peers, func(p string) bool { return p == *last })
		peers = append([]string{*last}, peers...)
	}
	return peers[:min(maxPeers, len(peers))]
}

func (s *Store) callPeer(ctx context.Context, addr string, c *call) *answer {
	ctx, cancel := context.WithTimeout(ctx, (peerTimeout + c.Wait).Duration())
	defer cancel()
	var a answer
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(c); err != nil {
		a.setErr(errors.Wrap(err, "relay call"))
		return &a
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Prefix, &buf)
	if err != nil {
		a.setErr(errors.Wrap(err, "relay call"))
		return &a
	}
	resp, err := s.http.Do(req)
	if err != nil {
		a.setErr(errors.Wrap(err, "relay through "+addr))
		return &a
	}
	defer resp.Body.Close()
	if err := gob.NewDecoder(resp.Body).Decode(&a); err != nil {
		a.setErr(errors.Wrap(err, "relay through "+addr))
	}
	return &a
}

// Handler executes the store calls of other nodes.
func Handler(direct plat.Store, log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c call
		if err := post.Decode(r.Body, &c, MaxBodyBytes); err != nil {
			http.Error(w, "not a store call: "+err.Error(), http.StatusBadRequest)
			return
		}
		c.MaxKB, c.Wait = min(c.MaxKB, maxReadKB), min(c.Wait, maxWait)
		if err := gob.NewEncoder(w).Encode(callStore(r.Context(), direct, &c)); err != nil {
			log.Warn().Err(err).Str("from", r.RemoteAddr).Msg("relay: answer not written")
		}
	})
}

// Append implements [plat.Store].
func (s *Store) Append(ctx context.Context, a plat.Append) (int64, error) {
	r := s.execute(ctx, &call{Append: &a})
	return r.Offset, r.err()
}

// Read implements [plat.Store].
func (s *Store) Read(ctx context.Context, topic string, part int, from int64, maxKB int, wait clock.Millis) (plat.Page, error) {
	r := s.execute(ctx, &call{Topic: topic, Part: part, From: from, MaxKB: maxKB, Wait: wait})
	return r.Page, r.err()
}

// Newest implements [plat.Store].
func (s *Store) Newest(ctx context.Context, topic string) ([]plat.Keyed, int64, error) {
	r := s.execute(ctx, &call{Topic: topic, Newest: true})
	return r.Keyed, r.Offset, r.err()
}

// Put implements [plat.Store].
func (s *Store) Put(ctx context.Context, topic, key string, value []byte) error {
	return s.execute(ctx, &call{Topic: topic, Key: key, Value: value}).err()
}
