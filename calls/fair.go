package calls

import (
	"sync"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/limit"
)

// shares holds the fair share of each service (rule 13). It is safe for concurrent use. The
// zero value is ready to use.
type shares struct {
	mutex     sync.Mutex
	byService map[string]*limit.FairShare
}

func (sh *shares) service(name string) *limit.FairShare {
	fs := sh.byService[name]
	if fs == nil {
		if sh.byService == nil {
			sh.byService = map[string]*limit.FairShare{}
		}
		fs = &limit.FairShare{}
		sh.byService[name] = fs
	}
	return fs
}

func (sh *shares) begin(now time.Time, service, workspace string) bool {
	sh.mutex.Lock()
	defer sh.mutex.Unlock()
	return sh.service(service).Begin(now, workspace)
}

func (sh *shares) end(service, workspace string) {
	sh.mutex.Lock()
	defer sh.mutex.Unlock()
	sh.service(service).End(workspace)
}

func (sh *shares) refused(now time.Time, service string) {
	sh.mutex.Lock()
	defer sh.mutex.Unlock()
	sh.service(service).Refused(now)
}

// runInShare runs a request, unless its workspace has more than its share of the requests in
// flight while targets refuse requests. Requests without a workspace have no share.
func (at *attempts) runInShare(run func() (Response, *core.Error)) (Response, *core.Error) {
	fo, workspace := at.fo, at.re.Workspace
	if workspace == "" {
		return run()
	}
	if now := fo.Clock.Now(); !fo.shares.begin(now, at.service, workspace) {
		fo.Meters.Count("requests-over-share", at.service, 1)
		wait := fo.Balancer.retryAfter(now, at.service, fo.IntN)
		return Response{}, core.Refuse(core.CodeFull, "workspace %s has its share of the requests in flight at service %s", workspace, at.service).WithRetryAfter(wait)
	}
	res, err := run()
	fo.shares.end(at.service, workspace)
	// A single target that is full is no shortage: another one takes the request.
	if err != nil && err.Code == core.CodeFull && at.refused > 0 {
		fo.shares.refused(fo.Clock.Now(), at.service)
	}
	return res, err
}
