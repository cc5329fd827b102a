package intake

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/batch"
	"bilberryshelf/logs"
	"bilberryshelf/table"
)

const (
	// ownAdoptDelay is how long this entry waits before it adopts a job that names
	// it as owner but does not run here, for example after a write that took effect
	// late.
	ownAdoptDelay = time.Second
	// maxAdoptAge is the largest age of a job that is adopted, counted from when this
	// entry first saw it; all time limits of an older job have passed.
	maxAdoptAge = 2 * time.Minute
)

// adoptOrphans adopts jobs whose owner is dead, each after its adoptDelay.
func (en *Entry) adoptOrphans(ctx context.Context, heads map[string]batch.VersionedHead) {
	if en.settings.LowCapacity || en.stopping.Load() || en.config.Load() == nil {
		return
	}
	now := en.clock.Now()
	for job, vh := range heads {
		if !vh.Head.Open() || en.index.KnownFor(job) > maxAdoptAge || en.owner.Owns(job) || en.adopting.has(job) {
			delete(en.orphans, job)
			continue
		}
		since, found := en.orphans[job]
		if !found {
			since = now
		}
		delay, eligible := en.adoptDelay(now, vh.Head)
		if !eligible {
			delete(en.orphans, job)
			continue
		}
		en.orphans[job] = since
		if now.Sub(since) >= delay {
			delete(en.orphans, job)
			go en.adopt(ctx, job, vh)
		}
	}
}

// adoptions holds the jobs that are being adopted. To read a large one takes many seconds
// if the store is in another region. The zero value is empty.
type adoptions struct {
	mutex sync.Mutex
	jobs  map[string]bool
}

// begin reports whether a job may be adopted, and if so adds it.
func (ad *adoptions) begin(job string) bool {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	if ad.jobs == nil {
		ad.jobs = map[string]bool{}
	}
	known := ad.jobs[job]
	ad.jobs[job] = true
	return !known
}

func (ad *adoptions) end(job string) {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	delete(ad.jobs, job)
}

func (ad *adoptions) has(job string) bool {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	return ad.jobs[job]
}

// adoptDelay returns how long after an orphan was found this entry adopts it.
// eligible is false if the owner is alive or this entry adopts no jobs.
func (en *Entry) adoptDelay(now time.Time, he batch.Head) (delay time.Duration, eligible bool) {
	if he.Owner == en.name {
		return ownAdoptDelay, true
	}
	en.mutex.Lock()
	defer en.mutex.Unlock()
	if !en.members.Dead(now, he.Owner) {
		return 0, false
	}
	return en.members.AdoptDelay(now, he.Route, en.name)
}

// adopt makes this entry the owner of a job and continues it from its listed
// results. The calls to the store have time limits of their own.
func (en *Entry) adopt(ctx context.Context, job string, vh batch.VersionedHead) {
	if !en.adopting.begin(job) {
		return
	}
	defer en.adopting.end(job)
	previous := vh.Head.Owner
	vh, err := en.ledger.Adopt(ctx, job, vh, en.name)
	if errors.Is(err, batch.ErrSealed) { // its end was asked for, and nobody has written it
		vh, err = en.ledger.End(ctx, job, vh)
		logs.Info(en.logger, "sealed job ended", "id", job, "owner", previous, "err", err)
		if vh.Version > 0 {
			en.index.Put(job, vh)
		}
		return
	}
	if err != nil {
		logs.Info(en.logger, "job not adopted", "id", job, "owner", previous, "err", err)
		if vh.Version > 0 {
			en.index.Put(job, vh)
		}
		return
	}
	en.index.Put(job, vh)
	body, listed, err := en.loadJob(ctx, job, vh)
	if err != nil {
		logs.Warn(en.logger, "adopted job could not be read", "id", job, "err", err)
		return // retried after ownAdoptDelay
	}
	route, failed := en.jobRoute(body, vh.Head)
	if failed != nil {
		logs.Warn(en.logger, "adopted job has no route", "id", job, "err", failed)
		return
	}
	logs.Info(en.logger, "job adopted", "id", job, "owner", previous, "epoch", vh.Head.Epoch, "listed", len(listed))
	en.owner.Start(body, vh, route, listed)
}

// loadJob reads a job and the ids of its listed items.
func (en *Entry) loadJob(ctx context.Context, job string, vh batch.VersionedHead) (*batch.Job, map[string]bool, error) {
	body, err := en.ledger.Body(ctx, job)
	if err != nil {
		return nil, nil, err
	}
	listed := map[string]bool{}
	for from := 0; from < vh.Head.Listed; {
		results, err := en.ledger.Results(ctx, job, from)
		if err != nil {
			return nil, nil, err
		}
		if len(results) == 0 {
			return nil, nil, table.ErrRefused
		}
		for _, re := range results {
			listed[re.ID] = true
		}
		from += len(results)
	}
	return body, listed, nil
}
