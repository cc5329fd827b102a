package fleet

// Distance is how far a target is, the nearest first.
type Distance int

// The distances.
const (
	// SameDomain shares the failure domain.
	SameDomain Distance = iota
	// SameRegion is in the region, or its region is not known.
	SameRegion
	// OtherRegion is beyond a link between regions.
	OtherRegion
)

// Location is where an instance stands, with the regions of the failure domains
// that it knows.
type Location struct {
	Region, Domain string
	// Regions maps a failure domain to its region.
	Regions map[string]string
}

// Distance is how far a failure domain is from the place.
func (pl Location) Distance(domain string) Distance {
	region, known := pl.Regions[domain]
	switch {
	case domain == pl.Domain:
		return SameDomain
	case known && region != pl.Region:
		return OtherRegion
	default:
		return SameRegion
	}
}
