// Package index defines the topics of the system in the platform's store and the
// JSON encoding of their records.
//
// # Usage
//
//	b, err := index.Encode(joblog.End{JobID: "7c41"})
//	rec, err := index.Decode(b)
//
// Decode returns an error for a record of an unknown kind, such as one written by
// a newer version of the program. Readers log the error and skip the record.
package index

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
)

// Topics of the system in the platform's store.
const (
	Topic     = "index" // records of the joblog package
	BulkTopic = "bulk"  // items, complete outputs and checkpoints
	LoadTopic = "fence" // records of the load limiter; an offset plus one is a fencing token
	// PlansTopic is a compacted topic. Under DemandKey it holds the demand by which
	// models are assigned to engines, and under keys of their own releases.
	PlansTopic = "plans"
	DemandKey  = "demand"
	// OriginsTopic is a compacted topic of segments, each of which tells where some streams of
	// clients began.
	OriginsTopic = "origins"
	// NodesTopic is a compacted topic of heartbeats, with the node's name as the key.
	NodesTopic = "nodes"
)

// record is the JSON form of the records of the index topic, of any kind.
type record struct {
	Kind            string   `json:"kind"`
	Job             string   `json:"job,omitempty"`
	Workspace       string   `json:"workspace,omitempty"`
	Host            string   `json:"host,omitempty"`
	Path            string   `json:"path,omitempty"`
	Model           string   `json:"model,omitempty"`
	MinVersion      int64    `json:"min-version,omitempty"`
	Groups          int      `json:"groups,omitempty"`
	Items           []string `json:"items,omitempty"`
	Partition       int      `json:"part,omitempty"`
	Offset          int64    `json:"offset,omitempty"`
	Size            int      `json:"size,omitempty"`
	Item            int      `json:"item,omitempty"`
	Events          int      `json:"events,omitempty"`
	GivenUp         bool     `json:"dead,omitempty"`
	Reason          string   `json:"why,omitempty"`
	Versions        []int64  `json:"versions,omitempty"`
	Score           string   `json:"score,omitempty"`
	Node            string   `json:"node,omitempty"`
	Boot            string   `json:"boot,omitempty"`
	EstimatedTokens int64    `json:"work,omitempty"`
	Server          string   `json:"server,omitempty"`
	Software        string   `json:"software,omitempty"`
	Requests        []string `json:"requests,omitempty"`
	Cleared         []string `json:"cleared,omitempty"`
}

// Encode returns the bytes of a record.
func Encode(rec joblog.Record) ([]byte, error) {
	var w record
	switch r := rec.(type) {
	case joblog.Accept:
		w = record{
			Kind: "accept", Job: r.JobID, Workspace: string(r.Workspace), Host: r.Host, Path: r.Path, Model: r.Model, MinVersion: r.MinVersion, Groups: r.Groups,
			Items: r.ItemIDs, Partition: r.ItemsAt.Partition, Offset: r.ItemsAt.Offset,
			Node: r.Node.Name, Boot: r.Node.Boot, EstimatedTokens: r.EstimatedTokens,
		}
	case joblog.Done:
		w = record{
			Kind: "done", Job: r.JobID, Item: r.Item, GivenUp: r.GivenUp, Reason: r.Reason, Versions: r.Versions, Score: r.Score,
			Partition: r.OutputAt.Partition, Offset: r.OutputAt.Offset, Size: r.Size,
		}
	case joblog.Checkpoint:
		w = record{
			Kind: "part", Job: r.JobID, Item: r.Item, Events: r.Events, Software: r.Software,
			Partition: r.OutputAt.Partition, Offset: r.OutputAt.Offset, Size: r.Size,
		}
	case joblog.End:
		w = record{Kind: "end", Job: r.JobID}
	case joblog.Takeover:
		w = record{Kind: "take", Job: r.JobID, Node: r.Node.Name, Boot: r.Node.Boot}
	case crash.Crash:
		w = record{Kind: "crash", Server: r.ID, Requests: r.Requests, Cleared: r.Cleared}
	default:
		return nil, errors.Errorf("record of type %T has no encoding", rec)
	}
	b, err := json.Marshal(w)
	return b, errors.Wrap(err, "index record")
}

