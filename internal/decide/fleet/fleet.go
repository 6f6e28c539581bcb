// Package fleet keeps the list of the backend servers in the platform's registry.
//
//  1. A server is listed from the time that its registry entry appears until the
//     entry is removed.
//  2. A server that is marked as leaving gets no new work, but stays listed.
//  3. Registry entries may expire because of a store outage. A removal that is
//     read during an outage, or within the grace period after recovery, takes
//     effect at the end of the grace period, unless the entry reappears first.
//  4. A registry entry that can't be decoded lists no server; a server that it
//     listed before counts as removed.
//  5. A server that restarts under the same ID is a new incarnation.
//  6. A server that has stated in an answer that it leaves is leaving, whatever its
//     registry entry says: the entry may be older than the statement, and can't be
//     renewed during a store outage. The statement belongs to one incarnation. It is
//     kept after the entry was removed, since the entry may come back.
//
// # Usage
//
//	l := fleet.New()
//	l.Put(server)
//	l.RecordLeaving(now, "i-1", startedAt)
//	l.Drop(now, "i-1")
//	l.Expire(now)
//	view := l.View()
package fleet

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// recoveryGrace is the grace period after a store outage, in which servers may
// renew entries that expired. The platform documents about two seconds.
const recoveryGrace = 2 * clock.Second

// statementRetention is how long the statement of an incarnation that is not listed is
// kept. Leaving servers exit within seconds to minutes.
const statementRetention = 10 * clock.Minute

// Server is one backend server.
type Server struct {
	ID             string
	Service        string
	Addr           string // IP:port
	Zone           string
	Slots          int
	Leaving        bool             // by its registry entry
	LeavingSince   clock.Millis     // when this node learned that the server itself states that it leaves, 0 if it does not
	StartedAt      int64            // start of the incarnation; compare for equality only
	Software       string           // version of its software, not of its weights; may be empty
	LoadedVersions map[string]int64 // loaded version by model; may be out of date
}

// Incarnation returns an ID of the server's current incarnation.
func (s *Server) Incarnation() string { return s.ID + "/" + strconv.FormatInt(s.StartedAt, 10) }

// IsLeaving reports whether the server leaves, by its registry entry or by its own
// statement.
func (s *Server) IsLeaving() bool { return s.Leaving || s.LeavingSince > 0 }

