// Package router holds the configuration in force and finds the route of a
// request.
//
// A [Config] is never changed after [New]; a node swaps the pointer to it.
//
// # Usage
//
//	c := router.New(7, limits, routes, services)
//	r := c.Find("shop.example", "/orders/17")
//	service := r.Pick(rng.Float64())
package router

import (
	"slices"
	"strings"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// Kind tells how the requests of a route are run.
type Kind string

// The kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non-idempotent"
	Streaming     Kind = "streaming"
	Rollout       Kind = "rollout" // jobs of many items
)

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Route tells what to do with the requests under a prefix of a host.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Backends []Backend

	Timeout       clock.Millis // longest time to an answer, 0 for none
	LatencyTarget clock.Millis // latency objective
	DueAfter      clock.Millis // for all results of a job
	Retention     clock.Millis // after which an item of a job is given up, 0 for never

	MaxAttempts   int // backend servers that may be tried
	Resumable     bool
	SingleVersion bool // all events of an item must come from one version
}

// IsRetryable reports whether a request may run more than once.
func (r *Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.Kind == Rollout || r.Kind == Streaming && r.Resumable
}

// Pick returns the service for a draw from [0, 1).
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

// Service is a set of backend servers of one kind.
type Service struct {
	Name           string
	Slots          int      // of one engine, 0 for plain services
	TokensPerEvent int      // tokens of one event of a stream
	Models         []string // that its engines can load, none for plain services
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Config is one version of the configuration.
type Config struct {
	version  int64
	limits   Limits
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
}

// New builds a configuration. Routes without a backend are left out.
func New(version int64, l Limits, routes []*Route, services []*Service) *Config {
	c := &Config{version: version, limits: l, hosts: make(map[string][]*Route), services: make(map[string]*Service)}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		if len(r.Backends) > 0 {
			c.hosts[r.Host] = append(c.hosts[r.Host], r)
		}
	}
	for _, rs := range c.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Version returns the number of the configuration.
func (c *Config) Version() int64 { return c.version }

// Limits returns the bounds on what clients send.
func (c *Config) Limits() Limits { return c.limits }

// Service returns a service by name, nil if there is none.
func (c *Config) Service(name string) *Service { return c.services[name] }

// NeedsSingleVersion reports whether a route to a service wants texts of one version.
func (c *Config) NeedsSingleVersion(service string) bool {
	for _, rs := range c.hosts {
		for _, r := range rs {
			if r.SingleVersion && slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service }) {
				return true
			}
		}
	}
	return false
}

// Models returns the models of all services, by service.
func (c *Config) Models() map[string][]string {
	out := make(map[string][]string)
	for n, s := range c.services {
		if len(s.Models) > 0 {
			out[n] = s.Models
		}
	}
	return out
}

// Find returns the route with the longest matching prefix, nil if none matches.
func (c *Config) Find(host, path string) *Route {
	host = strings.ToLower(host)
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
