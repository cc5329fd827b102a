package intake

import (
	"context"
	"time"

	"bilberryshelf/batch"
	"bilberryshelf/logs"
)

// JobRetention is how long a job stays readable after the home of its route first
// saw it: five times the longest retention that the platform requires.
const JobRetention = 10 * time.Minute

// deleteExpiredJob deletes at most one job older than JobRetention from the store.
// Only the home of the job's route deletes it.
func (en *Entry) deleteExpiredJob(ctx context.Context, heads map[string]batch.VersionedHead) {
	for job, kn := range heads {
		if en.index.KnownFor(job) < JobRetention || en.home(kn.Head.Route).Name != en.name {
			continue
		}
		err := en.ledger.Delete(ctx, job, kn)
		logs.Info(en.logger, "expired job deleted", "id", job, "age", kn.Head.Age(en.clock.Now()), "listed", kn.Head.Listed, "err", err)
		return
	}
}
