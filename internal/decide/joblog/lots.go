// Package joblog decides what the jobs of trainers are, from the records of one
// ordered topic, the index. Every node that has read the same prefix gives the
// same answers.
//
//  1. A job exists from its first valid record on; later ones of the same
//     identity are repeats.
//  2. A result's place in its job is the order of its record. The first result
//     of an item counts; later ones are dropped.
//  3. After the end of a job no result of it counts.
//  4. The owner of a job makes its results. It is the node that accepted the
//     job, until a later record names another one. It is a choice that saves
//     work, not a lock: a second owner costs tokens, and rule 2 keeps the
//     results single.
//  5. The text that an item has so far may be stored, so that a later owner goes
//     on after it. Each record holds a text from its start on; the longest
//     counts.
//  6. A node is alive while its records arrive. The first record of a new
//     incarnation ends those before it.
//
// # Usage
//
//	ix := joblog.New()
//	change := ix.Apply(now, offset, record)
//	job := ix.Job("7c41")
package joblog

import (
	"maps"
	"net/http"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// Location tells where a value lies in the bulk topic.
type Location struct {
	Partition int
	Offset    int64
}

// Scorer is the call that scores a finished item.
type Scorer struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// Item is one piece of work of a job.
type Item struct {
	ID          string
	Group       string
	Path        string
	Header      http.Header
	Body        []byte
	TokenBudget int // prompt and the most that may be generated
	LengthHint  int // the client's estimate of the generated tokens, 0 for none
	Scorer      *Scorer
}

// Spec is a job as a client hands it in.
type Spec struct {
	ID         string
	Host       string
	Path       string
	Model      string
	Step       int
	MinVersion int64
	Groups     int // complete groups that the trainer waits for
	Items      []Item
}

// Accept is the record of an accepted job. The bodies of its items lie one
// after the other in the bulk topic.
type Accept struct {
	JobID           string
	Host            string
	Path            string
	Model           string
	MinVersion      int64
	Groups          int
	ItemIDs         []string // identities
	ItemsAt         Location // of the first item
	Node            Node
	EstimatedTokens int64 // estimated tokens of all items
}

// Done is the record of an item that is finished or given up.
type Done struct {
	JobID    string
	Item     int
	GivenUp  bool
	Versions []int64
	Score    string
	TextAt   Location
	Size     int // of the text in bytes
}

// Checkpoint is the record of the text that an item has so far.
type Checkpoint struct {
	JobID  string
	Item   int
	Events int // that the text has
	TextAt Location
	Size   int // of the stored record in bytes
}

// End is the record of a job that its client has ended.
type End struct{ JobID string }

// Takeover is the record of a node that goes on with a job.
type Takeover struct {
	JobID string
	Node  Node
}

// Heartbeat is the record of a living node; Leaving tells that it takes no more jobs.
type Heartbeat struct {
	Node    Node
	Addr    string
	Zone    string
	Leaving bool
}

// Node names one incarnation of a node.
type Node struct {
	Name string
	Boot string // differs for each start
}

// Record is one of Accept, Done, Part, End, Take, Beat, and [crash.Crash], which
// changes no job.
type Record any

// Result is a listed result.
type Result struct {
	Item     int
	GivenUp  bool
	Versions []int64
	Score    string
	TextAt   Location
	Size     int
}

// Job is an accepted job.
type Job struct {
	Accept
	Owner     Node
	LearnedAt clock.Millis // when this node learned of it; never before its acceptance
	Results   []Result     // in the order of their places
	Ended     bool
	place     []int32 // of each item in Results, plus one
	parts     map[int]Checkpoint
}

// Checkpoint returns the longest stored text of an item that is not listed.
func (j *Job) Checkpoint(item int) (Checkpoint, bool) {
	p, ok := j.parts[item]
	return p, ok && !j.HasResult(item)
}

// HasResult reports whether an item has a result.
func (j *Job) HasResult(item int) bool { return j.place[item] > 0 }

// ResultOf returns an item's result, nil if it has none.
func (j *Job) ResultOf(item int) *Result {
	if p := j.place[item]; p > 0 {
		return &j.Results[p-1]
	}
	return nil
}

// IsOpen reports whether results of the job may still be made.
func (j *Job) IsOpen() bool { return !j.Ended && len(j.Results) < len(j.ItemIDs) }

// ItemIndex returns the index of an item by its identity, -1 if the job has none.
func (j *Job) ItemIndex(id string) int { return slices.Index(j.ItemIDs, id) }

// Peer is a node that was heard of.
type Peer struct {
	Heartbeat
	LastSeen clock.Millis
}

// Index is the state that the records lead to.
type Index struct {
	jobs  map[string]*Job
	peers map[string]*Peer // by name
	work  map[string]int64 // of the latest jobs of each model, smoothed
	next  int64            // offset to read from
}

// New returns an empty index.
func New() *Index {
	return &Index{jobs: make(map[string]*Job), peers: make(map[string]*Peer), work: make(map[string]int64)}
}

// Next returns the offset of the record that is due next.
func (x *Index) Next() int64 { return x.next }

// Skip goes on from a later offset after records have expired.
func (x *Index) Skip(to int64) { x.next = max(x.next, to) }

// Job returns a job, nil if none is known.
func (x *Index) Job(id string) *Job { return x.jobs[id] }

// EachJob calls fn with each job.
func (x *Index) EachJob(fn func(*Job)) {
	for _, j := range x.jobs {
		fn(j)
	}
}

// Apply takes in the record at an offset and returns the job that it changed,
// nil for none. Records below the offset that is due are passed over.
func (x *Index) Apply(now clock.Millis, offset int64, rec Record) *Job {
	if offset < x.next {
		return nil
	}
	x.next = offset + 1
	switch r := rec.(type) {
	case Accept:
		if x.jobs[r.JobID] != nil || len(r.ItemIDs) == 0 { // rule 1
			return nil
		}
		j := &Job{Accept: r, Owner: r.Node, LearnedAt: now, place: make([]int32, len(r.ItemIDs))}
		x.jobs[r.JobID] = j
		if w, known := x.work[r.Model]; known {
			x.work[r.Model] = (w + r.EstimatedTokens) / 2
		} else {
			x.work[r.Model] = r.EstimatedTokens
		}
		return j
	case Done:
		return x.done(r)
	case Checkpoint:
		x.part(r)
	case End:
		if j := x.jobs[r.JobID]; j != nil && !j.Ended {
			j.Ended = true
			return j
		}
	case Takeover:
		if j := x.jobs[r.JobID]; j != nil && j.IsOpen() { // rule 4
			j.Owner = r.Node
			return j
		}
	case Heartbeat:
		x.peers[r.Node.Name] = &Peer{Heartbeat: r, LastSeen: now} // rule 6
	}
	return nil
}

// done applies rules 2 and 3.
func (x *Index) done(r Done) *Job {
	j := x.jobs[r.JobID]
	if j == nil || j.Ended || r.Item < 0 || r.Item >= len(j.ItemIDs) || j.place[r.Item] > 0 {
		return nil
	}
	j.Results = append(j.Results, Result{r.Item, r.GivenUp, r.Versions, r.Score, r.TextAt, r.Size})
	j.place[r.Item] = int32(len(j.Results))
	delete(j.parts, r.Item)
	return j
}

// part applies rule 5.
func (x *Index) part(r Checkpoint) {
	j := x.jobs[r.JobID]
	if j == nil || !j.IsOpen() || r.Item < 0 || r.Item >= len(j.ItemIDs) || r.Events <= j.parts[r.Item].Events {
		return
	}
	if j.parts == nil {
		j.parts = make(map[int]Checkpoint)
	}
	j.parts[r.Item] = r
}

// LiveNodes returns the names of the nodes that were heard of within a span and
// don't leave, in order.
func (x *Index) LiveNodes(now, within clock.Millis) []string {
	var out []string
	for name, p := range x.peers {
		if !p.Leaving && now-p.LastSeen <= within {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// IsLive reports whether an incarnation of a node still works on its jobs: it
// was heard of within a span, and no later incarnation was.
func (x *Index) IsLive(now, within clock.Millis, n Node) bool {
	p := x.peers[n.Name]
	return p != nil && p.Node == n && !p.Leaving && now-p.LastSeen <= within
}

// Addr returns the inner address of a node, empty if it was never heard of.
func (x *Index) Addr(name string) string {
	if p := x.peers[name]; p != nil {
		return p.Addr
	}
	return ""
}

// EachPeer calls fn with each node that was ever heard of.
func (x *Index) EachPeer(fn func(*Peer)) {
	for _, p := range x.peers {
		fn(p)
	}
}

// MarkAllSeen notes that nothing could be heard until now, so that silence in that
// time is no sign of death.
func (x *Index) MarkAllSeen(now clock.Millis) {
	for _, p := range x.peers {
		p.LastSeen = max(p.LastSeen, now)
	}
}

// Demand returns the estimated tokens of a step of each model. It leaves out
// how often a step is asked for: a trainer that lags behind asks less often.
func (x *Index) Demand() map[string]int64 { return maps.Clone(x.work) }

// Forget drops the jobs that were learned of before an instant and returns
// their number.
func (x *Index) Forget(before clock.Millis) int {
	n := 0
	for id, j := range x.jobs {
		if j.LearnedAt < before && !j.IsOpen() {
			delete(x.jobs, id)
			n++
		}
	}
	return n
}
