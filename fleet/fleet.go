// Package fleet keeps what is known of the targets.
//
//  1. A target is one incarnation: its id and the moment of its start.
//  2. A target that the registry drops leaves at once, unless the registry was
//     away within the last Settle. Then it stays usable until Settle after the
//     registry's return, since live targets that lapsed meanwhile come back.
//  3. A draining target takes no new work but keeps what it runs.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// RecoveryWindow is how long live targets take to come back after the registry's
// return, by the platform's pages.
const RecoveryWindow = 2 * time.Second

// Target is one entry of the registry.
type Target struct {
	ID        string
	StartedAt int64
	Service   string
	Addr      string
	Domain    string
	// Distance is how far the target is from who uses it.
	Distance Distance
	Slots    int
	Draining bool
	// Models maps a model to the version of its weights.
	Models map[string]uint64
}

// Fleet is the targets by id. It is not safe for concurrent use; its values
// are never changed in place. The zero value knows no target.
type Fleet struct {
	targets      map[string]Target
	missingSince map[string]time.Time
	registryDown bool
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

// Remove removes a target (rule 2). It tells whether it left at once.
func (fl *Fleet) Remove(now time.Time, id string) bool {
	if _, found := fl.targets[id]; !found {
		return false
	}
	if fl.registryDown || now.Sub(fl.registryUpAt) < RecoveryWindow {
		if _, waits := fl.missingSince[id]; !waits {
			fl.missingSince[id] = now
		}
		return false
	}
	delete(fl.targets, id)
	delete(fl.missingSince, id)
	return true
}

// Replace takes a whole list: targets that it lacks are dropped.
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

// RegistryDown records that the registry does not answer.
func (fl *Fleet) RegistryDown() { fl.registryDown = true }

// RegistryUp records that the registry answers again.
func (fl *Fleet) RegistryUp(now time.Time) {
	if fl.registryDown {
		fl.registryDown, fl.registryUpAt = false, now
	}
}

// Sweep removes targets whose time to come back is over, and returns their ids.
func (fl *Fleet) Sweep(now time.Time) []string {
	var gone []string
	if fl.registryDown || now.Sub(fl.registryUpAt) < RecoveryWindow {
		return nil
	}
	for id := range fl.missingSince {
		delete(fl.missingSince, id)
		delete(fl.targets, id)
		gone = append(gone, id)
	}
	return gone
}

// All lists the targets by id.
func (fl *Fleet) All() []Target {
	all := make([]Target, 0, len(fl.targets))
	for _, ta := range fl.targets {
		all = append(all, ta)
	}
	slices.SortFunc(all, func(lhs, rhs Target) int { return strings.Compare(lhs.ID, rhs.ID) })
	return all
}
