package intake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/logs"
	"bilberryshelf/member"
	"bilberryshelf/origin"
	"bilberryshelf/table"
	"bilberryshelf/wire"
)

// OriginClient keeps origins of streams at another entry.
type OriginClient interface {
	RecordOrigin(ctx context.Context, req *wire.RecordOriginRequest) (*wire.RecordOriginResponse, error)
	FindOrigin(ctx context.Context, req *wire.FindOriginRequest) (*wire.FindOriginResponse, error)
}

const (
	// maxOrigins bounds the memory of origins: about 300 bytes each.
	maxOrigins = 20000
	// originReplicas is the number of other entries that keep an origin, since an entry's
	// streams are resumed when it dies. A search asks originSearch of them, which is more
	// than there are failure domains.
	originReplicas = 2
	originSearch   = 8
	originTimeout  = 300 * time.Millisecond
	// originReadTimeout bounds the reads of the store for one stream: two in a row, each
	// possibly through another entry.
	originReadTimeout = 800 * time.Millisecond
	// originRetryAfter is when a caller returns whose stream's origin is not known yet: a
	// process that starts needs about as long until it has read the store.
	originRetryAfter = 300 * time.Millisecond
)

// origins holds the origins of streams by the id of the request that got the first event.
// It is safe for concurrent use. The zero value is ready to use.
type origins struct {
	mutex sync.Mutex
	byID  map[string]keptOrigin
	// ids are in the order in which they were kept.
	ids []string
	// unstored are the ids of streams of this entry that are not in the store, in order.
	unstored []string
}

type keptOrigin struct {
	origin.Place
	at time.Time
}

// keep keeps the origin of a stream, unless its id is too long for the memory of maxOrigins. A
// stream with such an id is not resumed.
func (or *origins) keep(now time.Time, id string, pa origin.Place, own bool) {
	if len(id) > origin.MaxIDBytes {
		return
	}
	or.mutex.Lock()
	defer or.mutex.Unlock()
	if or.byID == nil {
		or.byID = map[string]keptOrigin{}
	}
	if _, found := or.byID[id]; !found {
		or.ids = append(or.ids, id)
		if own && origin.Storable(id) {
			or.unstored = append(or.unstored, id)
		}
	}
	or.byID[id] = keptOrigin{pa, now}
	for len(or.ids) > 0 && (len(or.ids) > maxOrigins || now.Sub(or.byID[or.ids[0]].at) > origin.Retention) {
		delete(or.byID, or.ids[0])
		or.ids = or.ids[1:]
	}
}

func (or *origins) find(id string) (origin.Place, bool) {
	or.mutex.Lock()
	defer or.mutex.Unlock()
	kept, found := or.byID[id]
	return kept.Place, found
}

// takeUnstored removes and returns up to count streams that wanted selects and that are not
// in the store. Those that are no longer kept are removed.
func (or *origins) takeUnstored(count int, wanted func(pa origin.Place) bool) map[string]keptOrigin {
	or.mutex.Lock()
	defer or.mutex.Unlock()
	taken := map[string]keptOrigin{}
	rest := or.unstored[:0]
	for _, id := range or.unstored {
		kept, found := or.byID[id]
		switch {
		case !found:
		case len(taken) < count && wanted(kept.Place):
			taken[id] = kept
		default:
			rest = append(rest, id)
		}
	}
	or.unstored = rest
	return taken
}

// putBack returns streams whose origins could not be stored.
func (or *origins) putBack(taken map[string]keptOrigin) {
	or.mutex.Lock()
	defer or.mutex.Unlock()
	for id := range taken {
		or.unstored = append(or.unstored, id)
	}
}

// registryReads shares reads of the registry: a read serves all calls that came before it
// began. The zero value is ready to use.
type registryReads struct {
	once sync.Once
	// turn is held by the call that reads.
	turn   chan struct{}
	began  time.Time
	served map[calls.Origin]bool
}

// Serves reads the rows of the targets, and reports whether one of an origin takes work.
func (en *Entry) Serves(ctx context.Context, or calls.Origin) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, originReadTimeout)
	defer cancel()
	rr, asked := &en.registryReads, en.clock.Now()
	rr.once.Do(func() { rr.turn = make(chan struct{}, 1) })
	select {
	case rr.turn <- struct{}{}:
		defer func() { <-rr.turn }()
	case <-ctx.Done():
		return false, ctx.Err()
	}
	if rr.began.After(asked) {
		return rr.served[or], nil
	}
	began := en.clock.Now()
	page, err := table.ListAll(ctx, en.store, table.Range{Table: en.decoders.TargetTable})
	if err != nil {
		return false, errors.Wrap(err, "read the registry")
	}
	rr.began, rr.served = began, map[calls.Origin]bool{}
	for _, ro := range page.Rows {
		if ta, err := en.decoders.Target(ro); err == nil && !ta.Draining { // decodeTargets logs errors
			rr.served[calls.Origin{Service: ta.Service, Software: ta.Software}] = true
		}
	}
	return rr.served[or], nil
}