// AgentAddr returns the inner address of the agent on the server's VM, given the port of
// all agents.
func (s *Server) AgentAddr(port int) string {
	host, _, err := net.SplitHostPort(s.Addr)
	if err != nil {
		host = s.Addr // Dialing this address fails, and the error is logged.
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// View is an immutable snapshot of the list.
type View struct {
	byService map[string][]*Server
	byID      map[string]*Server
	byAddr    func() map[string][]*Server // computed once, as only agents need it
}

// ByService returns the servers of a service sorted by ID, including those that
// are leaving.
func (v *View) ByService(service string) []*Server { return v.byService[service] }

// Services returns the servers by service, which must not be changed.
func (v *View) Services() map[string][]*Server { return v.byService }

// ByID returns the server with an ID, nil if none is listed.
func (v *View) ByID(id string) *Server { return v.byID[id] }

// HasIncarnation reports whether an incarnation, identified as by
// [Server.Incarnation], is listed.
func (v *View) HasIncarnation(incarnation string) bool { return v.byIncarnation(incarnation) != nil }

// StatesLeaving reports whether an incarnation, identified as by [Server.Incarnation], is
// listed and has stated that it leaves.
func (v *View) StatesLeaving(incarnation string) bool {
	s := v.byIncarnation(incarnation)
	return s != nil && s.LeavingSince > 0
}

// byIncarnation returns the server of an incarnation, nil if it is not listed.
func (v *View) byIncarnation(incarnation string) *Server {
	id, _, _ := strings.Cut(incarnation, "/")
	if s := v.ByID(id); s != nil && s.Incarnation() == incarnation {
		return s
	}
	return nil
}

// ByAddr returns the server with an address, nil if none is listed. If there are several,
// each call returns any of them.
func (v *View) ByAddr(addr string) *Server {
	ss := v.byAddr()[addr]
	if len(ss) == 0 {
		return nil
	}
	return ss[rand.IntN(len(ss))]
}

// List is the list of servers that this node knows.
type List struct {
	servers     map[string]*Server      // by ID
	dropAt      map[string]clock.Millis // by ID: time at which a pending removal takes effect
	inOutage    bool                    // a store outage is in progress
	recoveredAt clock.Millis            // end of the last store outage, 0 for none
	statements  map[string][]statement  // by ID: incarnations that have stated that they leave
}

// statement is the statement of one incarnation of a server that it leaves.
type statement struct {
	startedAt  int64        // start of the incarnation, 0 if not known
	at         clock.Millis // when this node learned of it
	lastListed clock.Millis // when the incarnation was last found in the list, or at
}

// appliesTo reports whether a server with the ID of the statement made it. A start that
// is not known may be the same one.
func (m *statement) appliesTo(s *Server) bool {
	return m.startedAt == s.StartedAt || m.startedAt == 0 || s.StartedAt == 0
}

// New returns an empty list.
func New() *List {
	return &List{servers: make(map[string]*Server), dropAt: make(map[string]clock.Millis), statements: make(map[string][]statement)}
}

// Put adds a server or replaces the one with the same ID.
func (l *List) Put(s *Server) {
	l.servers[s.ID] = l.withStatement(s)
	delete(l.dropAt, s.ID)
}

// withStatement returns a server with the time of its statement that it leaves (rule 6).
func (l *List) withStatement(s *Server) *Server {
	for i := range l.statements[s.ID] {
		if m := &l.statements[s.ID][i]; m.appliesTo(s) {
			leaving := *s // Snapshots share the server.
			leaving.LeavingSince = m.at
			return &leaving
		}
	}
	return s
}

// RecordLeaving records that an incarnation of a server, which need not be listed, states
// that it leaves. It returns false if that was known.
func (l *List) RecordLeaving(now clock.Millis, id string, startedAt int64) bool {
	for _, m := range l.statements[id] {
		if m.startedAt == startedAt {
			return false
		}
	}
	l.statements[id] = append(l.statements[id], statement{startedAt: startedAt, at: now, lastListed: now})
	if s := l.servers[id]; s != nil {
		l.servers[id] = l.withStatement(s)
	}
	return true
}

// pruneStatements removes the statements of incarnations that are gone.
func (l *List) pruneStatements(now clock.Millis) {
	for id, ms := range l.statements {
		s := l.servers[id]
		ms = slices.DeleteFunc(ms, func(m statement) bool {
			return now-m.lastListed > statementRetention && (s == nil || !m.appliesTo(s))
		})
		if len(ms) == 0 {
			delete(l.statements, id)
			continue
		}
		for i := range ms {
			if s != nil && ms[i].appliesTo(s) {
				ms[i].lastListed = now
			}
		}
		l.statements[id] = ms
	}
}

// Drop handles the removal of a server's registry entry. The server is removed
// from the list at once or, by rule 3, later.
func (l *List) Drop(now clock.Millis, id string) {
	if l.servers[id] == nil {
		return
	}
	if l.inOutage {
		l.dropAt[id] = clock.Never
		return
	}
	if l.recoveredAt > 0 && now < l.recoveredAt+recoveryGrace {
		l.dropAt[id] = l.recoveredAt + recoveryGrace
		return
	}
	delete(l.servers, id)
}

// Retain drops all servers except those with the given IDs. It is called after
// the whole registry was read.
func (l *List) Retain(now clock.Millis, ids map[string]bool) {
	for id := range maps.Clone(l.servers) {
		if _, pending := l.dropAt[id]; !ids[id] && !pending {
			l.Drop(now, id)
		}
	}
}

// StoreDown records the start of a store outage.
func (l *List) StoreDown() { l.inOutage = true }

// StoreUp records the end of a store outage. Pending removals take effect at the
// end of the grace period.
func (l *List) StoreUp(now clock.Millis) {
	if !l.inOutage {
		return
	}
	l.inOutage, l.recoveredAt = false, now
	for id := range l.dropAt {
		l.dropAt[id] = now + recoveryGrace
	}
}

// Expire performs the pending removals that are due and returns the IDs of the
// removed servers.
func (l *List) Expire(now clock.Millis) []string {
	l.pruneStatements(now)
	var removed []string
	for id, at := range l.dropAt {
		if now >= at {
			delete(l.servers, id)
			delete(l.dropAt, id)
			removed = append(removed, id)
		}
	}
	return removed
}

// ByID returns the server with an ID, nil if none is listed.
func (l *List) ByID(id string) *Server { return l.servers[id] }

// View returns a snapshot of the list.
func (l *List) View() *View {
	v := &View{byService: make(map[string][]*Server), byID: maps.Clone(l.servers)}
	v.byAddr = sync.OnceValue(func() map[string][]*Server {
		byAddr := make(map[string][]*Server, len(v.byID))
		for _, s := range v.byID {
			byAddr[s.Addr] = append(byAddr[s.Addr], s)
		}
		return byAddr
	})
	for _, s := range l.servers {
		v.byService[s.Service] = append(v.byService[s.Service], s)
	}
	for _, ss := range v.byService {
		slices.SortFunc(ss, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}
