package intake

import (
	"context"
	"time"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/core"
)

// staleViewRetryAfter is the Retry-After of a request whose key or route may be newer than
// the entry's view of the configuration.
const staleViewRetryAfter = 400 * time.Millisecond

// Authenticate returns the workspace that the key of a request belongs to. It is zero if
// the route is public or the configuration has no workspaces.
func (en *Entry) Authenticate(route conf.Route, key string) (conf.Workspace, *core.Error) {
	co := en.config.Load()
	switch {
	case co == nil:
		return conf.Workspace{}, conf.NotReady()
	case route.Public || !co.HasWorkspaces():
		return conf.Workspace{}, nil
	}
	wo, known := co.Authenticate(key)
	if !known {
		return conf.Workspace{}, en.unauthorized(co, key)
	}
	return wo, nil
}

// unauthorized returns the error for a key that the configuration does not have.
func (en *Entry) unauthorized(co *conf.Config, key string) *core.Error {
	if key == "" {
		return en.ifFresh(co, core.Refuse(core.CodeUnauthorized, "the request has no key, or more than one"))
	}
	return en.ifFresh(co, core.Refuse(core.CodeUnauthorized, "the key with digest %s is not in configuration %d", conf.KeyDigest(key), co.Version))
}

// ifFresh returns a refusal because something is not in the configuration, or another
// one if a newer configuration may have it. Without workspaces the age does not matter.
func (en *Entry) ifFresh(co *conf.Config, refused *core.Error) *core.Error {
	age, known := en.configAge(en.clock.Now())
	if !co.HasWorkspaces() || (known && age <= conf.MaxViewAge) {
		return refused
	}
	return core.Refuse(core.CodeNotReady, "configuration %d may be outdated: %s", co.Version, refused.Text).WithRetryAfter(staleViewRetryAfter)
}

// CheckJob returns an error unless a caller with this key may read or end a job: the job is
// one of the key's workspace, or its route is public. Jobs of other workspaces do not exist
// for the caller.
func (en *Entry) CheckJob(ctx context.Context, host, key, job string) *core.Error {
	co := en.config.Load()
	switch {
	case co == nil:
		return conf.NotReady()
	case !co.HasWorkspaces():
		return nil
	}
	wo, known := co.Authenticate(key)
	if !known && !en.maybePublic(co, host, job) {
		return en.unauthorized(co, key) // without a read of the store
	}
	if failed := en.checkStore(); failed != nil {
		return failed
	}
	vh, failed := en.findHead(ctx, job, false)
	switch {
	case failed != nil && failed.Code != core.CodeUnknownJob:
		return failed
	case !known && !publicJob(co, host, vh):
		return en.unauthorized(co, key)
	case !known:
		return nil
	default:
		return mayAccess(job, vh, wo)
	}
}

// maybePublic reports whether a job at a host may need no key, as far as that is known without a
// read of the store.
func (en *Entry) maybePublic(co *conf.Config, host, job string) bool {
	vh, _ := en.index.Get(job)
	return vh.Head.Public || co.PublicJobs(host)
}

// mayAccess returns an error if a job does not exist or belongs to another workspace.
func mayAccess(job string, vh batch.VersionedHead, wo conf.Workspace) *core.Error {
	if vh.Version == 0 || !vh.Head.MayAccess(wo.Name) {
		return unknownJob(job)
	}
	return nil
}

// publicJob reports whether a job exists that needs no key: one that was submitted without
// a workspace and whose route is public, or was when the job was accepted.
func publicJob(co *conf.Config, host string, vh batch.VersionedHead) bool {
	return vh.Version > 0 && vh.Head.Workspace == "" && (vh.Head.Public || co.PublicRoute(host, vh.Head.Route))
}

// checkResubmit returns an error if a job that is submitted again belongs to another workspace.
func (en *Entry) checkResubmit(jo *batch.Job, he batch.Head) *core.Error {
	if co := en.config.Load(); co != nil && co.HasWorkspaces() && !he.MayAccess(jo.Workspace) {
		return unknownJob(jo.ID)
	}
	return nil
}

// unknownJob returns the error for a job that does not exist, or not for the caller.
func unknownJob(job string) *core.Error {
	return core.Refuse(core.CodeUnknownJob, "job %s does not exist", job)
}

// workspaceRoute returns the route with the priority of a workspace, if that has one.
func (en *Entry) workspaceRoute(route conf.Route, workspace string) conf.Route {
	if co := en.config.Load(); co != nil {
		wo, _ := co.Workspace(workspace) // a workspace that was removed has no priority
		return route.WithPriority(wo.Priority)
	}
	return route
}
