// Package fleet holds the targets of the registry.
//
//  1. A target is one incarnation: its id and its start time.
//  2. A target that the registry deletes is removed at once, unless the registry was
//     unavailable within the last RecoveryWindow. Then the target stays usable until
//     RecoveryWindow after the registry is available again, since live targets whose
//     registration expired during the outage register again.
//  3. A draining target gets no new work and completes its runs.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// RecoveryWindow is how long live targets take to register again after an outage of
// the registry, according to the platform's documentation.
const RecoveryWindow = 2 * time.Second

// Target is one target in the registry.
type Target struct {
	ID string
	// StartedAt is the start time as the registry has it. It is only compared for
	// equality.
	StartedAt int64
	Service   string
	// Software is the version of the target's software, not of its weights. Targets of
	// several versions may serve side by side; a text begun by one can't be continued by
	// another.
	Software string
	Addr     string
	Domain   string
	// Distance is how far the target is from the instance that uses it.
	Distance Distance
	// Slots is the number of requests that the target runs at once.
	Slots    int
	Draining bool
	// Models maps a model to the version of its weights.
	Models map[string]uint64
}

// Incarnation identifies one start of a target.
type Incarnation struct {
	ID        string
	StartedAt int64
}

// Incarnation returns the incarnation that a target is.
func (ta Target) Incarnation() Incarnation { return Incarnation{ta.ID, ta.StartedAt} }

// Fleet holds the targets by id. It is not safe for concurrent use; its values are
// never changed in place. The zero value is empty and ready to use.
type Fleet struct {
	targets map[string]Target
	// missingSince is when the registry deleted the targets that are kept by rule 2.
	missingSince map[string]time.Time
	registryDown bool
	// registryUpAt is the end of the last outage.
	registryUpAt time.Time
}

// Put adds or replaces a target.
func (fl *Fleet) Put(ta Target) {
	if fl.targets == nil {
		fl.targets, fl.missingSince = map[string]Target{}, map[string]time.Time{}
	}
	fl.targets[ta.ID] = ta
	delete(fl.missingSince, ta.ID)
}

// Remove removes a target (rule 2) and reports whether it was removed at once.
func (fl *Fleet) Remove(now time.Time, id string) bool {
	if _, found := fl.targets[id]; !found {
		return false
	}
	if fl.registryDown || now.Sub(fl.registryUpAt) < RecoveryWindow {
		if _, missing := fl.missingSince[id]; !missing {
			fl.missingSince[id] = now
		}
		return false
	}
	delete(fl.targets, id)
	delete(fl.missingSince, id)
	return true
}

// Replace puts a complete list of targets and removes those that are not in it.
func (fl *Fleet) Replace(now time.Time, all []Target) {
	listed := map[string]bool{}
	for _, ta := range all {
		listed[ta.ID] = true
		fl.Put(ta)
	}
	for id := range fl.targets {
		if !listed[id] {
			fl.Remove(now, id)
		}
	}
}

// RegistryDown records that the registry is unavailable.
func (fl *Fleet) RegistryDown() { fl.registryDown = true }

// RegistryUp records that the registry is available.
func (fl *Fleet) RegistryUp(now time.Time) {
	if fl.registryDown {
		fl.registryDown, fl.registryUpAt = false, now
	}
}

// Sweep removes the targets that have not registered again within RecoveryWindow
// and returns their ids.
func (fl *Fleet) Sweep(now time.Time) []string {
	var removed []string
	if fl.registryDown || now.Sub(fl.registryUpAt) < RecoveryWindow {
		return nil
	}
	for id := range fl.missingSince {
		delete(fl.missingSince, id)
		delete(fl.targets, id)
		removed = append(removed, id)
	}
	return removed
}

// All returns the targets, sorted by id.
func (fl *Fleet) All() []Target {
	all := make([]Target, 0, len(fl.targets))
	for _, ta := range fl.targets {
		all = append(all, ta)
	}
	slices.SortFunc(all, func(lhs, rhs Target) int { return strings.Compare(lhs.ID, rhs.ID) })
	return all
}
