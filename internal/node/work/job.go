package work

import (
	"context"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/lots"
	"github.com/jujuberamp/jujuberamp/internal/decide/seats"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
)

type phase uint8

const (
	waiting phase = iota
	running
	scoring // or being stored
	listed
)

// item is the state of one item.
type item struct {
	phase  phase
	events []runs.Event
	engine string
	stop   func()       // ends the run early; its events are kept
	next   clock.Millis // not before then
	fails  int          // answers of failure
	breaks int          // runs that broke off
	moves  int
	stay   clock.Millis // no move before then
	moving bool         // stopped in order to go elsewhere
	notAt  string       // engine that it just left
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
	at     clock.Millis
	record lots.Job // without its state
	items  []lots.Item
	state  []item
}

func newJob(ctx context.Context, j *lots.Job) *job {
	ctx, cancel := context.WithCancel(ctx)
	r := &job{
		ctx: ctx, cancel: cancel, id: j.Job, host: j.Host, path: j.Path, model: j.Model, min: j.MinVersion, at: j.At,
		record: *j, state: make([]item, len(j.Items)),
	}
	r.update(j)
	return r
}

// update takes in the results that are listed.
func (j *job) update(from *lots.Job) {
	for i := range j.state {
		if st := &j.state[i]; from.Listed(i) && st.phase != listed {
			if st.stop != nil {
				st.stop()
			}
			*st = item{phase: listed}
		}
	}
}

func (j *job) start(its []lots.Item) { j.items = its }

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
func (j *job) wants(now clock.Millis, stride int) []seats.Want {
	var out []seats.Want
	for i := range j.state {
		st := &j.state[i]
		if st.phase == waiting && now >= st.next {
			out = append(out, seats.Want{Item: i, Size: j.items[i].Hint / stride, Made: len(st.events), NotAt: st.notAt})
		}
	}
	return out
}
