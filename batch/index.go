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
	heads  map[string]Known
	// since is when each job was first heard of here.
	since   map[string]time.Time
	changed chan struct{}
	fresh   time.Time
}

// NewIndex makes an empty index.
func NewIndex(clock core.Clock, lg log.Logger) *Index {
	return &Index{
		clock: clock, logger: lg, heads: map[string]Known{}, since: map[string]time.Time{}, changed: make(chan struct{}),
	}
}

// Heard is how long this process has known of a job: never more than its age,
// whatever the clocks of others say.
func (in *Index) Heard(job string) time.Duration {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	since, found := in.since[job]
	if !found {
		return 0
	}
	return in.clock.Now().Sub(since)
}

// Get returns a job's head, and whether it is known.
func (in *Index) Get(job string) (Known, bool) {
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
	in.fresh = at
}

// Fresh is when the heads were last known to be complete.
func (in *Index) Fresh() time.Time {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	return in.fresh
}

// Put records a head that was read or written here. An older version than the
// known one is dropped.
func (in *Index) Put(job string, kn Known) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	if in.put(job, kn) {
		in.notify()
	}
}

func (in *Index) put(job string, kn Known) bool {
	if have, found := in.heads[job]; found && have.Version >= kn.Version {
		return false
	}
	if _, heard := in.since[job]; !heard {
		in.since[job] = in.clock.Now()
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
			delete(in.since, ro.ID.Key)
			news = true
			continue
		}
		he, err := DecodeHead(ro.Value)
		if err != nil {
			logs.Error(in.logger, "head not readable", "job", ro.ID.Key, "version", ro.Version, "err", err)
			continue
		}
		news = in.put(ro.ID.Key, Known{Head: he, Version: ro.Version}) || news
	}
	if news {
		in.notify()
	}
}

// All returns the heads of all jobs.
func (in *Index) All() map[string]Known {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	all := make(map[string]Known, len(in.heads))
	for job, kn := range in.heads {
		all[job] = kn
	}
	return all
}
