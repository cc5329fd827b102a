package batch

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"bilberryshelf/core"
	"bilberryshelf/logs"
	"bilberryshelf/table"
)

// Index is the heads of all jobs as the feed told them. It is safe for
// concurrent use. Make it with NewIndex.
type Index struct {
	clock  core.Clock
	logger log.Logger
	mutex  sync.Mutex
	heads  map[string]VersionedHead
	// firstSeen is when each job was first heard of here.
	firstSeen   map[string]time.Time
	changed     chan struct{}
	confirmedAt time.Time
}

// NewIndex makes an empty index.
func NewIndex(clock core.Clock, lg log.Logger) *Index {
	return &Index{
		clock: clock, logger: lg, heads: map[string]VersionedHead{}, firstSeen: map[string]time.Time{}, changed: make(chan struct{}),
	}
}

// KnownFor is how long this process has known of a job: never more than its age,
// whatever the clocks of others say.
func (in *Index) KnownFor(job string) time.Duration {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	since, found := in.firstSeen[job]
	if !found {
		return 0
	}
	return in.clock.Now().Sub(since)
}

// Get returns a job's head, and whether it is known.
func (in *Index) Get(job string) (VersionedHead, bool) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	kn, found := in.heads[job]
	return kn, found
}

// Changed returns a channel that closes at the next change of any head.
func (in *Index) Changed() <-chan struct{} {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	return in.changed
}

// Confirm records that the heads were complete at a moment.
func (in *Index) Confirm(at time.Time) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	in.confirmedAt = at
}

// ConfirmedAt is when the heads were last known to be complete.
func (in *Index) ConfirmedAt() time.Time {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	return in.confirmedAt
}

// Put records a head that was read or written here. An older version than the
// known one is dropped.
func (in *Index) Put(job string, kn VersionedHead) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	if in.put(job, kn) {
		in.notify()
	}
}

func (in *Index) put(job string, kn VersionedHead) bool {
	if have, found := in.heads[job]; found && have.Version >= kn.Version {
		return false
	}
	if _, heard := in.firstSeen[job]; !heard {
		in.firstSeen[job] = in.clock.Now()
	}
	in.heads[job] = kn
	return true
}

func (in *Index) notify() {
	close(in.changed)
	in.changed = make(chan struct{})
}

// Apply takes rows of the heads' table.
func (in *Index) Apply(rows []table.Row) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	news := false
	for _, ro := range rows {
		if ro.Dropped {
			delete(in.heads, ro.ID.Key)
			delete(in.firstSeen, ro.ID.Key)
			news = true
			continue
		}
		he, err := DecodeHead(ro.Value)
		if err != nil {
			logs.Error(in.logger, "head not readable", "job", ro.ID.Key, "version", ro.Version, "err", err)
			continue
		}
		news = in.put(ro.ID.Key, VersionedHead{Head: he, Version: ro.Version}) || news
	}
	if news {
		in.notify()
	}
}

// All returns the heads of all jobs.
func (in *Index) All() map[string]VersionedHead {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	all := make(map[string]VersionedHead, len(in.heads))
	for job, kn := range in.heads {
		all[job] = kn
	}
	return all
}
