package match

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/queue"
)

// queueKey identifies one queue of a pool.
type queueKey struct {
	class      ident.Class
	minVersion ident.Version
	sizeGroup  int
	round      bool
}

// workQueue holds the waiting items of one queueKey.
type workQueue struct {
	key     queueKey
	stats   *classStats
	items   *queue.Queue[Item]
	skipped []Item       // items that found no server during this dispatch
	blocked bool         // no further items are tried during this dispatch
	retryAt clock.Millis // the queue is not tried before this time
}

func (p *pool) queueFor(k queueKey) *workQueue {
	for _, wq := range p.queues {
		if wq.key == k {
			return wq
		}
	}
	wq := &workQueue{key: k, items: queue.New[Item]()}
	p.queues = append(p.queues, wq)
	return wq
}

// bandOf returns the band of a queue, by rule 2. A class is long if its median
// run time exceeds longRatio times that of the shortest class of the service.
func (p *pool) bandOf(wq *workQueue) band {
	if wq.key.round {
		return round
	}
	shortest := wq.stats.medianRunTime
	for _, o := range p.classes {
		if o.medianRunTime > 0 {
			shortest = min(shortest, o.medianRunTime)
		}
	}
	if wq.stats.medianRunTime > longRatio*shortest {
		return long
	}
	return short
}

// queueHeads returns, for each band, the queue whose head has the least slack.
func (p *pool) queueHeads(now clock.Millis) (heads [bandCount]*workQueue) {
	for _, wq := range p.queues {
		if wq.blocked || wq.items.Len() == 0 || wq.key.minVersion > p.newestVersion || now < wq.retryAt {
			continue
		}
		b := p.bandOf(wq)
		if heads[b] == nil || wq.dueBefore(heads[b]) {
			heads[b] = wq
		}
	}
	return heads
}

// belowMinShare returns the queue of a band that uses less than its minimum
// share, if its head is due before that of the short band. In a pool with too
// few slots for shares, such a band gets one in minShareDivisor grants.
func (p *pool) belowMinShare(heads [bandCount]*workQueue) (*workQueue, band) {
	minShare := p.slots / minShareDivisor
	turn := minShare == 0 && p.grantCount%minShareDivisor == minShareDivisor-1
	for _, b := range [...]band{long, round} {
		if heads[b] == nil || (heads[short] != nil && !heads[b].dueBefore(heads[short])) {
			continue
		}
		if p.inFlight[b] < minShare || turn {
			return heads[b], b
		}
	}
	return nil, short
}

// oldestQueue returns the queue whose head arrived first. IDs increase in the
// order of arrival.
func (p *pool) oldestQueue() *workQueue {
	var best *workQueue
	var lowestID uint64
	for _, wq := range p.queues {
		id, _, ok := wq.items.Peek()
		if ok && !wq.blocked && (best == nil || id < lowestID) {
			best, lowestID = wq, id
		}
	}
	return best
}

func (wq *workQueue) dueBefore(o *workQueue) bool {
	_, a, _ := wq.items.Peek()
	_, b, _ := o.items.Peek()
	return a < b
}

// restoreSkipped puts the skipped items back into their queues and drops empty
// queues.
func (p *pool) restoreSkipped() {
	keep := p.queues[:0]
	for _, wq := range p.queues {
		for _, it := range wq.skipped {
			wq.items.Push(it.ID, it.latestStart(wq.stats), it)
		}
		wq.skipped, wq.blocked = nil, false
		if wq.items.Len() > 0 {
			keep = append(keep, wq)
		}
	}
	clear(p.queues[len(keep):])
	p.queues = keep
}
