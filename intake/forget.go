package intake

import (
	"context"
	"time"

	"bilberryshelf/batch"
	"bilberryshelf/logs"
)

// JobRetention is how long the home of a job keeps it readable after it heard of it:
// five times the longest that the platform asks for.
const JobRetention = 10 * time.Minute

// deleteExpiredJob drops one job that need not be kept any longer from the store. The
// home of the job's route does so.
func (en *Entry) deleteExpiredJob(ctx context.Context, heads map[string]batch.VersionedHead) {
	for job, kn := range heads {
		if en.index.KnownFor(job) < JobRetention || en.home(kn.Head.Route).Name != en.name {
			continue
		}
		err := en.ledger.Delete(ctx, job, kn)
		logs.Info(en.logger, "job forgotten", "id", job, "age", kn.Head.Age(en.clock.Now()), "listed", kn.Head.Listed, "err", err)
		return
	}
}
