package intake

import (
	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/core"
)

// withTerms returns a job with the terms of the route on which it is accepted.
func withTerms(jo *batch.Job, route conf.Route) *batch.Job {
	cp := *jo
	terms := batch.NewTerms(route)
	cp.Terms = &terms
	return &cp
}

// jobRoute returns the route by which a stored job runs: as it was when the job was accepted,
// whatever the configuration says of it now. Jobs of earlier releases run by a route in force.
func (en *Entry) jobRoute(jo *batch.Job, he batch.Head) (conf.Route, *core.Error) {
	if jo.Terms.Valid() {
		return jo.Terms.Route(), nil
	}
	co := en.config.Load()
	if co == nil {
		return conf.Route{}, conf.NotReady()
	}
	route, found := co.Find(jo.Host, jo.Path)
	if !found || route.Kind != conf.Rollout {
		route, found = co.RolloutRoute(jo.Host, he.Route)
	}
	if !found {
		return conf.Route{}, core.Refuse(core.CodeUnknownService, "no route for job %s at %s%s, route %s, in configuration %d", jo.ID, jo.Host, jo.Path, he.Route, co.Version)
	}
	return en.workspaceRoute(route, jo.Workspace), nil
}
