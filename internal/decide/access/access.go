// Package access decides for which workspace a client's request runs.
//
//  1. While the configuration has no workspaces, every request runs for none.
//  2. A request that may be made by anyone needs no key. It runs for no workspace,
//     whatever key it has.
//  3. Any other request needs one key that one workspace holds. A key that several
//     workspaces hold opens none of them, since it is not known whose request it is.
//  4. A key is refused as unknown only if the configuration was the newest one a short
//     time ago. A node that can't be sure says so, and the client asks another node.
//  5. A key that is known may have been removed in the meantime. A node serves it until
//     the configuration was last known to be the newest for longer than the bound in
//     [Policy].
//
// A [Table] is immutable and part of a configuration. It holds digests instead of keys,
// so that neither a dump of its memory nor the time of a lookup tells a key.
//
// # Usage
//
//	t := access.New([]access.Workspace{{Name: "acme", Keys: keys}})
//	g, refusal := t.Decide(policy, access.Request{Credential: credential, Age: age})
package access

import (
	"crypto/sha256"
	"fmt"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
)

const (
	// certainFor is the age of the configuration up to which an unknown key is refused
	// (rule 4): a node reads changes within two reads of half a second, and a slow store
	// takes some hundred ms more.
	certainFor = 2 * clock.Second
	// maxOutage is the age of the configuration up to which known keys are served if
	// revocation is not strict (rule 5). It is longer than an outage of the store that
	// operators leave unattended, and ends the use of a removed key at a node that is
	// cut off for good.
	maxOutage = clock.Hour
)

// Workspace is a customer's workspace with the keys that open it.
type Workspace struct {
	Name     ident.Workspace
	Keys     []string
	Priority option.Option[int] // takes precedence over the route's; 0 is the highest
}

// Policy is how long a node serves known keys while it can't read the configuration.
type Policy struct {
	Strict      bool         // refuse known keys after RevokeBound
	RevokeBound clock.Millis // time after which a removed key is refused everywhere
}

// maxAge returns the age of the configuration up to which known keys are served (rule 5).
func (p Policy) maxAge() clock.Millis {
	if p.Strict {
		return p.RevokeBound
	}
	return maxOutage
}

// Credential is what a client sent to identify its workspace.
type Credential struct {
	Key       string // empty if the client sent none
	Malformed bool   // the client sent something else than one key
}

// Request is a request of a client.
type Request struct {
	Public     bool // anyone may make it
	Credential Credential
	Age        clock.Millis // time since the configuration was known to be the newest
}

// Grant is the permission to run a request.
type Grant struct {
	Enabled   bool            // the configuration has workspaces: a server gets no credential of the client
	Workspace ident.Workspace // for which the request runs, empty for none
}

// Refusal is the reason why a request is refused.
type Refusal string

// The reasons of refusals.
const (
	Allowed      Refusal = ""
	NoKey        Refusal = "no-key"
	MalformedKey Refusal = "malformed-key"
	UnknownKey   Refusal = "unknown-key"
	SharedKey    Refusal = "shared-key" // several workspaces hold it
	Unsure       Refusal = "unsure"     // the key may have been added (rule 4)
	Outdated     Refusal = "outdated"   // the key may have been removed (rule 5)
)

// IsTemporary reports whether another node, or this one later, may allow the request.
func (r Refusal) IsTemporary() bool { return r == Unsure || r == Outdated }

// digest is the hash of a key.
type digest [sha256.Size]byte

// Table has the workspaces of a configuration. A nil Table belongs to a configuration
// without workspaces.
type Table struct {
	byKey     map[digest]*Workspace // nil for a key that several workspaces hold
	byName    map[ident.Workspace]*Workspace
	maxLength int      // of a key in bytes; a longer one is unknown
	problems  []string // see Problems
}

