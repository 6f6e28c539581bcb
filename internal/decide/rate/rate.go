// Package rate keeps the rate of requests to a backend server within the limit that
// the server states in its answers: the number of requests per second that it takes
// from all nodes together.
//
//  1. The latest statement counts. An answer without a statement ends the limit only
//     if its request was sent after the latest statement was received: answers
//     overtake each other.
//  2. A [Bucket] grants requests at the limit, with a burst of one more. A new bucket
//     grants its first request after one interval, because the bucket before it may
//     just have granted some.
//  3. The nodes that use a server ask one node for grants. A node that does not reach
//     it asks the next one by rank, and so on, up to [Granters]. Each further rank
//     grants a third of the rate of the one before. So however the nodes are
//     partitioned, all ranks together grant at most one and a half times the limit
//     and a burst of [Granters] + 1.
//  4. A granted request starts at most [MaxWait] later. The bucket of a process that has
//     just started grants nothing that starts within MaxWait of its start, because the
//     process before it on the same node may have granted until then.
//  5. A limit below minPerSecond counts as minPerSecond, because only the answer to a
//     request shows that the limit has ended.
//
// # Usage
//
//	var l rate.Limit
//	l.Observe(now, sentAt, stated)
//	b := rate.NewBucket(processStart)
//	if wait, ok := b.Take(now, l.PerSecond(), 0, maxWait); ok { ... }
package rate

import (
	"math"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
)

// Granters is the number of nodes that may be asked for grants for one server.
const Granters = 3

// MaxWait is the longest wait that is granted. It is half of a latency objective of one
// second: a request that has to wait longer is better told when to come back.
const MaxWait = 500 * clock.Milli

const (
	// rankDivisor is the factor by which the rate of a granter is lower than that of
	// the granter before it.
	rankDivisor = 3
	// minPerSecond is the lowest rate of requests to a server.
	minPerSecond = 0.25
)

// Limit is what one node knows about the limit of one server. The zero value is no
// limit.
type Limit struct {
	perSecond float64 // 0 for no limit
	statedAt  clock.Millis
}

// PerSecond returns the limit, 0 if there is none.
func (l *Limit) PerSecond() float64 { return l.perSecond }

// Observe records an answer and whether the limit has changed (rule 1). In the
// arguments, sentAt is when the request was sent, and stated is the limit in the
// answer, if any.
func (l *Limit) Observe(now, sentAt clock.Millis, stated option.Option[float64]) (changed bool) {
	previous := l.perSecond
	if v, ok := stated.Get(); ok {
		l.perSecond, l.statedAt = max(minPerSecond, v), now // rule 5
	} else if sentAt >= l.statedAt {
		l.perSecond = 0
	}
	return l.perSecond != previous
}

// Interval returns the time between two requests at a limit.
func Interval(perSecond float64) clock.Millis {
	return clock.Millis(math.Ceil(float64(clock.Second) / perSecond))
}

// Bucket grants requests to one server.
type Bucket struct {
	// notBefore is the earliest start of a request (rule 4).
	notBefore clock.Millis
	// next is when the next request would start if the granted ones were spaced
	// evenly, in ms; 0 before the first call.
	next float64
}

// NewBucket returns a bucket of a process that started at a time.
func NewBucket(processStart clock.Millis) Bucket { return Bucket{notBefore: processStart + MaxWait} }

// Start records that requests count from now on, if that was not recorded yet (rule 2).
// The other methods call it.
func (b *Bucket) Start(now clock.Millis, perSecond float64) { b.wait(now, perSecond, 0) }

// Take grants a request that may start after the returned wait, or refuses it if the
// wait is longer than maxWait or [MaxWait]. The rank is that of this node among the
// granters (rule 3).
func (b *Bucket) Take(now clock.Millis, perSecond float64, rank int, maxWait clock.Millis) (wait clock.Millis, ok bool) {
	wait, interval := b.wait(now, perSecond, rank)
	if wait > min(maxWait, MaxWait) {
		return wait, false
	}
	b.next = max(b.next, float64(now)) + interval
	return wait, true
}

// Wait returns how long the next request would have to wait.
func (b *Bucket) Wait(now clock.Millis, perSecond float64) clock.Millis {
	wait, _ := b.wait(now, perSecond, 0)
	return wait
}

func (b *Bucket) wait(now clock.Millis, perSecond float64, rank int) (clock.Millis, float64) {
	interval := float64(clock.Second) / max(minPerSecond, perSecond) * math.Pow(rankDivisor, float64(rank))
	burst := 0.0 // Only the first granter allows one.
	if rank == 0 {
		burst = interval
	}
	if b.next == 0 { // rule 2
		b.next = float64(max(now, b.notBefore)) + interval + burst
	}
	return clock.Millis(math.Ceil(max(0, b.next-burst-float64(now)))), interval
}
