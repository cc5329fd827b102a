package intake

import (
	"context"
	"time"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/logs"
	"bilberryshelf/member"
	"bilberryshelf/wire"
)

// handOverTimeout bounds the handover of a job: connecting and sending the body
// over the link between regions.
const handOverTimeout = 400 * time.Millisecond

// routeOwner returns the entry that runs the jobs of a route, or this entry if no
// owner of the route is known.
func (en *Entry) routeOwner(route string) member.Record {
	self := member.Record{Name: en.name, Addr: en.settings.Inner}
	en.mutex.Lock()
	defer en.mutex.Unlock()
	re, found := en.members.Owner(en.clock.Now(), route)
	if !found {
		return self
	}
	return re
}

// handOver starts an accepted job at the owner of its route, which may be this
// entry. If another owner does not accept the job, this entry adopts it.
func (en *Entry) handOver(jo *batch.Job, vh batch.VersionedHead, route conf.Route, owner member.Record) {
	if owner.Name == en.name {
		en.owner.Start(jo, vh, route, nil)
		return
	}
	go func() {
		call, cancel := context.WithTimeout(en.ctx, handOverTimeout)
		defer cancel()
		_, err := en.starter(owner.Addr).Start(call, &wire.StartRequest{
			Job: jo.ID, Body: batch.EncodeJob(jo), Head: batch.EncodeHead(vh.Head), Version: vh.Version,
		})
		if err == nil {
			return
		}
		logs.Warn(en.logger, "handover failed, adopting the job", "id", jo.ID, "owner", owner.Name, "err", err)
		en.adopt(en.ctx, jo.ID, vh)
	}()
}

// Start runs a job that another entry accepted and handed over to this one. An
// entry that is stopping refuses it.
func (en *Entry) Start(_ context.Context, req *wire.StartRequest) (*wire.StartResponse, error) {
	jo, err := batch.DecodeJob(req.GetBody())
	if err != nil {
		return nil, err
	}
	he, err := batch.DecodeHead(req.GetHead())
	if err != nil {
		return nil, err
	}
	if en.stopping.Load() {
		return nil, errStopping
	}
	route, failed := en.jobRoute(jo, he)
	if failed != nil {
		return nil, failed
	}
	vh := batch.VersionedHead{Head: he, Version: req.GetVersion()}
	en.index.Put(jo.ID, vh)
	en.owner.Start(jo, vh, route, nil)
	return &wire.StartResponse{}, nil
}
