package origin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/inner/index"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// TestJournalCalls guards against calls of the platform's store for each stream or each entry:
// the streams that begin, and those that nobody knows, share them.
func TestJournalCalls(t *testing.T) {
	const seconds = 3
	tests := map[string]struct {
		entries     int
		notResuming bool
		begin, find int  // streams a second at each entry
		refuses     bool // the store refuses all calls
		most        int  // calls a second
	}{
		"no stream can be resumed":      {entries: 30, notResuming: true, most: 0},
		"no stream begins":              {entries: 30, most: 1},
		"streams begin at one entry":    {entries: 1, begin: 100, most: 6},
		"streams begin at 25 entries":   {entries: 25, begin: 5, most: 6},
		"streams begin at 50 entries":   {entries: 50, begin: 5, most: 2 * 6},
		"the store refuses":             {entries: 50, begin: 5, refuses: true, most: 2 * 15},
		"unknown streams at one entry":  {entries: 1, find: 50, most: 11},
		"unknown streams at 30 entries": {entries: 30, find: 10, most: 2 * 11},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				cl := newCluster(ctx, 0)
				cl.notResumable.Store(true) // The entries don't ask each other when they start.
				cl.startNew(test.entries)
				cl.notResumable.Store(test.notResuming)
				cl.setServers("v1", "v2")
				if test.refuses {
					cl.platform.SetFaultMode(topic.Busy)
				}
				before := cl.platform.Calls()
				for tick := range 10 * seconds {
					for name, s := range cl.stores {
						for i := range test.begin / 10 {
							go s.Record(ctx, resume.Origin{Stream: fmt.Sprint(name, tick, "-", i), Service: "s", Software: "v1"})
						}
						for i := range test.find / 10 {
							go func() { _, _ = s.Find(ctx, fmt.Sprint("unknown", tick, "-", i), "s") }() // Nobody knows them.
						}
						if test.begin > 0 && test.begin < 10 && tick%(10/test.begin) == 0 {
							go s.Record(ctx, resume.Origin{Stream: fmt.Sprint(name, tick), Service: "s", Software: "v1"})
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				calls := cl.platform.Calls() - before
				c.Check(calls <= test.most*seconds+1, qt.IsTrue, qt.Commentf("%d calls in %d s", calls, seconds))
				time.Sleep(time.Second)
			})
		})
	}
}

// segments returns the keys of the segments in the platform's store.
func (c *cluster) segments(check *qt.C) []string {
	records, _, err := c.platform.Newest(c.ctx, "origins")
	check.Assert(err, qt.IsNil)
	var keys []string
	for _, k := range records {
		keys = append(keys, k.Key)
	}
	return keys
}

// TestJournalIsCleaned guards against origins that stay in the platform's store for good, also
// those of entries that are gone.
func TestJournalIsCleaned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCluster(ctx, 3)
		c.setServers("v1", "v2")
		begin := func(prefix string, n int) {
			var origins []resume.Stored
			for i := range n {
				origins = append(origins, resume.Stored{Stream: index.StreamKeyOf(fmt.Sprint(prefix, i)), Service: "s", Software: "v1"})
			}
			for part := range slices.Chunk(origins, resume.MaxOrigins) {
				check.Assert(c.stores["e-0"].StoreAll(ctx, part), qt.IsNil)
			}
			time.Sleep(time.Second)
		}
		begin("old", 2*maxSegmentStreams)
		check.Check(len(c.segments(check)) >= 2, qt.IsTrue)
		time.Sleep(time.Minute)
		c.startAll()
		begin("new", 10)
		check.Check(len(c.segments(check)) >= 3, qt.IsTrue)
		o, err := c.stores["e-1"].Find(ctx, "old7", "s")
		check.Assert(err, qt.IsNil)
		check.Check(o.Software, qt.Equals, "v1")
		for range (lifetime + 3*cleanInterval) / clock.Second {
			time.Sleep(time.Second)
			c.platform.Write("origins", "gone", nil)
			c.platform.Expire("origins", 0) // Each read must then read all segments.
			c.prune()
		}
		check.Check(c.segments(check), qt.HasLen, 0)
		_, err = c.stores["e-1"].Find(ctx, "new7", "s")
		check.Check(err, qt.IsNotNil)
		before := c.platform.Calls()
		c.notResumable.Store(true)
		time.Sleep(time.Hour)
		check.Check(c.platform.Calls()-before <= 1, qt.IsTrue)
	})
}