// New returns the table of workspaces. One without a name, or with a name that can't be a
// header's value, is left out.
func New(workspaces []Workspace) *Table {
	t := &Table{byKey: make(map[digest]*Workspace), byName: make(map[ident.Workspace]*Workspace)}
	for _, w := range workspaces {
		if !isName(w.Name) {
			t.problem("workspace %q has no name that a server can be told, its keys are refused", w.Name)
			continue
		}
		entry := t.byName[w.Name]
		if entry == nil {
			entry = &Workspace{Name: w.Name, Priority: w.Priority}
			t.byName[w.Name] = entry
		}
		held := 0
		for _, key := range w.Keys {
			if key != "" {
				held++
				t.add(entry, key)
			}
		}
		if held == 0 {
			t.problem("workspace %q has no key, nobody can use it", w.Name)
		}
	}
	return t
}

// add adds a key of a workspace.
func (t *Table) add(w *Workspace, key string) {
	t.maxLength = max(t.maxLength, len(key))
	sum := digest(sha256.Sum256([]byte(key)))
	holder, known := t.byKey[sum]
	if known && holder != w {
		t.problem("workspace %q has a key that another one has too, it opens neither", w.Name)
		w = nil
	}
	t.byKey[sum] = w
}

func (t *Table) problem(format string, name ident.Workspace) {
	t.problems = append(t.problems, fmt.Sprintf(format, name))
}

// isName reports whether a name is not empty and can be the value of a header.
func isName(name ident.Workspace) bool {
	return name != "" && strings.TrimSpace(string(name)) == string(name) &&
		!strings.ContainsFunc(string(name), func(r rune) bool { return r < ' ' || r == 0x7f })
}

// Problems returns what operators should know about the workspaces, one line each. A line
// contains no key.
func (t *Table) Problems() []string {
	if t == nil {
		return nil
	}
	return t.problems
}

// Len returns the number of workspaces.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.byName)
}

// Priority returns the priority of a workspace's requests on a route with a priority.
func (t *Table) Priority(name ident.Workspace, route int) int {
	if t != nil {
		if w := t.byName[name]; w != nil {
			return w.Priority.Or(route)
		}
	}
	return route
}

// Decide returns the permission to run a request, or why it is refused.
func (t *Table) Decide(p Policy, r Request) (Grant, Refusal) {
	switch {
	case t == nil: // rule 1
		return Grant{}, Allowed
	case r.Public: // rule 2
		return Grant{Enabled: true}, Allowed
	case r.Credential.Malformed:
		return Grant{}, MalformedKey
	case r.Credential.Key == "":
		return Grant{}, NoKey
	}
	w, known := t.find(r.Credential.Key)
	return grant(p, r, w, known)
}

// DecideFor is Decide for a request whose key is that of the named workspace; the key of
// the request is ignored. It is for operators, who know no keys.
func (t *Table) DecideFor(p Policy, r Request, name ident.Workspace) (Grant, Refusal) {
	switch {
	case t == nil || r.Public: // rules 1 and 2
		return t.Decide(p, r)
	case name == "":
		return Grant{}, NoKey
	}
	w, known := t.byName[name]
	return grant(p, r, w, known)
}

// grant decides for the workspace that holds a key, nil if several do.
func grant(p Policy, r Request, w *Workspace, known bool) (Grant, Refusal) {
	switch {
	case !known && r.Age > certainFor: // rule 4
		return Grant{}, Unsure
	case !known:
		return Grant{}, UnknownKey
	case w == nil: // rule 3
		return Grant{}, SharedKey
	case r.Age > p.maxAge(): // rule 5
		return Grant{}, Outdated
	}
	return Grant{Enabled: true, Workspace: w.Name}, Allowed
}

// find returns the workspace that holds a key, nil if several do.
func (t *Table) find(key string) (w *Workspace, known bool) {
	if len(key) > t.maxLength {
		return nil, false
	}
	var buf [128]byte // Keys up to this length are copied without an allocation.
	w, known = t.byKey[sha256.Sum256(append(buf[:0], key...))]
	return w, known
}
