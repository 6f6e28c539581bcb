package match

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/queue"
)

// laneKey names one queue of a pool.
type laneKey struct {
	class ident.Class
	floor ident.Version
	size  int
	round bool
}

type lane struct {
	key     laneKey
	class   *class
	q       *queue.Queue[Item]
	aside   []Item // passed over in this decision
	blocked bool
	again   clock.Millis // passed over until then, after all servers were looked at
}

func (p *pool) lane(k laneKey) *lane {
	for _, l := range p.lanes {
		if l.key == k {
			return l
		}
	}
	l := &lane{key: k, q: queue.New[Item]()}
	p.lanes = append(p.lanes, l)
	return l
}

// band applies rule 2: a class is long by comparison with the shortest class
// of its service.
func (p *pool) band(l *lane) band {
	if l.key.round {
		return round
	}
	least := l.class.mid
	for _, o := range p.classes {
		if o.mid > 0 {
			least = min(least, o.mid)
		}
	}
	if l.class.mid > longRatio*least {
		return long
	}
	return short
}

// heads returns the queue of each band whose head has the least slack.
func (p *pool) heads(now clock.Millis) (heads [bands]*lane) {
	for _, l := range p.lanes {
		if l.blocked || l.q.Len() == 0 || l.key.floor > p.newest || now < l.again {
			continue
		}
		b := p.band(l)
		if heads[b] == nil || l.dueBefore(heads[b]) {
			heads[b] = l
		}
	}
	return heads
}

// starving returns the queue of a band below its floor whose head was due
// before the short band's. A pool too small for floors gives such a band one
// of some grants.
func (p *pool) starving(heads [bands]*lane) (*lane, band) {
	floor := p.slots / floorShare
	turn := floor == 0 && p.grants%floorShare == floorShare-1
	for _, b := range [...]band{long, round} {
		if heads[b] == nil || (heads[short] != nil && !heads[b].dueBefore(heads[short])) {
			continue
		}
		if p.inflight[b] < floor || turn {
			return heads[b], b
		}
	}
	return nil, short
}

// oldest returns the queue whose head arrived first.
func (p *pool) oldest() *lane {
	var best *lane
	var least uint64
	for _, l := range p.lanes {
		id, _, ok := l.q.Peek()
		if ok && !l.blocked && (best == nil || id < least) {
			best, least = l, id
		}
	}
	return best
}

func (l *lane) dueBefore(o *lane) bool {
	_, a, _ := l.q.Peek()
	_, b, _ := o.q.Peek()
	return a < b
}

// restore puts the items that were passed over back in their places.
func (p *pool) restore() {
	keep := p.lanes[:0]
	for _, l := range p.lanes {
		for _, it := range l.aside {
			l.q.Push(it.ID, it.due(l.class), it)
		}
		l.aside, l.blocked = nil, false
		if l.q.Len() > 0 {
			keep = append(keep, l)
		}
	}
	clear(p.lanes[len(keep):])
	p.lanes = keep
}
