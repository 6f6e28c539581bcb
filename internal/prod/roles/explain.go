package roles

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/listen"
	"github.com/jujuberamp/jujuberamp/internal/node/front"
	"github.com/jujuberamp/jujuberamp/internal/node/work"
	"github.com/jujuberamp/jujuberamp/platform"
)

// maxExplainBytes bounds a question. It fits into the memory for operators' tools.
const maxExplainBytes = 512 << 10

// serveExplain serves explanations at the address of the metrics.
func (e *entry) serveExplain(w http.ResponseWriter, r *http.Request) {
	q, err := readExplainRequest(w, r)
	if err != nil {
		codec.WriteFault(w, err)
		return
	}
	out, err := e.explain(r.Context(), q)
	if err != nil {
		codec.WriteFault(w, err)
		return
	}
	codec.WriteJSON(w, out)
}

func readExplainRequest(w http.ResponseWriter, r *http.Request) (codec.ExplainRequest, error) {
	var q codec.ExplainRequest
	if r.ContentLength < 0 || r.ContentLength > maxExplainBytes {
		return q, fault.New(fault.TooLarge, "a question has a stated length of at most 512 KiB")
	}
	held := listen.HeldFor(r.Context())
	if err := held.Grow(2 * r.ContentLength); err != nil { // The text and what it is decoded to.
		return q, err
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxExplainBytes))
	if err != nil {
		return q, fault.Wrap(fault.BadRequest, err, "question")
	}
	held.Whole()
	dec := json.NewDecoder(strings.NewReader(string(text)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&q); err != nil {
		return q, fault.Wrap(fault.BadRequest, err, "question is not valid")
	}
	switch {
	case q.Job != "" && (q.Host != "" || q.Path != "" || q.Model != ""):
		return q, fault.New(fault.BadRequest, "a question is about a job or about a host and path, not both")
	case q.Job == "" && (q.Host == "" || !strings.HasPrefix(q.Path, "/")):
		return q, fault.New(fault.BadRequest, "a question names a host and a path that begins with a slash, or a job")
	case q.Size < 0 || q.Tokens < 0:
		return q, fault.New(fault.BadRequest, "size and tokens are not negative")
	case q.Size > 0 && len(q.Body) > 0 && q.Size != int64(len(q.Body)):
		return q, fault.New(fault.BadRequest, "the size is not that of the body")
	}
	return q, nil
}

// explain answers a question. The error is a fault if the question is wrong; what would be
// refused is part of the answer.
func (e *entry) explain(ctx context.Context, q codec.ExplainRequest) (*codec.Explanation, error) {
	settings := e.settings.Load()
	out := &codec.Explanation{Entry: e.self.Name, Zone: settings.Zone, Workspace: q.Workspace}
	if cfg := e.conf.Config(); cfg != nil {
		out.Configuration, out.AgeMS = cfg.Version(), int64(e.conf.Age())
	}
	if q.Job != "" {
		id := q.Job
		if q.Workspace != "" {
			id = joblog.JobID(ident.Workspace(q.Workspace), id)
		}
		x, err := e.work.ExplainJob(id)
		if err != nil {
			return nil, err
		}
		addItems(out, x)
		return out, nil
	}
	path, _, _ := strings.Cut(q.Path, "?")
	r := &front.Request{Method: q.Method, Host: q.Host, Path: path, URI: q.Path, Body: q.Body, Header: make(http.Header)}
	for k, v := range q.Headers {
		r.Header.Set(k, v)
	}
	if err := platform.DecodeHead(r, e.clock.Now()); err != nil {
		return nil, err
	}
	route, grant, err := e.front.AuthorizeFor(r.Host, path, ident.Workspace(q.Workspace))
	if route != nil {
		out.Route, out.RouteKind = route.Name, string(route.Kind)
	}
	if err == nil {
		err = platform.CheckBodySize(e.Limits(), max(q.Size, int64(len(q.Body))))
	}
	if err != nil {
		out.Refusal = refusal(err)
		return out, nil
	}
	if route.Kind == router.Rollout {
		if q.Model == "" {
			return nil, fault.New(fault.BadRequest, "route "+route.Name+" takes jobs; name the model of an item")
		}
		x, err := e.work.ExplainModel(r.Host, path, q.Model, q.Tokens)
		if err != nil {
			return nil, err
		}
		addItems(out, x)
		return out, nil
	}
	r.Route, r.Workspace = route, grant.Workspace
	addRequest(out, e.front.Explain(ctx, r, len(r.Body) > 0 || q.Size == 0))
	return out, nil
}

