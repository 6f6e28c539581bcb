// Package joblog derives the state of all jobs from the records of the index
// topic, which is totally ordered. Nodes that have applied the same records
// have the same state.
//
//  1. The first valid accept record of a job ID creates the job. Later accept
//     records with the same ID are duplicates and ignored.
//  2. The results of a job are in the order of their records. Only the first
//     result of an item counts; later ones are dropped.
//  3. Results that are recorded after the end record of their job are ignored.
//  4. The owner of a job executes its items. The owner is the node that
//     accepted the job, until a takeover record names another node. Ownership
//     is no lock: two nodes that both execute a job waste tokens, but rule 2
//     still leaves one result for each item.
//  5. The partial output of an item may be stored as a checkpoint, from which a
//     later owner resumes. Each checkpoint holds the output from the start, and
//     the one with the most events counts. One without events drops those before it.
//  6. A node is alive while its heartbeat records arrive. The first heartbeat of
//     a new incarnation replaces the earlier incarnation. Heartbeats are in a topic
//     of their own, see [Index.ApplyHeartbeat]. A node that owns open jobs sends them
//     more often than one that does not.
//
// # Usage
//
//	ix := joblog.New()
//	changedJob := ix.Apply(now, offset, record)
//	job := ix.Job("7c41")
package joblog

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// Location is the location of a value in the bulk topic.
type Location struct {
	Partition int
	Offset    int64
}

// Scorer is the request that scores the complete output of an item.
type Scorer struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// Item is one prompt of a job, which an engine completes.
type Item struct {
	ID          string
	Group       string
	Path        string
	Header      http.Header
	Body        []byte
	TokenBudget int // tokens of the prompt plus the maximum to generate
	// OutputBudget is the maximum to generate alone, 0 if the client states no more than
	// TokenBudget.
	OutputBudget int
	LengthHint   int // the client's estimate of the tokens to generate, 0 for none
	Scorer       *Scorer
}

// MaxOutputTokens returns the most tokens that the output of the item may have, 0 if
// nothing is known of that.
func (it *Item) MaxOutputTokens() int { return cmp.Or(it.OutputBudget, it.TokenBudget) }

// Spec is a job as a client submits it.
type Spec struct {
	ID         string          // see JobID
	Workspace  ident.Workspace // whose key submitted it, empty for none
	Host       string
	Path       string
	Model      string
	Step       int // training step
	MinVersion int64
	Groups     int // number of complete groups that the trainer waits for
	Items      []Item
}

// Accept is the record of an accepted job. The items themselves are stored at
// consecutive offsets of the bulk topic.
type Accept struct {
	JobID           string
	Workspace       ident.Workspace // who may read and end it, empty for anyone
	Host            string
	Path            string
	Model           string
	MinVersion      int64
	Groups          int
	ItemIDs         []string
	ItemsAt         Location // of the first item
	Node            Node     // node that accepted the job
	EstimatedTokens int64    // sum over all items
}

// Separator stands between a workspace and a client's ID in the ID of a job. No client's
// ID contains it while the configuration has workspaces.
const Separator = "/"

// JobID returns the ID of a job that a workspace submitted under a client's ID. Two
// workspaces that use the same ID have two jobs, and neither can reach the other's.
func JobID(w ident.Workspace, clientID string) string {
	if w == "" {
		return clientID
	}
	return string(w) + Separator + clientID
}

// Done is the record of an item that has a complete output or was given up.
type Done struct {
	JobID    string
	Item     int
	GivenUp  bool
	Reason   string // why it was given up, if that is told to the client
	Versions []int64
	Score    string
	OutputAt Location // of the output
	Size     int      // of the output in bytes
}

// Checkpoint is the record of an item's partial output.
type Checkpoint struct {
	JobID    string
	Item     int
	Events   int      // number of events in the output; 0 drops the checkpoints before (rule 5)
	Software string   // version of the software of the engines that made them
	OutputAt Location // of the stored record
	Size     int      // of the stored record in bytes
}

// End is the record of a job that its client ended.
type End struct{ JobID string }

// Takeover is the record of a node that becomes the owner of a job.
type Takeover struct {
	JobID string
	Node  Node
}

// Heartbeat is the record that a live node appends at regular intervals.
type Heartbeat struct {
	Node    Node
	Addr    string
	Zone    string
	Leaving bool // the node accepts no more jobs
	Idle    bool // the node owns no open job, so its next heartbeat may come late
	// TimeOfDay is the node's clock in Unix milliseconds, 0 if not stated. It decides
	// nothing about jobs; see package epoch.
	TimeOfDay int64
}

// Node identifies one incarnation of a node.
type Node struct {
	Name string
	Boot string // differs for each start
}

// Record is an [Accept], [Done], [Checkpoint], [End], [Takeover] or [crash.Crash]. An
// [Index] ignores crashes.
type Record any

