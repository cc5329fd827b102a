package runs

import (
	"time"

	"bilberryshelf/place"
)

// Named records the version of a model that its trainer named.
func (ow *Owner) Named(model string, version uint64) {
	ow.Loop.Post(func() {
		ow.named[model] = max(ow.named[model], version)
	})
}

// load is an engine that loads weights, and since when this is known.
type load struct {
	addr string
	at   time.Time
}

// Home records which model an engine serves.
func (ow *Owner) Home(addr, model string) {
	ow.Loop.Post(func() { ow.homes[addr] = model })
}

// Loading records which engine loads under a slot; an empty address frees it.
func (ow *Owner) Loading(slot, addr string) {
	ow.Loop.Post(func() {
		ow.loads[slot] = load{addr: addr, at: ow.Clock.Now()}
		ow.place()
	})
}

// loading tells whether an engine loads weights, as far as is known, and since
// when.
func (ow *Owner) loading(now time.Time, addr string) (since time.Duration, loads bool) {
	for _, lo := range ow.loads {
		if lo.addr == addr && now.Sub(lo.at) < loadMost {
			return now.Sub(lo.at), true
		}
	}
	return 0, false
}

// engineViews are the engines of a service as the placing sees them.
func (ow *Owner) engineViews(now time.Time, service, model string) []place.Engine {
	var views []place.Engine
	for _, en := range ow.engines {
		home := ow.homes[en.target.Addr]
		en.refill(now, en.version(home) >= ow.named[home])
		if en.target.Service == service && !en.target.Draining {
			vi := en.view(now, model)
			vi.LoadingFor, vi.Loading = ow.loading(now, en.target.Addr)
			vi.Home, vi.Foreign = home, home != "" && home != model
			views = append(views, vi)
		}
	}
	return views
}

// refill lets an emptied engine take items again once it has loaded, or did not
// for too long.
func (en *engine) refill(now time.Time, loaded bool) {
	switch {
	case en.emptied.IsZero():
	case loaded:
		en.emptied = time.Time{}
	case now.Sub(en.emptied) > emptyFor:
		en.emptied, en.passedUntil = time.Time{}, now.Add(passFor)
	}
}
