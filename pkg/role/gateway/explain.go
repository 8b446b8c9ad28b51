package gateway

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/explain"
	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/registry"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/core/selfreport"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// ExplainHandler returns a handler that explains how a request would be routed now. It
// belongs on a listener for operators: it answers without an API key.
func (g *Gateway) ExplainHandler() http.Handler {
	// Each explanation searches several paths, on a host with a fraction of a core. One at
	// a time leaves the rest to the callers.
	var running sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
			return
		}
		query, err := explain.ParseQuery(r.URL.Query())
		if err != nil {
			writeExplainError(w, err)
			return
		}
		if !running.TryLock() {
			writeExplainError(w, notRunError(fault.Overloaded, "another request is being explained"))
			return
		}
		answer, err := g.explain(query)
		running.Unlock()
		if err != nil {
			writeExplainError(w, err)
			return
		}
		writeExplainJSON(w, http.StatusOK, answer)
	})
}

func writeExplainError(w http.ResponseWriter, err error) {
	e := fault.As(err)
	writeExplainJSON(w, statusOf(e), explain.NewErrorReply(e))
}

func writeExplainJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// explain explains how a request would be routed by the current view. It changes nothing:
// it takes no permit, budget or reservation. The error is StaleConfig without a
// configuration and NotFound without a route.
func (g *Gateway) explain(query explain.Query) (*explain.Answer, error) {
	v := g.view.Load()
	if v.conf == nil {
		return nil, notRunError(fault.StaleConfig, "no configuration is known yet")
	}
	r := v.conf.Match(g.opts.Dialect.RouteHost(query.Host), query.Path)
	if r == nil {
		return nil, notRunError(fault.NotFound, "no route matches the host %q and the path %q", query.Host, query.Path)
	}
	answer := &explain.Answer{
		ConfigurationVersion: v.conf.Version, ViewAgeMs: v.age().Milliseconds(), DataCentre: g.opts.DataCentre, Stopping: g.stopsAt.Load() != nil,
		Route: explain.Route{Name: r.Name, Kind: string(r.Kind), Rank: r.Rank, MayRepeat: r.MayRepeat(), Public: r.Public || len(v.conf.Organisations) == 0},
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	for _, t := range r.Targets {
		if t.Weight == 0 {
			continue // it gets no request
		}
		s := explain.Service{Name: t.Service, Weight: t.Weight, TotalWeight: total}
		now := time.Now()
		q := &request{view: v, route: r, service: v.conf.Services[t.Service], rank: r.Rank, arrived: now, deadline: now.Add(min(defaultMaxWait, r.Timeout))}
		if r.Kind == routing.Stream && q.service.Model != nil {
			q.metadata.PromptTokens = cmp.Or(query.PromptTokens, q.service.Model.TypicalPromptTokens)
			q.metadata.ExpectedOutputTokens = cmp.Or(query.OutputTokens, q.service.Model.TypicalOutputTokens)
			q.metadata.MaxOutputTokens = q.metadata.ExpectedOutputTokens
			s.Stream = g.explainStream(v, q)
		} else {
			s.Plain = g.explainPlain(v, q.service)
		}
		answer.Services = append(answer.Services, s)
	}
	return answer, nil
}

// explainStream explains the path of a stream. It leaves out the cost factors by which
// requests with equal reports choose different paths, so a request may get another path
// whose cost differs by less than spreadRange.
func (g *Gateway) explainStream(v *view, q *request) *explain.Stream {
	m := q.service.Model
	wanted := path.Request{
		InputTokens: q.metadata.PromptTokens, ExpectedOutputTokens: q.expectedOutputTokens(),
		DataCentre: g.opts.DataCentre, MaxCost: q.costLimit(), Draw: 0.5,
	}
	engines := g.candidateEngines(v, q, nil, g.isBlocked)
	dataCentres := make(map[string][]path.Engine)
	out := &explain.Stream{
		PromptTokens: wanted.InputTokens, OutputTokens: wanted.ExpectedOutputTokens,
		MaxWaitMs: g.waitDeadline(&stream{q: q}).Sub(q.arrived).Milliseconds(),
	}
	for _, in := range sortedInstances(v, q.service.Name) {
		dataCentres[in.GetDataCentre()] = nil
		out.Engines = append(out.Engines, g.restrictions(q, in)...)
	}
	for _, e := range engines {
		dataCentres[e.DataCentre] = append(dataCentres[e.DataCentre], e)
	}
	choice, err := path.Choose(m, engines, wanted)
	if err != nil {
		out.Refusal = fault.As(err).Message
	} else {
		out.SetChoice(choice, func(id string) string { return v.byID[id].GetDataCentre() })
	}
	out.DataCentres = explain.CompareDataCentres(m, dataCentres, wanted)
	out.ExplainDataCentre()
	return out
}

// sortedInstances returns all instances of a service in the order of their data centres and
// IDs, also those that get no new requests.
func sortedInstances(v *view, service string) []*wirepb.Instance {
	var out []*wirepb.Instance
	for _, in := range v.byID {
		if in.GetService() == service {
			out = append(out, in)
		}
	}
	slices.SortFunc(out, func(a, b *wirepb.Instance) int {
		return cmp.Or(strings.Compare(a.GetDataCentre(), b.GetDataCentre()), strings.Compare(a.GetId(), b.GetId()))
	})
	return out
}

// exclusion returns why an instance gets no new requests, empty if it gets them. It follows
// registry.Usable and isBlocked.
func (g *Gateway) exclusion(in *wirepb.Instance) string {
	switch state := g.selfReports.Get(selfreport.ProcessOf(in)); {
	case in.GetLeft():
		return "it has left"
	case in.GetDraining():
		return "it is draining"
	case in.GetSuspect():
		return "it does not answer the leader"
	case !registry.Usable(in):
		return "it takes no new work"
	case state.Leaving:
		return "it stated in a reply that it is leaving"
	case g.isBlocked(in):
		return fmt.Sprintf("it asked for time, %s more", time.Until(state.PausedUntil).Round(time.Millisecond))
	}
	return ""
}

// restrictions returns why an engine is left out of the paths of a request or is used with
// restrictions. It follows candidateEngines and estimateEngine.
func (g *Gateway) restrictions(q *request, in *wirepb.Instance) []explain.Restricted {
	var out []explain.Restricted
	add := func(effect explain.Effect, format string, args ...any) {
		out = append(out, explain.Restricted{Engine: in.GetId(), DataCentre: in.GetDataCentre(), Effect: effect, Reason: fmt.Sprintf(format, args...)})
	}
	m, layers := q.service.Model, in.GetLayers()
	reason := g.exclusion(in)
	switch {
	case reason != "":
	case m.Accelerators[in.GetAccelerator()] == nil:
		reason = fmt.Sprintf("the configuration does not know its accelerator %q", in.GetAccelerator())
	case layers.GetTo() <= layers.GetFrom() && in.GetLoading():
		reason = "it holds no layers yet and is loading"
	case layers.GetTo() <= layers.GetFrom():
		reason = "it holds no layers"
	case int(layers.GetTo()) > m.Layers:
		reason = fmt.Sprintf("it reports layers up to %d of a model of %d", layers.GetTo(), m.Layers)
	}
	if reason != "" {
		add(explain.LeftOut, "%s", reason)
		return out
	}
	if g.load.isFull(in.GetId()) {
		add(explain.Full, "it refused a request recently")
	}
	if layers.GetFrom() == 0 {
		limit := time.Duration(overdueShare * float64(q.route.TargetLatency))
		if g.load.firstEventOverdue(in.GetId(), limit) {
			add(explain.NotFirst, "a request waits for its first event for longer than %s", limit)
		}
		if wait := g.requestLimits.wait(time.Now(), in); wait > 0 {
			add(explain.NotFirst, "it is at the limit of %g requests per second that it names", in.GetRequestLimit())
		}
	}
	if reason := g.degradation(in); reason != "" {
		add(explain.LastChoice, "%s", reason)
	}
	return out
}

// degradation returns why an instance is used only as the last choice, empty if it is not.
func (g *Gateway) degradation(in *wirepb.Instance) string {
	switch {
	case g.load.inBackoff(in.GetId()):
		return "it is in backoff after a failed request"
	case in.GetLeaving():
		return "it is leaving"
	}
	return ""
}

// explainPlain explains which upstreams of a service may be picked. It follows
// pickUpstream.
func (g *Gateway) explainPlain(v *view, s *routing.Service) *explain.Plain {
	out := &explain.Plain{}
	for _, in := range sortedInstances(v, s.Name) {
		u := explain.Upstream{ID: in.GetId(), DataCentre: in.GetDataCentre(), InProgress: g.load.inProgress(in.GetId())}
		if u.Reason = g.exclusion(in); u.Reason != "" {
			u.Effect = explain.LeftOut
		} else if wait := g.requestLimits.wait(time.Now(), in); wait > 0 {
			u.Effect, u.Reason = explain.LeftOut, fmt.Sprintf("it is at the limit of %g requests per second that it names", in.GetRequestLimit())
		} else if u.Reason = g.degradation(in); u.Reason != "" {
			u.Effect = explain.LastChoice
		}
		out.Upstreams = append(out.Upstreams, u)
	}
	out.MarkPickable()
	return out
}
