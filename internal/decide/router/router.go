// Package router holds the routes of a configuration and finds the route of a
// request.
//
// A [Config] is immutable. To apply a new configuration, a node replaces the
// pointer to its Config.
//
// # Usage
//
//	c := router.New(7, limits, routes, services)
//	r := c.Find("shop.example", "/orders/17")
//	service := r.Pick(rng.Float64())
package router

import (
	"maps"
	"slices"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/access"
)

// Kind is how the requests of a route are executed.
type Kind string

// The kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non-idempotent"
	Streaming     Kind = "streaming"
	Rollout       Kind = "rollout" // jobs with many items
)

// Backend is a service and the weight of its share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Route is the configuration for the requests to a host whose paths have a prefix.
type Route struct {
	Name     string
	Host     string // lower case
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Backends []Backend

	Timeout       clock.Millis // maximum time until the answer, 0 for none
	LatencyTarget clock.Millis // latency objective of a request
	DueAfter      clock.Millis // objective for the time until a job has all results
	ItemTimeout   clock.Millis // time after which an item of a job is given up, 0 for never

	MaxAttempts   int  // maximum number of attempts at backend servers
	Priority      int  // 0 is the highest
	Public        bool // requests need no key of a workspace
	Resumable     bool // another server can resume a stream after its last event
	SingleVersion bool // all events of an item must come from one weight version
}

// IsRetryable reports whether a request may be executed more than once.
func (r *Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.Kind == Rollout || r.Kind == Streaming && r.Resumable
}

// Pick returns the service for a random number from [0, 1), by the weights of the
// backends.
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	draw *= total
	for _, b := range r.Backends {
		if draw < b.Weight {
			return b.Service
		}
		draw -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Service is a set of backend servers of one kind: engines, which load models, or
// the servers of a plain service.
type Service struct {
	Name           string
	Slots          int      // slots of each engine, 0 for a plain service
	TokensPerEvent int      // tokens in one event of a stream
	Models         []string // models that its engines can load, none for a plain service
	Scaling        Scaling
}

// Scaling is how the platform runs servers of a service on order. Max is 0 if it doesn't.
type Scaling struct {
	Min, Max int          // in each zone
	Boot     clock.Millis // from an order until a new server takes work
}

// Limits are the limits on the requests and connections of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Config is one version of the configuration.
type Config struct {
	version       int64
	limits        Limits
	hosts         map[string][]*Route // by host, sorted by descending length of prefix
	services      map[string]*Service // by name
	singleVersion sets.Set[string]    // services that need a single version
	publicJobs    bool                // a route for jobs is public
	workspaces    *access.Table       // nil if requests need no key
}

// New returns a configuration. Routes without a backend are ignored.
func New(version int64, l Limits, routes []*Route, services []*Service) *Config {
	c := &Config{
		version: version, limits: l, hosts: make(map[string][]*Route), services: make(map[string]*Service),
		singleVersion: make(sets.Set[string]),
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		if len(r.Backends) == 0 {
			continue
		}
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
		c.publicJobs = c.publicJobs || r.Public && r.Kind == Rollout
		if r.SingleVersion {
			for _, b := range r.Backends {
				c.singleVersion.Add(b.Service)
			}
		}
	}
	for _, rs := range c.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// WithWorkspaces returns the configuration with workspaces, whose requests need a key.
func (c *Config) WithWorkspaces(t *access.Table) *Config {
	out := *c
	out.workspaces = t
	return &out
}

// Workspaces returns the workspaces, nil if requests need no key.
func (c *Config) Workspaces() *access.Table { return c.workspaces }

// HasPublicJobs reports whether anyone may submit jobs to some route.
func (c *Config) HasPublicJobs() bool { return c.publicJobs }

// Priority returns the priority of a workspace's requests on a route; 0 is the highest.
// That of the workspace takes precedence.
func (c *Config) Priority(r *Route, w ident.Workspace) int {
	return c.workspaces.Priority(w, r.Priority)
}

// Version returns the version number of the configuration.
func (c *Config) Version() int64 { return c.version }

// Limits returns the limits on clients.
func (c *Config) Limits() Limits { return c.limits }

// Service returns a service by name, nil if there is none.
func (c *Config) Service(name string) *Service { return c.services[name] }

// HasResumable reports whether streams of any route can be resumed.
func (c *Config) HasResumable() bool {
	for _, rs := range c.hosts {
		if slices.ContainsFunc(rs, func(r *Route) bool { return r.Kind == Streaming && r.Resumable }) {
			return true
		}
	}
	return false
}

// Scaled returns the services with servers on order, by name.
func (c *Config) Scaled() []*Service {
	var out []*Service
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		if s := c.services[name]; s.Scaling.Max > 0 {
			out = append(out, s)
		}
	}
	return out
}

// NeedsSingleVersion reports whether any route to a service requires that all
// events of an item come from one weight version.
func (c *Config) NeedsSingleVersion(service string) bool { return c.singleVersion.Has(service) }

// Models returns the models of each service that has any, by service.
func (c *Config) Models() map[string][]string {
	out := make(map[string][]string)
	for name, s := range c.services {
		if len(s.Models) > 0 {
			out[name] = s.Models
		}
	}
	return out
}

// Find returns the route of a host with the longest matching prefix, nil if no
// route matches. The host may include a port, and its case does not matter.
func (c *Config) Find(host, path string) *Route {
	host = strings.ToLower(host)
	// The last colon begins the port, except in an IPv6 address without a port.
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
