// Package routing holds the configuration of a deployment whose upstreams
// announce themselves: which request goes to which service, on whose account
// and within which limits.
package routing

import (
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// RouteKind tells what may be repeated.
type RouteKind string

// Kinds of routes.
const (
	Repeatable    RouteKind = "repeatable"     // may run more than once
	NonRepeatable RouteKind = "non_repeatable" // runs at most once
	Stream        RouteKind = "stream"         // a series of events with increasing ids
)

// Configuration is one accepted version. It is immutable once decoded.
type Configuration struct {
	Version       uint64
	Routes        []*Route
	Services      map[string]*Service
	Organisations []*Organisation
	Limits        Limits

	byHost map[string][]*Route
	byKey  map[string]*Organisation
}

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name           string
	Host           string
	Prefix         string
	Kind           RouteKind
	Timeout        time.Duration // longest time that a request is kept waiting
	TargetLatency  time.Duration // time for an answer, or a first event, to be of full use
	TargetEventGap time.Duration // longest pause between two events
	Rank           int           // zero is the most urgent
	Targets        []Target
	MaxAttempts    int // upstreams that one request may be sent to
	Public         bool
	Resumable      bool
}

// Idempotent reports whether a request may run again after it may have run.
func (r *Route) Idempotent() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Target is a service with its share of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of upstreams that do the same work.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	Model          *Model // nil for a plain service
}

// Organisation owns API keys.
type Organisation struct {
	Name string
	Keys []string
	// Rank takes precedence over the rank of the route where RankSet.
	Rank    int
	HasRank bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Prepare checks the configuration and builds its lookup tables.
func (c *Configuration) Prepare() error {
	c.byHost = make(map[string][]*Route)
	c.byKey = make(map[string]*Organisation)
	places := make(map[string]string)
	for _, r := range c.Routes {
		if err := c.checkRoute(r); err != nil {
			return err
		}
		place := r.Host + " " + r.Prefix
		if other, taken := places[place]; taken {
			return invalid("routes %q and %q share host and prefix", other, r.Name)
		}
		places[place] = r.Name
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			if owner, taken := c.byKey[key]; taken && owner != o {
				return invalid("organisations %q and %q share a key", owner.Name, o.Name)
			}
			c.byKey[key] = o
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

// Match returns the route with the longest prefix that begins the path.
func (c *Configuration) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// OrganisationForKey returns the organisation that holds the key, or nil.
func (c *Configuration) OrganisationForKey(key string) *Organisation { return c.byKey[key] }

// PickService chooses the service of a request. draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	rest := int(draw * float64(total))
	for _, t := range r.Targets {
		if rest < t.Weight {
			return t.Service
		}
		rest -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