// Decode parses a record.
func Decode(b []byte) (joblog.Record, error) {
	var w record
	if err := json.Unmarshal(b, &w); err != nil {
		return nil, errors.Wrap(err, "index record")
	}
	node := joblog.Node{Name: w.Node, Boot: w.Boot}
	location := joblog.Location{Partition: w.Partition, Offset: w.Offset}
	switch w.Kind {
	case "accept":
		return joblog.Accept{
			JobID: w.Job, Workspace: ident.Workspace(w.Workspace), Host: w.Host, Path: w.Path, Model: w.Model, MinVersion: w.MinVersion, Groups: w.Groups,
			ItemIDs: w.Items, ItemsAt: location, Node: node, EstimatedTokens: w.EstimatedTokens,
		}, nil
	case "done":
		return joblog.Done{
			JobID: w.Job, Item: w.Item, GivenUp: w.GivenUp, Reason: w.Reason, Versions: w.Versions, Score: w.Score, OutputAt: location, Size: w.Size,
		}, nil
	case "part":
		return joblog.Checkpoint{JobID: w.Job, Item: w.Item, Events: w.Events, Software: w.Software, OutputAt: location, Size: w.Size}, nil
	case "end":
		return joblog.End{JobID: w.Job}, nil
	case "take":
		return joblog.Takeover{JobID: w.Job, Node: node}, nil
	case "crash":
		return crash.Crash{ID: w.Server, Requests: w.Requests, Cleared: w.Cleared}, nil
	}
	return nil, errors.Errorf("index record of unknown kind %q", w.Kind)
}

