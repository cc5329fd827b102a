// Package route chooses the target of an attempt out of an immutable view of
// the targets, watches their health, and divides targets among entries.
//
// Choose follows these rules.
//
//  1. Only serving targets of the service that were not tried yet count, that
//     have weights no older than asked for and, outside of their full health,
//     only in the share that their return allows: of the draws, and of the
//     requests that they take at once.
//  2. Targets of the entry's own region go first. Another region is used only
//     when no target here has room and the link has budget for the request.
//  3. A request with a prefix goes to the first target, in rendezvous order of
//     the prefix, whose load is below LoadBound times the mean; so the prefix
//     stays in one cache until that target is busier than the others.
//  4. Otherwise two targets are drawn and the less loaded one is taken.
//  5. When more than half of the targets are out of full health, health is
//     ignored: then it is the load or the network, and taking targets out would
//     only load the others more.
//  6. The load is what the target reported, corrected by what this entry has
//     started and finished since the report.
package route

import (
	"sync/atomic"
	"time"

	"bilberryshelf/core"
)

// LoadBound is how far above the mean load a target may be and still be
// chosen for its cache.
const LoadBound = 1.25

// Target is what an entry knows of a target.
type Target struct {
	Name        string
	Service     string
	Region      string
	Domain      string
	Addr        string
	Incarnation uint64
	State       core.State
	// Skew is the guard's clock minus the entry's.
	Skew     time.Duration
	Revision uint64
	Version  uint64
	// Capacity is the number of requests that the target takes at once.
	Capacity int
	// Reported is the number of requests in progress by the last report, and
	// MineThen how many of them were this entry's.
	Reported         int
	InFlightAtReport int
	// InFlight counts this entry's requests in progress. It is shared by all views
	// and may be nil for none.
	InFlight *atomic.Int64
	// TrafficShare is the share of its traffic that the target gets, from 0 for a
	// target that is taken out to 1 in full health.
	TrafficShare float64
}

// Load estimates the requests in progress (rule 6).
func (ta Target) Load() int {
	mine := 0
	if ta.InFlight != nil {
		mine = int(ta.InFlight.Load())
	}
	return max(ta.Reported-ta.InFlightAtReport+mine, mine, 0)
}

// maxRequests is the number of requests that the target may have at once.
func (ta Target) maxRequests() int {
	if ta.TrafficShare >= 1 {
		return ta.Capacity
	}
	return max(int(ta.TrafficShare*float64(ta.Capacity)), 1)
}

// utilization is the load as a share of the capacity.
func (ta Target) utilization() float64 { return float64(ta.Load()) / float64(max(ta.Capacity, 1)) }

// View is the targets that an entry sends to. It is never changed in place.
type View struct {
	Targets []Target
}

// Find returns a target by name.
func (vi View) Find(name string) (Target, bool) {
	for _, ta := range vi.Targets {
		if ta.Name == name {
			return ta, true
		}
	}
	return Target{}, false
}

// Query is what is known of the attempt to be placed.
type Query struct {
	Service string
	Region  string
	// Allowed limits the choice to the targets of the loan; nil allows all.
	Allowed func(name string) bool
	// Tried holds the names that were tried before.
	Tried []string
	// Prefix hashes the start of the prompt; zero means no prefix.
	Prefix uint64
	// MinVersion is the oldest version of weights that will do.
	MinVersion uint64
	// RequireHealthy asks for a target in full health as long as one is known to serve,
	// also if it has no room at present: for long work that a slow target would
	// hold up.
	RequireHealthy bool
	// UseLink grants bytes on the link to other regions; nil grants all.
	UseLink func() bool
	// IntN returns a number below its argument.
	IntN func(below int) int
}

// shareResolution is the resolution of a draw for a share.
const shareResolution = 1 << 20

// Choose places an attempt. Its refusals carry not-run.
func Choose(vi View, as Query) (Target, *core.Error) {
	near, far, known := candidates(vi, as)
	if !known {
		return Target{}, core.Refuse(core.CodeNoTarget, "no target of %s is known to serve", as.Service)
	}
	if len(near) > 0 { // rule 2
		return pick(near, as), nil
	}
	if len(far) > 0 && (as.UseLink == nil || as.UseLink()) {
		return pick(far, as), nil
	}
	return Target{}, core.Refuse(core.CodeFull, "no target of %s has room", as.Service)
}

// candidates lists the targets with room in this region and in others (rule 1).
func candidates(vi View, as Query) (near, far []Target, known bool) {
	well, ill := countHealth(vi, as)
	for _, ta := range vi.Targets {
		if !eligible(ta, as) {
			continue
		}
		if ill > well { // rule 5
			ta.TrafficShare = 1
		}
		if as.RequireHealthy && well > 0 && ta.TrafficShare < SlowSpeedRatio {
			continue
		}
		known = true
		if ta.Load() >= ta.maxRequests() {
			continue
		}
		if ta.TrafficShare < 1 && float64(as.IntN(shareResolution)) >= ta.TrafficShare*shareResolution {
			continue
		}
		if ta.Region == as.Region {
			near = append(near, ta)
		} else {
			far = append(far, ta)
		}
	}
	return near, far, known
}

// countHealth counts the eligible targets in and out of full health.
func countHealth(vi View, as Query) (well, ill int) {
	for _, ta := range vi.Targets {
		switch {
		case !eligible(ta, as):
		case ta.TrafficShare >= SlowSpeedRatio:
			well++
		default:
			ill++
		}
	}
	return well, ill
}

func eligible(ta Target, as Query) bool {
	if ta.Service != as.Service || ta.State != core.Serving || ta.Version < as.MinVersion {
		return false
	}
	for _, na := range as.Tried {
		if na == ta.Name {
			return false
		}
	}
	return as.Allowed == nil || as.Allowed(ta.Name)
}

func pick(targets []Target, as Query) Target {
	if as.Prefix != 0 {
		if ta, found := byPrefix(targets, as.Prefix); found {
			return ta
		}
	}
	first := targets[as.IntN(len(targets))] // rule 4
	second := targets[as.IntN(len(targets))]
	if second.utilization() < first.utilization() {
		return second
	}
	return first
}

// byPrefix finds the best target in rendezvous order below the bound (rule 3).
// A first pass finds the mean, a second one the owner, so nothing is sorted.
func byPrefix(targets []Target, prefix uint64) (Target, bool) {
	total := 0.0
	for _, ta := range targets {
		total += ta.utilization()
	}
	bound := LoadBound*total/float64(len(targets)) + 1/float64(max(targets[0].Capacity, 1))
	var (
		best   Target
		weight uint64
		found  bool
	)
	for _, ta := range targets {
		if ta.utilization() > bound {
			continue
		}
		if wt := rendezvousWeight(prefix, ta.Name); !found || wt > weight {
			best, weight, found = ta, wt, true
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
