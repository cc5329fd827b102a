package runs

import (
	"slices"

	"bilberryshelf/conf"
	"bilberryshelf/logs"
)

// SetConfig records the configuration in force.
func (ow *Owner) SetConfig(co *conf.Config) {
	ow.Loop.Post(func() {
		ow.config = co
		for _, se := range co.Services() {
			ow.memory[se.Name] = se.KVCapacity
		}
	})
}

// hasEngines reports whether a service has engines that take items.
func (ow *Owner) hasEngines(service string) bool {
	for _, en := range ow.engines {
		if en.target.Service == service && !en.target.Draining {
			return true
		}
	}
	return false
}

// followService moves a job to another service if its own has no engines any more: to one of the
// route that corresponds to the job's now, or else to another one that the job was accepted for.
// Texts that are not complete begin anew, since the services may not run the same model.
func (ow *Owner) followService(jo *job) {
	if ow.config == nil || ow.hasEngines(jo.service) {
		return
	}
	shares := jo.route.Shares
	if next, found := ow.config.Successor(jo.route); found {
		shares = slices.Concat(next.Shares, shares)
	}
	at := slices.IndexFunc(shares, func(sh conf.Share) bool { return sh.Service != jo.service && ow.hasEngines(sh.Service) })
	if at < 0 {
		return
	}
	logs.Info(ow.Logger, "job moved to another service", "id", jo.body.ID, "service", shares[at].Service, "before", jo.service,
		"configuration", ow.config.Version)
	jo.service = shares[at].Service
	for _, it := range jo.items {
		ow.dropForeignText(jo, it)
	}
	ow.place()
}

// dropForeignText drops the text of a waiting item if engines of another service than the job's
// generated it.
func (ow *Owner) dropForeignText(jo *job, it *item) {
	if it.state == waiting && !it.complete && len(it.events) > 0 && it.service != "" && it.service != jo.service {
		ow.dropText(jo, it, "the job has moved to another service")
	}
}
