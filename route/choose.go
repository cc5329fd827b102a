// Package route chooses the target of an attempt from an immutable view of the targets,
// tracks their health, and divides targets among entries.
//
// Choose follows these rules.
//
//  1. Eligible are the serving targets of the service that were not tried yet and have
//     weights of at least the requested version. A target that is not fully healthy is
//     considered for a random TrafficShare of the attempts only, and has at most that
//     share of its Capacity in flight.
//  2. Targets of the entry's own region are preferred. Another region is used only if no
//     local target has capacity and the link between regions has budget for the request.
//  3. A request with a prefix goes to the first target, in rendezvous order of the
//     prefix, whose load is at most LoadBound times the mean plus one request. The prefix
//     thus stays in one cache until that target is busier than the others.
//  4. Otherwise the less loaded of two random targets is chosen.
//  5. If more than half of the targets are unhealthy, health is ignored: the cause is
//     then the load or the network, and ejecting targets would only overload the rest.
//  6. The load is the reported load, corrected by the requests that this entry started
//     and finished since the report.
package route

import (
	"sync/atomic"
	"time"

	"bilberryshelf/core"
)

// LoadBound is the ratio to the mean load up to which a target is chosen for its prefix
// cache.
const LoadBound = 1.25

// Target is the state of a target as known to an entry.
type Target struct {
	Name        string
	Service     string
	Region      string
	Domain      string
	Addr        string
	Incarnation uint64
	State       core.State
	// Skew is the guard's clock minus the entry's clock.
	Skew time.Duration
	// Revision is the revision of the target's service and loans that its guard has.
	Revision uint64
	// Version is the version of the weights that the target holds.
	Version uint64
	// Capacity is the number of requests that the target runs concurrently.
	Capacity int
	// Reported is the number of requests in flight at the last report, and
	// InFlightAtReport the number of them that were sent by this entry.
	Reported         int
	InFlightAtReport int
	// InFlight counts this entry's requests in flight. It is shared by all views; nil
	// means none.
	InFlight *atomic.Int64
	// TrafficShare is the share of its normal traffic that the target receives, from 0
	// for an ejected target to 1 for a healthy one.
	TrafficShare float64
}

// Load estimates the number of requests in flight (rule 6).
func (ta Target) Load() int {
	inFlight := 0
	if ta.InFlight != nil {
		inFlight = int(ta.InFlight.Load())
	}
	return max(ta.Reported-ta.InFlightAtReport+inFlight, inFlight, 0)
}

// maxRequests returns the number of concurrent requests that the target may have (rule 1).
func (ta Target) maxRequests() int {
	if ta.TrafficShare >= 1 {
		return ta.Capacity
	}
	return max(int(ta.TrafficShare*float64(ta.Capacity)), 1)
}

// utilization returns the load as a share of the capacity.
func (ta Target) utilization() float64 { return float64(ta.Load()) / float64(max(ta.Capacity, 1)) }

// View is the set of targets that an entry sends to. It is immutable.
type View struct {
	Targets []Target
}

// Find returns the target with the given name.
func (vi View) Find(name string) (Target, bool) {
	for _, ta := range vi.Targets {
		if ta.Name == name {
			return ta, true
		}
	}
	return Target{}, false
}

// Query describes the attempt to be placed.
type Query struct {
	Service string
	Region  string
	// Allowed reports whether a target belongs to the loan; nil allows all.
	Allowed func(name string) bool
	// Tried holds the names of the targets that were already tried.
	Tried []string
	// Prefix is a hash of the start of the prompt; zero means no prefix.
	Prefix uint64
	// MinVersion is the oldest acceptable version of the weights.
	MinVersion uint64
	// RequireHealthy excludes unhealthy targets while a healthy one is serving, even if
	// that one has no capacity at present. It is meant for long requests, which a slow
	// target would delay.
	RequireHealthy bool
	// UseLink reserves budget on the link to other regions; nil means no limit.
	UseLink func() bool
	// IntN returns a random integer in [0, below).
	IntN func(below int) int
}

