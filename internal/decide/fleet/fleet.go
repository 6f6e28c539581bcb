// Package fleet keeps the list of backend servers that the platform's registry
// names.
//
//  1. A server is listed from its entry on, until the entry is dropped.
//  2. A server that says it is leaving gets no new work, but stays listed.
//  3. Entries may lapse because the store was away. A drop that is seen while
//     it is away, or soon after its return, counts only when the entry has not
//     come back by the end of that span.
//  4. An entry that can't be read names no server; the server that it named
//     before counts as dropped.
//  5. A server that starts again under its identity is another incarnation.
//
// # Usage
//
//	l := fleet.New()
//	l.Put(now, server)
//	l.Drop(now, "i-1")
//	l.Expire(now)
//	view := l.View()
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// lapse is how long after the store's return a lapsed entry may be missing;
// the platform says about two seconds.
const lapse = 2 * clock.Second

// Server is one backend server.
type Server struct {
	ID             string
	Service        string
	Addr           string // IP:port
	Zone           string
	Slots          int
	Leaving        bool
	StartedAt      int64            // start of the incarnation, comparable for equality only
	LoadedVersions map[string]int64 // version of each model, as of some time ago
}

// Incarnation names one start of the server.
func (s *Server) Incarnation() string { return s.ID + "/" + strconv.FormatInt(s.StartedAt, 10) }

// View is an unchanging list of the servers.
type View struct {
	byService map[string][]*Server
	byID      map[string]*Server
}

// ByService returns the servers of a service in the order of their identities,
// leaving ones included.
func (v *View) ByService(service string) []*Server { return v.byService[service] }

// ByID returns a server, nil if it is not listed.
func (v *View) ByID(id string) *Server { return v.byID[id] }

// HasIncarnation reports whether an incarnation is listed.
func (v *View) HasIncarnation(incarnation string) bool {
	id, _, _ := strings.Cut(incarnation, "/")
	s := v.ByID(id)
	return s != nil && s.Incarnation() == incarnation
}

// ByAddr returns the server with an address, nil if none is listed.
func (v *View) ByAddr(addr string) *Server {
	for _, s := range v.byID {
		if s.Addr == addr {
			return s
		}
	}
	return nil
}

// List is the registry as it is known here.
type List struct {
	servers map[string]*Server
	lapsed  map[string]clock.Millis // when the drop counts
	away    bool                    // the store can't be read
	back    clock.Millis            // of its last return
}

// New returns an empty list.
func New() *List {
	return &List{servers: make(map[string]*Server), lapsed: make(map[string]clock.Millis)}
}

// Put takes in a server's entry.
func (l *List) Put(s *Server) {
	l.servers[s.ID] = s
	delete(l.lapsed, s.ID)
}

// Drop takes in that an entry is gone; it applies rule 3.
func (l *List) Drop(now clock.Millis, id string) {
	if l.servers[id] == nil {
		return
	}
	if l.away {
		l.lapsed[id] = clock.Never
		return
	}
	if l.back > 0 && now < l.back+lapse {
		l.lapsed[id] = l.back + lapse
		return
	}
	delete(l.servers, id)
}

// Retain drops all servers but those named, after the whole list was read.
func (l *List) Retain(now clock.Millis, ids map[string]bool) {
	for id := range maps.Clone(l.servers) {
		if _, lapsed := l.lapsed[id]; !ids[id] && !lapsed {
			l.Drop(now, id)
		}
	}
}

// StoreDown notes that the store can't be read.
func (l *List) StoreDown() { l.away = true }

// StoreUp notes that the store can be read again.
func (l *List) StoreUp(now clock.Millis) {
	if !l.away {
		return
	}
	l.away, l.back = false, now
	for id := range l.lapsed {
		l.lapsed[id] = now + lapse
	}
}

// Expire carries out the drops whose span has ended and returns the servers
// that are gone.
func (l *List) Expire(now clock.Millis) []string {
	var gone []string
	for id, at := range l.lapsed {
		if now >= at {
			delete(l.servers, id)
			delete(l.lapsed, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// ByID returns a server, nil if it is not listed.
func (l *List) ByID(id string) *Server { return l.servers[id] }

// View returns the present list.
func (l *List) View() *View {
	v := &View{byService: make(map[string][]*Server), byID: maps.Clone(l.servers)}
	for _, s := range l.servers {
		v.byService[s.Service] = append(v.byService[s.Service], s)
	}
	for _, ss := range v.byService {
		slices.SortFunc(ss, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}
