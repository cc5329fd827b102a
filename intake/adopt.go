package intake

import (
	"context"
	"time"

	"bilberryshelf/batch"
	"bilberryshelf/logs"
	"bilberryshelf/table"
)

const (
	// ownAdoptDelay is how long a job in this entry's name may not run here: a write of
	// its own that took effect late.
	ownAdoptDelay = time.Second
	// adoptTimeout bounds one adoption.
	adoptTimeout = 4 * time.Second
	// maxAdoptAge is how long after it was heard of no job is adopted any more; all its
	// bounds are over.
	maxAdoptAge = 2 * time.Minute
)

// adoptOrphans takes over jobs whose owner is gone.
func (en *Entry) adoptOrphans(ctx context.Context, heads map[string]batch.VersionedHead) {
	if en.settings.Weak || en.leaving.Load() || en.config.Load() == nil {
		return
	}
	now := en.clock.Now()
	for job, kn := range heads {
		if !kn.Head.Open() || en.index.KnownFor(job) > maxAdoptAge || en.owner.Owns(job) {
			delete(en.orphans, job)
			continue
		}
		since, waits := en.orphans[job]
		if !waits {
			since = now
		}
		wait, mine := en.adoptDelay(now, kn.Head)
		if !mine {
			delete(en.orphans, job)
			continue
		}
		en.orphans[job] = since
		if now.Sub(since) >= wait {
			delete(en.orphans, job)
			en.adopt(ctx, job, kn)
		}
	}
}

// adoptDelay is how long after it was found an orphan is adopted here; mine is false
// for a job whose owner lives.
func (en *Entry) adoptDelay(now time.Time, he batch.Head) (wait time.Duration, mine bool) {
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

func (en *Entry) adopt(ctx context.Context, job string, kn batch.VersionedHead) {
	call, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	former := kn.Head.Owner
	kn, err := en.ledger.Adopt(call, job, kn, en.name)
	if err != nil {
		logs.Info(en.logger, "job not adopted", "id", job, "owner", former, "err", err)
		if kn.Version > 0 {
			en.index.Put(job, kn)
		}
		return
	}
	en.index.Put(job, kn)
	body, listed, err := en.loadJob(call, job, kn)
	if err != nil {
		logs.Warn(en.logger, "adopted job not read", "id", job, "err", err)
		return // it is tried again after ownWait
	}
	route, _, failed := en.Find(body.Host, body.Path)
	if failed != nil {
		logs.Warn(en.logger, "adopted job has no route", "id", job, "err", failed)
		return
	}
	logs.Info(en.logger, "job adopted", "id", job, "owner", former, "epoch", kn.Head.Epoch, "listed", len(listed))
	en.owner.Start(body, kn, route, listed)
}

// loadJob reads a job and which of its items are listed.
func (en *Entry) loadJob(ctx context.Context, job string, kn batch.VersionedHead) (*batch.Job, map[string]bool, error) {
	body, err := en.ledger.Body(ctx, job)
	if err != nil {
		return nil, nil, err
	}
	listed := map[string]bool{}
	for from := 0; from < kn.Head.Listed; {
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
