// Package relay reaches the platform's store through other nodes while it
// can't be reached directly.
//
//  1. A call goes to the store directly, unless the last direct call failed a
//     short while ago.
//  2. If the direct way fails, or is passed over, up to two other nodes are
//     asked, each on its own direct way.
//  3. A call is proven as not done only if that holds for each way that was
//     tried.
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
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// Prefix is the path under which a node passes calls on.
const Prefix = "/store/"

const (
	// avoid is how long the direct way is passed over after it failed.
	avoid = 500 * clock.Milli
	// asked is how many other nodes a call asks at most.
	asked = 2
	// peerFor bounds a call to another node beyond what the store may wait:
	// the other node's own bound and the way between regions.
	peerFor = 1300 * clock.Milli
	// mostBody bounds a call's body: the largest append is 2 MB.
	mostBody = 4 << 20
)

// call is a store call between nodes, answer its result.
type call struct {
	Append *plat.Append
	Topic  string
	Part   int
	From   int64
	MaxKB  int
	Wait   clock.Millis
	Newest bool
	Key    string // of a record to put
	Value  []byte
}

type answer struct {
	Offset  int64
	Page    plat.Page
	Keyed   []plat.Keyed
	NotDone bool
	Gone    *plat.GoneError
	Seq     *plat.SequenceError
	Failed  string
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

func (a *answer) fail(err error) {
	if err == nil {
		return
	}
	a.Failed = err.Error()
	a.NotDone = errors.Is(err, plat.ErrNotApplied)
	errors.As(err, &a.Gone)
	errors.As(err, &a.Seq)
}

// do carries a call out on a store.
func do(ctx context.Context, s plat.Store, c *call) *answer {
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
	a.fail(err)
	return &a
}

// Store is a store with ways around.
type Store struct {
	direct plat.Store
	peers  func() []string // inner addresses
	http   *http.Client
	clock  clock.Clock
	log    zerolog.Logger
	failed atomic.Int64           // instant of the last failure of the direct way
	good   atomic.Pointer[string] // the node that passed a call on last
}

// New returns a store that goes through peers while the direct way fails.
func New(direct plat.Store, peers func() []string, rt http.RoundTripper, c clock.Clock, log zerolog.Logger) *Store {
	return &Store{direct: direct, peers: peers, http: &http.Client{Transport: rt}, clock: c, log: log}
}

// passed reports whether an error is a result of the call itself, not of the
// way to the store.
func passed(err error) bool {
	var gone *plat.GoneError
	var seq *plat.SequenceError
	return err == nil || errors.As(err, &gone) || errors.As(err, &seq)
}

func (s *Store) run(ctx context.Context, c *call) *answer {
	notDone := true
	now := s.clock.Now()
	last := clock.Millis(s.failed.Load())
	var a *answer
	direct := last == 0 || now-last >= avoid // rule 1
	if direct {
		a = do(ctx, s.direct, c)
		if passed(a.err()) {
			if s.failed.Swap(0) != 0 {
				s.log.Info().Msg("relay: the store is reached directly again")
			}
			return a
		}
		if s.failed.Swap(int64(s.clock.Now())) == 0 {
			s.log.Warn().Err(a.err()).Msg("relay: the store is not reached directly")
		}
		notDone = a.NotDone
	}
	for _, p := range s.around() { // rule 2
		if ctx.Err() != nil {
			break
		}
		b := s.ask(ctx, p, c)
		if passed(b.err()) {
			s.good.Store(&p)
			return b
		}
		s.good.CompareAndSwap(s.good.Load(), nil)
		notDone = notDone && b.NotDone
		a = b
	}
	if a == nil {
		a = do(ctx, s.direct, c)
		notDone = a.NotDone
	}
	a.NotDone = notDone // rule 3
	if a.Failed == "" {
		a.Failed = "no way to the store"
	}
	return a
}

// around returns the nodes to ask: first the one that passed a call on last.
func (s *Store) around() []string {
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if g := s.good.Load(); g != nil {
		peers = append([]string{*g}, peers...)
	}
	return peers[:min(asked, len(peers))]
}

func (s *Store) ask(ctx context.Context, addr string, c *call) *answer {
	ctx, cancel := context.WithTimeout(ctx, (peerFor + c.Wait).Duration())
	defer cancel()
	var a answer
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(c); err != nil {
		a.fail(errors.Wrap(err, "relay call"))
		return &a
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Prefix, &buf)
	if err != nil {
		a.fail(errors.Wrap(err, "relay call"))
		return &a
	}
	resp, err := s.http.Do(req)
	if err != nil {
		a.fail(errors.Wrap(err, "relay through "+addr))
		return &a
	}
	defer resp.Body.Close()
	if err := gob.NewDecoder(resp.Body).Decode(&a); err != nil {
		a.fail(errors.Wrap(err, "relay through "+addr))
	}
	return &a
}

// Handler passes other nodes' calls to the store.
func Handler(direct plat.Store, log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c call
		if err := gob.NewDecoder(io.LimitReader(r.Body, mostBody)).Decode(&c); err != nil {
			http.Error(w, "not a store call: "+err.Error(), http.StatusBadRequest)
			return
		}
		if err := gob.NewEncoder(w).Encode(do(r.Context(), direct, &c)); err != nil {
			log.Warn().Err(err).Str("from", r.RemoteAddr).Msg("relay: answer not written")
		}
	})
}

// Append implements [plat.Store].
func (s *Store) Append(ctx context.Context, a plat.Append) (int64, error) {
	r := s.run(ctx, &call{Append: &a})
	return r.Offset, r.err()
}

// Read implements [plat.Store].
func (s *Store) Read(ctx context.Context, topic string, part int, from int64, maxKB int, wait clock.Millis) (plat.Page, error) {
	r := s.run(ctx, &call{Topic: topic, Part: part, From: from, MaxKB: maxKB, Wait: wait})
	return r.Page, r.err()
}

// Newest implements [plat.Store].
func (s *Store) Newest(ctx context.Context, topic string) ([]plat.Keyed, int64, error) {
	r := s.run(ctx, &call{Topic: topic, Newest: true})
	return r.Keyed, r.Offset, r.err()
}

// Put implements [plat.Store].
func (s *Store) Put(ctx context.Context, topic, key string, value []byte) error {
	return s.run(ctx, &call{Topic: topic, Key: key, Value: value}).err()
}
