package intake

import (
	"context"
	"time"

	"bilberryshelf/batch"
	"bilberryshelf/logs"
)

// JobRetention is how long a job stays readable after the owner of its route first
// saw it: five times the longest retention that the platform requires.
const JobRetention = 10 * time.Minute

// deleteExpiredJob deletes at most one job older than JobRetention from the store.
// Only the owner of the job's route deletes it.
func (en *Entry) deleteExpiredJob(ctx context.Context, heads map[string]batch.VersionedHead) {
	for job, vh := range heads {
		if en.index.KnownFor(job) < JobRetention || en.routeOwner(vh.Head.Route).Name != en.name {
			continue
		}
		if err := en.ledger.Delete(ctx, job, vh); err != nil {
			logs.Warn(en.logger, "expired job not deleted", "id", job, "err", err)
			return
		}
		logs.Info(en.logger, "expired job deleted", "id", job, "age", vh.Head.Age(en.clock.Now()), "listed", vh.Head.Listed)
		return
	}
}
