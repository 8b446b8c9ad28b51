// Package explain holds the explanation of how a gateway would route a request: the query,
// the answer and its text form. It has no side effects; the gateway fills in the answer.
package explain

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Path is the path of the explanation on the metrics address of a gateway.
const Path = "/explain"

const (
	// MaxTokens bounds the token counts of a query.
	MaxTokens = 1 << 24
	// maxNameLength, in bytes, bounds the host and the path of a query.
	maxNameLength = 4096
)

// Query describes the request to explain. A token count of zero means the typical one of
// the model.
type Query struct {
	Host         string
	Path         string
	PromptTokens int
	OutputTokens int
}

// ParseQuery returns the query in the given URL parameters. The error is Invalid and names
// the parameter.
func ParseQuery(v url.Values) (Query, error) {
	q := Query{Host: v.Get("host"), Path: v.Get("path")}
	var err error
	if q.PromptTokens, err = parseTokens(v, "prompt_tokens"); err != nil {
		return q, err
	}
	if q.OutputTokens, err = parseTokens(v, "output_tokens"); err != nil {
		return q, err
	}
	return q, q.Validate()
}

func parseTokens(v url.Values, name string) (int, error) {
	if !v.Has(name) {
		return 0, nil
	}
	n, err := strconv.Atoi(v.Get(name))
	if err != nil {
		return 0, invalid(name, "%q is not a number", v.Get(name))
	}
	return n, nil
}

// Validate returns an error of the kind Invalid if a field is missing or out of bounds.
func (q Query) Validate() error {
	for _, f := range []struct{ name, value string }{{"host", q.Host}, {"path", q.Path}} {
		if f.value == "" {
			return invalid(f.name, "a %s is needed", f.name)
		}
		if len(f.value) > maxNameLength {
			return invalid(f.name, "the %s exceeds %d bytes", f.name, maxNameLength)
		}
	}
	if !strings.HasPrefix(q.Path, "/") {
		return invalid("path", "the path %q does not begin with a slash", q.Path)
	}
	for _, f := range []struct {
		name  string
		value int
	}{{"prompt_tokens", q.PromptTokens}, {"output_tokens", q.OutputTokens}} {
		if f.value < 0 || f.value > MaxTokens {
			return invalid(f.name, "%d is not between 0 and %d", f.value, MaxTokens)
		}
	}
	return nil
}

func invalid(field, format string, args ...any) error {
	return fault.New(fault.Invalid, format, args...).WithField(field).WithOutcome(fault.NotRun)
}

// Values returns the URL parameters of the query.
func (q Query) Values() url.Values {
	v := url.Values{"host": {q.Host}, "path": {q.Path}}
	if q.PromptTokens != 0 {
		v.Set("prompt_tokens", strconv.Itoa(q.PromptTokens))
	}
	if q.OutputTokens != 0 {
		v.Set("output_tokens", strconv.Itoa(q.OutputTokens))
	}
	return v
}

// Answer explains how a gateway would route a request now.
type Answer struct {
	ConfigurationVersion uint64    `json:"configuration_version"`
	ViewAgeMs            int64     `json:"view_age_ms"` // since the leader last confirmed the view
	DataCentre           string    `json:"data_centre"` // of the gateway
	Stopping             bool      `json:"stopping"`    // the gateway is stopping and may refuse the request
	Route                Route     `json:"route"`
	Services             []Service `json:"services"` // more than one if the route splits its requests
}

// Route is the route that matches the request.
type Route struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Rank is that of the route. The organisation of an API key may have another.
	Rank      int  `json:"rank"`
	MayRepeat bool `json:"may_repeat"`
	Public    bool `json:"public"`
}

// Service is a service that may get the request. Exactly one of Stream and Plain is set.
type Service struct {
	Name        string  `json:"name"`
	Weight      int     `json:"weight"`
	TotalWeight int     `json:"total_weight"` // of all services of the route
	Stream      *Stream `json:"stream,omitempty"`
	Plain       *Plain  `json:"plain,omitempty"`
}

// Stream explains the path of a stream.
type Stream struct {
	PromptTokens int `json:"prompt_tokens"`
	OutputTokens int `json:"output_tokens"`
	// Stages is empty if there is no path with capacity; Refusal states why.
	Stages      []Stage `json:"stages,omitempty"`
	Crossings   int     `json:"crossings"` // hops between data centres
	CostMs      float64 `json:"cost_ms"`
	HasCapacity bool    `json:"has_capacity"`
	Refusal     string  `json:"refusal,omitempty"`
	// MaxWaitMs is the time for which a request waits for a path before it is refused.
	MaxWaitMs   int64        `json:"max_wait_ms"`
	Reason      string       `json:"reason"` // for the choice of the data centre
	DataCentres []DataCentre `json:"data_centres"`
	// LeavingShare is the share of such requests, 0 to 1, that leave the data centre of the
	// gateway. The path shown is that of a request in the middle of them all.
	LeavingShare float64      `json:"leaving_share"`
	Engines      []Restricted `json:"restricted_engines"`
}

// Stage is an engine of a path and the layers [From, To) that it runs.
type Stage struct {
	Engine     string `json:"engine"`
	DataCentre string `json:"data_centre"`
	From       int    `json:"from"`
	To         int    `json:"to"`
}

// DataCentre is the best path within one data centre.
type DataCentre struct {
	Name        string  `json:"name"`
	Own         bool    `json:"own"`     // it is the data centre of the gateway
	Engines     int     `json:"engines"` // that may be on a path
	HasCapacity bool    `json:"has_capacity"`
	CostMs      float64 `json:"cost_ms"`         // zero if no path has free engines
	Limit       string  `json:"limit,omitempty"` // why it has no path with capacity
}

// Effect is what a state of an upstream means for new requests.
type Effect string

// Effects.
const (
	LeftOut    Effect = "left out"
	Full       Effect = "counts as full"
	NotFirst   Effect = "is not the first of a path"
	LastChoice Effect = "last choice"
)

// Restricted is an engine that is left out or used with restrictions.
type Restricted struct {
	Engine     string `json:"engine"`
	DataCentre string `json:"data_centre"`
	Effect     Effect `json:"effect"`
	Reason     string `json:"reason"`
}

// Plain explains the choice of an upstream of a service without a path.
type Plain struct {
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is an upstream of a service.
type Upstream struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Pickable   bool   `json:"pickable"`
	InProgress int    `json:"in_progress"` // requests of this gateway
	// Effect is empty for an upstream without restrictions.
	Effect Effect `json:"effect,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// MarkPickable sets Pickable. An upstream that is the last choice may be picked only if no
// other may.
func (p *Plain) MarkPickable() {
	unrestricted := false
	for _, u := range p.Upstreams {
		unrestricted = unrestricted || u.Effect == ""
	}
	for i, u := range p.Upstreams {
		p.Upstreams[i].Pickable = u.Effect == "" || u.Effect == LastChoice && !unrestricted
	}
}

// SetChoice records the path of a stream. dataCentreOf returns the data centre of an engine.
func (s *Stream) SetChoice(c path.Choice, dataCentreOf func(id string) string) {
	s.CostMs, s.HasCapacity, s.Crossings = Milliseconds(c.Cost), c.HasCapacity, c.DataCentreCrossings
	for _, p := range c.Stages {
		s.Stages = append(s.Stages, Stage{Engine: p.ID, DataCentre: dataCentreOf(p.ID), From: p.From, To: p.To})
	}
}

// Milliseconds returns d in milliseconds, rounded to a tenth.
func Milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
