package fleet

import "time"

// SoftwareHistory holds the software versions that served each service lately. It is not
// safe for concurrent use. The zero value is empty and ready to use.
type SoftwareHistory struct {
	versions map[softwareKey]softwareUse
}

type softwareKey struct{ service, software string }

// softwareUse tells whether targets of a version are listed, and since when they are not.
type softwareUse struct {
	listed bool
	goneAt time.Time
}

// SoftwareRetention is how long a version is remembered after its last target. It is far
// above the time for which callers resume streams.
const SoftwareRetention = 2 * time.Minute

// Update records a list of all targets.
func (sh *SoftwareHistory) Update(now time.Time, all []Target) {
	listed := map[softwareKey]bool{}
	for _, ta := range all {
		listed[softwareKey{ta.Service, ta.Software}] = true
	}
	if sh.versions == nil {
		sh.versions = map[softwareKey]softwareUse{}
	}
	for key := range listed {
		sh.versions[key] = softwareUse{listed: true}
	}
	for key, use := range sh.versions {
		switch {
		case listed[key]:
		case use.listed:
			sh.versions[key] = softwareUse{goneAt: now}
		case now.Sub(use.goneAt) > SoftwareRetention:
			delete(sh.versions, key)
		}
	}
}

// Only returns the version that served a service lately if there was just one.
func (sh *SoftwareHistory) Only(service string) (software string, ok bool) {
	count := 0
	for key := range sh.versions {
		if key.service == service {
			software = key.software
			count++
		}
	}
	return software, count == 1
}