// TestLateAppend guards against a segment that an append replaces which the store applies long
// after it was given up.
func TestLateAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCluster(ctx, 1)
		c.setServers("v1", "v2")
		late := &latePuts{Store: c.platform}
		c.stores["e-0"].journal.store = late
		var streams []string
		begin := func(n int) {
			for i := range n {
				streams = append(streams, fmt.Sprint(len(streams), "-", i))
				c.stores["e-0"].Record(ctx, resume.Origin{Stream: streams[len(streams)-1], Service: "s", Software: "v1"})
			}
			time.Sleep(time.Second)
		}
		begin(3)
		late.setHold(true)
		begin(3)
		late.setHold(false)
		begin(3)
		late.apply()
		c.startAll()
		for _, stream := range streams {
			o, err := c.stores["e-0"].Find(ctx, stream, "s")
			check.Check(err, qt.IsNil, qt.Commentf("%s", stream))
			check.Check(o.Software, qt.Equals, "v1")
		}
		time.Sleep(time.Second)
	})
}

// latePuts is a store that holds some puts back, which their senders give up.
type latePuts struct {
	*topic.Store
	mu   sync.Mutex
	hold bool
	held []func()
}

func (s *latePuts) setHold(hold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = hold
}

// apply applies the puts that were held back.
func (s *latePuts) apply() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, put := range s.held {
		put()
	}
}

func (s *latePuts) Put(ctx context.Context, topicName, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hold {
		return s.Store.Put(ctx, topicName, key, value)
	}
	value = slices.Clone(value)
	s.held = append(s.held, func() { s.Write(topicName, key, value) })
	return topic.ErrNoAnswer
}

// TestSegmentFitsARecord guards against a segment that the store refuses for its size, and
// against IDs that clients make long.
func TestSegmentFitsARecord(t *testing.T) {
	c := qt.New(t)
	s := make(index.Segment)
	for i := range maxSegmentStreams + maxWriteStreams + resume.MaxOrigins {
		s[index.StreamKeyOf(strings.Repeat("x", 10000)+fmt.Sprint(i))] = index.Release{Service: "service", Software: fmt.Sprint("v", i%5)}
	}
	b, err := index.EncodeSegment(s)
	c.Assert(err, qt.IsNil)
	c.Check(len(b) <= 256<<10, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
	t.Logf("%.1f bytes a stream", float64(len(b))/float64(len(s)))
	got, err := index.DecodeSegment(b)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, s)
}

// TestCrashBehindTheFirstEvent guards against streams whose origins are lost because the entry
// that serves them crashes before it has written them, and all others crash later.
func TestCrashBehindTheFirstEvent(t *testing.T) {
	const streams = 60
	for _, entries := range []int{2, 3, 7, 30} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := newCluster(ctx, 0)
				c.notResumable.Store(true)
				c.startNew(entries)
				c.setServers("v1", "v2")
				var begun sync.WaitGroup
				for i := range streams {
					begun.Go(func() {
						c.stores["e-0"].Record(ctx, resume.Origin{Stream: streamID(i), Service: "s", Software: softwareOf(i)})
					})
				}
				begun.Wait()
				c.start("e-0")
				time.Sleep(time.Second)
				c.startAll()
				right, wrong := c.found(streams)
				check.Check(right, qt.Equals, streams)
				check.Check(wrong, qt.Equals, 0)
				time.Sleep(time.Second)
			})
		})
	}
}

// TestUnstoredOriginsAreBounded guards against a queue of origins that grows while the platform's
// store is down.
func TestUnstoredOriginsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCluster(ctx, 1)
		c.setServers("v1", "v2")
		c.platform.SetFaultMode(topic.Busy)
		s := c.stores["e-0"]
		for i := range 600 {
			s.Record(ctx, resume.Origin{Stream: streamID(i), Service: "s", Software: "v1"})
			s.Prune()
			time.Sleep(time.Second)
		}
		s.mu.Lock()
		check.Check(len(s.unstored) <= int(lifetime/1000)+1, qt.IsTrue, qt.Commentf("%d streams", len(s.unstored)))
		s.mu.Unlock()
		c.platform.SetFaultMode(topic.NoFault)
		time.Sleep(time.Second)
		s.mu.Lock()
		check.Check(s.unstored, qt.HasLen, 0)
		s.mu.Unlock()
		c.startAll()
		_, err := c.stores["e-0"].Find(ctx, streamID(590), "s")
		check.Check(err, qt.IsNil)
		time.Sleep(time.Second)
	})
}

// TestBurstIsStoredAtOnce guards against streams that begin together and whose origins reach the
// platform's store one interval after the other.
func TestBurstIsStoredAtOnce(t *testing.T) {
	const streams, entries = 60, 7
	synctest.Test(t, func(t *testing.T) {
		check := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCluster(ctx, 0)
		c.notResumable.Store(true)
		c.startNew(entries)
		c.setServers("v1", "v2")
		for i := range streams {
			go c.stores[fmt.Sprint("e-", i%entries)].Record(ctx, resume.Origin{Stream: streamID(i), Service: "s", Software: softwareOf(i)})
		}
		time.Sleep(120 * time.Millisecond)
		c.startAll()
		right, wrong := c.found(streams)
		check.Check(right, qt.Equals, streams)
		check.Check(wrong, qt.Equals, 0)
		time.Sleep(time.Second)
	})
}
