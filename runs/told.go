package runs

import (
	"time"

	"bilberryshelf/place"
)

// SetAnnounced records the version of a model that its trainer named.
func (ow *Owner) SetAnnounced(model string, version uint64) {
	ow.Loop.Post(func() {
		ow.announced[model] = max(ow.announced[model], version)
	})
}

// load is an engine that loads weights, and since when this is known.
type load struct {
	addr string
	at   time.Time
}

// SetServedModel records which model an engine serves.
func (ow *Owner) SetServedModel(addr, model string) {
	ow.Loop.Post(func() { ow.servedModels[addr] = model })
}

// SetLoading records which engine loads under a slot; an empty address frees it.
func (ow *Owner) SetLoading(slot, addr string) {
	ow.Loop.Post(func() {
		ow.loads[slot] = load{addr: addr, at: ow.Clock.Now()}
		ow.place()
	})
}

// loading tells whether an engine loads weights, as far as is known, and since
// when.
func (ow *Owner) loading(now time.Time, addr string) (since time.Duration, loads bool) {
	for _, lo := range ow.loads {
		if lo.addr == addr && now.Sub(lo.at) < maxLoadTime {
			return now.Sub(lo.at), true
		}
	}
	return 0, false
}

// engineViews are the engines of a service as the placing sees them.
func (ow *Owner) engineViews(now time.Time, service, model string) []place.Engine {
	var views []place.Engine
	for _, en := range ow.engines {
		home := ow.servedModels[en.target.Addr]
		en.endEmptying(now, en.version(home) >= ow.announced[home])
		if en.target.Service == service && !en.target.Draining {
			vi := en.view(now, model)
			vi.LoadingFor, vi.Loading = ow.loading(now, en.target.Addr)
			vi.Model, vi.OtherModel = home, home != "" && home != model
			views = append(views, vi)
		}
	}
	return views
}

// endEmptying lets an emptied engine take items again once it has loaded, or did not
// for too long.
func (en *engine) endEmptying(now time.Time, loaded bool) {
	switch {
	case en.emptiedAt.IsZero():
	case loaded:
		en.emptiedAt = time.Time{}
	case now.Sub(en.emptiedAt) > emptyTimeout:
		en.emptiedAt, en.skipUntil = time.Time{}, now.Add(skipTime)
	}
}
