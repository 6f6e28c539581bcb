// Package hold is the account of what a process holds for callers: bytes of heads, bodies
// and answers, and connections.
//
//  1. All bytes that are held stay within a share of the VM's memory. What has no room is
//     refused before it is read.
//  2. A holder with more than smallBytes is large. Large holders leave a quarter of the
//     bytes to small ones, so that ordinary requests have room beside them.
//  3. The large holders of one address hold at most half of what large ones may hold,
//     and an address holds at most three quarters of all bytes. A holder that is alone may
//     hold all that large ones may hold.
//  4. Connections are bounded by the VM's descriptors, of which files and the connections
//     to servers and to the store have a share. If all are in use, the address with the
//     most of them loses the one that has waited longest for a whole request.
//
// An account isn't safe for concurrent use.
//
// # Usage
//
//	a := hold.New(hold.BoundsOf(memoryMB, maxFDs))
//	h := hold.Holder{Addr: "10.0.0.7"}
//	if r := a.Grow(&h, n); r != hold.Granted { refuse(r) }
//	a.Shrink(&h, n)
package hold

const (
	// memoryShare is the share of the VM's memory that is held for callers. The rest is
	// for the state of the process and for garbage until it is collected.
	memoryShare = 0.5
	// gcShare is the share of the VM's memory beyond which garbage is collected at any
	// cost. The rest is for the program itself and for unread bytes of connections.
	gcShare = 0.75
	// smallBytes is what an ordinary request holds at most: a head with some tens of lines,
	// and a body of some kilobytes.
	smallBytes = 64 << 10
	// fileFDs are the descriptors that the platform reserves for files.
	fileFDs = 200
	// connShare is the share of the other descriptors for callers' connections, and
	// innerShare that for connections of other nodes. The rest is for connections to
	// servers and to the store, which are used again and fewer.
	connShare  = 0.5
	innerShare = 0.125
	// innerMemoryShare is the share of the VM's memory for heads and answers of other
	// nodes, of which each is small.
	innerMemoryShare = 0.0625
	// connBytes is what an idle connection costs: stacks and buffers.
	connBytes = 32 << 10

	smallReserve = 0.25 // of all bytes
	addrShare    = 0.75 // of all bytes
	// addrLargeShare is the share of the large holders' bytes.
	addrLargeShare = 0.5
)

// Reason tells why something has no room.
type Reason string

// The reasons. They are labels of a counter.
const (
	Granted    Reason = ""
	NoMemory   Reason = "memory"    // callers hold all bytes
	NoShare    Reason = "address"   // the address holds its share
	TooMuch    Reason = "too-much"  // more than a holder that is alone may hold
	NoConn     Reason = "conns"     // all connections are in use
	Evicted    Reason = "evicted"   // the connection made room for one of another address
	SlowReader Reason = "slow-read" // the answer wasn't taken while there was no room
)

// Bounds are the limits of an account. Zero values stand for no limit.
type Bounds struct {
	Bytes int64
	Conns int
}

// BoundsOf returns the bounds for a VM's limits, as far as they are known.
func BoundsOf(memoryMB, maxFDs int) Bounds {
	b := Bounds{Bytes: int64(memoryShare * float64(memoryMB<<20))}
	if maxFDs > fileFDs {
		b.Conns = int(connShare * float64(maxFDs-fileFDs))
	}
	if byMemory := int(b.Bytes / connBytes); byMemory > 0 && (b.Conns == 0 || byMemory < b.Conns) {
		b.Conns = byMemory
	}
	return b
}

// InnerBoundsOf returns the bounds of the address for other nodes.
func InnerBoundsOf(memoryMB, maxFDs int) Bounds {
	b := Bounds{Bytes: int64(innerMemoryShare * float64(memoryMB<<20))}
	if maxFDs > fileFDs {
		b.Conns = int(innerShare * float64(maxFDs-fileFDs))
	}
	return b
}

// ProbeBounds are the bounds of an address at which an operator's tools ask from time to
// time. They need no share of a VM.
func ProbeBounds() Bounds { return Bounds{Bytes: 2 << 20, Conns: 16} }

