// Package origin determines which software version began a stream that its caller resumes
// at another entry.
//
// Expected load: targets of several software versions serve side by side, or those of the
// old version have just left, when all entries are killed and start again. Callers then
// resume their streams at entries that remember nothing.
//
//  1. A place is a route, a service and a software version of the service's targets. The
//     store has a row for each place where a resumable stream may have begun, and a stream
//     begins at a place only after its row is written. The row stays for Retention after
//     the last target of the place was listed.
//  2. While a route has several places, the origin of each of its streams is stored too, in
//     batches. It is lost if the entry dies before its next batch.
//  3. A decision about a stream that no entry remembers is based on rows that are read for
//     this decision. What an entry has seen since its start is no evidence: it does not
//     include the places that were abandoned before.
//  4. The rows say nothing about streams that began before places were recorded, at entries
//     of an older build. Since when they are is a row as well.
package origin

import (
	"cmp"
	"slices"
	"time"

	"bilberryshelf/conf"
	"bilberryshelf/fleet"
)

// Retention is how long a place is kept after its last target, and an origin after its
// stream began. It is far above the time for which callers resume a stream.
const Retention = 2 * time.Minute

// Place is where streams of a route may begin.
type Place struct {
	Route    string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Software string `cbor:"3,keyasint"`
}

func comparePlaces(lhs, rhs Place) int {
	return cmp.Or(cmp.Compare(lhs.Route, rhs.Route), cmp.Compare(lhs.Service, rhs.Service), cmp.Compare(lhs.Software, rhs.Software))
}

// Places holds the places that this entry uses, and which of them have rows. It is not safe
// for concurrent use. The zero value is empty and ready to use.
type Places struct {
	// used are the places of the listed targets, recorded those with a row.
	used, recorded map[Place]bool
	// unusedSince maps recorded places to when their last target was gone.
	unusedSince map[Place]time.Time
}

// Update replaces the routes and the listed targets.
func (pl *Places) Update(now time.Time, routes []conf.Route, all []fleet.Target) {
	versions := map[string]map[string]bool{}
	for _, ta := range all {
		if versions[ta.Service] == nil {
			versions[ta.Service] = map[string]bool{}
		}
		versions[ta.Service][ta.Software] = true
	}
	used := map[Place]bool{}
	for _, ro := range routes {
		if !ro.ResumableStream() {
			continue
		}
		for _, sh := range ro.Shares {
			for software := range versions[sh.Service] {
				used[Place{ro.Name, sh.Service, software}] = true
			}
		}
	}
	pl.used = used
	for pa := range used {
		if _, unused := pl.unusedSince[pa]; unused { // its row may be about to be deleted by another entry
			delete(pl.recorded, pa)
			delete(pl.unusedSince, pa)
		}
	}
	pl.markUnused(now)
}

func (pl *Places) markUnused(now time.Time) {
	if pl.unusedSince == nil {
		pl.unusedSince = map[Place]time.Time{}
	}
	for pa := range pl.recorded {
		if _, found := pl.unusedSince[pa]; !found && !pl.used[pa] {
			pl.unusedSince[pa] = now
		}
	}
}

// Recorded adds places that have rows.
func (pl *Places) Recorded(now time.Time, places ...Place) {
	if pl.recorded == nil {
		pl.recorded = map[Place]bool{}
	}
	for _, pa := range places {
		pl.recorded[pa] = true
	}
	pl.markUnused(now)
}

// Missing returns the places in use that have no row, sorted.
func (pl *Places) Missing() []Place {
	var missing []Place
	for pa := range pl.used {
		if !pl.recorded[pa] {
			missing = append(missing, pa)
		}
	}
	slices.SortFunc(missing, comparePlaces)
	return missing
}

// Has reports whether a place in use has a row, so that streams may begin there (rule 1).
func (pl *Places) Has(pa Place) bool { return pl.used[pa] && pl.recorded[pa] }

// Several reports whether streams of a route may have begun at more than one place.
func (pl *Places) Several(route string) bool {
	count := 0
	for pa := range pl.recorded {
		if pa.Route == route {
			count++
		}
	}
	for pa := range pl.used {
		if pa.Route == route && !pl.recorded[pa] {
			count++
		}
	}
	return count > 1
}

// Unused reports whether a place with a row is not in use.
func (pl *Places) Unused() bool { return len(pl.unusedSince) > 0 }

// Expired returns the places that have not been used for Retention, and drops them.
func (pl *Places) Expired(now time.Time) []Place {
	var expired []Place
	for pa, since := range pl.unusedSince {
		if now.Sub(since) > Retention {
			expired = append(expired, pa)
			delete(pl.unusedSince, pa)
			delete(pl.recorded, pa)
		}
	}
	slices.SortFunc(expired, comparePlaces)
	return expired
}

// Certainty is what the evidence says about the origin of a stream.
type Certainty string

// The certainties.
const (
	// Known means that the place is that of the stream.
	Known Certainty = "known"
	// Unsettled means that the origin may become known: an entry or the store did not answer.
	Unsettled Certainty = "unsettled"
	// Lost means that the origin is not known and will not be.
	Lost Certainty = "lost"
)

// Evidence is what is known about a stream that a caller resumes. All of it was read after
// the caller asked.
type Evidence struct {
	// Remembered is the origin that an entry remembers or the store has, or nil. Silent is
	// the number of entries that did not answer.
	Remembered *Place
	Silent     int
	// Places are those of the route, from rows of the store and from the listed targets.
	Places []Place
	// Complete is for how long places have been recorded.
	Complete time.Duration
	// Read is set if the rows of places were read, OriginRead if that of the origin was.
	Read, OriginRead bool
}

// Decide returns where a stream began (rules 3 and 4).
func Decide(ev Evidence) (Place, Certainty) {
	switch {
	case ev.Remembered != nil:
		return *ev.Remembered, Known
	case !ev.Read || len(ev.Places) == 0 || ev.Complete <= Retention:
		return Place{}, Unsettled
	case len(ev.Places) == 1:
		return ev.Places[0], Known
	case ev.Silent > 0 || !ev.OriginRead:
		return Place{}, Unsettled
	default:
		return Place{}, Lost
	}
}
