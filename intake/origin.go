package intake

import (
	"context"
	"sync"
	"time"

	"bilberryshelf/calls"
	"bilberryshelf/logs"
	"bilberryshelf/member"
	"bilberryshelf/wire"
)

// OriginClient keeps origins of streams at another entry.
type OriginClient interface {
	RecordOrigin(ctx context.Context, req *wire.RecordOriginRequest) (*wire.RecordOriginResponse, error)
	FindOrigin(ctx context.Context, req *wire.FindOriginRequest) (*wire.FindOriginResponse, error)
}

const (
	// originRetention is how long an origin is kept, far above the time for which callers
	// resume a stream. maxOrigins bounds the memory: about 200 bytes each.
	originRetention = 2 * time.Minute
	maxOrigins      = 20000
	// originReplicas is the number of other entries that keep an origin, since an entry's
	// streams are resumed when it dies. A search asks originSearch of them, which is more
	// than there are failure domains.
	originReplicas = 2
	originSearch   = 8
	originTimeout  = 300 * time.Millisecond
)

// origins holds the origins of streams by the id of the request that got the first event.
// It is safe for concurrent use. The zero value is ready to use.
type origins struct {
	mutex sync.Mutex
	byID  map[string]keptOrigin
	// ids are in the order in which they were kept.
	ids []string
}

type keptOrigin struct {
	calls.Origin
	at time.Time
}

func (or *origins) keep(now time.Time, id string, origin calls.Origin) {
	or.mutex.Lock()
	defer or.mutex.Unlock()
	if or.byID == nil {
		or.byID = map[string]keptOrigin{}
	}
	if _, found := or.byID[id]; !found {
		or.ids = append(or.ids, id)
	}
	or.byID[id] = keptOrigin{origin, now}
	for len(or.ids) > 0 && (len(or.ids) > maxOrigins || now.Sub(or.byID[or.ids[0]].at) > originRetention) {
		delete(or.byID, or.ids[0])
		or.ids = or.ids[1:]
	}
}

func (or *origins) find(id string) (calls.Origin, bool) {
	or.mutex.Lock()
	defer or.mutex.Unlock()
	kept, found := or.byID[id]
	return kept.Origin, found
}

// replicas returns the first entries of those that keep the origin of a stream.
func (en *Entry) replicas(id string, count int) []member.Record {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	all := en.members.Replicas(en.clock.Now(), id, en.name)
	return all[:min(count, len(all))]
}

// Record keeps the origin of a stream here and sends it to other entries.
func (en *Entry) Record(id string, origin calls.Origin) {
	en.origins.keep(en.clock.Now(), id, origin)
	for _, re := range en.replicas(id, originReplicas) {
		go func() {
			call, cancel := context.WithTimeout(en.ctx, originTimeout)
			defer cancel()
			req := &wire.RecordOriginRequest{Request: id, Service: origin.Service, Software: origin.Software}
			if _, err := en.originClient(re.Addr).RecordOrigin(call, req); err != nil && en.ctx.Err() == nil {
				en.meters.Count("origins-not-shared", re.Name, 1)
				logs.Info(en.logger, "origin of a stream not shared", "id", id, "entry", re.Name, "err", err)
			}
		}()
	}
}

// Find returns the origin of a stream that any entry began.
func (en *Entry) Find(ctx context.Context, id string) (calls.Origin, bool) {
	if origin, found := en.origins.find(id); found {
		return origin, true
	}
	call, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	asked := en.replicas(id, originSearch)
	answers := make(chan *wire.FindOriginResponse, len(asked))
	for _, re := range asked {
		go func() {
			res, err := en.originClient(re.Addr).FindOrigin(call, &wire.FindOriginRequest{Request: id})
			if err != nil {
				logs.Info(en.logger, "no response about the origin of a stream", "id", id, "entry", re.Name, "err", err)
			}
			answers <- res
		}()
	}
	for range asked {
		if res := <-answers; res.GetFound() {
			return calls.Origin{Service: res.GetService(), Software: res.GetSoftware()}, true
		}
	}
	return calls.Origin{}, false
}

// RecordOrigin keeps the origin of a stream for another entry.
func (en *Entry) RecordOrigin(_ context.Context, req *wire.RecordOriginRequest) (*wire.RecordOriginResponse, error) {
	en.origins.keep(en.clock.Now(), req.GetRequest(), calls.Origin{Service: req.GetService(), Software: req.GetSoftware()})
	return &wire.RecordOriginResponse{}, nil
}

// FindOrigin tells another entry the origin of a stream, if it is known here.
func (en *Entry) FindOrigin(_ context.Context, req *wire.FindOriginRequest) (*wire.FindOriginResponse, error) {
	origin, found := en.origins.find(req.GetRequest())
	return &wire.FindOriginResponse{Found: found, Service: origin.Service, Software: origin.Software}, nil
}