// GCLimit returns the limit of the memory that the runtime uses, 0 if none is known.
func GCLimit(memoryMB int) int64 { return int64(gcShare * float64(memoryMB<<20)) }

// Holder is what is held for one connection.
type Holder struct {
	Addr  string // IP address of the caller
	bytes int64
}

// Bytes returns what is held.
func (h *Holder) Bytes() int64 { return h.bytes }

// usage is what the holders of one address hold.
type usage struct {
	bytes, large int64
	conns        int
}

// Account is the account of one process.
type Account struct {
	bounds Bounds
	total  usage
	addrs  map[string]*usage
}

// New returns an account of which nothing is held.
func New(b Bounds) *Account { return &Account{bounds: b, addrs: make(map[string]*usage)} }

// largeRoom returns what large holders may hold together.
func (a *Account) largeRoom() int64 { return int64((1 - smallReserve) * float64(a.bounds.Bytes)) }

// Grow adds n bytes to what a holder holds if there is room.
func (a *Account) Grow(h *Holder, n int64) Reason {
	if a.bounds.Bytes > 0 {
		if r := a.room(h, n); r != Granted {
			return r
		}
	}
	a.Force(h, n)
	return Granted
}

// room returns whether a holder has room for n further bytes.
func (a *Account) room(h *Holder, n int64) Reason {
	addr := usage{}
	if u := a.addrs[h.Addr]; u != nil {
		addr = *u
	}
	if after := h.bytes + n; after > smallBytes {
		own := h.large()
		switch {
		case after > a.largeRoom():
			return TooMuch
		case a.total.large-own+after > a.largeRoom():
			return NoMemory
		case addr.large > own && addr.large-own+after > int64(addrLargeShare*float64(a.largeRoom())):
			return NoShare
		}
	}
	switch {
	case a.total.bytes+n > a.bounds.Bytes:
		return NoMemory
	case addr.bytes > h.bytes && addr.bytes+n > int64(addrShare*float64(a.bounds.Bytes)):
		return NoShare
	}
	return Granted
}

// large returns what a holder holds if it is large, or 0.
func (h *Holder) large() int64 {
	if h.bytes > smallBytes {
		return h.bytes
	}
	return 0
}

// Force adds n bytes to what a holder holds, room or not: the process holds them already.
func (a *Account) Force(h *Holder, n int64) {
	u := a.addrs[h.Addr]
	if u == nil {
		u = &usage{}
		a.addrs[h.Addr] = u
	}
	before := h.large()
	h.bytes += n
	for _, u := range []*usage{u, &a.total} {
		u.bytes += n
		u.large += h.large() - before
	}
	a.prune(h.Addr, u)
}

// Shrink takes n bytes from what a holder holds.
func (a *Account) Shrink(h *Holder, n int64) { a.Force(h, -min(n, h.bytes)) }

// prune forgets an address that holds nothing.
func (a *Account) prune(addr string, u *usage) {
	if *u == (usage{}) {
		delete(a.addrs, addr)
	}
}

// Connect counts a connection of an address. If all are in use, it doesn't count it, and
// returns the address that must lose a connection first, which may be the same one.
func (a *Account) Connect(addr string) (full bool, most string) {
	if a.bounds.Conns > 0 && a.total.conns >= a.bounds.Conns {
		most = addr
		for other, u := range a.addrs {
			if m := a.addrs[most]; m == nil || u.conns > m.conns {
				most = other
			}
		}
		return true, most
	}
	u := a.addrs[addr]
	if u == nil {
		u = &usage{}
		a.addrs[addr] = u
	}
	u.conns++
	a.total.conns++
	return false, ""
}

// Disconnect ends a connection of an address that Connect has counted.
func (a *Account) Disconnect(addr string) {
	u := a.addrs[addr]
	u.conns--
	a.total.conns--
	a.prune(addr, u)
}

// Total returns the bytes and connections in use.
func (a *Account) Total() (bytes int64, conns int) { return a.total.bytes, a.total.conns }
