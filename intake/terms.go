package intake

import (
	"time"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/core"
)

// withTerms returns a job with the terms on which it is accepted: those of its route, and of
// the routes of its scoring calls.
func (en *Entry) withTerms(jo *batch.Job, route conf.Route) *batch.Job {
	cp := *jo
	terms := batch.NewTerms(route)
	cp.Terms, cp.Scorers = &terms, nil
	co := en.config.Load()
	if co == nil {
		return &cp
	}
	type place struct{ host, prefix string }
	known := map[place]bool{}
	for _, it := range jo.Items {
		if it.Scorer == nil {
			continue
		}
		if ro, found := co.Find(it.Scorer.Host, it.Scorer.Path); found && !known[place{ro.Host, ro.Prefix}] {
			known[place{ro.Host, ro.Prefix}] = true
			cp.Scorers = append(cp.Scorers, batch.NewTerms(ro))
		}
	}
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

// scorerRoute returns the route of a scoring call: the one that now corresponds to the route
// of the time when the job was accepted, or that route itself if it was removed.
func (en *Entry) scorerRoute(jo *batch.Job, sc batch.Scorer) (conf.Route, *core.Error) {
	terms, found := jo.ScorerTerms(sc)
	if !found {
		route, _, failed := en.FindRoute(sc.Host, sc.Path)
		return route, failed
	}
	if co := en.config.Load(); co != nil {
		if route, found := co.Successor(terms.Route()); found {
			return route, nil
		}
	}
	return terms.Route(), nil
}

// formerRoute is a route of batch jobs that a newer configuration does not have.
type formerRoute struct {
	host, prefix string
	goneAt       time.Time
}

// rememberRoutes records the routes of batch jobs that a newer configuration does not have any
// more, as long as jobs that were submitted to them may be open.
func (en *Entry) rememberRoutes(have, next *conf.Config) {
	now := en.clock.Now()
	var former []formerRoute
	if all := en.formerRoutes.Load(); all != nil {
		for _, fr := range *all {
			if now.Sub(fr.goneAt) < maxAdoptAge {
				former = append(former, fr)
			}
		}
	}
	if have != nil {
		for _, ro := range have.AllRoutes() {
			if ro.Kind == conf.Rollout && !next.HasRollout(ro.Host, ro.Prefix) {
				former = append(former, formerRoute{ro.Host, ro.Prefix, now})
			}
		}
	}
	en.formerRoutes.Store(&former)
}