// heartbeat is the JSON form of a [joblog.Heartbeat] under the name of its node.
type heartbeat struct {
	Boot    string `json:"boot"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	Idle    bool   `json:"idle,omitempty"`
	// TimeOfDay is in Unix milliseconds.
	TimeOfDay int64 `json:"time-of-day,omitempty"`
}

// EncodeHeartbeat returns the bytes of a heartbeat. The key of its record is the name
// of the node.
func EncodeHeartbeat(h joblog.Heartbeat) ([]byte, error) {
	b, err := json.Marshal(heartbeat{h.Node.Boot, h.Addr, h.Zone, h.Leaving, h.Idle, h.TimeOfDay})
	return b, errors.Wrap(err, "heartbeat")
}

// DecodeHeartbeat parses the heartbeat of a node.
func DecodeHeartbeat(node string, b []byte) (joblog.Heartbeat, error) {
	var w heartbeat
	if err := json.Unmarshal(b, &w); err != nil {
		return joblog.Heartbeat{}, errors.Wrap(err, "heartbeat")
	}
	if w.Boot == "" {
		return joblog.Heartbeat{}, errors.New("heartbeat without an incarnation")
	}
	return joblog.Heartbeat{
		Node: joblog.Node{Name: node, Boot: w.Boot}, Addr: w.Addr, Zone: w.Zone, Leaving: w.Leaving, Idle: w.Idle, TimeOfDay: w.TimeOfDay,
	}, nil
}

// item is the JSON form of a [joblog.Item].
type item struct {
	ID           string      `json:"id"`
	Group        string      `json:"group,omitempty"`
	Path         string      `json:"path"`
	Header       http.Header `json:"header,omitempty"`
	Body         []byte      `json:"body,omitempty"`
	TokenBudget  int         `json:"tokens,omitempty"`
	OutputBudget int         `json:"output-tokens,omitempty"`
	LengthHint   int         `json:"hint,omitempty"`
	Scorer       *scorer     `json:"scorer,omitempty"`
}

// scorer is the JSON form of a [joblog.Scorer].
type scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// EncodeItem returns the bytes of an item.
func EncodeItem(it *joblog.Item) ([]byte, error) {
	w := item{
		ID: it.ID, Group: it.Group, Path: it.Path, Header: it.Header, Body: it.Body,
		TokenBudget: it.TokenBudget, OutputBudget: it.OutputBudget, LengthHint: it.LengthHint,
	}
	if s := it.Scorer; s != nil {
		w.Scorer = &scorer{s.ID, s.Host, s.Path, s.Body}
	}
	b, err := json.Marshal(w)
	return b, errors.Wrap(err, "item "+it.ID)
}

// DecodeItem parses an item.
func DecodeItem(b []byte) (joblog.Item, error) {
	var w item
	if err := json.Unmarshal(b, &w); err != nil {
		return joblog.Item{}, errors.Wrap(err, "item")
	}
	out := joblog.Item{
		ID: w.ID, Group: w.Group, Path: w.Path, Header: w.Header, Body: w.Body,
		TokenBudget: w.TokenBudget, OutputBudget: w.OutputBudget, LengthHint: w.LengthHint,
	}
	if s := w.Scorer; s != nil {
		out.Scorer = &joblog.Scorer{ID: s.ID, Host: s.Host, Path: s.Path, Body: s.Body}
	}
	return out, nil
}

// event is the JSON form of a [runs.Event].
type event struct {
	Version int64  `json:"version"`
	Data    string `json:"data"`
}

// EncodeEvents returns the bytes of a checkpoint's partial output.
func EncodeEvents(evs []runs.Event) ([]byte, error) {
	ws := make([]event, len(evs))
	for i, ev := range evs {
		ws[i] = event{ev.Version, string(ev.Data)}
	}
	b, err := json.Marshal(ws)
	return b, errors.Wrap(err, "events")
}

// DecodeEvents parses the partial output of a checkpoint.
func DecodeEvents(b []byte) ([]runs.Event, error) {
	var ws []event
	if err := json.Unmarshal(b, &ws); err != nil {
		return nil, errors.Wrap(err, "events")
	}
	out := make([]runs.Event, len(ws))
	for i, w := range ws {
		out[i] = runs.Event{Version: w.Version, Data: []byte(w.Data)}
	}
	return out, nil
}

// LoadRecord is the record with which an agent enqueues at the load limiter or,
// with Release set, releases it.
type LoadRecord struct {
	Agent   string
	Release bool
}

// load is the JSON form of a [LoadRecord].
type load struct {
	Agent   string `json:"agent"`
	Release bool   `json:"leaves,omitempty"`
}

// EncodeLoad returns the bytes of a record of the load limiter.
func EncodeLoad(l LoadRecord) ([]byte, error) {
	b, err := json.Marshal(load(l))
	return b, errors.Wrap(err, "load")
}

// DecodeLoad parses a record of the load limiter.
func DecodeLoad(b []byte) (LoadRecord, error) {
	var w load
	err := json.Unmarshal(b, &w)
	return LoadRecord(w), errors.Wrap(err, "load")
}

// demand is the JSON form of the demand by model.
type demand struct {
	Models map[string]int64 `json:"models"`
}

// EncodeDemand returns the value of the record under DemandKey, given the demand
// by model.
func EncodeDemand(d map[string]int64) ([]byte, error) {
	b, err := json.Marshal(demand{Models: d})
	return b, errors.Wrap(err, "demand")
}

// DecodeDemand parses the value of the record under DemandKey.
func DecodeDemand(value []byte) (map[string]int64, error) {
	var w demand
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, errors.Wrap(err, "demand")
	}
	return w.Models, nil
}

// Release is a version of the software that servers of a service have, or had recently.
type Release struct {
	Service  string
	Software string
}

// release is the JSON form of a [Release].
type release struct {
	Service  string `json:"service"`
	Software string `json:"software"`
}

const releasePrefix = "release/"

// IsReleaseKey reports whether a key of PlansTopic is that of a release.
func IsReleaseKey(key string) bool { return strings.HasPrefix(key, releasePrefix) }

// ReleaseKey returns the key of a release. Keys have at most 255 bytes, so it contains a hash
// of the names.
func ReleaseKey(r Release) string {
	sum := sha256.Sum256([]byte(r.Service + "\x00" + r.Software))
	return releasePrefix + hex.EncodeToString(sum[:16])
}

// EncodeRelease returns the value of the record of a release.
func EncodeRelease(r Release) ([]byte, error) {
	b, err := json.Marshal(release(r))
	return b, errors.Wrap(err, "release")
}

// DecodeRelease parses the value of the record of a release.
func DecodeRelease(value []byte) (Release, error) {
	var w release
	if err := json.Unmarshal(value, &w); err != nil {
		return Release{}, errors.Wrap(err, "release")
	}
	return Release(w), nil
}
