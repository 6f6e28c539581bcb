package work

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/sched"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
)

type phase uint8

const (
	waiting phase = iota
	running
	scoring  // or being stored
	heldBack // not run any more, it crashes engines
	listed
)

// item is the state of one item.
type item struct {
	phase phase
	held  []runs.Event // before the current attempt's
	cur   *attempt
	// next runs the rest of the item at a faster engine. It takes the place of
	// the current attempt with its first event, so that a refusal costs nothing.
	next     *attempt
	after    clock.Millis // no start before then
	stay     clock.Millis // no move before then
	notAt    string       // engine that it just left
	fails    int          // answers of failure
	breaks   int          // runs that broke off
	moves    int
	refusals int // of engines that were full, loading or too old
	kept     int // events that are stored
}

// attempt is one run of an item at one engine.
type attempt struct {
	server  *fleet.Server
	cancel  func()
	from    int // events that were held when it was asked for
	events  []runs.Event
	stalled bool // no event for long
}

// made returns the number of events that are held.
func (st *item) made() int {
	if st.cur == nil {
		return len(st.held)
	}
	return st.cur.from + len(st.cur.events)
}

// version returns the version of the last event that is held.
func (st *item) version() int64 {
	if st.cur != nil && len(st.cur.events) > 0 {
		return st.cur.events[len(st.cur.events)-1].Version
	}
	if n := st.made(); n > 0 {
		return st.held[n-1].Version
	}
	return 0
}

// settle takes the current attempt's events in.
func (st *item) settle() {
	if st.cur != nil {
		st.held = st.events()
		st.cur = nil
	}
}

// events returns what is held, from the start of the text.
func (st *item) events() []runs.Event {
	if st.cur == nil {
		return st.held
	}
	return append(st.held[:st.cur.from:st.cur.from], st.cur.events...)
}

// adopt makes the next attempt the current one. A text goes on after the event
// for which the attempt was asked, also if more are held by now.
func (st *item) adopt() {
	st.settle()
	st.held = st.held[:st.next.from]
	st.cur, st.next = st.next, nil
}

// stop ends all attempts.
func (st *item) stop() {
	for _, a := range []*attempt{st.cur, st.next} {
		if a != nil {
			a.cancel()
		}
	}
	st.cur, st.next = nil, nil
}

// job is a job that this node owns.
type job struct {
	ctx    context.Context
	cancel context.CancelFunc
	id     string
	host   string
	path   string
	model  string
	min    int64
	at     clock.Millis // of its acceptance, as far as is known here
	begun  clock.Millis // when its items were at hand
	items  []joblog.Item
	state  []item
}

func newJob(ctx context.Context, j *joblog.Job) *job {
	ctx, cancel := context.WithCancel(ctx)
	r := &job{
		ctx: ctx, cancel: cancel, id: j.JobID, host: j.Host, path: j.Path, model: j.Model, min: j.MinVersion, at: j.LearnedAt,
		state: make([]item, len(j.ItemIDs)),
	}
	r.update(j)
	return r
}

// update takes in the results that are listed.
func (j *job) update(from *joblog.Job) {
	for i := range j.state {
		if st := &j.state[i]; from.HasResult(i) && st.phase != listed {
			st.stop()
			*st = item{phase: listed}
		}
	}
}

func (j *job) start(now clock.Millis, its []joblog.Item) { j.items, j.begun = its, now }

// crashID returns the name by which package crash knows an item.
func (j *job) crashID(i int) string {
	it := &j.items[i]
	return crash.Fingerprint(ident.Class(j.host+it.Path), it.Body)
}

func (j *job) busy() int {
	n := 0
	for i := range j.state {
		if p := j.state[i].phase; p == running || p == scoring {
			n++
		}
	}
	return n
}

// wants lists the items that may start now.
func (j *job) wants(now clock.Millis, stride int) []sched.Item {
	var out []sched.Item
	for i := range j.state {
		st := &j.state[i]
		if st.phase == waiting && now >= st.after {
			out = append(out, sched.Item{Index: i, ExpectedEvents: j.items[i].LengthHint / stride, Received: len(st.held), Avoid: st.notAt})
		}
	}
	return out
}