// shareResolution is the resolution of a random choice by TrafficShare.
const shareResolution = 1 << 20

// Choose returns the target of an attempt. Its errors carry the verdict not-run.
func Choose(vi View, qu Query) (Target, *core.Error) {
	local, remote, serving := candidates(vi, qu)
	if !serving {
		return Target{}, core.Refuse(core.CodeNoTarget, "no target of service %s is known to serve", qu.Service)
	}
	if len(local) > 0 { // rule 2
		return pick(local, qu), nil
	}
	if len(remote) > 0 && (qu.UseLink == nil || qu.UseLink()) {
		return pick(remote, qu), nil
	}
	return Target{}, core.Refuse(core.CodeFull, "no target of service %s has capacity for a request", qu.Service)
}

// candidates returns the eligible targets with capacity in the own region and in others
// (rule 1). Serving tells whether any target is eligible, with or without capacity.
func candidates(vi View, qu Query) (local, remote []Target, serving bool) {
	healthy, unhealthy := countHealth(vi, qu)
	for _, ta := range vi.Targets {
		if !eligible(ta, qu) {
			continue
		}
		if unhealthy > healthy { // rule 5
			ta.TrafficShare = 1
		}
		if qu.RequireHealthy && healthy > 0 && ta.TrafficShare < SlowSpeedRatio {
			continue
		}
		serving = true
		if ta.Load() >= ta.maxRequests() {
			continue
		}
		if ta.TrafficShare < 1 && float64(qu.IntN(shareResolution)) >= ta.TrafficShare*shareResolution {
			continue
		}
		if ta.Region == qu.Region {
			local = append(local, ta)
		} else {
			remote = append(remote, ta)
		}
	}
	return local, remote, serving
}

// countHealth counts the healthy and unhealthy targets among the eligible ones. A target
// is healthy if its TrafficShare is at least SlowSpeedRatio.
func countHealth(vi View, qu Query) (healthy, unhealthy int) {
	for _, ta := range vi.Targets {
		switch {
		case !eligible(ta, qu):
		case ta.TrafficShare >= SlowSpeedRatio:
			healthy++
		default:
			unhealthy++
		}
	}
	return healthy, unhealthy
}

func eligible(ta Target, qu Query) bool {
	if ta.Service != qu.Service || ta.State != core.Serving || ta.Version < qu.MinVersion {
		return false
	}
	for _, na := range qu.Tried {
		if na == ta.Name {
			return false
		}
	}
	return qu.Allowed == nil || qu.Allowed(ta.Name)
}

func pick(targets []Target, qu Query) Target {
	if qu.Prefix != 0 {
		if ta, found := byPrefix(targets, qu.Prefix); found {
			return ta
		}
	}
	first := targets[qu.IntN(len(targets))] // rule 4
	second := targets[qu.IntN(len(targets))]
	if second.utilization() < first.utilization() {
		return second
	}
	return first
}

// byPrefix returns the first target in rendezvous order whose load is within the bound
// (rule 3). Two passes, for the mean and for the target, avoid a sort.
func byPrefix(targets []Target, prefix uint64) (Target, bool) {
	total := 0.0
	for _, ta := range targets {
		total += ta.utilization()
	}
	bound := LoadBound*total/float64(len(targets)) + 1/float64(max(targets[0].Capacity, 1))
	var (
		best    Target
		highest uint64
		found   bool
	)
	for _, ta := range targets {
		if ta.utilization() > bound {
			continue
		}
		if wt := rendezvousWeight(prefix, ta.Name); !found || wt > highest {
			best, highest, found = ta, wt, true
		}
	}
	return best, found
}

func rendezvousWeight(prefix uint64, name string) uint64 {
	var raw [8]byte
	for at := range raw {
		raw[at] = byte(prefix >> (8 * at))
	}
	return core.Rendezvous(string(raw[:]), name)
}
