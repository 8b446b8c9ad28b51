// Package routing holds the configuration of a deployment whose upstreams announce
// themselves: routes, services, organisations with their API keys, and request limits.
package routing

import (
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// RouteKind determines whether the requests of a route may run more than once.
type RouteKind string

// Kinds of routes.
const (
	Repeatable    RouteKind = "repeatable"     // may run more than once
	NonRepeatable RouteKind = "non_repeatable" // runs at most once
	Stream        RouteKind = "stream"         // a stream of events with increasing ids
)

// Configuration is one accepted version of the configuration. It is immutable after
// Prepare.
type Configuration struct {
	Version       uint64
	Routes        []*Route
	Services      map[string]*Service
	Organisations []*Organisation
	Limits        Limits

	routesByHost       map[string][]*Route
	organisationsByKey map[string]*Organisation
	urgentTargets      map[string]time.Duration // by service
}

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name           string
	Host           string
	Prefix         string
	Kind           RouteKind
	Timeout        time.Duration // longest time that a caller waits for the response
	TargetLatency  time.Duration // target for the response, or for the first event of a stream
	TargetEventGap time.Duration // target for the longest gap between two events
	Rank           int           // zero is the most urgent
	Targets        []Target
	MaxAttempts    int  // upstreams that one request may be sent to
	Public         bool // requests need no API key
	Resumable      bool // a broken stream may be resumed after its last event
}

// MayRepeat reports whether a request may be sent again when it is unknown whether it
// ran: always on a repeatable route, and on a stream route if its streams can be
// resumed.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Target is a service that receives a weighted share of the requests of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	Model          *Model // nil for a service without a model
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Rank overrides the rank of the route if HasRank is set.
	Rank    int
	HasRank bool
}

// Limits are the limits on the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Prepare checks the configuration and builds its lookup tables.
func (c *Configuration) Prepare() error {
	c.routesByHost = make(map[string][]*Route)
	c.organisationsByKey = make(map[string]*Organisation)
	c.urgentTargets = make(map[string]time.Duration)
	routeNames := make(map[string]string)
	for _, r := range c.Routes {
		if err := c.checkRoute(r); err != nil {
			return err
		}
		hostAndPrefix := r.Host + " " + r.Prefix
		if other, taken := routeNames[hostAndPrefix]; taken {
			return invalid("routes %q and %q share host and prefix", other, r.Name)
		}
		routeNames[hostAndPrefix] = r.Name
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
		for _, t := range r.Targets {
			if old, ok := c.urgentTargets[t.Service]; r.TargetLatency > 0 && (!ok || r.TargetLatency < old) {
				c.urgentTargets[t.Service] = r.TargetLatency
			}
		}
	}
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			if owner, taken := c.organisationsByKey[key]; taken && owner != o {
				return invalid("organisations %q and %q share a key", owner.Name, o.Name)
			}
			c.organisationsByKey[key] = o
		}
	}
	return nil
}

func (c *Configuration) checkRoute(r *Route) error {
	if r.Timeout <= 0 {
		return invalid("route %q has no timeout", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return invalid("route %q has the prefix %q, which does not begin with a slash", r.Name, r.Prefix)
	}
	total := 0
	for _, t := range r.Targets {
		if c.Services[t.Service] == nil {
			return invalid("route %q names the unknown service %q", r.Name, t.Service)
		}
		if t.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		total += t.Weight
	}
	if total == 0 {
		return invalid("the weights of route %q add up to zero", r.Name)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return fault.New(fault.Invalid, format, args...).WithOutcome(fault.NotRun)
}

// Match returns the route of the host with the longest prefix that matches the path,
// or nil.
func (c *Configuration) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// UrgentTarget returns the shortest target latency of the routes to a service, zero if none
// states a target.
func (c *Configuration) UrgentTarget(service string) time.Duration { return c.urgentTargets[service] }

// OrganisationForKey returns the organisation that owns the API key, or nil.
func (c *Configuration) OrganisationForKey(key string) *Organisation {
	return c.organisationsByKey[key]
}

// PickService selects a service of the route at random by weight. draw is uniform in
// [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := int(draw * float64(total))
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
