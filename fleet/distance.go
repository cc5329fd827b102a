package fleet

import "time"

// Distance is how far a target is from an instance; nearer ones are smaller.
type Distance int

// The distances.
const (
	// SameDomain is in the same failure domain.
	SameDomain Distance = iota
	// SameRegion is in the same region, or its region is not known.
	SameRegion
	// OtherRegion is in another region.
	OtherRegion
)

// The one-way delays of the network by distance.
const (
	domainDelay  = time.Millisecond
	regionDelay  = 2 * time.Millisecond
	distantDelay = 30 * time.Millisecond
)

// Delay returns the usual one-way delay of the network over the distance.
func (di Distance) Delay() time.Duration {
	switch di {
	case SameDomain:
		return domainDelay
	case SameRegion:
		return regionDelay
	default:
		return distantDelay
	}
}

// Location is the region and failure domain of an instance, with the regions of the
// failure domains that it knows.
type Location struct {
	Region, Domain string
	// Regions maps a failure domain to its region.
	Regions map[string]string
}

// Distance returns how far a failure domain is from the location.
func (lo Location) Distance(domain string) Distance {
	region, known := lo.Regions[domain]
	switch {
	case domain == lo.Domain:
		return SameDomain
	case known && region != lo.Region:
		return OtherRegion
	default:
		return SameRegion
	}
}