// Result is the result of an item, in the order of the job's results.
type Result struct {
	Item     int
	GivenUp  bool
	Reason   string
	Versions []int64
	Score    string
	OutputAt Location
	Size     int
}

// Job is an accepted job with its owner and results.
type Job struct {
	Accept
	Owner     Node
	AppliedAt clock.Millis // when this node applied the accept record
	Results   []Result     // in the order of their records
	Ended     bool

	resultIndex []int32            // by item: index in Results plus one, 0 for none
	checkpoints map[int]Checkpoint // by item
}

// Checkpoint returns the checkpoint of an item that has no result yet.
func (j *Job) Checkpoint(item int) (Checkpoint, bool) {
	cp, ok := j.checkpoints[item]
	return cp, ok && !j.HasResult(item)
}

// HasResult reports whether an item has a result.
func (j *Job) HasResult(item int) bool { return j.resultIndex[item] > 0 }

// ResultOf returns an item's result, nil if it has none.
func (j *Job) ResultOf(item int) *Result {
	if i := j.resultIndex[item]; i > 0 {
		return &j.Results[i-1]
	}
	return nil
}

// IsOpen reports whether the job has not ended and items still lack a result.
func (j *Job) IsOpen() bool { return !j.Ended && len(j.Results) < len(j.ItemIDs) }

// ItemIndex returns the index of the item with an ID, -1 if the job has none.
func (j *Job) ItemIndex(id string) int { return slices.Index(j.ItemIDs, id) }

// Peer is a node and the time of its latest heartbeat.
type Peer struct {
	Heartbeat
	LastSeen clock.Millis
}

// Index is the state after all records that were applied.
type Index struct {
	jobs             map[string]*Job  // by ID
	peers            map[string]*Peer // by name
	stepTokens       map[string]int64 // by model: moving average of the estimated tokens of a job
	nextOffset       int64
	currentAt        clock.Millis // see CurrentAt
	heartbeatsReadAt clock.Millis
}

// New returns an empty index.
func New() *Index {
	return &Index{jobs: make(map[string]*Job), peers: make(map[string]*Peer), stepTokens: make(map[string]int64)}
}

// NextOffset returns the offset of the next record to apply.
func (x *Index) NextOffset() int64 { return x.nextOffset }

// Skip advances to a later offset, past records that the store no longer has.
func (x *Index) Skip(to int64) { x.nextOffset = max(x.nextOffset, to) }

// Job returns the job with an ID, nil if there is none.
func (x *Index) Job(id string) *Job { return x.jobs[id] }

// EachJob calls fn with each job.
func (x *Index) EachJob(fn func(*Job)) {
	for _, j := range x.jobs {
		fn(j)
	}
}

// Apply applies the record at an offset and returns the job that it changed,
// nil for none. Records below the next offset were applied before and are
// ignored.
func (x *Index) Apply(now clock.Millis, offset int64, rec Record) *Job {
	if offset < x.nextOffset {
		return nil
	}
	x.nextOffset = offset + 1
	switch r := rec.(type) {
	case Accept:
		if x.jobs[r.JobID] != nil || len(r.ItemIDs) == 0 { // rule 1
			return nil
		}
		j := &Job{Accept: r, Owner: r.Node, AppliedAt: now, resultIndex: make([]int32, len(r.ItemIDs))}
		x.jobs[r.JobID] = j
		x.markOwner(now, r.Node)
		if average, known := x.stepTokens[r.Model]; known {
			x.stepTokens[r.Model] = (average + r.EstimatedTokens) / 2
		} else {
			x.stepTokens[r.Model] = r.EstimatedTokens
		}
		return j
	case Done:
		return x.applyDone(r)
	case Checkpoint:
		x.applyCheckpoint(r)
	case End:
		if j := x.jobs[r.JobID]; j != nil && !j.Ended {
			j.Ended = true
			return j
		}
	case Takeover:
		if j := x.jobs[r.JobID]; j != nil && j.IsOpen() { // rule 4
			j.Owner = r.Node
			x.markOwner(now, r.Node)
			return j
		}
	}
	return nil
}

// markOwner records that a node has become the owner of a job: it is alive, and its
// heartbeats come often from now on (rule 6).
func (x *Index) markOwner(now clock.Millis, n Node) {
	if p := x.peers[n.Name]; p != nil && p.Node == n {
		p.LastSeen, p.Idle = now, false
	}
}

// ApplyHeartbeat applies a heartbeat that was just read (rule 6).
func (x *Index) ApplyHeartbeat(now clock.Millis, h Heartbeat) {
	x.peers[h.Node.Name] = &Peer{Heartbeat: h, LastSeen: now}
}

