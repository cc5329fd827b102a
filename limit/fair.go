package limit

import "time"

// FairShare divides the capacity for the requests of a service among workspaces while the
// capacity is short. It is not safe for concurrent use. The zero value is ready to use.
//
//  1. It refuses nothing unless a request was not served for lack of capacity within
//     ShortageWindow.
//  2. A workspace is active while it has a request in flight or has sent one within
//     ShortageWindow. Its share is the capacity divided by the number of active workspaces.
//  3. The capacity is the number of requests in flight when one was last not served, or the
//     present number if that is higher.
//  4. A workspace with more requests in flight than its share is refused while less than a
//     tenth of the capacity is free. The free part is for the others; above it the workspace
//     may use what they do not.
type FairShare struct {
	refusedAt time.Time
	capacity  int
	inFlight  int
	byName    map[string]*usage
}

// usage is what a workspace uses.
type usage struct {
	inFlight int
	lastAt   time.Time
}

const (
	// ShortageWindow is how long a request that was not served shows that capacity is short.
	ShortageWindow = time.Second
	// reservePart is the divisor of the capacity that is kept free for workspaces below their
	// share.
	reservePart = 10
)

// Refused records that a request was not served for lack of capacity. That request must no
// longer count as in flight.
func (fs *FairShare) Refused(now time.Time) {
	fs.refusedAt = now
	fs.capacity = fs.inFlight
}

// Begin counts a request of a workspace as in flight, or returns false if it must be refused.
func (fs *FairShare) Begin(now time.Time, workspace string) bool {
	if fs.byName == nil {
		fs.byName = map[string]*usage{}
	}
	us := fs.byName[workspace]
	if us == nil {
		us = &usage{}
		fs.byName[workspace] = us
	}
	us.lastAt = now
	if fs.exceeds(now, us) {
		return false
	}
	us.inFlight++
	fs.inFlight++
	return true
}

// exceeds reports whether a workspace uses more than its share while capacity is short.
func (fs *FairShare) exceeds(now time.Time, us *usage) bool {
	if fs.refusedAt.IsZero() || now.Sub(fs.refusedAt) > ShortageWindow {
		return false
	}
	capacity := max(fs.capacity, fs.inFlight)
	reserve := max(capacity/reservePart, 1)
	return us.inFlight*fs.active(now) > capacity && fs.inFlight >= capacity-reserve
}

// active returns the number of active workspaces and forgets the others.
func (fs *FairShare) active(now time.Time) int {
	for name, us := range fs.byName {
		if us.inFlight == 0 && now.Sub(us.lastAt) > ShortageWindow {
			delete(fs.byName, name)
		}
	}
	return len(fs.byName)
}

// End counts a request that Begin permitted as no longer in flight.
func (fs *FairShare) End(workspace string) {
	fs.byName[workspace].inFlight--
	fs.inFlight--
}