func refusal(err error) *codec.Fault {
	if err == nil {
		return nil
	}
	f := codec.FromFault(err)
	return &f
}

func millis(o option.Option[clock.Millis]) *int64 {
	v, ok := o.Get()
	if !ok {
		return nil
	}
	ms := int64(v)
	return &ms
}

// addRequest adds the explanation of a request.
func addRequest(out *codec.Explanation, x *front.Explanation) {
	out.Configuration, out.AgeMS = x.Version, int64(x.Age)
	out.Workspace, out.Rank, out.Quarantine = string(x.Workspace), x.Rank, "not-checked"
	if err, checked := x.Quarantine.Get(); checked {
		out.Quarantine = "clear"
		if err != nil {
			out.Quarantine, out.Refusal = "quarantined", refusal(err)
		}
	}
	for i := range x.Ways {
		out.Ways = append(out.Ways, encodeWay(&x.Ways[i]))
	}
}

func encodeWay(w *front.Way) codec.ExplainedWay {
	out := codec.ExplainedWay{
		Service: w.Service, Share: w.Share, Outcome: w.Outcome, Refusal: refusal(w.Refusal), WaitMS: millis(w.Wait), RateWaitMS: int64(w.RateWait), Drawn: w.Drawn,
		Servers: make([]codec.ExplainedServer, 0, len(w.Servers)),
	}
	if w.Server != nil {
		out.Server, out.ServerZone = w.Server.ID, w.Server.Zone
	}
	if software, ok := w.Software.Get(); ok {
		out.Software = &software
	}
	if p, ok := w.Places.Get(); ok {
		out.Places = &codec.ExplainedPlaces{Scarce: p.Scarce, Places: p.Places, InFlight: p.InFlight, Waiting: p.Waiting, AgeMS: millis(p.Age)}
	}
	for _, z := range w.Zones {
		out.Zones = append(out.Zones, codec.ExplainedZone{
			Zone: z.Zone, Share: z.Share, Limit: z.Limit, Single: z.Single, Slots: z.Slots, InFlight: z.InFlight, ExpectedMS: z.Expected, AgeMS: millis(z.Age),
		})
	}
	for _, s := range w.Servers {
		out.Servers = append(out.Servers, codec.ExplainedServer{
			Server: s.Server.ID, Zone: s.Server.Zone, State: string(s.State), Software: s.Server.Software, Slots: s.Server.Slots, InFlight: s.InFlight,
			ExpectedMS: s.Expected, TookMS: s.Took, AgeMS: millis(s.Age), Failures: s.Failures, BackoffMS: int64(s.Backoff), PerSecond: s.PerSecond,
		})
	}
	return out
}

// addItems adds the explanation of a job or of an item of a model.
func addItems(out *codec.Explanation, x *work.Explanation) {
	if x.Route != nil {
		out.Route, out.RouteKind = x.Route.Name, string(x.Route.Kind)
	}
	items := &codec.ExplainedItems{
		Job: x.Job, Owner: x.Owner.Name, OwnerAddr: x.OwnerAddr, Own: x.Own, Open: x.Open, Left: x.Left, Running: x.Running, Service: x.Service, Model: x.Model,
		Item: x.Item, Events: x.Progress.Received, WaitedMS: int64(x.Waited), Avoids: strings.Join(x.Progress.Avoid.Sorted(), ", "), Best: x.Best, StartsOver: x.StartsOver,
		Counts: make(map[string]int),
	}
	for _, e := range x.Engines {
		items.Counts[e.Verdict.String()]++
		if e.Unknown {
			items.Unknown++
		}
		items.Engines = append(items.Engines, codec.ExplainedEngine{
			Engine: e.ID, Zone: e.Server.Zone, Verdict: e.Verdict.String(), Unknown: e.Unknown, Software: e.Software, Slots: e.Slots, Running: e.Running,
			IntervalMS: e.EventInterval, AgeMS: millis(e.Age),
		})
	}
	out.Items = items
}