// replicas returns the first entries of those that keep the origin of a stream.
func (en *Entry) replicas(id string, count int) []member.Record {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	all := en.members.Replicas(en.clock.Now(), id, en.name)
	return all[:min(count, len(all))]
}

// Record keeps the origin of a stream here, sends it to other entries, and has it stored
// while streams of its route begin at several places.
func (en *Entry) Record(ro conf.Route, id string, or calls.Origin) {
	pa := origin.Place{Route: ro.Name, Service: or.Service, Software: or.Software}
	en.origins.keep(en.clock.Now(), id, pa, true)
	if en.places.several(ro.Name) {
		wake(en.places.unstored)
	}
	for _, re := range en.replicas(id, originReplicas) {
		go func() {
			call, cancel := context.WithTimeout(en.ctx, originTimeout)
			defer cancel()
			req := &wire.RecordOriginRequest{Request: id, Service: or.Service, Software: or.Software}
			if _, err := en.originClient(re.Addr).RecordOrigin(call, req); err != nil && en.ctx.Err() == nil {
				en.meters.Count("origins-not-shared", re.Name, 1)
				logs.Info(en.logger, "origin of a stream not shared", "id", id, "entry", re.Name, "err", err)
			}
		}()
	}
}

// Find returns the origin of a stream that any entry began.
func (en *Entry) Find(ctx context.Context, ro conf.Route, id string) (calls.Origin, *core.Error) {
	ev := en.originEvidence(ctx, ro, id)
	pa, certainty := origin.Decide(ev)
	logs.Info(en.logger, "origin of a stream", "id", id, "route", ro.Name, "certainty", certainty, "service", pa.Service, "software", pa.Software,
		"remembered", ev.Remembered != nil, "silent", ev.Silent, "places", len(ev.Places), "complete", ev.Complete, "read", ev.Read, "origin-read", ev.OriginRead)
	switch certainty {
	case origin.Known:
		return calls.Origin{Service: pa.Service, Software: pa.Software}, nil
	case origin.Lost:
		return calls.Origin{}, core.Refuse(core.CodeOriginLost, "it is not known which software version began the stream, and several served")
	default:
		wait := originRetryAfter + rand.N(originRetryAfter)
		return calls.Origin{}, core.Refuse(core.CodeUnknownOrigin, "it is not known yet which software version began the stream").WithRetryAfter(wait)
	}
}

// originEvidence asks the other entries and the store about a stream at the same time.
func (en *Entry) originEvidence(ctx context.Context, ro conf.Route, id string) origin.Evidence {
	if pa, found := en.origins.find(id); found {
		return origin.Evidence{Remembered: &pa}
	}
	ctx, cancel := context.WithTimeout(ctx, originReadTimeout)
	defer cancel()
	stored := make(chan origin.Evidence, 1)
	go func() { stored <- en.readOrigin(ctx, ro, id) }()
	pa, silent := en.askForOrigin(ctx, id)
	if pa != nil {
		return origin.Evidence{Remembered: pa}
	}
	ev := <-stored
	ev.Silent = silent
	return ev
}

// askForOrigin asks other entries about a stream. It returns nil and the number of those
// that did not answer if none knows it.
func (en *Entry) askForOrigin(ctx context.Context, id string) (found *origin.Place, silent int) {
	if id == "" {
		return nil, 0
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
		switch res := <-answers; {
		case res == nil:
			silent++
		case res.GetFound():
			return &origin.Place{Service: res.GetService(), Software: res.GetSoftware()}, 0
		}
	}
	return nil, silent
}

// RecordOrigin keeps the origin of a stream for another entry.
func (en *Entry) RecordOrigin(_ context.Context, req *wire.RecordOriginRequest) (*wire.RecordOriginResponse, error) {
	en.origins.keep(en.clock.Now(), req.GetRequest(), origin.Place{Service: req.GetService(), Software: req.GetSoftware()}, false)
	return &wire.RecordOriginResponse{}, nil
}

// FindOrigin tells another entry the origin of a stream, if it is known here.
func (en *Entry) FindOrigin(_ context.Context, req *wire.FindOriginRequest) (*wire.FindOriginResponse, error) {
	pa, found := en.origins.find(req.GetRequest())
	return &wire.FindOriginResponse{Found: found, Service: pa.Service, Software: pa.Software}, nil
}

// MayBegin reports whether streams may begin at a target: its place has a row.
func (en *Entry) MayBegin(ro conf.Route, ta fleet.Target) bool {
	return en.places.has(origin.Place{Route: ro.Name, Service: ta.Service, Software: ta.Software})
}
