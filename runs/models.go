package runs

import (
	"time"

	"bilberryshelf/order"
	"bilberryshelf/place"
)

// SetAnnounced records a version of a model that its trainer announced.
func (ow *Owner) SetAnnounced(model string, version uint64) {
	ow.Loop.Post(func() {
		ow.announced[model] = max(ow.announced[model], version)
	})
}

// load is an engine that loads weights, and when this became known.
type load struct {
	addr string
	at   time.Time
}

// SetServedModel records which model the engine at an address serves.
func (ow *Owner) SetServedModel(addr, model string) {
	ow.Loop.Post(func() { ow.servedModels[addr] = model })
}

// SetLoading records which engine holds a load slot. An empty address frees the
// slot.
func (ow *Owner) SetLoading(slot, addr string) {
	ow.Loop.Post(func() {
		ow.loads[slot] = load{addr: addr, at: ow.Clock.Now()}
		ow.place()
	})
}

// loading reports whether an engine is known to load weights, and for how long.
func (ow *Owner) loading(now time.Time, addr string) (elapsed time.Duration, loads bool) {
	for _, lo := range ow.loads {
		if lo.addr == addr && now.Sub(lo.at) < maxLoadTime {
			return now.Sub(lo.at), true
		}
	}
	return 0, false
}

// engineViews returns the engines of a job's service in the form that place expects. It
// first updates which engines are being emptied.
func (ow *Owner) engineViews(now time.Time, jo *job) []place.Engine {
	var views []place.Engine
	sh := ow.sharing(now, jo.service)
	for _, en := range ow.engines {
		served := ow.servedModels[en.target.Addr]
		en.endEmptying(now, en.version(served) >= ow.announced[served])
		if en.target.Service == jo.service && !en.target.Draining {
			vi := en.view(now, jo.body.Model)
			vi.Memory = ow.memory[jo.service]
			vi.Limited, vi.Permits = ow.Rates.Permits(now, en.target, jo.route.Priority)
			vi.LoadingFor, vi.Loading = ow.loading(now, en.target.Addr)
			vi.Model, vi.OtherModel = served, served != "" && served != jo.body.Model && !sh.short(jo.body.Model)
			vi.Stale = order.Stale(en.version(served), ow.announced[served])
			sh.reduceSlots(en, &vi, jo.body.Model)
			views = append(views, vi)
		}
	}
	return views
}

// endEmptying ends the emptying of an engine once it has loaded the weights, or if
// it didn't within emptyTimeout.
func (en *engine) endEmptying(now time.Time, loaded bool) {
	switch {
	case en.emptiedAt.IsZero():
	case loaded:
		en.emptiedAt = time.Time{}
	case now.Sub(en.emptiedAt) > emptyTimeout:
		en.emptiedAt, en.skipUntil = time.Time{}, now.Add(skipTime)
	}
}
