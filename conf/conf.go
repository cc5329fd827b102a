// Package conf holds the configuration that the platform's operator sets: which
// service gets the requests of a host and path, and within which limits. A
// configuration is immutable.
package conf

import (
	"maps"
	"slices"
	"strings"
	"time"

	"bilberryshelf/core"
)

// Kind defines how the requests of a route may be run and answered.
type Kind string

// The kinds of a route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once each time that the caller sends them.
	NonIdempotent Kind = "non-idempotent"
	// Stream requests are answered with a stream of events.
	Stream Kind = "stream"
	// Rollout routes accept batch jobs of trainers.
	Rollout Kind = "rollout"
)

// Share is a service of a route with its weight in the choice of a service.
type Share struct {
	Service string
	Weight  int
}

// Route assigns the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares has at least one element.
	Shares []Share
	// Timeout is the longest time that a request may wait; zero means no bound.
	Timeout time.Duration
	// TargetLatency is the latency objective of a response. A response within it counts
	// in full.
	TargetLatency time.Duration
	// Deadline is how long after its submission the results of a batch job are due.
	Deadline time.Duration
	// ItemTTL is the time after the submission of a batch job from which its
	// unfinished items may be abandoned; zero means never.
	ItemTTL time.Duration
	// Attempts is the largest number of targets that one request may be sent to.
	Attempts int
	// Priority is 0 for the most urgent route.
	Priority int
	// Resumable streams may be continued by another target.
	Resumable bool
	// SingleVersion requires that one version of the weights generates a whole sample.
	SingleVersion bool
	// Public routes need no key.
	Public bool
}

// ResumableStream reports whether the responses of the route are streams that may be resumed.
func (ro Route) ResumableStream() bool { return ro.Kind == Stream && ro.Resumable }

// Pick draws a service of the route by weight; draw returns a random number below
// its argument.
func (ro Route) Pick(draw func(below int) int) string {
	total := 0
	for _, sh := range ro.Shares {
		total += sh.Weight
	}
	if total <= 0 {
		return ro.Shares[0].Service
	}
	at := draw(total)
	for _, sh := range ro.Shares {
		if at -= sh.Weight; at < 0 {
			return sh.Service
		}
	}
	return ro.Shares[len(ro.Shares)-1].Service
}

// Service describes the targets of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections one target accepts in total.
	MaxConnections int
	// Models lists the models of the engines; empty for a service without engines.
	Models []string
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// KVCapacity is the number of tokens that an engine keeps in its KV cache.
	KVCapacity int
	// Scale bounds the ordered number of targets; its zero value means that none are ordered.
	Scale Scale
}

// Scale bounds the number of targets of a service in each failure domain.
type Scale struct {
	Min, Max int
	// Boot is the time from an order until the ordered targets serve.
	Boot time.Duration
}

// Enabled reports whether targets are ordered at all.
func (sc Scale) Enabled() bool { return sc.Max > 0 }

// Clamp returns the permitted number that is nearest to count.
func (sc Scale) Clamp(count int) int { return min(max(count, sc.Min), sc.Max) }

// Limits bounds what a caller may send. Sizes are in bytes.
type Limits struct {
	MaxHeader int
	MaxBody   int
	// HeaderTimeout bounds the time for the head of a request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Limits   Limits
	routes   map[string][]Route
	services map[string]Service
	// workspaces holds the workspaces by name, workspaceByKey by each of their keys.
	workspaces, workspaceByKey map[string]Workspace
}

// New returns a configuration with the given content.
func New(version uint64, routes []Route, services []Service, limits Limits) *Config {
	co := &Config{Version: version, Limits: limits, routes: map[string][]Route{}, services: map[string]Service{}}
	for _, ro := range routes {
		co.routes[ro.Host] = append(co.routes[ro.Host], ro)
	}
	for _, se := range services {
		co.services[se.Name] = se
	}
	return co
}

// Services returns the services in any order.
func (co *Config) Services() []Service { return slices.Collect(maps.Values(co.services)) }

// Find returns the route of the host with the longest prefix of the path.
func (co *Config) Find(host, path string) (Route, bool) {
	var (
		best  Route
		found bool
	)
	for _, ro := range co.routes[host] {
		if strings.HasPrefix(path, ro.Prefix) && (!found || len(ro.Prefix) > len(best.Prefix)) {
			best, found = ro, true
		}
	}
	return best, found
}

// Successor returns the route that a route of another configuration corresponds to: one of the
// same kind that has the same two of name, host and prefix. A name alone does not identify a
// route, since it may have been given to another one, nor does a path.
func (co *Config) Successor(ro Route) (Route, bool) {
	var (
		best Route
		rank resemblance
	)
	look := func(all []Route) {
		for _, other := range all {
			if have := ro.resemblance(other); have > rank {
				best, rank = other, have
			}
		}
	}
	look(co.routes[ro.Host])
	if rank == differs {
		for _, all := range co.routes {
			look(all)
		}
	}
	return best, rank > differs
}

// resemblance ranks how much of its identity a route shares with another one: two of name, host
// and prefix, or all.
type resemblance int

const (
	differs resemblance = iota
	sameNameAndPrefix
	sameHostAndPrefix
	sameNameAndHost
	same
)

func (ro Route) resemblance(other Route) resemblance {
	name, host, prefix := ro.Name == other.Name, ro.Host == other.Host, ro.Prefix == other.Prefix
	switch {
	case ro.Kind != other.Kind:
		return differs
	case name && host && prefix:
		return same
	case name && host:
		return sameNameAndHost
	case host && prefix:
		return sameHostAndPrefix
	case name && prefix:
		return sameNameAndPrefix
	default:
		return differs
	}
}

// HasRollout reports whether the host has a route of batch jobs with this prefix.
func (co *Config) HasRollout(host, prefix string) bool {
	return slices.ContainsFunc(co.routes[host], func(ro Route) bool { return ro.Kind == Rollout && ro.Prefix == prefix })
}

// RolloutRoute returns the host's route of batch jobs with this name.
func (co *Config) RolloutRoute(host, name string) (Route, bool) {
	at := slices.IndexFunc(co.routes[host], func(ro Route) bool { return ro.Kind == Rollout && ro.Name == name })
	if at < 0 {
		return Route{}, false
	}
	return co.routes[host][at], true
}

// Service returns a service by name.
func (co *Config) Service(name string) (Service, bool) {
	se, found := co.services[name]
	return se, found
}

// Routes returns the number of routes.
func (co *Config) Routes() int {
	sum := 0
	for _, ros := range co.routes {
		sum += len(ros)
	}
	return sum
}

// AllRoutes returns the routes in any order.
func (co *Config) AllRoutes() []Route {
	return slices.Concat(slices.Collect(maps.Values(co.routes))...)
}

// Newer returns the configuration with the higher version, or have if the versions
// are equal. Either may be nil.
func Newer(have, offered *Config) *Config {
	if have == nil || (offered != nil && offered.Version > have.Version) {
		return offered
	}
	return have
}

// NotReady returns the refusal of a process that has no configuration yet.
func NotReady() *core.Error {
	return core.Refuse(core.CodeNotReady, "the configuration is not loaded yet").WithRetryAfter(notReadyRetryAfter)
}

// notReadyRetryAfter is when to retry at a process that is starting.
const notReadyRetryAfter = 300 * time.Millisecond