// RemovePeer removes a node whose heartbeat the store no longer has.
func (x *Index) RemovePeer(name string) { delete(x.peers, name) }

// HeartbeatsRead records that the heartbeats were just read to their end. After a gap
// of more than maxGap since the last time, nobody counts as dead because of it.
func (x *Index) HeartbeatsRead(now, maxGap clock.Millis) {
	if now-x.heartbeatsReadAt > maxGap {
		x.MarkAllSeen(now)
	}
	x.heartbeatsReadAt = now
}

// HeartbeatsReadAt returns when the heartbeats were last read to their end, 0 if they
// never were.
func (x *Index) HeartbeatsReadAt() clock.Millis { return x.heartbeatsReadAt }

// OwnsOpenJob reports whether a node owns a job that is open.
func (x *Index) OwnsOpenJob(n Node) bool {
	for _, j := range x.jobs {
		if j.Owner == n && j.IsOpen() {
			return true
		}
	}
	return false
}

// applyDone applies the record of an item's result (rules 2 and 3). It returns the
// job, or nil if the record is ignored.
func (x *Index) applyDone(r Done) *Job {
	j := x.jobs[r.JobID]
	if j == nil || j.Ended || r.Item < 0 || r.Item >= len(j.ItemIDs) || j.resultIndex[r.Item] > 0 {
		return nil
	}
	j.Results = append(j.Results, Result{r.Item, r.GivenUp, r.Reason, r.Versions, r.Score, r.OutputAt, r.Size})
	j.resultIndex[r.Item] = int32(len(j.Results))
	delete(j.checkpoints, r.Item)
	return j
}

// applyCheckpoint stores the checkpoint of an item if it has more events than the
// stored one, or drops the stored one (rule 5).
func (x *Index) applyCheckpoint(r Checkpoint) {
	j := x.jobs[r.JobID]
	if j == nil || !j.IsOpen() || r.Item < 0 || r.Item >= len(j.ItemIDs) {
		return
	}
	if r.Events == 0 {
		delete(j.checkpoints, r.Item)
		return
	}
	if r.Events <= j.checkpoints[r.Item].Events {
		return
	}
	if j.checkpoints == nil {
		j.checkpoints = make(map[int]Checkpoint)
	}
	j.checkpoints[r.Item] = r
}

// LiveNodes returns the sorted names of the nodes that are not leaving and whose
// latest heartbeat is no older than the timeout, or the one for idle nodes.
func (x *Index) LiveNodes(now, timeout, idleTimeout clock.Millis) []string {
	var out []string
	for name, p := range x.peers {
		limit := timeout
		if p.Idle {
			limit = idleTimeout
		}
		if !p.Leaving && now-p.LastSeen <= limit {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// IsLive reports whether an incarnation of a node still executes its jobs: its
// latest heartbeat is no older than the timeout, it is not leaving, and no later
// incarnation has sent a heartbeat.
func (x *Index) IsLive(now, timeout clock.Millis, n Node) bool {
	p := x.peers[n.Name]
	return p != nil && p.Node == n && !p.Leaving && now-p.LastSeen <= timeout
}

// Addr returns the address at which other nodes reach a node, empty if the node
// has sent no heartbeat.
func (x *Index) Addr(name string) string {
	if p := x.peers[name]; p != nil {
		return p.Addr
	}
	return ""
}

// EachPeer calls fn with each node that ever sent a heartbeat.
func (x *Index) EachPeer(fn func(*Peer)) {
	for _, p := range x.peers {
		fn(p)
	}
}

// ConfirmCurrent records that the index had no records beyond the applied ones at a
// time.
func (x *Index) ConfirmCurrent(at clock.Millis) { x.currentAt = max(x.currentAt, at) }

// CurrentAt returns the latest time at which the index is known to have had no
// records beyond the applied ones, 0 if there is none.
func (x *Index) CurrentAt() clock.Millis { return x.currentAt }

// MarkAllSeen sets the last-seen time of all nodes to now. It is called after a
// store outage, in which no heartbeat could arrive, so that no node counts as
// dead because of the outage.
func (x *Index) MarkAllSeen(now clock.Millis) {
	for _, p := range x.peers {
		p.LastSeen = max(p.LastSeen, now)
	}
}

// Demand returns the estimated tokens of one training step by model. The rate of
// steps is ignored on purpose: a trainer that lags behind submits steps less
// often, and should not get fewer engines for it.
func (x *Index) Demand() map[string]int64 { return maps.Clone(x.stepTokens) }

// Prune removes the jobs that are no longer open and whose accept record was
// applied before a time. It returns their number.
func (x *Index) Prune(before clock.Millis) int {
	n := 0
	for id, j := range x.jobs {
		if j.AppliedAt < before && !j.IsOpen() {
			delete(x.jobs, id)
			n++
		}
	}
	return n
}
